"""Keep the C library's allocator from retaining the memory of freed bodies.

Load handled: many bodies that grow at once. The allocator raises its threshold for mapped blocks to
the size of a freed one, up to 32 MiB. Later bodies then share its heap, where each growth copies
and leaves a gap, and the heap keeps its size.
"""

import ctypes

__all__ = ["fix_mapping_threshold"]

# Number of M_MMAP_THRESHOLD in malloc.h of glibc.
_M_MMAP_THRESHOLD = -3
# The threshold at the start of a process. Setting it keeps the allocator from raising it.
THRESHOLD_BYTES = 131_072


def fix_mapping_threshold() -> bool:
    """Map blocks above the threshold one by one; return whether the C library supports this."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, THRESHOLD_BYTES))
