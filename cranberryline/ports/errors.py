"""Errors of the platform's services, as the rest of the system sees them."""

import enum

import attrs

__all__ = ["PlatformError", "PlatformReason", "UpstreamCut"]


class PlatformReason(enum.StrEnum):
    """Why a call to the platform or an upstream failed."""

    REFUSED = "refused"  # it answered, with a refusal of its own
    RATE_LIMITED = "rate_limited"
    STALE_FENCE = "stale_fence"
    UNREACHABLE = "unreachable"  # no connection was made, so nothing was sent
    TIMEOUT = "timeout"
    CUT = "cut"  # the connection ended before the answer did
    BAD_ANSWER = "bad_answer"
    WITHHELD = "withheld"  # the sender no longer wanted it sent once a connection was there
    START_OVER = "start_over"  # the start that was asked for is over; another may be there


@attrs.frozen
class PlatformError:
    """A failed call; `may_have_run` is False only where nothing can have reached the service."""

    reason: PlatformReason
    detail: str = ""
    status: int = 0
    may_have_run: bool = True
    retry_after_s: float | None = None


class UpstreamCut(Exception):  # noqa: N818 - named for the event, like asyncio.IncompleteReadError
    """Raise when an upstream's body ended before its own declared end."""
