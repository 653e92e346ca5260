"""Define every exception of berylchute; each carries a stable code."""

from typing import ClassVar

__all__ = [
    "AnswerInvalid",
    "AnswerLost",
    "BerylchuteError",
    "CommandError",
    "ConfigError",
    "ExchangeError",
    "HistoryGone",
    "NotSent",
    "PeerError",
    "RoutingError",
    "SettingsError",
    "StoreConflict",
    "StoreError",
    "StoreOutcomeUnknown",
    "StoreUnavailable",
]


class BerylchuteError(Exception):
    """Base of all errors raised by berylchute."""

    code: ClassVar[str] = "internal"


class SettingsError(BerylchuteError):
    """Report a wrong field in a process settings file."""

    code = "settings_invalid"


class ConfigError(BerylchuteError):
    """Report a configuration document that cannot be decoded."""

    code = "config_invalid"


class StoreError(BerylchuteError):
    """Report a failed call to the object store."""

    code = "store_error"


class StoreUnavailable(StoreError):
    """Report a call that certainly did not take effect."""

    code = "store_unavailable"


class StoreOutcomeUnknown(StoreError):
    """Report a write whose answer was lost; it may have taken effect."""

    code = "store_outcome_unknown"


class StoreConflict(StoreError):
    """Report a conditional write whose expected version is not the current one.

    `current_version` (0: the object does not exist) and `current_value` are what the store holds.
    """

    code = "store_conflict"

    def __init__(self, message: str, current_version: int = 0, current_value: bytes = b"") -> None:
        super().__init__(message)
        self.current_version = current_version
        self.current_value = current_value


class HistoryGone(StoreError):
    """Report that the store no longer has the changes after a revision."""

    code = "store_history_gone"


class PeerError(BerylchuteError):
    """Report a message from or to a peer that cannot be handled."""

    code = "peer_error"


class RoutingError(BerylchuteError):
    """Report a request for which no backend server may be chosen."""

    code = "no_route"


class ExchangeError(BerylchuteError):
    """Report a failed exchange with a backend server."""

    code = "exchange_failed"


class NotSent(ExchangeError):
    """Report a request of which nothing was sent, so that it has not run."""

    code = "not_sent"


class AnswerLost(ExchangeError):
    """Report a request that was sent and whose answer did not arrive; it may have run."""

    code = "answer_lost"


class AnswerInvalid(ExchangeError):
    """Report bytes that are no answer to the request that was sent; it may have run."""

    code = "answer_invalid"


class CommandError(BerylchuteError):
    """Report a failed operator command."""

    code = "command_failed"
