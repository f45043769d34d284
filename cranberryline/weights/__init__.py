"""Weight swaps of one engine: what was ordered, and what it truly serves."""

from .errors import SwapTrouble
from .model import SwapOrder
from .swap import SwapState

__all__ = ["SwapOrder", "SwapState", "SwapTrouble"]
