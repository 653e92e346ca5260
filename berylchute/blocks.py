"""Look up the site of a client address in sorted arrays of address blocks."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator, Sequence

# inet_pton parses addresses; `ipaddress` takes longer than the time limit of a whole lookup.
from socket import AF_INET, AF_INET6, inet_pton

import attrs

from berylchute.exceptions import ConfigError

__all__ = ["SITES_MAX", "BlockTable"]

# Site numbers are stored in two bytes.
SITES_MAX = 65535
V4_BITS = 32
# Only the network half of an IPv6 address (the first 64 bits) selects a site.
V6_BITS = 64
V4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"


@attrs.frozen
class _Block:
    start: int
    prefix: int
    site: int


class _Blocks:
    """Disjoint blocks of one address family, in three parallel arrays sorted by start address."""

    def __init__(self, bits: int, blocks: Iterable[_Block]) -> None:
        self._bits = bits
        self._starts = array("I" if bits == V4_BITS else "Q")
        self._prefixes = array("B")
        self._sites = array("H")
        ordered = sorted(blocks, key=lambda block: (block.start, block.prefix))
        for block in _split_nested(bits, ordered):
            self._starts.append(block.start)
            self._prefixes.append(block.prefix)
            self._sites.append(block.site)

    def __len__(self) -> int:
        return len(self._starts)

    def size_bytes(self) -> int:
        return sum(
            len(column) * column.itemsize for column in (self._starts, self._prefixes, self._sites)
        )

    def find(self, address: int) -> int:
        """Return the index of the block that contains the address, or -1."""
        index = bisect_right(self._starts, address) - 1
        if index >= 0 and (address - self._starts[index]) >> (self._bits - self._prefixes[index]):
            return -1
        return index

    def site(self, index: int) -> int:
        return self._sites[index]

    def start(self, index: int) -> int:
        return self._starts[index]


def _split_nested(bits: int, ordered: Sequence[_Block]) -> Iterator[_Block]:
    """Split nested blocks into disjoint ones, so that a lookup needs one binary search."""
    open_blocks: list[_Block] = []
    position = 0
    for block in ordered:
        while open_blocks and _block_end(bits, open_blocks[-1]) <= block.start:
            closed = open_blocks.pop()
            yield from _split_into_cidrs(bits, position, _block_end(bits, closed), closed.site)
            position = max(position, _block_end(bits, closed))
        if open_blocks:
            if block.start == open_blocks[-1].start and block.prefix == open_blocks[-1].prefix:
                continue
            yield from _split_into_cidrs(bits, position, block.start, open_blocks[-1].site)
        position = max(position, block.start)
        open_blocks.append(block)
    while open_blocks:
        closed = open_blocks.pop()
        yield from _split_into_cidrs(bits, position, _block_end(bits, closed), closed.site)
        position = max(position, _block_end(bits, closed))


def _block_end(bits: int, block: _Block) -> int:
    return block.start + (1 << (bits - block.prefix))


def _split_into_cidrs(bits: int, start: int, end: int, site: int) -> Iterator[_Block]:
    """Yield the fewest CIDR blocks that cover `start` up to `end`, which is excluded."""
    while start < end:
        size_bits = (end - start).bit_length() - 1
        if start:
            size_bits = min(size_bits, (start & -start).bit_length() - 1)
        yield _Block(start, bits - size_bits, site)
        start += 1 << size_bits


class BlockTable:
    """Longest-prefix match from client addresses to site numbers."""

    def __init__(self, blocks: Iterable[tuple[str, int]]) -> None:
        """Build from (CIDR, site number) pairs; the longest prefix wins.

        Raises ConfigError for an invalid CIDR or an IPv6 prefix longer than 64.
        """
        v4: list[_Block] = []
        v6: list[_Block] = []
        for cidr, site in blocks:
            block, is_v4 = _parse_block(cidr, site)
            (v4 if is_v4 else v6).append(block)
        self._v4 = _Blocks(V4_BITS, v4)
        self._v6 = _Blocks(V6_BITS, v6)

    def __len__(self) -> int:
        """Return the number of disjoint blocks after splitting."""
        return len(self._v4) + len(self._v6)

    def size_bytes(self) -> int:
        """Return the memory size of the arrays in bytes."""
        return self._v4.size_bytes() + self._v6.size_bytes()

    def find_site(self, address: str) -> int | None:
        """Return the site number for an address, or None if no block contains it."""
        blocks, number = self._parse(address)
        index = blocks.find(number)
        return None if index < 0 else blocks.site(index)

    def find_block(self, address: str) -> str:
        """Return a stable id of the block that contains the address, or an empty string."""
        blocks, number = self._parse(address)
        index = blocks.find(number)
        return "" if index < 0 else f"{blocks.start(index):x}"

    def _parse(self, address: str) -> tuple[_Blocks, int]:
        """Return the blocks of the address family and the address as an integer, -1 if invalid."""
        try:
            if ":" not in address:
                return self._v4, int.from_bytes(inet_pton(AF_INET, address), "big")
            packed = inet_pton(AF_INET6, address.partition("%")[0])
        except (OSError, ValueError):
            return self._v4, -1
        if packed.startswith(V4_MAPPED_PREFIX):
            return self._v4, int.from_bytes(packed[12:], "big")
        return self._v6, int.from_bytes(packed[:8], "big")


def _parse_block(cidr: str, site: int) -> tuple[_Block, bool]:
    try:
        network = ipaddress.ip_network(cidr)
    except ValueError as error:
        raise ConfigError(f"client_blocks: {cidr!r}: {error}") from error
    start = int(network.network_address)
    if network.version == 4:
        return _Block(start, network.prefixlen, site), True
    if network.prefixlen > V6_BITS:
        raise ConfigError(f"client_blocks: {cidr!r}: IPv6 prefix is longer than {V6_BITS} bits")
    return _Block(start >> V6_BITS, network.prefixlen, site), False
