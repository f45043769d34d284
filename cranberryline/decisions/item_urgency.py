"""How urgent an item is at its engine, by the length that its text is expected to have."""

from bisect import bisect_left
from collections.abc import Sequence
from datetime import timedelta

__all__ = ["DEFAULT_URGENCY", "item_urgency"]

# What an engine assumes for a request that names none; lower is more urgent.
DEFAULT_URGENCY = 5
# Share of a job's items whose texts are expected to be shorter, and the urgency from there on.
_URGENCY_BY_SHARE = ((0.9, 2), (0.75, 3), (0.5, 4))
# A job of this age has used up the time that a short wait may take.
_OLD_JOB = timedelta(seconds=3)


def item_urgency(expected: int, expected_of_job: Sequence[int], age: timedelta) -> int:
    """Return the urgency of an item of a job that was submitted `age` ago.

    `expected` is the expected length of its text, 0 if unknown, and `expected_of_job` the sorted
    lengths of all items of the job.

    Pattern of load: several trainers submit their steps at the same moment, with more items than
    the engines have slots. A step is complete with its longest texts, which take most of the time
    that it has, while the others finish within a fraction of it. Served in the order of arrival,
    long texts wait behind short ones, and the step is late by that wait. An engine lets the more
    urgent ones go first; a short text that waits or is preempted costs a few prompt tokens.
    """
    urgency = DEFAULT_URGENCY
    if expected > 0 and expected_of_job:
        shorter = bisect_left(expected_of_job, expected) / len(expected_of_job)
        urgency = next(
            (value for share, value in _URGENCY_BY_SHARE if shorter >= share), DEFAULT_URGENCY
        )
    return urgency - (age >= _OLD_JOB)
