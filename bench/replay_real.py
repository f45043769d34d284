"""Play a load of the replay through real processes, open loop and at its own times."""

import asyncio
import time
import urllib.request
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import attrs

from cranberryline.decisions import Priority
from stand_ins.client import EntryClient, Reply
from stand_ins.deployment import DeploymentPlan, ServicePlan
from stand_ins.launcher import Deployment, launched

from .model.metrics import percentile
from .processes import free_port, started, wait_for_port
from .replay_load import ENGINES, ENTRIES, QUEUE_SECONDS, Arrival, EngineShape, Load
from .replay_report import Outcome

__all__ = ["RealRun", "bare_entries", "measured_shape", "play_real", "running_deployment"]

SERVICE = "writers"
TOKEN_NAME = "replay"  # noqa: S105 - the name of a row, not a secret
REFUSALS = "cranberryline_refusals_total"
RETRIES = "cranberryline_retries_total"
FIRST_CALL_AFTER = 0.2
SETTLE_SECONDS = 1.0
CLOCK_OF_PROCESS = 2
WATCH_SECONDS = 0.1
MEASURE_TOKENS = 400


@attrs.frozen
class RealRun:
    """How each call ended, and what the processes counted meanwhile."""

    calls: list[Outcome]
    attempts: int
    details: dict[str, object]


@contextmanager
def running_deployment(shape: EngineShape) -> Iterator[Deployment]:
    """Run entries, side processes and engines."""
    controls = attrs.asdict(shape)
    spec = {
        "type": "engine",
        "model": SERVICE,
        "concurrency": shape.slots,
        "queue_seconds": QUEUE_SECONDS,
        "timeout_seconds": 30,
    }
    records = (
        {"kind": "service", "name": SERVICE, "schema": 1, "spec": spec},
        {"kind": "weights", "name": SERVICE, "schema": 1, "spec": {"version": 1}},
        {
            "kind": "caller",
            "name": TOKEN_NAME,
            "schema": 1,
            "spec": {"share": 1, "class": "application"},
        },
    )
    plan = DeploymentPlan(
        "replay",
        ("one",),
        (ServicePlan(SERVICE, "engine", ENGINES, controls),),
        records,
        ENTRIES,
    )
    with launched(plan) as deployment:
        yield deployment


@contextmanager
def bare_entries(deployment: Deployment) -> Iterator[list[str]]:
    """Run a bare forwarder in the place of each entry, before the same engines."""
    upstreams = [deployment.urls[name] for name in deployment.upstreams(SERVICE)]
    with ExitStack() as stack:
        urls = []
        for number in range(ENTRIES):
            port = free_port()
            turned = upstreams[number:] + upstreams[:number]
            args = ("bench.replay_forward", str(port), *turned)
            process = stack.enter_context(started(f"bare-{number}", *args))
            wait_for_port(process, port)
            urls.append(f"http://127.0.0.1:{port}")
        yield urls


def play_real(load: Load, seed: int, deployment: Deployment, urls: list[str]) -> RealRun:
    """Send every call at its time and wait for the last answer."""
    arrivals = load.arrivals(seed)
    before, engines_before = _counters(deployment), _engines(deployment)
    cpu_before, began = _cpu(deployment), time.monotonic()
    engines = [deployment.urls[name] for name in deployment.upstreams(SERVICE)]
    token = deployment.tokens[TOKEN_NAME]
    calls, lags, busy = asyncio.run(_async_play(load, arrivals, token, urls, engines))
    spent = time.monotonic() - began
    cpu = {role: round((s - cpu_before[role]) / spent, 2) for role, s in _cpu(deployment).items()}
    # The engines let go of work that nobody waits for only after a while.
    time.sleep(SETTLE_SECONDS)
    after = _counters(deployment)
    counted = Counter({name: after[name] - before[name] for name in after})
    done = _engines(deployment) - engines_before
    not_run = sum(n for name, n in counted.items() if name.startswith(f"side {REFUSALS}"))
    details = {
        "counters": {name: round(n) for name, n in sorted(counted.items()) if n},
        "engine_runs": done["runs"],
        "engine_tokens_per_busy_s": round(1000 * done["tokens"] / done["busy_ms"]),
        "slots_busy_in_window": busy,
        "cores": cpu,
        "player_lag_p99_ms": round(1000 * percentile(lags, 0.99), 1),
    }
    return RealRun(calls, round(done["runs"] + not_run), details)


