"""Estimate the memory that a request takes from its lines and bytes.

Load handled: heads of thousands of short lines, which take many times their size as objects.
"""

__all__ = [
    "CONNECTION_BYTES",
    "WAITING_ANSWER_BYTES",
    "cost_incomplete_head",
    "cost_request",
]

# Measured by `python -m lab.callercost`, with the allocator's rounding: a stored line is a tuple
# and two objects.
LINE_BYTES = 200
# A request in flight: its objects, task, timeout and attempts.
REQUEST_BYTES = 12_000
# Copies of the bytes of a head: as read, decoded, and encoded for a server.
REQUEST_COPIES = 3
# A head that is not complete is stored, and its last line may be in the parser, too.
INCOMPLETE_COPIES = 2
# An answer that waits until the caller reads, without its body.
WAITING_ANSWER_BYTES = 4_000
# A connection with its parser, transport and socket object takes 8 kB; half of the kernel's buffer
# for unread bytes is added, since few connections fill theirs at the same time.
CONNECTION_BYTES = 10_000 + 32_768


def cost_incomplete_head(unpacked_lines: int, size_bytes: int) -> int:
    """Return the memory of a head that is partly read; packed lines count by their bytes."""
    return unpacked_lines * LINE_BYTES + INCOMPLETE_COPIES * size_bytes


def cost_request(lines: int, size_bytes: int) -> int:
    """Return the memory of a request in flight, without its body."""
    return REQUEST_BYTES + lines * LINE_BYTES + REQUEST_COPIES * size_bytes
