"""Attempts to generate samples, and the upstreams that failed to generate them."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

import attrs

from cranberryline.decisions.excluded_upstreams import next_excluded

from .model import SampleId

__all__ = ["Attempt", "FailedUpstreams"]


@attrs.define(eq=False)
class Attempt:
    """A running attempt; `started` is a monotonic time, `upstream` is empty until selected."""

    sample_id: SampleId
    started: timedelta
    task: asyncio.Task[None]
    upstream: str = ""
    scoring: bool = False


class FailedUpstreams:
    """The upstreams to exclude when an unfinished sample of a step is attempted again.

    Prefix affinity would otherwise select the same upstream each time. An engine whose swap failed
    can go on serving without weight versions for many seconds, and the trainer would wait for a
    sample that idle engines could generate (12 attempts at one engine in 20 s in the failure test
    `swaps_fail`). Every other upstream is tried before one is tried again.
    """

    def __init__(self) -> None:
        self._failed: dict[SampleId, frozenset[str]] = {}

    def record_failure(self, attempt: Attempt) -> None:
        """Record the upstream of a failed attempt, unless it failed before one was selected."""
        if attempt.upstream:
            failed = self._failed.get(attempt.sample_id, frozenset())
            self._failed[attempt.sample_id] = next_excluded(failed, attempt.upstream)

    def remove(self, sample_id: SampleId) -> None:
        """Remove the failures of a finished sample; they don't apply if it is generated again."""
        self._failed.pop(sample_id, None)

    def excluded_for(self, sample_id: SampleId, running: Iterable[Attempt]) -> frozenset[str]:
        """Return the upstreams where the sample failed in the current round or is running."""
        upstreams = {attempt.upstream for attempt in running if attempt.sample_id == sample_id}
        return self._failed.get(sample_id, frozenset()) | (upstreams - {""})
