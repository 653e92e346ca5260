"""Read and edit operators' objects in the object store."""

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
    "InvalidDocument",
    "ObjectPusher",
    "Operations",
    "UnreachableError",
    "new_edit_id",
]

CONFIG_KEY = "config"
HISTORY_KEY = "history"
HISTORY_ENTRIES_MAX = 50
WRITE_ATTEMPTS_MAX = 5
READ_BACK_DELAY_S = 0.2


class InvalidDocument(CommandError):
    """The configuration has the problems in `problems`; nothing was written."""

    code = "invalid_document"

    def __init__(self, problems: Sequence[validation.ConfigurationProblem]) -> None:
        """Keep the problems; the message only counts them."""
        super().__init__(f"the configuration has {len(problems)} problems")
        self.problems = tuple(problems)


class ConflictError(CommandError):
    """The edit is based on a version that is no longer current; nothing was written."""

    code = "edit_conflict"

    def __init__(self, key: str, based_on: str, current: str) -> None:
        """Describe the version that the edit is based on and the current one."""
        super().__init__(f"{key}: edit is based on {based_on}, but the store holds {current}")
        self.based_on = based_on
        self.current = current


class UnreachableError(CommandError):
    """The store could not be reached; nothing was written."""

    code = "store_unreachable"


class EditOutcomeUnknown(CommandError):
    """The edit may or may not have been accepted; its outcome could not be read back."""

    code = "edit_outcome_unknown"


class EditState(StrEnum):
    """Result of an edit; superseded: accepted, then replaced by a later edit."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    SUPERSEDED = "superseded"


@attrs.frozen
class EditOutcome:
    """Result of an edit, with the store version and generation that contain it.

    `pushed_hosts` is the number of entry hosts that accepted the push.
    """

    key: str
    version: int
    generation: int
    edit_id: str
    state: EditState
    pushed_hosts: int = 0


@attrs.frozen
class HistoryEntry:
    """One accepted edit of the configuration; `sha256` covers it without edit metadata."""

    generation: int
    version: int
    edit_id: str
    author: str
    accepted_at: str
    sha256: str


class ObjectPusher(Protocol):
    """Client of the operators' endpoints of entry hosts."""

    async def push(self, stored: StoredObject) -> int:
        """Send an accepted object to entry hosts; return how many accepted it."""
        ...


def new_edit_id() -> str:
    """Return a unique id for an edit, drain or shift."""
    return uuid.uuid4().hex


def _describe_version(document: Configuration, version: int) -> str:
    return f"generation {document.generation} (version {version}, edit {document.edit_id})"


def _content_sha256(document: Configuration) -> str:
    content = attrs.evolve(document, generation=0, edit_id="", edit_author="", edit_time="")
    return hashlib.sha256(config.encode_json(content)).hexdigest()


