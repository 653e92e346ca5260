"""Carry out operators' reads and edits against the object store."""

import hashlib
import uuid
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import Protocol

import anyio
import attrs
import msgspec

from berylchute import config, validation
from berylchute.config import Configuration
from berylchute.exceptions import (
    CommandError,
    StoreConflict,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from berylchute.types import ObjectStore, StoredObject

__all__ = [
    "CONFIG_KEY",
    "ConflictError",
    "EditOutcome",
    "EditOutcomeUnknown",
    "HistoryEntry",
    "HostApi",
    "InvalidDocument",
    "Operations",
    "UnreachableError",
    "new_edit_id",
]

CONFIG_KEY = "config"
HISTORY_KEY = "history"
HISTORY_ENTRIES_MAX = 50
READ_BACK_ATTEMPTS = 5
READ_BACK_DELAY_S = 0.2


class InvalidDocument(CommandError):
    """Report a document with problems; nothing was written."""

    code = "invalid_document"

    def __init__(self, problems: Sequence[validation.Problem]) -> None:
        """Keep the problems."""
        super().__init__(f"{len(problems)} problems")
        self.problems = tuple(problems)


class ConflictError(CommandError):
    """Report an edit based on a version that is no longer current; nothing was written."""

    code = "edit_conflict"

    def __init__(self, key: str, based_on: str, current: str) -> None:
        """Name both versions."""
        super().__init__(f"{key}: edit is based on {based_on}, but the store holds {current}")
        self.based_on = based_on
        self.current = current


class UnreachableError(CommandError):
    """Report a store that could not be reached; nothing was written."""

    code = "store_unreachable"


class EditOutcomeUnknown(CommandError):
    """Report an edit whose outcome could not be read back."""

    code = "edit_outcome_unknown"


class EditState(StrEnum):
    """How an edit ended."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    SUPERSEDED = "superseded"


@attrs.frozen
class EditOutcome:
    """An accepted edit: the store version that carries it."""

    key: str
    version: int
    generation: int
    edit_id: str
    state: EditState
    pushed_hosts: int = 0


@attrs.frozen
class HistoryEntry:
    """One accepted edit of the configuration."""

    generation: int
    version: int
    edit_id: str
    author: str
    accepted_at: str
    sha256: str


class HostApi(Protocol):
    """Reach the operators' paths of entry hosts."""

    async def push(self, stored: StoredObject) -> int:
        """Send an accepted object to entry hosts; return how many took it."""
        ...


def new_edit_id() -> str:
    """Return an id that tells an edit from all others."""
    return uuid.uuid4().hex


def _describe(document: Configuration, version: int) -> str:
    return f"generation {document.generation} (version {version}, edit {document.edit_id})"


def _digest(document: Configuration) -> str:
    bare = attrs.evolve(document, generation=0, edit_id="", edit_author="", edit_time="")
    return hashlib.sha256(config.encode_json(bare)).hexdigest()


class Operations:
    """Offer the operators' commands as functions; raise CommandError subclasses."""

    def __init__(
        self,
        store: ObjectStore,
        hosts: HostApi,
        author: str,
        wall_time: Callable[[], str],
    ) -> None:
        """Keep the store, the hosts that accepted edits are pushed to, and the author's name."""
        self._store = store
        self._hosts = hosts
        self.author = author
        self.wall_time = wall_time

    async def read(self, key: str) -> StoredObject | None:
        """Return a store object; raise UnreachableError."""
        try:
            return await self._store.get(key)
        except StoreError as error:
            raise UnreachableError(f"read {key}: {error}") from error

    async def get(self) -> tuple[Configuration, int]:
        """Return the configuration in the store and its version; version 0 when there is none."""
        stored = await self.read(CONFIG_KEY)
        if stored is None:
            raise CommandError("the store holds no configuration; apply one first")
        return config.decode_json(stored.value), stored.version

    async def history(self) -> tuple[HistoryEntry, ...]:
        """Return accepted edits, newest first."""
        stored = await self.read(HISTORY_KEY)
        entries = () if stored is None else _decode_history(stored.value)
        current = await self.read(CONFIG_KEY)
        if current is not None:
            entries = _with_entry(entries, _entry_of(current))
        return tuple(reversed(entries))

    async def apply(self, document: Configuration) -> EditOutcome:
        """Make a document the configuration.

        Raises InvalidDocument, ConflictError, UnreachableError or EditOutcomeUnknown.
        """
        problems = validation.find_problems(document)
        if problems:
            raise InvalidDocument(problems)
        current = await self.read(CONFIG_KEY)
        base = None if current is None else config.decode_json(current.value)
        version = 0 if current is None else current.version
        generation = 0 if base is None else base.generation
        if base is not None and document.generation not in (0, generation):
            raise ConflictError(
                CONFIG_KEY, f"generation {document.generation}", _describe(base, version)
            )
        if base is not None and _digest(base) == _digest(document):
            return EditOutcome(CONFIG_KEY, version, generation, base.edit_id, EditState.UNCHANGED)
        edited = attrs.evolve(
            document,
            generation=generation + 1,
            edit_id=new_edit_id(),
            edit_author=self.author,
            edit_time=self.wall_time(),
        )
        if current is not None:
            # The entry of the edit being replaced must be in the history before it is replaced:
            # an operator who lost the answer to that edit finds its edit id there.
            await self._record(_entry_of(current))
        outcome = await self._write_config(edited, version)
        pushed = await self._hosts.push(
            StoredObject(CONFIG_KEY, outcome.version, config.encode_json(edited))
        )
        await self._record_quietly(outcome.version, edited)
        return attrs.evolve(outcome, pushed_hosts=pushed)

    async def edit(self, key: str, change: Callable[[bytes | None], bytes]) -> StoredObject:
        """Change an object by conditional updates until one is accepted.

        `change` must be idempotent: applied to a value that has the change, it returns that
        value. Raises UnreachableError, EditOutcomeUnknown, or ConflictError after repeated
        conflicts.
        """
        is_unknown = False
        for _ in range(READ_BACK_ATTEMPTS):
            current = await self._read_for_edit(key, is_unknown)
            value = change(None if current is None else current.value)
            if current is not None and current.value == value:
                await self._hosts.push(current)
                return current
            try:
                stored = await self._store.put(
                    key, value, 0 if current is None else current.version
                )
            except StoreConflict:
                continue
            except StoreOutcomeUnknown:
                is_unknown = True
                await anyio.sleep(READ_BACK_DELAY_S)
                continue
            except StoreError as error:
                raise UnreachableError(f"write {key}: {error}") from error
            await self._hosts.push(stored)
            return stored
        if is_unknown:
            raise EditOutcomeUnknown(f"{key}: no answer to {READ_BACK_ATTEMPTS} writes")
        raise ConflictError(key, "the version read", "a newer version after every try")

    async def _read_for_edit(self, key: str, is_unknown: bool) -> StoredObject | None:
        try:
            return await self.read(key)
        except UnreachableError as error:
            if is_unknown:
                raise EditOutcomeUnknown(f"{key}: {error}") from error
            raise

    async def _write_config(self, edited: Configuration, expected_version: int) -> EditOutcome:
        accepted = EditOutcome(CONFIG_KEY, 0, edited.generation, edited.edit_id, EditState.ACCEPTED)
        value = config.encode_json(edited)
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                stored = await self._store.put(CONFIG_KEY, value, expected_version)
                return attrs.evolve(accepted, version=stored.version)
            except StoreUnavailable as error:
                raise UnreachableError(f"write {CONFIG_KEY}: {error}") from error
            except (StoreConflict, StoreOutcomeUnknown) as error:
                found = await self._read_back(edited, error)
                if found is not None:
                    return found
        raise EditOutcomeUnknown(f"edit {edited.edit_id}: no answer to {READ_BACK_ATTEMPTS} writes")

    async def _read_back(self, edited: Configuration, cause: StoreError) -> EditOutcome | None:
        """Return the edit's outcome, or None when the expected version is still current."""
        try:
            if isinstance(cause, StoreOutcomeUnknown):
                await anyio.sleep(READ_BACK_DELAY_S)
            stored = await self._store.get(CONFIG_KEY)
            history = await self._store.get(HISTORY_KEY)
        except StoreError as error:
            raise EditOutcomeUnknown(f"edit {edited.edit_id}: {error}") from error
        if stored is None:
            return None
        current = config.decode_json(stored.value)
        outcome = EditOutcome(
            CONFIG_KEY, stored.version, edited.generation, edited.edit_id, EditState.ACCEPTED
        )
        if current.edit_id == edited.edit_id:
            return outcome
        recorded = () if history is None else _decode_history(history.value)
        for entry in recorded:
            if entry.edit_id == edited.edit_id:
                return attrs.evolve(outcome, version=entry.version, state=EditState.SUPERSEDED)
        if current.generation >= edited.generation:
            based_on = f"generation {edited.generation - 1}"
            raise ConflictError(CONFIG_KEY, based_on, _describe(current, stored.version))
        return None

    async def _record(self, entry: HistoryEntry) -> None:
        for _ in range(READ_BACK_ATTEMPTS):
            stored = await self.read(HISTORY_KEY)
            entries = () if stored is None else _decode_history(stored.value)
            if any(known.edit_id == entry.edit_id for known in entries):
                return
            value = msgspec.json.encode(_with_entry(entries, entry))
            try:
                await self._store.put(HISTORY_KEY, value, 0 if stored is None else stored.version)
                return
            except (StoreConflict, StoreOutcomeUnknown):
                continue
            except StoreError as error:
                raise UnreachableError(f"write {HISTORY_KEY}: {error}") from error
        raise UnreachableError(f"write {HISTORY_KEY}: gave up after {READ_BACK_ATTEMPTS} tries")

    async def _record_quietly(self, version: int, edited: Configuration) -> None:
        """Record an accepted edit; the next edit records it if this fails."""
        stored = StoredObject(CONFIG_KEY, version, config.encode_json(edited))
        try:
            await self._record(_entry_of(stored))
        except UnreachableError:
            return


def _decode_history(value: bytes) -> tuple[HistoryEntry, ...]:
    return msgspec.json.decode(value, type=tuple[HistoryEntry, ...])


def _entry_of(stored: StoredObject) -> HistoryEntry:
    document = config.decode_json(stored.value)
    return HistoryEntry(
        generation=document.generation,
        version=stored.version,
        edit_id=document.edit_id,
        author=document.edit_author,
        accepted_at=document.edit_time,
        sha256=_digest(document),
    )


def _with_entry(entries: tuple[HistoryEntry, ...], entry: HistoryEntry) -> tuple[HistoryEntry, ...]:
    others = [known for known in entries if known.edit_id != entry.edit_id]
    return tuple(sorted([*others, entry], key=lambda known: known.generation))[
        -HISTORY_ENTRIES_MAX:
    ]
