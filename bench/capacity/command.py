"""Measure the slopes of each mechanism over three or more sizes."""

import argparse
from collections.abc import Callable

from . import config, members, memory, processes, registrations, samples, weights

__all__ = ["PARTS", "main"]

PARTS: dict[str, Callable[[bool], None]] = {
    "members": members.measure,
    "registrations": registrations.measure,
    "config": config.measure,
    "weights": weights.measure,
    "samples": samples.measure,
    "memory": memory.measure,
    "entry": processes.measure_entry,
    "side": processes.measure_side,
    "mesh": processes.measure_mesh,
    "list": processes.measure_list,
}


def main(argv: list[str]) -> int:
    """Print one JSON object for each measurement, and one for each fit."""
    parser = argparse.ArgumentParser(prog="bench capacity", description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], help="all parts by default")
    parser.add_argument("--quick", action="store_true", help="small sizes and short times")
    args = parser.parse_args(argv)
    for part in args.parts or PARTS:
        PARTS[part](args.quick)
    return 0
