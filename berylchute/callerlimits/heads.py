"""Store the header lines of requests.

Load handled: thousands of short lines in heads that are left open on many connections. An object
for each line takes some 200 bytes.
"""

__all__ = ["UNPACKED_LINES_MAX", "HeaderLines"]

# More lines than ordinary requests have.
UNPACKED_LINES_MAX = 64


class HeaderLines:
    """The lines of one head; all but the last ones are packed into one buffer.

    Names and values contain no line feed: the parser refuses one.
    """

    __slots__ = ("_packed", "_packed_lines", "unpacked")

    def __init__(self) -> None:
        self.unpacked: list[tuple[bytes, bytes]] = []
        self._packed = bytearray()
        self._packed_lines = 0

    def __len__(self) -> int:
        return self._packed_lines + len(self.unpacked)

    def pack(self) -> None:
        """Move all lines into the buffer."""
        for name, value in self.unpacked:
            self._packed += b"%b\n%b\n" % (name, value)
        self._packed_lines += len(self.unpacked)
        self.unpacked = []

    def to_list(self) -> list[tuple[bytes, bytes]]:
        """Return all lines in their order."""
        if not self._packed_lines:
            return self.unpacked
        parts = bytes(self._packed).split(b"\n")
        return [*zip(parts[:-1:2], parts[1::2], strict=True), *self.unpacked]

    def clear(self) -> None:
        """Drop all lines; a list that was returned stays as it is."""
        self.unpacked = []
        if self._packed_lines:
            self._packed = bytearray()
            self._packed_lines = 0
