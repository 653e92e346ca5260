"""Keep at-most-once records of non-idempotent requests; a pure state machine."""

from enum import StrEnum
from typing import TypeAlias

import attrs

__all__ = [
    "Begin",
    "BeginResult",
    "IdempotencyTable",
    "KeptAnswer",
    "OwnerToken",
    "RecordKey",
    "RecordState",
    "split_key",
]

EPOCH_S = 600.0
EPOCHS_KEPT = 2
RECORDS_MAX = 100_000
# Bounds the memory of a key record; longer caller texts are malformed keys.
KEY_TEXT_CHARS_MAX = 200


@attrs.frozen
class OwnerToken:
    """Name the process incarnation and epoch that own a key."""

    position: str
    incarnation: int
    epoch: int

    def __str__(self) -> str:
        """Return the wire form `position.incarnation.epoch`."""
        return f"{self.position}.{self.incarnation}.{self.epoch}"

    @classmethod
    def parse(cls, text: str) -> "OwnerToken | None":
        """Return the token in wire form; None when malformed."""
        parts = text.rsplit(".", 2)
        if len(parts) != 3 or not parts[0]:
            return None
        if not all(part.isascii() and part.isdigit() for part in parts[1:]):
            return None
        token = cls(parts[0], int(parts[1]), int(parts[2]))
        return token if str(token) == text else None


def split_key(text: str) -> tuple[OwnerToken | None, str]:
    """Return the owner token and the caller's own text of an idempotency key."""
    owner, separator, own_text = text.partition(":")
    if not separator or not own_text or len(own_text) > KEY_TEXT_CHARS_MAX:
        return None, text
    return OwnerToken.parse(owner), own_text


class RecordState(StrEnum):
    """State of one key."""

    RECEIVED = "received"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class Begin(StrEnum):
    """What to do with a request that carries a key."""

    RUN = "run"
    WAIT = "wait"
    REPLAY = "replay"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    OWNER_REQUIRED = "owner_required"
    TABLE_FULL = "table_full"


@attrs.frozen
class KeptAnswer:
    """An answer kept for repeats."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class BeginResult:
    """The decision on one request; `answer` is present for REPLAY."""

    action: Begin
    answer: KeptAnswer | None = None


RecordKey: TypeAlias = tuple[str, int, str]


@attrs.define
class _Record:
    digest: bytes
    state: RecordState = RecordState.RECEIVED
    answer: KeptAnswer | None = None


class IdempotencyTable:
    """Decide which request with a key may run; times are monotonic seconds of the owner.

    A record moves from received to dispatched, then to answered or unknown. Only a record that
    was refused as not run may run again.
    """

    def __init__(
        self, position: str, incarnation: int, started_s: float, records_max: int = RECORDS_MAX
    ) -> None:
        self._position = position
        self._incarnation = incarnation
        self._started_s = started_s
        self._records_max = records_max
        self._epochs: dict[int, dict[tuple[str, str], _Record]] = {}
        self._count = 0
        self._epoch = 0

    def __len__(self) -> int:
        """Return the number of records kept."""
        return self._count

    def epoch(self, now_s: float) -> int:
        """Return the current epoch; it never falls."""
        self._epoch = max(self._epoch, int((now_s - self._started_s) // EPOCH_S))
        return self._epoch

    def token(self, now_s: float) -> OwnerToken:
        """Return the owner token to hand out now."""
        return OwnerToken(self._position, self._incarnation, self.epoch(now_s))

    def owns(self, token: OwnerToken) -> bool:
        """Tell whether this process incarnation issued the token."""
        return token.position == self._position and token.incarnation == self._incarnation

    def key(self, customer: str, token: OwnerToken, own_text: str) -> RecordKey:
        """Return the key of the record of a customer's request."""
        return (customer, token.epoch, own_text)

    def begin(self, key: RecordKey, digest: bytes, now_s: float) -> BeginResult:
        """Decide on a request; RUN creates or reopens the record in state received."""
        customer, key_epoch, own_text = key
        epoch = self.epoch(now_s)
        self._drop_expired(epoch)
        if key_epoch > epoch:
            # This incarnation never issued such a token, so nothing ran under it.
            return BeginResult(Begin.OWNER_REQUIRED)
        if key_epoch <= epoch - EPOCHS_KEPT:
            return BeginResult(Begin.KEY_EXPIRED)
        records = self._epochs.setdefault(key_epoch, {})
        record = records.get((customer, own_text))
        if record is None:
            if self._count >= self._records_max:
                return BeginResult(Begin.TABLE_FULL)
            records[(customer, own_text)] = _Record(digest)
            self._count += 1
            return BeginResult(Begin.RUN)
        return self._repeat(record, digest)

    def _repeat(self, record: _Record, digest: bytes) -> BeginResult:
        if record.digest != digest:
            return BeginResult(Begin.KEY_REUSED)
        if record.state is RecordState.REFUSED:
            record.state = RecordState.RECEIVED
            return BeginResult(Begin.RUN)
        if record.state is RecordState.ANSWERED and record.answer is not None:
            return BeginResult(Begin.REPLAY, record.answer)
        if record.state in (RecordState.RECEIVED, RecordState.DISPATCHED):
            return BeginResult(Begin.WAIT)
        return BeginResult(Begin.OUTCOME_UNKNOWN)

    def mark_dispatched(self, key: RecordKey) -> bool:
        """Note that an attempt starts; False when the record may not be dispatched.

        False means that the record expired or ended; the caller must not send.
        """
        record = self._find(key)
        if record is None or record.state is not RecordState.RECEIVED:
            return False
        record.state = RecordState.DISPATCHED
        return True

    def mark_not_sent(self, key: RecordKey) -> None:
        """Note that the dispatched attempt certainly did not run; it may be dispatched again."""
        record = self._find(key)
        if record is not None and record.state is RecordState.DISPATCHED:
            record.state = RecordState.RECEIVED

    def mark_answered(self, key: RecordKey, answer: KeptAnswer | None) -> None:
        """Keep the answer; None means that it was too long to keep."""
        record = self._find(key)
        if record is not None and record.state is RecordState.DISPATCHED:
            record.state = RecordState.ANSWERED
            record.answer = answer

    def mark_unknown(self, key: RecordKey) -> None:
        """Note that the work may have run without an answer."""
        record = self._find(key)
        if record is not None and record.state is RecordState.DISPATCHED:
            record.state = RecordState.UNKNOWN

    def mark_refused(self, key: RecordKey) -> None:
        """Note that the request ended without having run; a repeat may run."""
        record = self._find(key)
        if record is not None and record.state is RecordState.RECEIVED:
            record.state = RecordState.REFUSED

    def state(self, key: RecordKey) -> RecordState | None:
        """Return the state of a record; None when there is none."""
        record = self._find(key)
        return None if record is None else record.state

    def _find(self, key: RecordKey) -> _Record | None:
        customer, key_epoch, own_text = key
        return self._epochs.get(key_epoch, {}).get((customer, own_text))

    def _drop_expired(self, epoch: int) -> None:
        for old in [known for known in self._epochs if known <= epoch - EPOCHS_KEPT]:
            self._count -= len(self._epochs.pop(old))
