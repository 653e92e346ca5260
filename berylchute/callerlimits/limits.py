"""Define the limits of what a caller may send and hold, apart from bodies and sizes of heads.

Load handled: untrusted callers that send trailers, header lines, chunks, blank lines or connections
without end.
"""

import attrs

__all__ = ["RequestLimits"]


@attrs.frozen
class RequestLimits:
    """Limits of a caller's requests and connections, in addition to `CallerLimits`.

    Sizes of heads and bodies and the timeouts are part of the configuration (`CallerLimits`). The
    defaults here are such that no request within those limits reaches them.
    """

    # Shortest lines have 4 bytes: covers heads of 65,536 bytes.
    head_lines_max: int = 16_384
    # The size of the head is the lower limit unless it is configured above this.
    request_line_bytes_max: int = 65_536
    trailer_bytes_max: int = 16_384
    trailer_lines_max: int = 4_096
    # Bytes of chunk sizes, extensions and trailers of one body, and the part of the size of the
    # body that is added: a chunk of 20 bytes has 6 beside them, longer ones relatively fewer.
    chunk_overhead_bytes_max: int = 65_536
    chunk_overhead_ratio_max: float = 0.3
    # Bytes of blank lines before a request line. Some clients send one line after a body.
    blank_bytes_max: int = 1_024
    # `Expect` lines of one request that get an interim answer.
    interim_answers_max: int = 1
    # Bytes and parsed lines, chunks and requests of one connection in one turn of the event loop.
    turn_bytes_max: int = 65_536
    turn_events_max: int = 1_024
    # Buffer of the kernel for bytes that are not read yet, which count as memory of the process on
    # the platform; the kernel doubles the value. Enough for 64 MB a second within a region.
    receive_buffer_bytes: int = 65_536
    # Bytes in the kernel that are not sent yet since a caller does not read.
    unsent_bytes_max: int = 32_768
