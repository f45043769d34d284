"""Makes the C library return large freed blocks to the kernel."""

import ctypes

__all__ = ["return_freed_memory"]

_M_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 128 * 1024


def return_freed_memory() -> None:
    """Map each large block apart, so that freeing it returns its memory.

    glibc raises its threshold to the largest block ever freed. From then on bodies come from the heap,
    where a small block behind a freed body keeps the body's memory in the process.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
