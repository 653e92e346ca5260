"""Name the HTTP headers that callers, this system and backend servers agree on."""

import attrs

__all__ = ["Dialect"]


@attrs.frozen
class Dialect:
    """Lower-case header names; a deployment may use other names than the defaults.

    `load` holds running, waiting, slots and pace (percent of the usual work time) of a server.
    """

    request_id: bytes = b"berylchute-request-id"
    deadline_ms: bytes = b"berylchute-deadline-ms"
    expected_server: bytes = b"berylchute-expected-server"
    load: bytes = b"berylchute-load"
    not_run: bytes = b"berylchute-not-run"
    affinity_cookie: bytes = b"berylchute-affinity"
