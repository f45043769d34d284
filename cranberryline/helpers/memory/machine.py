"""What the machine has, and what this process uses of it."""

import enum
import os
import resource
from contextlib import suppress
from pathlib import Path

from .const import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MACHINE_BYTES,
    MEGABYTE,
    OWN_DESCRIPTORS,
)

__all__ = ["ConnectionShare", "connection_limit", "machine_bytes", "resident_bytes"]

_STATM = Path("/proc/self/statm")
_MEMINFO = Path("/proc/meminfo")
_CGROUP_LIMIT = Path("/sys/fs/cgroup/memory.max")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def machine_bytes(memory_mb: int | None) -> int:
    """Return the memory of the machine as the settings give it in MB.

    Without a setting it is that of the smallest machine, or what the kernel allows if that is less.
    """
    if memory_mb is not None:
        return memory_mb * MEGABYTE
    return min(_kernel_limits())


def resident_bytes() -> int | None:
    """Return the anonymous memory of this process, None if the kernel does not tell."""
    try:
        _, resident, shared, *_ = _STATM.read_text().split()
    except (OSError, ValueError):
        return None
    return (int(resident) - int(shared)) * _PAGE_BYTES


class ConnectionShare(float, enum.Enum):
    """Shares of the descriptors that clients may use; the rest is for upstreams and the store."""

    CALLERS = 0.6
    PEERS = 0.2
    ADMIN = 0.05


def connection_limit(max_descriptors: int | None, share: ConnectionShare) -> int:
    """Return how many connections some clients may open; without a number, on the smallest machine."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(max_descriptors or DEFAULT_DESCRIPTORS, soft)
    return max(int((descriptors - OWN_DESCRIPTORS) * share), 1)


def _kernel_limits() -> list[int]:
    limits = [DEFAULT_MACHINE_BYTES]
    # Without a limit the file says "max".
    with suppress(OSError, ValueError):
        limits.append(int(_CGROUP_LIMIT.read_text()))
    with suppress(OSError, ValueError, IndexError):
        limits.append(int(_MEMINFO.read_text().split()[1]) * 1024)
    return limits
