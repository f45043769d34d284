"""Errors of the membership view."""

import enum

import attrs

__all__ = ["MembershipReason", "MembershipRefused", "RegistrationProblem"]


class MembershipReason(enum.StrEnum):
    """Why a VM list, a row of it, or a notice was refused."""

    OLD_VERSION = "old_version"
    BAD_LIST = "bad_list"
    EMPTY_LIST = "empty_list"
    BAD_ROW = "bad_row"
    DUPLICATE_ID = "duplicate_id"
    BAD_NOTICE = "bad_notice"
    SUPERSEDED = "superseded"  # a notice of a life that a later one has followed


class RegistrationProblem(enum.StrEnum):
    """Why what stands for an upstream was not taken."""

    UNREADABLE = "unreadable"
    BAD_ID = "bad_id"
    BAD_FIELD = "bad_field"  # missing, or of another type
    BAD_ADDRESS = "bad_address"
    BAD_SLOTS = "bad_slots"
    BAD_START = "bad_start"  # out of range, or not told by an upstream that always tells it
    BAD_STATE = "bad_state"
    UNKNOWN_SERVICE = "unknown_service"  # one that no configuration names, so far
    OLD_START = "old_start"  # of a start that a newer one has followed


@attrs.frozen
class MembershipRefused:
    """Something that was refused as a whole and changed nothing."""

    reason: MembershipReason
    detail: str = ""
