"""How much of its machine's memory a process may hold for others."""

import attrs

from .const import (
    BODIES_SHARE,
    HEADROOM_SHARE,
    MIN_TOTAL_BYTES,
    SMALL_SHARE,
)

__all__ = ["MemoryLimits"]


@attrs.frozen
class MemoryLimits:
    """Bounds in bytes.

    `process` bounds all of the process's memory, `total` all holdings together. Large holdings may use
    `large`, so that the rest stays for small ones; bodies being received may use `bodies` of it, so that
    the answers to those that were taken in have room.
    """

    process: int
    total: int
    large: int
    bodies: int

    @classmethod
    def of(cls, machine_bytes: int, own_bytes: int) -> "MemoryLimits":
        """Return the limits of a process that uses `own_bytes` for itself."""
        total = max(int(machine_bytes * (1 - HEADROOM_SHARE)) - own_bytes, MIN_TOTAL_BYTES)
        process = own_bytes + total
        return cls(process, total, int(total * (1 - SMALL_SHARE)), int(total * BODIES_SHARE))

    def beside(self, embedding_bytes: int) -> "MemoryLimits":
        """Return the same limits for a part of a program that uses so much for the rest."""
        return attrs.evolve(self, process=self.process + embedding_bytes)
