"""Texts that this gateway generates, and how many events of them and of their groups are left."""

import attrs

from cranberryline.decisions.lengths import TextLengthEstimator

from .events import ItemText
from .groups import group_of
from .state import JobState

__all__ = ["RunningTexts"]

_Key = tuple[str, int]


@attrs.frozen
class RunningTexts:
    """The texts of items that run on this gateway; None stands for a text that is complete."""

    _lengths: TextLengthEstimator
    _texts: dict[_Key, ItemText | None] = attrs.field(factory=dict)

    def start(self, state: JobState, index: int, text: ItemText) -> None:
        """Add the text of an item; its events are counted whenever they are asked for."""
        self._texts[state.head.id, index] = text

    def complete(self, state: JobState, index: int) -> None:
        """Record that a text is complete."""
        self._texts[state.head.id, index] = None

    def discard(self, state: JobState, index: int) -> None:
        """Remove the text of an item that does not run here any more."""
        self._texts.pop((state.head.id, index), None)

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
        return self._lengths.events_left(state.job.items[index].told_tokens, events)

    def group_events_left(self, state: JobState, index: int) -> float:
        """Return how many events to expect of the longest text of an item's group."""
        members = state.groups.members[group_of(state.head.items[index])]
        return max(self.events_left(state, member) for member in members)
