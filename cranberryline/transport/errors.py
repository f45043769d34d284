"""Errors of the connections between our own processes."""

import enum

import attrs

__all__ = ["BadFrame", "BadFrameReason", "PeerGone", "PortTaken"]


class BadFrameReason(enum.StrEnum):
    """Why a frame from a peer was dropped."""

    ODD_COUNT = "odd_count"
    UNKNOWN_KIND = "unknown_kind"
    BAD_FIELDS = "bad_fields"
    TOO_LARGE = "too_large"
    NO_HELLO = "no_hello"


@attrs.frozen
class BadFrame:
    """A frame that could not be read; nothing of it takes effect."""

    reason: BadFrameReason
    detail: str = ""


class PeerGone(Exception):  # noqa: N818 - the event, not a fault of ours
    """Raise when a message cannot be handed to a peer any more."""


class PortTaken(OSError):  # noqa: N818 - the event; another process holds the port
    """Raise when the peer port cannot be bound."""
