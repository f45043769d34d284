"""Errors of the trainer's client."""

import enum

import attrs

__all__ = ["ClientError", "ClientReason"]


class ClientReason(enum.StrEnum):
    """Why a call gave nothing."""

    REFUSED = "refused"  # for good: the same call would be refused again
    UNAVAILABLE = "unavailable"  # no entry answered within the time allowed
    NOT_DECLARED = "not_declared"  # `async_declare` comes first


@attrs.frozen
class ClientError:
    """A failed call; `refusal` is the entry's own reason, and `status` its HTTP status."""

    reason: ClientReason
    refusal: str = ""
    detail: str = ""
    status: int = 0
