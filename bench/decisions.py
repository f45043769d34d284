"""Measure the decisions against a baseline for each, on the same seeded loads.

Every run is a run of the queueing model in `bench.model` on a virtual clock: the same seed gives
the same figures on any machine.
"""

import argparse
from collections.abc import Sequence
from multiprocessing import get_context
from pathlib import Path

from .decisions_plan import Case, plan
from .decisions_report import Row, measure, print_goals, print_json, print_table

__all__ = ["main"]

PROCESSES = 3


def main(argv: list[str]) -> int:
    """Run the measurement and print its tables."""
    parser = argparse.ArgumentParser(prog="bench decisions", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds to average over")
    parser.add_argument("--load", default="", help="only the loads whose name contains this")
    parser.add_argument("--curve", action="store_true", help="measure the curve of freshness")
    parser.add_argument("--plot", type=Path, help="draw the curves into this folder")
    parser.add_argument("--json", action="store_true", help="one JSON object a line, no tables")
    parser.add_argument("--processes", type=int, default=PROCESSES)
    args = parser.parse_args(argv)
    cases = [
        case for case in plan(args.curve or args.plot is not None) if args.load in case.load.name
    ]
    rows = _run(cases, range(args.seed, args.seed + args.seeds), args.processes)
    if args.json:
        print_json(rows)
        return 0
    print_table(rows)
    print_goals(rows)
    if args.plot is not None:
        # Imported only here: a measurement without plots needs no drawing library.
        from .decisions_plot import draw  # noqa: PLC0415

        for path in draw(rows, args.plot):
            print(path)
    return 0


def _run(cases: Sequence[Case], seeds: range, processes: int) -> list[Row]:
    jobs = [(case, seed) for case in cases for seed in seeds]
    # The longest runs first, so that the last process does not run alone at the end.
    order = sorted(range(len(jobs)), key=lambda i: -jobs[i][0].load.seconds)
    with get_context("spawn").Pool(processes) as pool:
        measured = dict(
            zip(order, pool.imap(_measure, [jobs[i] for i in order], chunksize=1), strict=True)
        )
    rows = []
    for i, case in enumerate(cases):
        parts = [measured[i * len(seeds) + k] for k in range(len(seeds))]
        rows.append(Row.mean(case, parts))
    return rows


def _measure(job: tuple[Case, int]) -> dict[str, float]:
    return measure(*job)
