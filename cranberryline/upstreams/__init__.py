"""The view of entries and upstreams: who is there, and who gets new work."""

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
