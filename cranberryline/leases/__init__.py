"""Leases: one node at a time may act, with a fencing token that grows with each holder."""

from .keeper import LeaseKeeper
from .model import Holding, LeaseBook, LeaseRecord

__all__ = ["Holding", "LeaseBook", "LeaseKeeper", "LeaseRecord"]
