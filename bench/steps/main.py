"""Play the loads with each policy, and print the paired differences."""

import argparse
import statistics
from collections.abc import Sequence
from multiprocessing import get_context
from pathlib import Path
from random import Random

from bench.model.simulation import Simulation

from .engines import Engine
from .model import FIGURES, LOADS, POLICIES, Figures, Policy, Row, StepLoad
from .nodes import Node
from .trainer import Trainer

__all__ = ["main", "play"]

_PROCESSES = 4
# Steps that were asked for at the end run on this long.
_REST = 13.0


def play(load: StepLoad, policy: Policy, seed: int) -> Figures:
    """Play one run; texts, slow spells and steps are the same for all policies of a seed."""
    sim, out = Simulation(), Figures()
    engines = [Engine(f"engine-{at}", pace, load.slots, sim) for at, pace in enumerate(load.paces)]
    _slow_spells(load, engines, sim, Random(f"{seed} slow"))
    nodes = [
        Node(policy, engines, sim, Random(f"{seed} node {at}"), out) for at in range(load.nodes)
    ]
    for number in range(load.trainers):
        rng = Random(f"{seed} trainer {number}")
        Trainer(number, load, nodes, engines, sim, rng, out).start()
    sim.run(load.seconds + _REST)
    return out


def _slow_spells(load: StepLoad, engines: Sequence[Engine], sim: Simulation, rng: Random) -> None:
    count = max(1, round(load.slow_share * len(engines)))
    for _ in range(load.slow_spells):
        begin = rng.uniform(0.5, load.seconds - load.slow_for)
        for engine in rng.sample(list(engines), count):
            sim.at(begin, engine.slow, load.slow_times)
            sim.at(begin + load.slow_for, engine.slow, 1.0)


def _compare(load: StepLoad, played: dict[str, list[Figures]]) -> list[Row]:
    first = played[POLICIES[0].name]
    rows = []
    for policy in POLICIES:
        for figure in FIGURES:
            values = [out.value(figure) for out in played[policy.name]]
            pairs = [value - out.value(figure) for value, out in zip(values, first, strict=True)]
            error = statistics.stdev(pairs) / len(pairs) ** 0.5 if len(pairs) > 1 else 0.0
            mean = statistics.mean(values)
            rows.append(Row(load.name, policy.name, figure, mean, statistics.mean(pairs), error))
    return rows


def _print(rows: Sequence[Row]) -> None:
    for load in dict.fromkeys(row.load for row in rows):
        print(f"\n{load}\n{'policy':24}" + "".join(f"{name:>24}" for name in FIGURES))
        for policy in POLICIES:
            own = [row for row in rows if row.load == load and row.policy == policy.name]
            cells = (f"{row.mean:9.3f} ({row.difference:+.3f} ±{row.error:.3f})" for row in own)
            print(f"{policy.name:24}" + "".join(f"{cell:>24}" for cell in cells))


def main(argv: list[str]) -> int:
    """Run the comparison and print its tables."""
    parser = argparse.ArgumentParser(prog="bench steps", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=100, help="how many seeds each policy plays")
    parser.add_argument("--load", default="", help="only the loads whose name contains this")
    parser.add_argument("--plot", type=Path, help="draw the groups in time into this file")
    parser.add_argument("--processes", type=int, default=_PROCESSES)
    args = parser.parse_args(argv)
    rows = []
    with get_context("spawn").Pool(args.processes) as pool:
        for load in LOADS:
            if args.load in load.name:
                played = {}
                for policy in POLICIES:
                    runs = [
                        (load, policy, seed) for seed in range(args.seed, args.seed + args.seeds)
                    ]
                    played[policy.name] = pool.starmap(play, runs, chunksize=4)
                rows += _compare(load, played)
    _print(rows)
    if args.plot is not None:
        # Imported only here: a measurement without plots needs no drawing library.
        from .plot import draw  # noqa: PLC0415

        draw(rows, args.plot)
        print(args.plot)
    return 0
