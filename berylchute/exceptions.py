"""Shared exceptions; each class has a stable error code."""

from typing import ClassVar

__all__ = [
    "AnswerDropped",
    "AnswerInvalid",
    "AnswerLost",
    "AnswerTooLong",
    "BerylchuteError",
    "CommandError",
    "ConfigError",
    "ExchangeError",
    "HistoryGone",
    "ListenError",
    "NoConnectionLeft",
    "NotSent",
    "PeerError",
    "RoutingError",
    "SendWithdrawn",
    "SettingsError",
    "StoreConflict",
    "StoreError",
    "StoreOutcomeUnknown",
    "StoreUnavailable",
    "WatchCut",
    "first_error",
]


class BerylchuteError(Exception):
    """Base class of all errors raised by berylchute."""

    code: ClassVar[str] = "internal"


class SettingsError(BerylchuteError):
    """A field of a settings file is invalid."""

    code = "settings_invalid"


class ConfigError(BerylchuteError):
    """A configuration document is invalid."""

    code = "config_invalid"


class StoreError(BerylchuteError):
    """A call to the object store failed."""

    code = "store_error"


class StoreUnavailable(StoreError):
    """The call had no effect; it is safe to retry."""

    code = "store_unavailable"


class StoreOutcomeUnknown(StoreError):
    """The answer to a write was lost; the write may have taken effect."""

    code = "store_outcome_unknown"


class StoreConflict(StoreError):
    """The expected version of a conditional write is not the current one.

    `current_version` (0: the object does not exist) and `current_value` describe the stored object.
    """

    code = "store_conflict"

    def __init__(self, message: str, current_version: int = 0, current_value: bytes = b"") -> None:
        super().__init__(message)
        self.current_version = current_version
        self.current_value = current_value


class WatchCut(StoreError):
    """The store ended a watch that it had accepted; it can be begun again at once."""

    code = "store_watch_cut"


class HistoryGone(StoreError):
    """The store no longer has the changes after the requested revision."""

    code = "store_history_gone"


class ListenError(BerylchuteError):
    """An address cannot be listened on."""

    code = "cannot_listen"


class PeerError(BerylchuteError):
    """A message from or to a peer cannot be processed."""

    code = "peer_error"


class RoutingError(BerylchuteError):
    """No backend server may be selected for a request."""

    code = "no_route"


class ExchangeError(BerylchuteError):
    """An exchange with a backend server failed."""

    code = "exchange_failed"


class NotSent(ExchangeError):
    """No byte of the request was sent, so it has not run and is safe to retry."""

    code = "not_sent"


class SendWithdrawn(NotSent):
    """The configuration changed before a byte was sent; the server has not failed."""

    code = "send_withdrawn"


class NoConnectionLeft(NotSent):
    """No more connections may be opened from here, which is no failure of the server."""


class AnswerLost(ExchangeError):
    """The request was sent and no complete answer arrived; it may have run."""

    code = "answer_lost"


class AnswerDropped(AnswerLost):
    """A proper answer was given up for lack of memory here; the request may have run."""

    code = "answer_dropped"


class AnswerInvalid(ExchangeError):
    """The bytes received do not answer the request; it may have run."""

    code = "answer_invalid"


class AnswerTooLong(AnswerInvalid):
    """The answer exceeds a limit of its size; the request may have run."""


class CommandError(BerylchuteError):
    """An operator command failed."""

    code = "command_failed"


def first_error(error: BaseException) -> BaseException:
    """Return the first error in a group of any depth, or the error itself."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
