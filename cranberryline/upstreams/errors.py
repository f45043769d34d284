"""Errors of the membership view."""

import enum

import attrs

__all__ = ["MembershipReason", "MembershipRefused"]


class MembershipReason(enum.StrEnum):
    """Why a VM list, a row of it, or a notice was refused."""

    OLD_VERSION = "old_version"
    BAD_LIST = "bad_list"
    EMPTY_LIST = "empty_list"
    BAD_ROW = "bad_row"
    DUPLICATE_ID = "duplicate_id"
    BAD_NOTICE = "bad_notice"
    SUPERSEDED = "superseded"  # a notice of a life that a later one has followed


@attrs.frozen
class MembershipRefused:
    """Something that was refused as a whole and changed nothing."""

    reason: MembershipReason
    detail: str = ""
