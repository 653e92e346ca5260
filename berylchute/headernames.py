"""Name the HTTP headers exchanged with callers and backend servers."""

import attrs

__all__ = ["HeaderNames"]


@attrs.frozen
class HeaderNames:
    """Lower-case header names; a deployment may replace the defaults.

    `server_load` is sent by servers. Its value is the number of running requests, of waiting
    requests and of slots, and optionally the pace: the work time in percent of the usual one. They
    are separated by commas. `server_limit` is the number of requests per second that a server
    accepts from all members together while it sends the header. `server_leaving` is 1 in the
    answers of a server that accepts no new requests since it leaves. `organisation` is the name of
    the organisation whose key a request has, for servers; what a caller sends in it is dropped.
    """

    request_id: bytes = b"berylchute-request-id"
    deadline_ms: bytes = b"berylchute-deadline-ms"
    expected_server: bytes = b"berylchute-expected-server"
    server_load: bytes = b"berylchute-load"
    server_limit: bytes = b"berylchute-limit"
    server_leaving: bytes = b"berylchute-leaving"
    not_run: bytes = b"berylchute-not-run"
    affinity_cookie: bytes = b"berylchute-affinity"
    organisation: bytes = b"berylchute-organisation"
