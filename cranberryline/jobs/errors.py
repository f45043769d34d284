"""Errors of calls about batch jobs."""

import enum
from datetime import timedelta

import attrs

__all__ = ["JobProblem", "JobRefused"]


class JobProblem(enum.StrEnum):
    """The reason why a call is refused."""

    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_ITEM = "unknown_item"
    OTHER_OWNER = "job_id_taken"  # a job of another workspace has this id
    UNCERTAIN = "job_not_sure"  # the store is unreachable: the answer is unknown
    NOT_STORED = "job_not_kept"  # the store refused the job: none of it will run
    MAY_BE_STORED = "job_may_be_kept"  # the store did not answer: the job may still run


@attrs.frozen
class JobRefused:
    """A refused call; `retry_after` is the delay before a retry, None if a retry does not help."""

    problem: JobProblem
    retry_after: timedelta | None = None