async def _async_play(
    load: Load, arrivals: list[Arrival], token: str, urls: list[str], engines: list[str]
) -> tuple[list[Outcome], list[float], float]:
    """Return the calls' ends, how late the player sent each, and the share of slots in use."""
    clients = {
        caller: EntryClient(urls, token, caller)
        for caller in dict.fromkeys(call.caller for call in arrivals)
    }
    began = time.monotonic() + FIRST_CALL_AFTER
    watching = asyncio.create_task(_async_watch(load, began, engines))
    tasks, lags = [], []
    for arrival in arrivals:
        await asyncio.sleep(max(0.0, began + arrival.at - time.monotonic()))
        lags.append(time.monotonic() - began - arrival.at)
        tasks.append(asyncio.create_task(_async_call(clients[arrival.caller], arrival)))
    calls = await asyncio.gather(*tasks)
    for client in clients.values():
        client.close()
    return calls, lags, await watching


async def _async_watch(load: Load, began: float, engines: list[str]) -> float:
    """Return the mean share of the slots in use in the window, as the engines tell it."""
    client, seen = EntryClient(engines, ""), []
    await asyncio.sleep(max(0.0, began + load.window.start - time.monotonic()))
    while time.monotonic() < began + load.window.end:
        for number in range(len(engines)):
            reply = await client.async_call("GET", "/load", entry=number)
            seen.append(reply.data["running"] / load.engine.slots)
        await asyncio.sleep(WATCH_SECONDS)
    client.close()
    return round(sum(seen) / len(seen), 3)


def measured_shape(shape: EngineShape, deployment: Deployment) -> EngineShape:
    """Return the shape with the step time that the engines have here with every slot taken."""
    urls = [deployment.urls[name] for name in deployment.upstreams(SERVICE)]
    before = _engines(deployment)
    asyncio.run(_async_fill(urls, shape.slots))
    done = _engines(deployment) - before
    rate = 1000 * done["tokens"] / done["busy_ms"]
    return attrs.evolve(shape, step_s=shape.step_s * shape.tokens_per_second / rate)


async def _async_fill(urls: list[str], slots: int) -> None:
    """Keep all slots of all engines taken by calls of one length."""
    client = EntryClient(urls, "")
    payload = {"model": SERVICE, "prompt": "How fast?", "max_tokens": MEASURE_TOKENS}
    calls = [
        client.async_call("POST", "/v1/completions", payload, entry=number)
        for number in range(len(urls))
        for _ in range(slots)
    ]
    await asyncio.gather(*calls)
    client.close()


async def _async_call(client: EntryClient, arrival: Arrival) -> Outcome:
    payload = {
        "model": SERVICE,
        "prompt": f"{arrival.id}: what should be done with it?",
        "max_tokens": arrival.tokens,
    }
    application = arrival.priority is Priority.APPLICATION
    headers = {
        "X-Priority": "application" if application else "background",
        "X-Deadline-Ms": str(int(1000 * arrival.deadline)),
    }
    sent = time.monotonic()
    # A little more than the deadline, so that the refusal arrives rather than the client's own.
    reply = await client.async_call(
        "POST",
        "/v1/completions",
        payload,
        headers,
        arrival.deadline + 0.5,
        arrival.entry,
    )
    latency = time.monotonic() - sent
    tokens = reply.data["usage"]["completion_tokens"] if reply.ok else 0
    return Outcome(
        arrival.caller, arrival.priority, arrival.at, latency, _reason(reply), int(tokens)
    )


def _reason(reply: Reply) -> str:
    if reply.ok:
        return ""
    detail = reply.data.get("detail", "") if reply.status else ""
    return f"{reply.reason} {detail}".strip()


def _cpu(deployment: Deployment) -> dict[str, float]:
    """Return the CPU seconds of the busiest process of each role."""
    used: dict[str, float] = {}
    for name, process in deployment.processes.items():
        role = name.split("-")[0]
        clock = (~process.pid << 3) | CLOCK_OF_PROCESS
        used[role] = max(used.get(role, 0.0), time.clock_gettime(clock))
    return used


def _counters(deployment: Deployment) -> Counter[str]:
    """Return the refusals and retries that entries and side processes have counted."""
    counted: Counter[str] = Counter()
    for name, url in deployment.urls.items():
        role = name.split("-")[0]
        if role not in ("entry", "side"):
            continue
        with urllib.request.urlopen(url + "/metrics", timeout=5) as got:
            lines = got.read().decode().splitlines()
        for line in lines:
            if line.startswith((REFUSALS, RETRIES)):
                metric, _, value = line.rpartition(" ")
                counted[f"{role} {metric}"] += float(value)
    return counted


def _engines(deployment: Deployment) -> Counter[str]:
    """Return the engines' runs, tokens and seconds with work, summed."""
    counted: Counter[str] = Counter()
    for name in deployment.upstreams(SERVICE):
        journal = deployment.live_journal(name)
        counted["runs"] += len(journal["runs"])
        counted["tokens"] += journal["tokens_made"]
        counted["busy_ms"] += round(1000 * journal["busy_s"])
    return counted
