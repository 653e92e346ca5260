"""Keep at-most-once records of non-idempotent requests, without I/O or a clock of its own."""

from enum import StrEnum
from typing import TypeAlias

import attrs

__all__ = [
    "BeginAction",
    "BeginResult",
    "IdempotencyTable",
    "OwnerToken",
    "RecordKey",
    "RecordState",
    "StoredAnswer",
    "parse_idempotency_key",
]

EPOCH_S = 600.0
EPOCHS_KEPT = 2
RECORDS_MAX = 100_000
# Limits the memory of a record; a key with a longer caller part is malformed.
KEY_TEXT_CHARS_MAX = 200


@attrs.frozen
class OwnerToken:
    """The process incarnation and the epoch that own an idempotency key."""

    position: str
    incarnation: int
    epoch: int

    def __str__(self) -> str:
        """Return the wire form `position.incarnation.epoch`."""
        return f"{self.position}.{self.incarnation}.{self.epoch}"

    @classmethod
    def parse(cls, text: str) -> "OwnerToken | None":
        """Parse the wire form; return None if it is malformed."""
        parts = text.rsplit(".", 2)
        if len(parts) != 3 or not parts[0]:
            return None
        if not all(part.isascii() and part.isdigit() for part in parts[1:]):
            return None
        token = cls(parts[0], int(parts[1]), int(parts[2]))
        return token if str(token) == text else None


def parse_idempotency_key(text: str) -> tuple[OwnerToken | None, str]:
    """Parse an idempotency key `owner:text` into the owner token and the caller's part.

    The token is None if the key is malformed; a key without a caller's part of valid length is
    returned whole.
    """
    owner, separator, caller_text = text.partition(":")
    if not separator or not caller_text or len(caller_text) > KEY_TEXT_CHARS_MAX:
        return None, text
    return OwnerToken.parse(owner), caller_text


class RecordState(StrEnum):
    """State of the record of one key."""

    RECEIVED = "received"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class BeginAction(StrEnum):
    """Action for a request with an idempotency key."""

    RUN = "run"
    WAIT = "wait"
    REPLAY = "replay"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    OWNER_REQUIRED = "owner_required"
    TABLE_FULL = "table_full"


@attrs.frozen
class StoredAnswer:
    """An answer stored for replay to repeated requests."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class BeginResult:
    """Decision on one request; `answer` is set only for REPLAY."""

    action: BeginAction
    answer: StoredAnswer | None = None


RecordKey: TypeAlias = tuple[str, int, str]


@attrs.define
class _Record:
    digest: bytes
    state: RecordState = RecordState.RECEIVED
    answer: StoredAnswer | None = None


class IdempotencyTable:
    """Decide which requests with a key may run; times are seconds on the owner's monotonic clock.

    A record goes from received to dispatched, then to answered or unknown. Only a record in state
    refused, whose request certainly did not run, may run again.
    """

    def __init__(
        self, position: str, incarnation: int, started_s: float, records_max: int = RECORDS_MAX
    ) -> None:
        self._position = position
        self._incarnation = incarnation
        self._started_s = started_s
        self._records_max = records_max
        self._epochs: dict[int, dict[tuple[str, str], _Record]] = {}
        self._record_count = 0
        self._epoch = 0

    def __len__(self) -> int:
        """Return the number of records in memory."""
        return self._record_count

    def epoch(self, now_s: float) -> int:
        """Return the number of the current epoch, counted from the start; it never decreases."""
        self._epoch = max(self._epoch, int((now_s - self._started_s) // EPOCH_S))
        return self._epoch

    def current_token(self, now_s: float) -> OwnerToken:
        """Return the owner token that new keys must carry now."""
        return OwnerToken(self._position, self._incarnation, self.epoch(now_s))

    def is_owner_of(self, token: OwnerToken) -> bool:
        """Return whether this process incarnation issued the token."""
        return token.position == self._position and token.incarnation == self._incarnation

    def record_key(self, customer: str, token: OwnerToken, caller_text: str) -> RecordKey:
        """Return the key under which the request of a customer is recorded."""
        return (customer, token.epoch, caller_text)

    def begin(self, key: RecordKey, digest: bytes, now_s: float) -> BeginResult:
        """Decide on a request; for RUN, its record is created or reset to received."""
        customer, key_epoch, caller_text = key
        epoch = self.epoch(now_s)
        self._drop_expired(epoch)
        if key_epoch > epoch:
            # This incarnation has not issued such a token, so no request ran under it.
            return BeginResult(BeginAction.OWNER_REQUIRED)
        if key_epoch <= epoch - EPOCHS_KEPT:
            return BeginResult(BeginAction.KEY_EXPIRED)
        records = self._epochs.setdefault(key_epoch, {})
        record = records.get((customer, caller_text))
        if record is None:
            if self._record_count >= self._records_max:
                return BeginResult(BeginAction.TABLE_FULL)
            records[(customer, caller_text)] = _Record(digest)
            self._record_count += 1
            return BeginResult(BeginAction.RUN)
        return self._decide_repeat(record, digest)

    def _decide_repeat(self, record: _Record, digest: bytes) -> BeginResult:
        if record.digest != digest:
            return BeginResult(BeginAction.KEY_REUSED)
        if record.state is RecordState.REFUSED:
            record.state = RecordState.RECEIVED
            return BeginResult(BeginAction.RUN)
        if record.state is RecordState.ANSWERED and record.answer is not None:
            return BeginResult(BeginAction.REPLAY, record.answer)
        if record.state in (RecordState.RECEIVED, RecordState.DISPATCHED):
            return BeginResult(BeginAction.WAIT)
        return BeginResult(BeginAction.OUTCOME_UNKNOWN)

    def mark_dispatched(self, key: RecordKey) -> bool:
        """Record that an attempt starts; return False if the caller must not send it.

        False means that the record expired, ended or was already dispatched.
        """
        record = self._find(key)
        if record is None or record.state is not RecordState.RECEIVED:
            return False
        record.state = RecordState.DISPATCHED
        return True

    def mark_not_run(self, key: RecordKey) -> None:
        """Record that the dispatched attempt certainly did not run; another may be dispatched."""
        record = self._find(key)
        if record is not None and record.state is RecordState.DISPATCHED:
            record.state = RecordState.RECEIVED

    def mark_answered(self, key: RecordKey, answer: StoredAnswer | None) -> None:
        """Record the answer for replay; None if it was too long to store."""
        record = self._find(key)
        if record is not None and record.state is RecordState.DISPATCHED:
            record.state = RecordState.ANSWERED
            record.answer = answer

    def mark_unknown(self, key: RecordKey) -> None:
        """Record that the request may have run but has no answer."""
        record = self._find(key)
        if record is not None and record.state is RecordState.DISPATCHED:
            record.state = RecordState.UNKNOWN

    def mark_refused(self, key: RecordKey) -> None:
        """Record that the request ended without having run; a repeat may run."""
        record = self._find(key)
        if record is not None and record.state is RecordState.RECEIVED:
            record.state = RecordState.REFUSED

    def state(self, key: RecordKey) -> RecordState | None:
        """Return the state of a record; None if it does not exist or has expired."""
        record = self._find(key)
        return None if record is None else record.state

    def _find(self, key: RecordKey) -> _Record | None:
        customer, key_epoch, caller_text = key
        return self._epochs.get(key_epoch, {}).get((customer, caller_text))

    def _drop_expired(self, epoch: int) -> None:
        for expired_epoch in [
            epoch_number for epoch_number in self._epochs if epoch_number <= epoch - EPOCHS_KEPT
        ]:
            self._record_count -= len(self._epochs.pop(expired_epoch))
