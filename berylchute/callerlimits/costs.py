"""Estimate the memory that a request takes from its lines and bytes.

Load handled: heads of thousands of short lines, which take many times their size as objects.
"""

__all__ = [
    "CONNECTION_BYTES",
    "WAITING_ANSWER_BYTES",
    "cost_incomplete_head",
    "cost_request",
]

# A stored line is a tuple and two objects: 127 bytes (`python -m lab.callercost`), and more with
# the rounding of the allocator.
LINE_BYTES = 200
# A request in flight: its objects, task, timeout, attempts and the connection to its server. 200
# small ones in a process, beside 400 that were refused, took 23 kB each.
REQUEST_BYTES = 24_000
# Copies of the bytes of a head: as read, decoded, and encoded for a server.
REQUEST_COPIES = 3
# A head that is not complete is stored, and its last line may be in the parser, too.
INCOMPLETE_COPIES = 2
# An answer that waits until the caller reads, without its body.
WAITING_ANSWER_BYTES = 4_000
# A connection with its parser, transport and socket object: 600 idle ones took 4.3 kB each. Half of
# the kernel's buffer for unread bytes is added, since few fill theirs at the same time.
CONNECTION_BYTES = 10_000 + 32_768


def cost_incomplete_head(unpacked_lines: int, size_bytes: int) -> int:
    """Return the memory of a head that is partly read; packed lines count by their bytes."""
    return unpacked_lines * LINE_BYTES + INCOMPLETE_COPIES * size_bytes


def cost_request(lines: int, size_bytes: int) -> int:
    """Return the memory of a request in flight, without its body."""
    return REQUEST_BYTES + lines * LINE_BYTES + REQUEST_COPIES * size_bytes
