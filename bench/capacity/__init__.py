"""Slopes from which docs/CAPACITY.md works out the size to design for."""

from .command import main

__all__ = ["main"]
