"""What the parts that run an item work with."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import attrs

from cranberryline.decisions.hedging import HedgeBudget
from cranberryline.decisions.lengths import TextLengths
from cranberryline.decisions.moving import EnginePaces
from cranberryline.decisions.turned_away import TurnedAway
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.routes import RouteBook
from cranberryline.upstreams.versions import UpstreamVersions

from .knowledge import JobKnowledge
from .model import Item, ItemResult
from .ports import EdgeFormat
from .scoring import ScoringPlaces
from .texts import KeptText

__all__ = ["ItemTools"]


@attrs.define
class ItemTools:
    """What running an item takes."""

    routes: RouteBook
    dispatcher: Dispatcher
    edge: EdgeFormat
    versions: UpstreamVersions
    clock: Clock
    metrics: Metrics
    rng: Random
    scoring: ScoringPlaces
    kept: Callable[[Item], ItemResult | None]
    knowledge: JobKnowledge
    begun: Callable[[Item], KeptText | None] = lambda _item: None
    hedges: HedgeBudget = attrs.field(factory=HedgeBudget)
    heard: dict[str, timedelta] = attrs.field(factory=dict)
    turned_away: TurnedAway = attrs.field(factory=TurnedAway)
    lengths: TextLengths = attrs.field(factory=TextLengths)
    paces: EnginePaces = attrs.field(factory=EnginePaces)
