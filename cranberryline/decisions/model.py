"""Types that several decisions share: priority classes, outcomes and work items.

Times are readings of the local monotonic clock. Work is measured in tokens: those of the prompt
plus those of the expected output. A call to a plain HTTP service counts as one token.
"""

import enum
from datetime import timedelta

import attrs

__all__ = ["AttemptOutcome", "Priority", "RefusalReason", "WorkItem"]


class Priority(enum.IntEnum):
    """Priority classes, the most urgent first."""

    APPLICATION = 0
    TRAINER = 1
    BACKGROUND = 2


class RefusalReason(enum.StrEnum):
    """Reason why a request was rejected before it ran."""

    CALLER_LIMIT = "caller_limit"
    SERVICE_LIMIT = "service_limit"
    QUEUE_WAIT = "queue_wait"  # the estimated wait exceeds the limit of the priority class
    DEADLINE = "deadline"
    EXPIRED = "expired"  # it was queued and could not start in time
    NO_UPSTREAM = "no_upstream"


class AttemptOutcome(enum.StrEnum):
    """What is known about an attempt that returned no answer."""

    NOT_RUN = "not_run"  # confirmed by the process that queued the request
    FAILED = "failed"  # it ran, and the failure is known
    UNKNOWN = "unknown"  # it may have run


@attrs.frozen
class WorkItem:
    """A request that is queued or running; `start_by` is the latest useful start time.

    Within a class, items of a lower `rank` are served first.
    """

    id: int | str
    caller: str
    priority: Priority
    tokens: int
    arrived: timedelta
    start_by: timedelta
    rank: int = 0
