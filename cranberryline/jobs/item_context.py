"""Shared dependencies and state of the classes that run items."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

import attrs

from cranberryline.decisions.hedging import HedgeBudget
from cranberryline.decisions.lengths import TextLengthEstimator
from cranberryline.decisions.moving import EngineRates
from cranberryline.decisions.upstream_cooldown import UpstreamCooldowns
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.routes import ActiveRoutes
from cranberryline.slots import NoSlotSharing, SlotSource
from cranberryline.upstreams.versions import UpstreamVersions

from .freshness import JobFreshness
from .model import Item, ItemResult
from .partial_texts import PartialText
from .ports import EdgeFormat
from .running_texts import RunningTexts
from .scoring import ScoringSlots
from .state import JobState
from .text_memory import TextMemory

__all__ = ["ItemContext", "async_confirm_always", "async_have_all_routes"]


async def _async_read_nothing(_state: JobState) -> None:
    """Default for `async_read_texts`; reads nothing."""


async def async_confirm_always() -> bool:
    """Default for `async_confirm_routes`; the routes do not change."""
    return True


async def async_have_all_routes(_moment: timedelta) -> bool:
    """Default for `async_have_routes_since`; the routes do not change."""
    return True


@attrs.define
class ItemContext:
    """Dependencies of `ItemRun`, and the state that all runs of this node share."""

    routes: ActiveRoutes
    dispatcher: Dispatcher
    edge: EdgeFormat
    versions: UpstreamVersions
    clock: Clock
    metrics: Metrics
    rng: Random
    scoring_slots: ScoringSlots
    # Returns the result of the same item in any known job of a workspace, if it is completed.
    find_result: Callable[[Item, str], ItemResult | None]
    freshness: JobFreshness
    # Returns the longest stored partial text of the same item in any known job of a workspace.
    find_partial_text: Callable[[Item, str], PartialText | None] = lambda _item, _workspace: None
    # Reads the stored partial texts of a job from the log.
    async_read_texts: Callable[[JobState], Awaitable[None]] = _async_read_nothing
    async_confirm_routes: Callable[[], Awaitable[bool]] = async_confirm_always
    # Returns whether the active routes have every change before a monotonic time.
    async_have_routes_since: Callable[[timedelta], Awaitable[bool]] = async_have_all_routes
    hedge_budget: HedgeBudget = attrs.field(factory=HedgeBudget)
    # Monotonic time of the last byte from each upstream.
    last_received_at: dict[str, timedelta] = attrs.field(factory=dict)
    rejecting_upstreams: UpstreamCooldowns = attrs.field(factory=UpstreamCooldowns)
    lengths: TextLengthEstimator = attrs.field(factory=TextLengthEstimator)
    paces: EngineRates = attrs.field(factory=EngineRates)
    slots: SlotSource = attrs.field(factory=NoSlotSharing)
    memory: TextMemory = attrs.field(factory=TextMemory)
    texts: RunningTexts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Estimate the running texts by the lengths of the completed ones."""
        self.texts = RunningTexts(self.lengths)
