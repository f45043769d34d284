"""Trainers that ask for steps, and count the groups that come in time."""

import math
from collections import Counter
from collections.abc import Sequence
from random import Random

from bench.model.simulation import Simulation
from cranberryline.decisions import rendezvous
from cranberryline.decisions.const import ZERO
from cranberryline.decisions.job_placement import JobPlacement

from .engines import Engine
from .model import TOKENS_AN_EVENT, TOLD_SPREAD, Figures, StepLoad, Text
from .nodes import Node, TextOwner

__all__ = ["Trainer"]


class Trainer:
    """Asks for a step at its time, once the step before the last one has been trained on."""

    def __init__(
        self,
        number: int,
        load: StepLoad,
        nodes: Sequence[Node],
        engines: Sequence[Engine],
        sim: Simulation,
        rng: Random,
        out: Figures,
    ) -> None:
        self.number = number
        self.out = out
        self._load = load
        self._nodes = {f"node-{at}": node for at, node in enumerate(nodes)}
        self._engines = engines
        self._sim = sim
        self._rng = rng
        self._ready_at: list[float] = []

    def start(self) -> None:
        """Ask for the first two steps, each at its time."""
        self._sim.at(0.0, self._ask, 0)
        self._sim.at(self._load.every, self._ask, 1)

    def over(self, step: int) -> None:
        """Train on a step, name a version, and ask for the step after the next."""
        load = self._load
        trained = self._sim.seconds + load.train
        self._sim.at(trained, self._name_version, step)
        asked = max(trained, load.every * (step + 2))
        if asked < load.seconds:
            self._sim.at(asked, self._ask, step + 2)

    def _name_version(self, step: int) -> None:
        """Let half of the engines load, two beside each other, each away for the model meanwhile."""
        order = rendezvous.rank(f"{self.number}/{step}", [engine.name for engine in self._engines])
        half = order[: -(-len(order) // 2)]
        for at, name in enumerate(half):
            begin = self._load.load_time * (at // 2)
            self._sim.after(begin, self._load_on, name)

    def _load_on(self, name: str) -> None:
        engine = next(engine for engine in self._engines if engine.name == name)
        engine.loading[self.number] = self._sim.seconds + self._load.load_time

    def _ask(self, step: int) -> None:
        texts = [
            self._text(group) for group in range(self._load.groups) for _ in range(self._load.size)
        ]
        asked = StepRun(self, step, self._load, texts, self._sim, list(self._nodes.values()))
        placed = {
            name: JobPlacement(f"m{self.number}", len(texts), name, self._nodes)
            for name in self._nodes
        }
        for name, node in self._nodes.items():
            place = placed[name]
            mine = [text for text in texts if place.start_delay(f"{step}/{text.group}") == ZERO]
            if place.is_assigned and mine:
                node.run_all(mine, self.number, asked)
        self._sim.after(self._load.limit, asked.give_up)

    def _text(self, group: int) -> Text:
        length = self._load.length(self._rng)
        told = length * TOKENS_AN_EVENT * math.exp(self._rng.gauss(0, TOLD_SPREAD))
        return Text(group, length, max(1, round(told)))


class StepRun(TextOwner):
    """A step that is being made."""

    def __init__(
        self,
        trainer: Trainer,
        step: int,
        load: StepLoad,
        texts: Sequence[Text],
        sim: Simulation,
        nodes: Sequence[Node],
    ) -> None:
        self._trainer = trainer
        self._nodes = nodes
        self._step = step
        self._load = load
        self._sim = sim
        self._asked = sim.seconds
        self._left = Counter(text.group for text in texts)
        self._whole = 0
        self._wanted = math.ceil(load.groups * load.wanted)
        self._over = False
        trainer.out.owed += self._wanted
        trainer.out.unfinished += len(texts)
        self._unfinished = len(texts)

    def ended(self, text: Text) -> None:
        """Take a whole text; with the last group that is wanted the step is over."""
        if self._over:
            return
        self._unfinished -= 1
        self._trainer.out.unfinished -= 1
        self._left[text.group] -= 1
        if self._left[text.group]:
            return
        self._whole += 1
        took = self._sim.seconds - self._asked
        if took <= self._load.due and self._whole <= self._wanted:
            self._trainer.out.in_time += 1
        if self._whole == self._wanted:
            self._end(took)

    def give_up(self) -> None:
        """End the step at its limit."""
        if not self._over:
            self._end(self._load.limit)

    def _end(self, took: float) -> None:
        self._over = True
        self._trainer.out.unfinished -= self._unfinished
        for node in self._nodes:
            node.drop(self)
        self._trainer.out.steps.append(took)
        self._trainer.over(self._step)
