"""Track the weight versions ordered from one engine and the version it reports."""

from .errors import SwapProblem
from .model import SwapOrder
from .swap import SwapState

__all__ = ["SwapOrder", "SwapProblem", "SwapState"]
