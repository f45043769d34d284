"""Where the attempts at a step's samples run and failed, so that the next one goes elsewhere."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

import attrs

from cranberryline.decisions.excluded_upstreams import next_excluded

from .model import SampleId

__all__ = ["Attempt", "TriedUpstreams"]


@attrs.define(eq=False)
class Attempt:
    """One attempt in the making; `started` is monotonic, `upstream` empty until one is chosen."""

    sample_id: SampleId
    started: timedelta
    task: asyncio.Task[None]
    upstream: str = ""
    scoring: bool = False


class TriedUpstreams:
    """The upstreams that each unfinished sample of a step should avoid.

    Without the memory a sample that its engine spoiled would follow its prompt's prefix back there:
    an engine whose swap failed serves on for many seconds and names no version, and the trainer
    stands before a sample that idle engines could make (12 attempts in 20 s, all at one engine;
    counted in the engines' journals of the failure test `swaps_fail`). It is enough because
    upstreams take turns: whatever spoils samples, every other one is asked before the same again.
    """

    def __init__(self) -> None:
        self._failed: dict[SampleId, frozenset[str]] = {}

    def note_failed(self, attempt: Attempt) -> None:
        """Remember where an attempt failed; one that was never sent says nothing."""
        if attempt.upstream:
            failed = self._failed.get(attempt.sample_id, frozenset())
            self._failed[attempt.sample_id] = next_excluded(failed, attempt.upstream)

    def forget(self, sample_id: SampleId) -> None:
        """Drop what is known of a finished sample; made again later, it may go anywhere."""
        self._failed.pop(sample_id, None)

    def avoid(self, sample_id: SampleId, running: Iterable[Attempt]) -> frozenset[str]:
        """Return the upstreams where the sample failed in this round, and where it runs."""
        upstreams = {attempt.upstream for attempt in running if attempt.sample_id == sample_id}
        return self._failed.get(sample_id, frozenset()) | (upstreams - {""})
