"""A node that runs texts with the product's decisions."""

import abc
from collections.abc import Sequence
from datetime import timedelta
from random import Random

import attrs

from bench.model.simulation import Simulation
from cranberryline.decisions import RouteRequest, RoutingPolicy, UpstreamView
from cranberryline.decisions.excluded_upstreams import next_excluded
from cranberryline.decisions.lengths import TextLengthEstimator
from cranberryline.decisions.moving import MAX_MOVES, EngineRates, should_move
from cranberryline.decisions.rate_meter import RateMeter
from cranberryline.decisions.upstream_cooldown import UpstreamCooldowns

from .engines import Engine, Run
from .model import Figures, Policy, Text

__all__ = ["Node", "TextOwner"]

_WATCH = 0.25
_PAUSE = 0.04
# What a job tells of every item alike: the prompt and the longest text that it may have.
_MOST_TOKENS = 10_000
_ROUTING = RoutingPolicy()


class TextOwner(abc.ABC):
    """Who waits for a text."""

    @abc.abstractmethod
    def ended(self, text: Text) -> None:
        """Take a whole text."""


@attrs.define(eq=False)
class _Own:
    """A text that runs here, what it had when last looked at, and whom to tell of its end."""

    text: Text
    model: int
    owner: TextOwner
    engine: Engine | None = None
    run: Run | None = None
    tokens: int = 0
    told_made: float = 0.0


class Node:
    """One node before all engines; it knows of them what its own runs show."""

    def __init__(
        self, policy: Policy, engines: Sequence[Engine], sim: Simulation, rng: Random, out: Figures
    ) -> None:
        self._policy = policy
        self._engines = {engine.name: engine for engine in engines}
        self._slots = engines[0].slots
        self._sim = sim
        self._rng = rng
        self._out = out
        self._own: list[_Own] = []
        self._lengths = TextLengthEstimator()
        self._paces = EngineRates()
        self._turns: dict[str, RateMeter] = {name: RateMeter() for name in self._engines}
        self._away = UpstreamCooldowns()
        self._watching = False

    def run_all(self, texts: Sequence[Text], model: int, owner: TextOwner) -> None:
        """Start the texts of a group or more."""
        if self._policy.longest_first and self._policy.told:
            texts = sorted(texts, key=lambda text: -text.told)
        for text in texts:
            own = _Own(text, model, owner)
            self._own.append(own)
            self._start(own)
        if not self._watching:
            self._watching = True
            self._sim.after(_WATCH, self._watch)

    def drop(self, owner: TextOwner) -> None:
        """Stop what runs for a step that is over."""
        for own in [own for own in self._own if own.owner is owner]:
            self._own.remove(own)
            if own.engine is not None and own.run is not None:
                if own.run.began is not None:
                    self._out.in_vain += self._sim.seconds - own.run.began
                own.engine.stop(own.run)
                own.run = None

    def _start(self, own: _Own) -> None:
        if own not in self._own:
            return
        engine = self._choose(own)
        if engine is None or not engine.takes(own.model):
            if engine is not None:
                self._away.start(engine.name, self._sim.now)
            self._sim.after(_PAUSE * (0.5 + self._rng.random()), self._start, own)
            return
        own.engine, own.tokens, own.told_made = engine, self._tokens(own.text), own.text.made
        own.run = engine.start(own.text, lambda: self._ended(own))

    def _tokens(self, text: Text) -> int:
        left = self._lengths.tokens_left(text.told, int(text.made)) if self._policy.told else 0
        return left or _MOST_TOKENS

    def _choose(self, own: _Own) -> Engine | None:
        views = [
            self._view(name)
            for name in self._engines
            if not self._away.is_active(name, self._sim.now) and self._held(name) < self._slots
        ]
        excluded = own.text.avoid if len(own.text.avoid) < len(views) else frozenset()
        req = RouteRequest(tokens=self._tokens(own.text), excluded=excluded)
        chosen = _ROUTING.choose(views, req, self._rng)
        return None if chosen is None else self._engines[chosen]

    def _at(self, name: str) -> list[_Own]:
        return [own for own in self._own if own.run is not None and _name(own) == name]

    def _held(self, name: str) -> int:
        return len(self._at(name))

    def _view(self, name: str) -> UpstreamView:
        here = self._at(name)
        crowd = 1.0
        if self._policy.crowd:
            crowd = max(1.0, self._out.unfinished / max(len(self._own), 1))
        pace = self._turns[name].tokens_per_second(self._sim.now)
        if self._policy.paces:
            tokens = self._lengths.tokens_per_event or 0.0
            pace = tokens * self._paces.events_per_second(name, self._sim.now)
        return UpstreamView(
            name,
            slots=self._slots,
            own_requests=round(len(here) * crowd),
            own_tokens=round(sum(own.tokens for own in here) * crowd),
            tokens_per_second=pace,
        )

    def _watch(self) -> None:
        for own in list(self._own):
            if own.run is not None and own.engine is not None and own.run.began is not None:
                self._hear(own, own.engine, own.run)
        for own in list(self._own):
            if own.run is not None and own.engine is not None and self._slower(own, own.engine):
                self._leave(own, own.engine, own.run)
        self._watching = bool(self._own)
        if self._watching:
            self._sim.after(_WATCH, self._watch)

    def _hear(self, own: _Own, engine: Engine, run: Run) -> None:
        engine.settle(run)
        made = own.text.made - own.told_made
        spent = min(_WATCH, self._sim.seconds - (run.began or 0.0))
        own.told_made = own.text.made
        self._paces.record(engine.name, round(made), timedelta(seconds=spent), self._sim.now)

    def _slower(self, own: _Own, engine: Engine) -> bool:
        if not self._policy.leave or own.text.moves >= MAX_MOVES:
            return False
        now = self._sim.now
        left = self._lengths.events_left(
            own.text.told if self._policy.told else 0, int(own.text.made)
        )
        others = [
            self._paces.events_per_second(name, now)
            for name in self._engines
            if name != engine.name and name not in own.text.avoid and self._held(name) < self._slots
        ]
        return should_move(left, self._paces.events_per_second(engine.name, now), others)

    def _leave(self, own: _Own, engine: Engine, run: Run) -> None:
        engine.stop(run)
        own.text.avoid = next_excluded(own.text.avoid, engine.name)
        own.text.moves += 1
        self._out.moves += 1
        own.run = None
        self._sim.after(_PAUSE * (0.5 + self._rng.random()), self._start, own)

    def _ended(self, own: _Own) -> None:
        if own.engine is not None and own.run is not None and own.run.began is not None:
            spent = timedelta(seconds=self._sim.seconds - own.run.sent)
            self._turns[own.engine.name].record(own.tokens, spent, self._sim.now)
        self._lengths.record_completed(own.text.told, own.text.length)
        self._own.remove(own)
        own.run = None
        own.owner.ended(own.text)


def _name(own: _Own) -> str:
    return "" if own.engine is None else own.engine.name
