"""The memory that a process holds for others, and its bounds."""

from .account import Holding, HoldingPhase, MemoryAccount
from .allocator import return_freed_memory
from .body import BodyBuffer
from .limits import MemoryLimits
from .machine import ConnectionShare, connection_limit
from .process import open_account

__all__ = [
    "BodyBuffer",
    "ConnectionShare",
    "Holding",
    "HoldingPhase",
    "MemoryAccount",
    "MemoryLimits",
    "connection_limit",
    "open_account",
    "return_freed_memory",
]
