"""What a text needs of an engine's slot, and the slot that it is granted."""

import abc
from collections.abc import Callable, Mapping
from datetime import timedelta

import attrs

from cranberryline.decisions.slot_model import RunEnd

__all__ = ["EngineSlots", "NoSlotSharing", "SlotGrant", "SlotNeed", "SlotSource"]


@attrs.frozen
class EngineSlots:
    """An engine that accepts texts, as this gateway knows it; `versions` is by model."""

    id: str
    data_center: str
    slots: int
    versions: Mapping[str, int]


@attrs.frozen(eq=False)
class SlotNeed:
    """A text that needs a slot of an engine; see `TextDemand` for the fields.

    `due` is on the monotonic clock. The two functions are called whenever the keeper is told of the
    text, while it waits and while it runs. `may_move` returns whether a running text may be stopped
    and go on at another engine. `prompt` is the same for texts that share a prompt.
    """

    service: str
    trainer: str
    due: timedelta
    events_left: Callable[[], float]
    group_events_left: Callable[[], float]
    model: str = ""
    min_version: int | None = None
    rank: int = 0
    avoid: frozenset[str] = frozenset()
    prompt: str = ""
    may_move: Callable[[], bool] = lambda: False
    workspace: str = ""


class SlotGrant(abc.ABC):
    """A slot of `upstream` that one text may use until it releases it, exactly once."""

    upstream: str

    @property
    @abc.abstractmethod
    def move_to(self) -> str:
        """Return another upstream with a slot for this text, empty if it should stay."""

    def record_sent(self) -> None:
        """Record that a request for the text is on its way to the upstream."""
        return

    @abc.abstractmethod
    def release(self, end: RunEnd) -> None:
        """Release the slot; a slot that the text should move to is released, too."""

    @abc.abstractmethod
    def move(self) -> "SlotGrant":
        """Release the slot, and return the grant of the one at `move_to`; itself if it is empty."""


class SlotSource(abc.ABC):
    """Grants slots of engines that several gateways share."""

    def is_shared(self, service: str) -> bool:
        """Return whether slots of a service may be granted, so that asking for one is worth it."""
        return True

    @abc.abstractmethod
    async def async_acquire(self, need: SlotNeed) -> SlotGrant | None:
        """Wait for a slot; None if this gateway has to choose an engine by itself.

        A caller that is cancelled while it waits holds nothing.
        """

    @abc.abstractmethod
    def record_unshared(self, need: SlotNeed, upstream: str) -> SlotGrant:
        """Record that a text uses a slot that this gateway chose by itself."""


class _UnsharedSlot(SlotGrant):
    def __init__(self, upstream: str) -> None:
        self.upstream = upstream

    @property
    def move_to(self) -> str:
        return ""

    def release(self, end: RunEnd) -> None:
        return

    def move(self) -> SlotGrant:
        return self


class NoSlotSharing(SlotSource):
    """Leaves every choice of an engine to this gateway."""

    def is_shared(self, service: str) -> bool:
        """Return False."""
        return False

    async def async_acquire(self, need: SlotNeed) -> SlotGrant | None:
        """Return None at once."""
        return None

    def record_unshared(self, need: SlotNeed, upstream: str) -> SlotGrant:
        """Return a grant that records nothing."""
        return _UnsharedSlot(upstream)
