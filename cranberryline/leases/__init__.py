"""Leases: at most one node may act at a time; each new holder gets a higher fencing token."""

from .keeper import LeaseKeeper
from .model import Holding, LeaseBook, LeaseRecord

__all__ = ["Holding", "LeaseBook", "LeaseKeeper", "LeaseRecord"]
