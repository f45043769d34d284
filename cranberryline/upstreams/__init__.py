"""Membership of entry and upstream VMs, and which of them get new work."""

from .errors import MembershipReason, MembershipRefused
from .membership import Membership
from .model import ListApplied, MemberState, RowRefused

__all__ = [
    "ListApplied",
    "MemberState",
    "Membership",
    "MembershipReason",
    "MembershipRefused",
    "RowRefused",
]
