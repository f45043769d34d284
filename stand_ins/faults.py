"""Run an example under load while its parts fail, and check the promises from outside.

The faults are those that the platform's users tell of: killed and frozen processes, outages of the
log, lost answers, failed swaps, silent connections, planned stops. Each is mended after a while.
"""

import asyncio
import json
import random
import threading
import time
from collections.abc import Callable
from typing import Any

from .books import call_faults
from .demo import DemoLoad, async_load, broken_promises, figures_of
from .deployment import load_plan
from .launcher import Deployment, launched

__all__ = ["FAULTS", "run_faults"]

PAUSE_S = 1.5
SAMPLERS = 3

Fault = Callable[[Deployment, random.Random], None]


def _any(deployment: Deployment, rng: random.Random, kind: str) -> str:
    """Return the name of one upstream of a type."""
    return rng.choice(deployment.upstreams(deployment.plan.of_type(kind).name))


def _kill(deployment: Deployment, name: str) -> None:
    deployment.process(name).kill()
    time.sleep(PAUSE_S)
    deployment.restart(name)


def _freeze(deployment: Deployment, name: str, seconds: float) -> None:
    deployment.process(name).freeze()
    time.sleep(seconds)
    deployment.process(name).thaw()


def kill_entry(deployment: Deployment, rng: random.Random) -> None:
    """Kill an entry in the middle of its work, and start it anew."""
    _kill(deployment, f"entry-{rng.randint(1, deployment.plan.entries)}")


def kill_side_of_engine(deployment: Deployment, rng: random.Random) -> None:
    """Kill the side process of an engine, which goes on with what it was given."""
    _kill(deployment, f"side-{_any(deployment, rng, 'engine')}")


def kill_side_of_service(deployment: Deployment, rng: random.Random) -> None:
    """Kill the side process of a plain service."""
    _kill(deployment, f"side-{_any(deployment, rng, 'plain')}")


def kill_engine(deployment: Deployment, rng: random.Random) -> None:
    """Kill an engine; it comes back with its first weight version."""
    _kill(deployment, _any(deployment, rng, "engine"))


def kill_service(deployment: Deployment, rng: random.Random) -> None:
    """Kill a plain service."""
    _kill(deployment, _any(deployment, rng, "plain"))


def freeze_side(deployment: Deployment, rng: random.Random) -> None:
    """Freeze a side process for longer than anyone waits for it."""
    _freeze(deployment, f"side-{_any(deployment, rng, 'plain')}", 4.0)


def freeze_entry(deployment: Deployment, rng: random.Random) -> None:
    """Freeze an entry, which then goes on unaware of the time lost."""
    _freeze(deployment, f"entry-{rng.randint(1, deployment.plan.entries)}", 4.0)


def log_outage(deployment: Deployment, rng: random.Random) -> None:
    """Let the log refuse everything, then stay silent, then be slow, then come back."""
    for values in ({"outage": "refuse"}, {"outage": "silent"}, {"outage": "", "slow_s": 0.5}):
        deployment.control("log", **values)
        time.sleep(PAUSE_S)
    deployment.control("log", slow_s=0.0)


def log_loses_answers(deployment: Deployment, rng: random.Random) -> None:
    """Let the next appends take effect without an answer."""
    deployment.control("log", lose_answers=5)
    time.sleep(PAUSE_S)


def service_fails(deployment: Deployment, rng: random.Random) -> None:
    """Let a plain service cut answers, lose answers after the run, and go silent."""
    name = _any(deployment, rng, "plain")
    deployment.control(name, cut_bodies=3, lose_answers=3, silent=2)
    time.sleep(PAUSE_S)


def engine_fails(deployment: Deployment, rng: random.Random) -> None:
    """Let an engine cut streams and let streams go silent, and fail its next swap half way."""
    name = _any(deployment, rng, "engine")
    deployment.control(name, cut_streams=3, silent_streams=2, fail_swaps=2)
    time.sleep(PAUSE_S)


def silent_connections(deployment: Deployment, rng: random.Random) -> None:
    """Let all open connections between our processes go silent at once."""
    deployment.silence("*")
    time.sleep(PAUSE_S)


def planned_stop(deployment: Deployment, rng: random.Random) -> None:
    """Stop a side process as planned, in the middle of its work, and start it anew."""
    name = f"side-{_any(deployment, rng, 'plain')}"
    deployment.process(name).terminate()
    code = deployment.process(name).wait(30.0)
    if code != 0:
        raise RuntimeError(f"{name} ended with {code} on a planned stop")
    deployment.restart(name)


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        kill_entry,
        kill_side_of_engine,
        kill_side_of_service,
        kill_engine,
        kill_service,
        freeze_side,
        freeze_entry,
        log_outage,
        log_loses_answers,
        service_fails,
        engine_fails,
        silent_connections,
        planned_stop,
    )
}


def run_faults(example: str, names: list[str], seed: int, seconds: float) -> int:
    """Run the named faults in a random order; print what was counted; 0 if the promises held."""
    rng = random.Random(seed)
    order = names or list(FAULTS)
    rng.shuffle(order)
    with launched(load_plan(example).shrunk(SAMPLERS, relayed=True)) as deployment:
        loads: list[DemoLoad] = []
        # The load runs in the thread of its own: processes must be started by the main one.
        thread = threading.Thread(
            target=lambda: loads.append(asyncio.run(async_load(deployment, seconds)))
        )
        thread.start()
        for name in order:
            print(f"{name} ...", flush=True)
            FAULTS[name](deployment, rng)
            time.sleep(PAUSE_S)
        thread.join()
        codes = deployment.stop()
        figures: dict[str, Any] = figures_of(deployment, loads[0])
        for book in (caller.book for caller in loads[0].callers):
            for fault in call_faults(deployment, book):
                print(f"  {fault}")
    figures["ungraceful_stops"] = sum(code != 0 for code in codes.values())
    broken = broken_promises(figures)
    for text in broken:
        print(f"PROMISE BROKEN: {text}")
    print(json.dumps({"faults": order, "seed": seed, **figures, "promises_held": not broken}))
    return 1 if broken else 0
