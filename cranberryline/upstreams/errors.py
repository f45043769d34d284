"""Errors of the membership."""

import enum

import attrs

__all__ = ["MembershipReason", "MembershipRefused", "RegistrationProblem"]


class MembershipReason(enum.StrEnum):
    """Why a VM list, one of its rows, or a notice of a process was refused."""

    OLD_VERSION = "old_version"
    BAD_LIST = "bad_list"
    EMPTY_LIST = "empty_list"
    BAD_ROW = "bad_row"
    DUPLICATE_ID = "duplicate_id"
    BAD_NOTICE = "bad_notice"
    SUPERSEDED = "superseded"  # a notice of an incarnation that a newer one has replaced


class RegistrationProblem(enum.StrEnum):
    """Why the store entry of an upstream was rejected."""

    UNREADABLE = "unreadable"
    BAD_ID = "bad_id"
    BAD_FIELD = "bad_field"  # missing, or of another type
    BAD_ADDRESS = "bad_address"
    BAD_SLOTS = "bad_slots"
    BAD_START = "bad_start"  # start time out of range, or missing though it was given before
    BAD_STATE = "bad_state"
    UNKNOWN_SERVICE = "unknown_service"  # not in the configuration read so far
    OLD_START = "old_start"  # of an incarnation that a newer one has replaced


@attrs.frozen
class MembershipRefused:
    """A list or notice that was refused as a whole and changed nothing."""

    reason: MembershipReason
    detail: str = ""
