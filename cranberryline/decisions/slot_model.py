"""Types that the decisions about shared engine slots have in common.

Times are readings of one process's monotonic clock, rates are events per second of a single text.
"""

import enum
from collections.abc import Hashable, Mapping
from datetime import timedelta

import attrs

__all__ = ["EngineState", "Placement", "RunEnd", "RunningText", "TextDemand"]


class RunEnd(enum.StrEnum):
    """How the use of a granted slot ended."""

    DONE = "done"  # the engine ran the text, or a part of it, without a fault
    REJECTED = "rejected"  # the engine is full or loads the text's model; it did not run the text
    FAILED = "failed"  # the engine did not answer, broke off, or was silent
    UNUSED = "unused"  # nothing was sent


@attrs.frozen
class TextDemand:
    """A text that waits for a slot.

    `trainer` is whose share the slot counts to, and `weight` the size of that share; texts of a
    lower `rank` come first. `due` is when its group is wanted. `events_left` are expected of this
    text, `group_events_left` of the longest incomplete text that is wanted together with it.
    `avoid` are engines to use only if there is no other, `connected` those with an idle connection.
    `gateway` is the one that asks, `workspace` the trainer's, empty if unknown.
    """

    key: Hashable
    trainer: str
    due: timedelta
    arrived: timedelta
    events_left: float
    group_events_left: float
    model: str = ""
    min_version: int | None = None
    rank: int = 0
    weight: float = 1.0
    avoid: frozenset[str] = frozenset()
    connected: frozenset[str] = frozenset()
    gateway: str = ""
    workspace: str = ""


@attrs.frozen
class RunningText:
    """A text that uses a slot of `engine`; `since` is when the slot was granted."""

    key: Hashable
    trainer: str
    engine: str
    since: timedelta
    due: timedelta
    events_left: float
    group_events_left: float
    model: str = ""
    min_version: int | None = None
    workspace: str = ""


@attrs.frozen
class EngineState:
    """An engine that accepts texts.

    `free` is the number of slots that may be granted. `events_per_second` is its speed for a single
    text, 0 if unknown. `versions` is what it serves by model, without the models that it has just
    rejected texts of.
    """

    id: str
    slots: int
    free: int
    versions: Mapping[str, int]
    events_per_second: float = 0.0
    data_center: str = ""

    def serves(self, model: str, min_version: int | None) -> bool:
        """Return whether it may generate a text of a model at a version or a newer one."""
        if min_version is None:
            return True
        version = self.versions.get(model)
        return version is not None and version >= min_version


@attrs.frozen
class Placement:
    """The engine on which a text gets a slot."""

    key: Hashable
    engine: str
