"""Errors of samples."""

import enum

import attrs

__all__ = [
    "AttributionError",
    "CursorError",
    "CursorReason",
    "DeclarationError",
    "DiscardReason",
    "StepRefusal",
]


class CursorReason(enum.StrEnum):
    """Why a cursor is not accepted."""

    MALFORMED = "cursor_malformed"
    UNKNOWN_VERSION = "cursor_unknown_version"
    OTHER_STEP = "cursor_other_step"


@attrs.frozen
class CursorError:
    """A cursor that does not belong to this step, or is no cursor."""

    reason: CursorReason
    detail: str = ""


class DiscardReason(enum.StrEnum):
    """Why a finished or broken sample is not delivered."""

    VERSION_MISSING = "version_missing"
    VERSION_INVALID = "version_invalid"
    TOKENS_INVALID = "tokens_invalid"
    CUT = "cut"
    MALFORMED = "malformed"
    STALE = "stale"
    FAILED = "failed"


@attrs.frozen
class AttributionError:
    """An engine's answer whose text can't be attributed to weight versions."""

    reason: DiscardReason
    detail: str = ""


@attrs.frozen
class DeclarationError:
    """A declaration of a step that breaks a rule, by the field and what is allowed."""

    field: str
    detail: str


class StepRefusal(enum.StrEnum):
    """Why a declared step is not taken in."""

    STEP_DIFFERS = "step_differs"
    TOO_MANY_STEPS = "too_many_steps"
    STOPPING = "stopping"
