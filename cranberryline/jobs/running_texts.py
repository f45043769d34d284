"""Texts that this gateway generates, and how many events of them and of their groups are left."""

from datetime import timedelta

import attrs

from cranberryline.decisions.lengths import MeanExcess, TextLengthEstimator

from .events import ItemText
from .groups import group_of
from .state import JobState

__all__ = ["RunningTexts"]

_Key = tuple[str, int]
# How long the longest text of a job stays known; a search passes over all that have no result.
_LONGEST_TTL = timedelta(milliseconds=100)


@attrs.define
class RunningTexts:
    """The texts of items that run on this gateway; None stands for a text that is complete."""

    _lengths: TextLengthEstimator
    _texts: dict[_Key, ItemText | None] = attrs.field(factory=dict)
    _excess: MeanExcess = attrs.field(factory=MeanExcess)
    _by_estimate: dict[str, list[int]] = attrs.field(factory=dict)
    _longest: dict[str, tuple[timedelta, float]] = attrs.field(factory=dict)

    def start(self, state: JobState, index: int, text: ItemText) -> None:
        """Add the text of an item; its events are counted whenever they are asked for."""
        self._texts[state.head.id, index] = text

    def complete(self, state: JobState, index: int) -> None:
        """Record that a text is complete, and learn its length."""
        text = self._texts.get((state.head.id, index))
        if text is not None:
            self._excess.record_completed(len(text.events))
        self._texts[state.head.id, index] = None

    def discard(self, state: JobState, index: int) -> None:
        """Remove the text of an item that does not run here any more."""
        self._texts.pop((state.head.id, index), None)
        if all(job != state.head.id for job, _ in self._texts):
            self._by_estimate.pop(state.head.id, None)

    def events_left(self, state: JobState, index: int) -> float:
        """Return how many events to expect of a text, 0 if it is complete.

        A text that runs elsewhere, or not yet, counts as if it had no event so far.
        """
        if index in state.done:
            return 0.0
        key = (state.head.id, index)
        text = self._texts.get(key)
        if text is None and key in self._texts:
            return 0.0
        events = 0 if text is None else len(text.events)
        told_tokens = state.job.items[index].told_tokens
        left = self._lengths.events_left(told_tokens, events)
        if events and self._lengths.is_overrun(told_tokens, events):
            return max(left, self._excess.events_left(events))
        return left

    def step_events_left(self, state: JobState, index: int, now: timedelta) -> float:
        """Return how many events to expect of the longest text that is wanted with an item's.

        A trainer that waits for all groups of its job goes on when the last of them is complete;
        one that waits for fewer may go on without a group whose texts are long.
        """
        group_count = state.head.group_count
        if group_count is not None and group_count < len(state.groups.sizes):
            return self.group_events_left(state, index)
        known = self._longest.get(state.head.id)
        if known is None or now - known[0] >= _LONGEST_TTL:
            self._longest = {
                job: row for job, row in self._longest.items() if now - row[0] < _LONGEST_TTL
            }
            known = self._longest[state.head.id] = now, self._find_longest(state)
        return max(known[1], self.events_left(state, index))

    def _find_longest(self, state: JobState) -> float:
        """Return the events left of the longest text of a job.

        The texts that do not run here are read in the order of their estimates, so that a job of
        thousands of texts does not cost an estimate of each.
        """
        job = state.head.id
        waiting = self._by_estimate.get(job)
        if waiting is None:
            items = state.job.items
            indexes = range(len(items))
            waiting = sorted(indexes, key=lambda index: items[index].told_tokens, reverse=True)
        waiting = self._by_estimate[job] = [each for each in waiting if each not in state.done]
        here = [index for running, index in self._texts if running == job]
        elsewhere = next((each for each in waiting if (job, each) not in self._texts), None)
        members = here if elsewhere is None else [*here, elsewhere]
        return max((self.events_left(state, member) for member in members), default=0.0)

    def group_events_left(self, state: JobState, index: int) -> float:
        """Return how many events to expect of the longest text of an item's group."""
        members = state.groups.members[group_of(state.head.items[index])]
        return max(self.events_left(state, member) for member in members)
