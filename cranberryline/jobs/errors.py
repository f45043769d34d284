"""Why a call about a batch job is not answered as asked."""

import enum
from datetime import timedelta

import attrs

__all__ = ["JobProblem", "JobRefused"]


class JobProblem(enum.StrEnum):
    """What stands in the way."""

    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_ITEM = "unknown_item"
    NOT_SURE = "job_not_sure"  # the store cannot be asked, so nothing can be ruled out
    NOT_KEPT = "job_not_kept"  # the store refused it: nothing of it will run
    MAY_BE_KEPT = "job_may_be_kept"  # no answer from the store: it may yet run


@attrs.frozen
class JobRefused:
    """A call that is not answered as asked; `retry_after` says when to try again, if that helps."""

    problem: JobProblem
    retry_after: timedelta | None = None