class Operations:
    """Read and edit objects in the store; methods raise CommandError and its subclasses."""

    def __init__(
        self,
        store: ObjectStore,
        hosts: ObjectPusher,
        author: str,
        wall_time_iso: Callable[[], str],
    ) -> None:
        """Use `store`, push accepted edits to `hosts` and record `author` with each edit.

        `wall_time_iso` returns the current time as ISO 8601 text.
        """
        self._store = store
        self._hosts = hosts
        self.author = author
        self.wall_time_iso = wall_time_iso

    async def read_object(self, key: str) -> StoredObject | None:
        """Return a store object, or None if it does not exist; raise UnreachableError."""
        try:
            return await self._store.get(key)
        except StoreError as error:
            raise UnreachableError(f"read {key}: {error}") from error

    async def get_configuration(self) -> tuple[Configuration, int]:
        """Return the configuration in the store and its version; raise CommandError if none."""
        stored = await self.read_object(CONFIG_KEY)
        if stored is None:
            raise CommandError("the store holds no configuration; apply one first")
        return config.decode_json(stored.value), stored.version

    async def history(self) -> tuple[HistoryEntry, ...]:
        """Return the last accepted edits of the configuration, newest first."""
        stored = await self.read_object(HISTORY_KEY)
        entries = () if stored is None else _decode_history(stored.value)
        current = await self.read_object(CONFIG_KEY)
        if current is not None:
            entries = _add_entry(entries, _make_entry(current))
        return tuple(reversed(entries))

    async def apply_configuration(self, document: Configuration) -> EditOutcome:
        """Replace the configuration in the store with a document.

        Raises InvalidDocument, ConflictError, UnreachableError or EditOutcomeUnknown.
        """
        problems = validation.find_problems(document)
        if problems:
            raise InvalidDocument(problems)
        current = await self.read_object(CONFIG_KEY)
        base = None if current is None else config.decode_json(current.value)
        version = 0 if current is None else current.version
        generation = 0 if base is None else base.generation
        if base is not None and document.generation not in (0, generation):
            raise ConflictError(
                CONFIG_KEY, f"generation {document.generation}", _describe_version(base, version)
            )
        if base is not None and _content_sha256(base) == _content_sha256(document):
            return EditOutcome(CONFIG_KEY, version, generation, base.edit_id, EditState.UNCHANGED)
        edited = attrs.evolve(
            document,
            generation=generation + 1,
            edit_id=new_edit_id(),
            edit_author=self.author,
            edit_time=self.wall_time_iso(),
        )
        if current is not None:
            # The edit to be replaced must be in the history first: an operator who got no
            # response to that edit looks up its edit id there.
            await self._record(_make_entry(current))
        outcome = await self._write_config(edited, version)
        pushed = await self._hosts.push(
            StoredObject(CONFIG_KEY, outcome.version, config.encode_json(edited))
        )
        await self._try_record(outcome.version, edited)
        return attrs.evolve(outcome, pushed_hosts=pushed)

    async def update_object(
        self, key: str, change: Callable[[bytes | None], bytes]
    ) -> StoredObject:
        """Update an object with conditional writes, retried until one is accepted.

        `change` must be idempotent: given a value that already contains the change, it returns
        that value. Raises UnreachableError, EditOutcomeUnknown, or ConflictError after repeated
        conflicts.
        """
        is_outcome_unknown = False
        for _ in range(WRITE_ATTEMPTS_MAX):
            current = await self._read_for_edit(key, is_outcome_unknown)
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
                is_outcome_unknown = True
                await anyio.sleep(READ_BACK_DELAY_S)
                continue
            except StoreError as error:
                raise _write_error(key, error, is_outcome_unknown) from error
            await self._hosts.push(stored)
            return stored
        if is_outcome_unknown:
            raise EditOutcomeUnknown(
                f"{key}: outcome still unknown after {WRITE_ATTEMPTS_MAX} writes"
            )
        raise ConflictError(key, "the version read", "a newer version after every attempt")

    async def _read_for_edit(self, key: str, is_outcome_unknown: bool) -> StoredObject | None:
        try:
            return await self.read_object(key)
        except UnreachableError as error:
            if is_outcome_unknown:
                raise EditOutcomeUnknown(f"{key}: {error}") from error
            raise

    async def _write_config(self, edited: Configuration, expected_version: int) -> EditOutcome:
        accepted = EditOutcome(CONFIG_KEY, 0, edited.generation, edited.edit_id, EditState.ACCEPTED)
        value = config.encode_json(edited)
        is_outcome_unknown = False
        for _ in range(WRITE_ATTEMPTS_MAX):
            try:
                stored = await self._store.put(CONFIG_KEY, value, expected_version)
                return attrs.evolve(accepted, version=stored.version)
            except StoreUnavailable as error:
                raise _write_error(CONFIG_KEY, error, is_outcome_unknown) from error
            except (StoreConflict, StoreOutcomeUnknown) as error:
                # The store may still execute a lost write after it was read back.
                is_outcome_unknown = is_outcome_unknown or isinstance(error, StoreOutcomeUnknown)
                outcome = await self._read_back(edited, error)
                if outcome is not None:
                    return outcome
        raise EditOutcomeUnknown(
            f"edit {edited.edit_id}: outcome still unknown after {WRITE_ATTEMPTS_MAX} writes"
        )

    async def _read_back(self, edited: Configuration, cause: StoreError) -> EditOutcome | None:
        """Return the outcome of an edit, or None if the edit can be written again."""
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
        entries = () if history is None else _decode_history(history.value)
        for entry in entries:
            if entry.edit_id == edited.edit_id:
                return attrs.evolve(outcome, version=entry.version, state=EditState.SUPERSEDED)
        if current.generation >= edited.generation:
            based_on = f"generation {edited.generation - 1}"
            raise ConflictError(CONFIG_KEY, based_on, _describe_version(current, stored.version))
        return None

    async def _record(self, entry: HistoryEntry) -> None:
        for _ in range(WRITE_ATTEMPTS_MAX):
            stored = await self.read_object(HISTORY_KEY)
            entries = () if stored is None else _decode_history(stored.value)
            if any(known.edit_id == entry.edit_id for known in entries):
                return
            value = msgspec.json.encode(_add_entry(entries, entry))
            try:
                await self._store.put(HISTORY_KEY, value, 0 if stored is None else stored.version)
                return
            except (StoreConflict, StoreOutcomeUnknown):
                continue
            except StoreError as error:
                raise UnreachableError(f"write {HISTORY_KEY}: {error}") from error
        raise UnreachableError(
            f"write {HISTORY_KEY}: not accepted after {WRITE_ATTEMPTS_MAX} writes"
        )

    async def _try_record(self, version: int, edited: Configuration) -> None:
        """Record an accepted edit in the history; if this fails, the next edit records it."""
        stored = StoredObject(CONFIG_KEY, version, config.encode_json(edited))
        try:
            await self._record(_make_entry(stored))
        except UnreachableError:
            return


def _write_error(key: str, error: StoreError, is_outcome_unknown: bool) -> CommandError:
    """Return the error of a write without effect, after earlier ones that may have had one."""
    if is_outcome_unknown:
        return EditOutcomeUnknown(f"write {key}: an earlier write was lost, then: {error}")
    return UnreachableError(f"write {key}: {error}")


def _decode_history(value: bytes) -> tuple[HistoryEntry, ...]:
    return msgspec.json.decode(value, type=tuple[HistoryEntry, ...])


def _make_entry(stored: StoredObject) -> HistoryEntry:
    document = config.decode_json(stored.value)
    return HistoryEntry(
        generation=document.generation,
        version=stored.version,
        edit_id=document.edit_id,
        author=document.edit_author,
        accepted_at=document.edit_time,
        sha256=_content_sha256(document),
    )


def _add_entry(entries: tuple[HistoryEntry, ...], entry: HistoryEntry) -> tuple[HistoryEntry, ...]:
    others = [known for known in entries if known.edit_id != entry.edit_id]
    return tuple(sorted([*others, entry], key=lambda known: known.generation))[
        -HISTORY_ENTRIES_MAX:
    ]
