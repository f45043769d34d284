"""Replay loads in the real processes and in the model, and print their figures side by side."""

import argparse
import json

import attrs

from .replay_load import LOADS, Load
from .replay_model import BARE, POLICY, play_model
from .replay_real import bare_entries, measured_shape, play_real, running_deployment
from .replay_report import figures

__all__ = ["main"]


def main(argv: list[str]) -> int:
    """Print one JSON object for each load."""
    parser = argparse.ArgumentParser(prog="bench replay", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", default="", help="only the loads whose name contains this")
    parser.add_argument("--bare", action="store_true", help="a bare forwarder for every load")
    args = parser.parse_args(argv)
    for load in LOADS:
        if args.load in load.name:
            print(json.dumps(_replay(load, args.seed, args.bare)), flush=True)
    return 0


def _replay(load: Load, seed: int, bare: bool) -> dict[str, object]:
    """Play a load in every way; the model's with the engines' planned and measured step times."""
    line: dict[str, object] = {"bench": "replay", "load": load.name, "seed": seed}
    with running_deployment(load.engine) as deployment:
        measured = attrs.evolve(load, engine=measured_shape(load.engine, deployment))
        run = play_real(load, seed, deployment, deployment.entries)
        line["real"] = figures(load, run.calls, run.attempts) | run.details
        if bare or load.bare:
            with bare_entries(deployment) as urls:
                run = play_real(load, seed, deployment, urls)
            line["real_bare"] = figures(load, run.calls, run.attempts) | run.details
    line["planned_step_s"], line["measured_step_s"] = load.engine.step_s, measured.engine.step_s
    for name, played, rules in (
        ("model", load, POLICY),
        ("model_measured_step", measured, POLICY),
        ("model_bare_measured_step", measured, BARE),
    ):
        modelled = play_model(played, seed, rules, load.arrivals(seed))
        line[name] = figures(load, modelled.calls, modelled.attempts) | modelled.details
    return line
