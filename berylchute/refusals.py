"""Define the refusals that a caller can receive, with their status and problem document."""

from collections.abc import Mapping
from enum import StrEnum
from typing import ClassVar

import attrs
import msgspec

from berylchute.exceptions import RoutingError

__all__ = ["Refusal", "RefusalCode", "RefusedError", "encode_problem"]


class RefusalCode(StrEnum):
    """Codes of refusals; they are part of the problem document and don't change."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KIND = "unknown_kind"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    OWNER_REQUIRED = "owner_required"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    KEY_TABLE_FULL = "key_table_full"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    SHED = "shed"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    SERVER_UNREACHABLE = "server_unreachable"
    SERVER_FAILED = "server_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


_STATUS_AND_TITLE: Mapping[RefusalCode, tuple[int, str]] = {
    RefusalCode.BAD_REQUEST: (400, "The request is malformed"),
    RefusalCode.UNAUTHORIZED: (401, "The request is not authenticated"),
    RefusalCode.FORBIDDEN: (403, "The plan does not include this service"),
    RefusalCode.UNKNOWN_SERVICE: (404, "The service does not exist"),
    RefusalCode.UNKNOWN_KIND: (405, "The service takes no such request"),
    RefusalCode.HEADERS_TOO_LARGE: (431, "The headers are too large"),
    RefusalCode.BODY_TOO_LARGE: (413, "The body is too large"),
    RefusalCode.OWNER_REQUIRED: (428, "The idempotency key needs an owner token"),
    RefusalCode.KEY_EXPIRED: (409, "The idempotency key has expired"),
    RefusalCode.KEY_REUSED: (422, "The idempotency key was used for another request"),
    RefusalCode.KEY_TABLE_FULL: (503, "The host holds too many idempotency keys"),
    RefusalCode.LEAVING: (503, "The host is shutting down"),
    RefusalCode.NOT_READY: (503, "The host has no configuration yet"),
    RefusalCode.NO_ROUTE: (503, "No backend server may be chosen"),
    RefusalCode.QUEUE_FULL: (503, "The service is overloaded"),
    RefusalCode.DEADLINE_UNREACHABLE: (503, "The service is overloaded"),
    RefusalCode.SHED: (503, "The backend servers shed load"),
    RefusalCode.DEADLINE_PASSED: (504, "The deadline passed before the request was sent"),
    RefusalCode.DEADLINE_EXCEEDED: (504, "The deadline passed before the answer arrived"),
    RefusalCode.SERVER_UNREACHABLE: (503, "No backend server accepted the request"),
    RefusalCode.SERVER_FAILED: (502, "The backend server gave no complete answer"),
    RefusalCode.OUTCOME_UNKNOWN: (504, "The outcome of the request is unknown"),
    RefusalCode.INTERNAL: (500, "The host failed"),
}


@attrs.frozen
class Refusal:
    """A refused request; `not_run` is true only if the request certainly did not run."""

    code: RefusalCode
    reason: str
    not_run: bool
    owner: str = ""

    @property
    def status(self) -> int:
        """Return the HTTP status of the code."""
        return _STATUS_AND_TITLE[self.code][0]

    @property
    def title(self) -> str:
        """Return the summary, which depends on the code only."""
        return _STATUS_AND_TITLE[self.code][1]


class RefusedError(RoutingError):
    """Raised where a request is refused; the handler of the request answers with `refusal`."""

    code: ClassVar[str] = "refused"

    def __init__(self, code: RefusalCode, reason: str, *, not_run: bool, owner: str = "") -> None:
        """Create the refusal; `owner` is an owner token that the caller may use."""
        super().__init__(f"{code.value}: {reason}")
        self.refusal = Refusal(code, reason, not_run, owner)


def encode_problem(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as an `application/problem+json` document."""
    document = {
        "type": "about:blank",
        "title": refusal.title,
        "status": refusal.status,
        "code": refusal.code.value,
        "reason": refusal.reason,
        "not_run": refusal.not_run,
        "request_id": request_id,
    }
    if refusal.owner:
        document["owner"] = refusal.owner
    return msgspec.json.encode(document)
