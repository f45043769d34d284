"""Counts what all jobs of a node hold."""

import attrs

__all__ = ["HeldBytes"]


@attrs.define
class HeldBytes:
    """A count of bytes that is a part of another one.

    Changes are passed on to `whole`, which may be exchanged at any time.
    """

    size: int = 0
    whole: "HeldBytes | None" = None

    def add(self, size: int) -> None:
        """Count more bytes, or fewer if `size` is negative."""
        self.size += size
        if self.whole is not None:
            self.whole.add(size)

    def move_to(self, whole: "HeldBytes | None") -> None:
        """Become a part of another count."""
        if self.whole is not None:
            self.whole.add(-self.size)
        self.whole = whole
        if whole is not None:
            whole.add(self.size)
