"""Decide which holder of memory is dropped first when the memory account is full.

Load handled: uploads, heads and answers that together take more than a process may use.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import TypeVar

import attrs

__all__ = ["SMALL_BYTES", "AccountBounds", "BodyStage", "choose_dropped"]

# Requests up to this size are received beside large ones that take all the memory, as far as
# `small_bytes_max` allows.
SMALL_BYTES = 65_536

_Holder = TypeVar("_Holder")


class BodyStage(IntEnum):
    """What the bytes of a holder wait for; see `choose_dropped` for which ones may be dropped."""

    RECEIVING_REQUEST = 0
    IN_FLIGHT_REQUEST = 1
    RECEIVING_ANSWER = 2
    SENDING_ANSWER = 3


@attrs.frozen
class AccountBounds:
    """Bounds of a memory account: of everything, of requests, and of small requests beyond it."""

    bytes_max: int
    request_bytes_max: int
    small_bytes_max: int


def choose_dropped(
    held: Mapping[BodyStage, Mapping[_Holder, int]],
    bounds: AccountBounds,
    request_bytes: int,
    total_bytes: int,
) -> tuple[BodyStage, _Holder] | None:
    """Return the holder to drop next, None if the bounds are kept or nothing may be dropped.

    A request that is not complete has not run, so the largest of them goes first; one in flight is
    never dropped. An answer that waits for its caller is dropped only if nothing else can be.
    """
    chosen = None
    excess_bytes = request_bytes - bounds.request_bytes_max
    if excess_bytes > 0:
        above_bytes = 0 if excess_bytes > bounds.small_bytes_max else SMALL_BYTES
        chosen = _find_largest(held, above_bytes, BodyStage.RECEIVING_REQUEST)
    if chosen is None and total_bytes > bounds.bytes_max:
        chosen = _find_largest(
            held, 0, BodyStage.RECEIVING_REQUEST, BodyStage.RECEIVING_ANSWER
        ) or _find_largest(held, -1, BodyStage.SENDING_ANSWER)
    return chosen


def _find_largest(
    held: Mapping[BodyStage, Mapping[_Holder, int]], above_bytes: int, *stages: BodyStage
) -> tuple[BodyStage, _Holder] | None:
    largest = None
    for stage in stages:
        for holder, size_bytes in held[stage].items():
            if size_bytes > above_bytes:
                largest, above_bytes = (stage, holder), size_bytes
    return largest
