"""What the decisions share: classes of work, and a piece of work as they see it.

Times are readings of the monotonic clock of the process that decides. Work is counted in tokens,
prompt and expected output; a call to a plain service counts as one token.
"""

import enum
from datetime import timedelta

import attrs

__all__ = ["AttemptOutcome", "Priority", "RefusalReason", "WorkItem"]


class Priority(enum.IntEnum):
    """The classes of work, most urgent first."""

    APPLICATION = 0
    TRAINER = 1
    BACKGROUND = 2


class RefusalReason(enum.StrEnum):
    """Why a request was refused before it ran."""

    CALLER_LIMIT = "caller_limit"
    SERVICE_LIMIT = "service_limit"
    QUEUE_WAIT = "queue_wait"
    DEADLINE = "deadline"
    EXPIRED = "expired"
    NO_UPSTREAM = "no_upstream"


class AttemptOutcome(enum.StrEnum):
    """What is known of an attempt that brought no answer."""

    NOT_RUN = "not_run"  # proved by the process that held it
    FAILED = "failed"  # it ran, and its failure is known
    UNKNOWN = "unknown"  # it may have run


@attrs.frozen
class WorkItem:
    """One request that waits or runs; `start_by` is the latest start that is of use."""

    id: int | str
    caller: str
    priority: Priority
    tokens: int
    arrived: timedelta
    start_by: timedelta
