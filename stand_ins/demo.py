"""Run both example deployments in turn under load, and check the promises from outside."""

import asyncio
import json
import time
from collections import Counter
from typing import Any

import attrs

from .books import audit_calls, audit_samples, call_faults
from .caller import Caller, CallerPlan
from .client import EntryClient
from .deployment import EXAMPLES, load_plan
from .launcher import OPERATOR, Deployment, launched
from .trainer import Trainer, TrainerPlan

__all__ = ["DemoLoad", "async_load", "demo", "figures_of", "run_deployment"]

ANNOUNCE_EVERY = 3
# Each of these counts a broken promise.
MUST_BE_ZERO = (
    "duplicates",
    "lost",
    "over_staleness_bound",
    "wrong_version",
    "wrong_score",
    "answers_wrong",
    "double_runs",
    "ran_though_refused",
    "not_run_though_told",
    "ungraceful_stops",
)
BROKEN_CALLS_NAMED = 5
NOT_IN_TABLE = ("refusals_by_reason", "broken_calls")
# Without any of these nothing was shown.
MUST_HAPPEN = ("samples_delivered", "answers_whole", "weight_changes")


@attrs.frozen
class DemoLoad:
    """The trainers and callers of one run, with their books."""

    trainers: list[Trainer]
    callers: list[Caller]


def make_load(deployment: Deployment) -> DemoLoad:
    """Make a trainer and a caller for each record of these kinds."""
    plan = deployment.plan
    operator = EntryClient(deployment.entries, deployment.tokens[OPERATOR])
    trainers = []
    for number, name in enumerate(plan.names_of("trainer")):
        spec = plan.spec_of("trainer", name)
        # One trainer announces new weights, the others adopt them.
        announce = ANNOUNCE_EVERY if number == 0 else 0
        trainer_plan = TrainerPlan(
            name, spec["service"], spec["staleness_bound"], announce_every=announce
        )
        client = EntryClient(deployment.entries, deployment.tokens[name])
        trainers.append(Trainer(trainer_plan, client, operator))
    callers = []
    for number, name in enumerate(plan.names_of("caller")):
        caller_plan = CallerPlan(
            name,
            plan.of_type("plain").name,
            plan.of_type("engine").name,
            plan.spec_of("caller", name)["class"],
            seed=number + 1,
        )
        client = EntryClient(deployment.entries, deployment.tokens[name], name)
        callers.append(Caller(caller_plan, client))
    return DemoLoad(trainers, callers)


async def async_load(deployment: Deployment, seconds: float) -> DemoLoad:
    """Run trainers and callers side by side."""
    load = make_load(deployment)
    runs = [trainer.async_run(seconds) for trainer in load.trainers]
    runs += [caller.async_run(seconds) for caller in load.callers]
    await asyncio.gather(*runs)
    return load


def run_deployment(name: str, seconds: float) -> dict[str, Any]:
    """Run one example and return what was counted outside of the product."""
    began = time.monotonic()
    with launched(load_plan(name)) as deployment:
        ready_s = time.monotonic() - began
        load = asyncio.run(async_load(deployment, seconds))
        codes = deployment.stop()
        figures = figures_of(deployment, load)
    figures["ungraceful_stops"] = sum(code != 0 for code in codes.values())
    figures["ready_seconds"] = round(ready_s, 2)
    figures["seconds"] = round(time.monotonic() - began, 2)
    return figures


def figures_of(deployment: Deployment, load: DemoLoad) -> dict[str, Any]:
    """Count what the trainers, the callers and the upstreams' journals say."""
    books = [trainer.book for trainer in load.trainers]
    calls = [caller.book for caller in load.callers]
    faults: Counter[str] = Counter()
    for book in books:
        faults.update(audit_samples(deployment, book))
    for call_book in calls:
        faults.update(audit_calls(deployment, call_book))
    broken_calls = [str(fault) for book in calls for fault in call_faults(deployment, book)]
    refusals: Counter[str] = Counter()
    for refused in [book.refusals for book in books] + [book.refusals for book in calls]:
        refusals.update(refused)
    delivered = sum(len(book.received) for book in books)
    staleness = sum(s.staleness for book in books for s in book.received)
    return {
        "samples_delivered": delivered,
        "duplicates": sum(book.duplicates for book in books),
        "lost": sum(book.lost for book in books),
        "over_staleness_bound": sum(book.over_bound for book in books),
        "wrong_version": faults["wrong_version"],
        "wrong_score": faults["wrong_score"],
        "answers_whole": sum(book.ok.total() for book in calls),
        "answers_wrong": faults["wrong_text"] + sum(len(book.wrong) for book in calls),
        "double_runs": faults["double_runs"],
        "ran_though_refused": faults["ran_though_refused"],
        "not_run_though_told": faults["not_run_though_told"],
        "weight_changes": sum(book.announced for book in books),
        "steps": sum(book.steps for book in books),
        "stalled_steps": sum(book.stalled_steps for book in books),
        "trainer_idle_share": round(sum(b.idle_share for b in books) / len(books), 3),
        "mean_staleness": round(staleness / max(1, delivered), 3),
        "refusals": refusals.total(),
        "refusals_by_reason": dict(refusals),
        "broken_calls": broken_calls[:BROKEN_CALLS_NAMED],
    }


def _total(parts: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Return the figures of both deployments together."""
    counts = [key for key, value in next(iter(parts.values())).items() if isinstance(value, int)]
    total: dict[str, Any] = {key: sum(part[key] for part in parts.values()) for key in counts}
    delivered = max(1, total["samples_delivered"])
    weighted = sum(part["mean_staleness"] * part["samples_delivered"] for part in parts.values())
    total["mean_staleness"] = round(weighted / delivered, 3)
    idle = sum(part["trainer_idle_share"] for part in parts.values())
    total["trainer_idle_share"] = round(idle / len(parts), 3)
    total["seconds"] = round(sum(part["seconds"] for part in parts.values()), 2)
    return total


def broken_promises(figures: dict[str, Any]) -> list[str]:
    """Return what the figures say against the promises."""
    broken = [f"{key} is {figures[key]}" for key in MUST_BE_ZERO if figures[key]]
    return broken + [f"{key} is 0" for key in MUST_HAPPEN if not figures[key]]


def demo(seconds: float) -> int:
    """Run both examples, print a table and one JSON object; 0 only if the promises held."""
    parts = {}
    for name in EXAMPLES:
        print(f"Running {name} ...", flush=True)
        parts[name] = run_deployment(name, seconds)
    broken = [f"{name}: {text}" for name in parts for text in broken_promises(parts[name])]
    _print_table(parts)
    for text in broken:
        print(f"PROMISE BROKEN: {text}")
    total = _total(parts)
    print(json.dumps({**total, "promises_held": not broken, "deployments": parts}))
    return 1 if broken else 0


def _print_table(parts: dict[str, dict[str, Any]]) -> None:
    """Print the figures, a column for each deployment."""
    print(f"\n{'':<24}" + "".join(f"{name:>14}" for name in parts))
    for key in next(iter(parts.values())):
        if key in NOT_IN_TABLE:
            continue
        print(f"{key:<24}" + "".join(f"{part[key]!s:>14}" for part in parts.values()))
    for name, part in parts.items():
        reasons = ", ".join(f"{k} {v}" for k, v in sorted(part["refusals_by_reason"].items()))
        print(f"refusals at {name}: {reasons or 'none'}")
    print()
