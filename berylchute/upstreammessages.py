"""Define the requests to backend servers and their answers."""

from collections.abc import Callable

import attrs

from berylchute.callermessages import Header

__all__ = ["ServerAnswer", "UpstreamRequest"]


@attrs.frozen
class UpstreamRequest:
    """One request, its head encoded.

    The answer must carry `request_id` in the header `id_header`; an empty id is not checked.
    `is_head` is true for the method HEAD, whose answer has no body. A request that
    `needs_new_connection` shares its connection with no other request. `may_send` is called before
    the first byte is sent, if the request had to wait for a connection, `on_data` whenever bytes
    of the answer arrive.
    """

    request_id: bytes
    id_header: bytes
    is_head: bool
    head: bytes
    body: bytes | bytearray = b""
    needs_new_connection: bool = False
    may_send: Callable[[], bool] | None = None
    on_data: Callable[[], None] | None = None


@attrs.frozen
class ServerAnswer:
    """A complete answer of a backend server; header names keep their case.

    `opened_s` is the time at which its connection was opened.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes | bytearray
    opened_s: float = attrs.field(default=0.0, eq=False)

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of the header `name`, given in lower case; None if absent."""
        return next((value for key, value in self.headers if key.lower() == name), None)
