"""Errors and rejection reasons for samples."""

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
    """Why a cursor is rejected."""

    MALFORMED = "cursor_malformed"
    UNKNOWN_VERSION = "cursor_unknown_version"
    OTHER_STEP = "cursor_other_step"


@attrs.frozen
class CursorError:
    """A cursor that is invalid or belongs to another step."""

    reason: CursorReason
    detail: str = ""


class DiscardReason(enum.StrEnum):
    """Why the result of an attempt is discarded instead of delivered."""

    VERSION_MISSING = "version_missing"
    VERSION_INVALID = "version_invalid"
    TOKENS_INVALID = "tokens_invalid"
    TRUNCATED = "cut"
    MALFORMED = "malformed"
    STALE = "stale"
    FAILED = "failed"


@attrs.frozen
class AttributionError:
    """An engine response whose text can't be attributed to weight versions."""

    reason: DiscardReason
    detail: str = ""


@attrs.frozen
class DeclarationError:
    """The first invalid field of a step declaration; `detail` says what the field allows."""

    field: str
    detail: str


class StepRefusal(enum.StrEnum):
    """Why the declaration of a step is rejected."""

    STEP_DIFFERS = "step_differs"  # declared before with other groups or another service
    TOO_MANY_STEPS = "too_many_steps"
    STOPPING = "stopping"
