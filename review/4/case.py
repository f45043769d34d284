# ruff: noqa: ANN001, ANN201, ANN202, ANN204, PLR2004 - a script of one review, not of the product
"""One batch job with many items; plain requests have to be answered beside it."""

import asyncio
import base64
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-2"))

from world import Channel, Sampler, call, new_id, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# beaulieu-etats: [limits] memory_mb of a front machine; limits.body_bytes is 33,554,432.
MEMORY_MB = 310
# The job's samples: 104 are a step of the site (26 groups of 4 items).
ITEMS = 30_000 if TROUBLE else 104
GROUP = 8
TIME_LIMIT_S = 24.0
HOST = "files.example"
LOTS = "/lots/"
FILES = "/files/"
TIMEOUT_S = 3.0
LATE_S = 0.5
PATIENCE_S = 6.0


def config():
    """Return the operator's configuration."""
    job = {"name": "r-lots", "host": HOST, "path_prefix": LOTS, "kind": "rollout"}
    job |= {"timeout_ms": 10_000, "goal_ms": 400, "priority": 1, "service": "engines"}
    job |= {"max_attempts": 3, "max_wait_s": 40.0, "deadline_ms": 7_500, "single_version": False}
    job |= {"sticky": True, "can_resume": True}
    safe = {"name": "r-files", "host": HOST, "path_prefix": FILES, "kind": "safe"}
    safe |= {"timeout_ms": TIMEOUT_S * 1000, "goal_ms": 860, "priority": 2}
    safe |= {"service": "files", "max_attempts": 2}
    engine = {"slots": 12, "kv_capacity": 47_529, "models": [{"name": "m0"}]}
    limits = {"header_bytes": 16_384, "body_bytes": 33_554_432}
    limits |= {"header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}
    services = [{"name": "engines", "health_path": "/health", "max_conns": 160, "engine": engine}]
    services.append({"name": "files", "health_path": "/health", "max_conns": 160})
    return {"version": 3, "routes": [job, safe], "services": services, "limits": limits}


def make_job():
    """Return a job as a trainer sends it."""
    items = []
    for number in range(ITEMS):
        group = number // GROUP
        headers = {"Model": "m0", "Token-Counts": "272,40"}
        headers["Prompt-Prefix"] = f"{group:08x}:256,{number:08x}:16"
        item = {"id": new_id(), "path": f"{LOTS}1/{number}", "headers": headers, "tokens": 312}
        body = base64.b64encode(os.urandom(24)).decode()
        items.append(item | {"body": body, "group": f"g{group}"})
    told = {"step": 1, "model": "m0", "min_version": 0, "group_count": 1, "items": items}
    return json.dumps(told, separators=(",", ":")).encode()


async def keep_asking(world, gateway, waits, until):
    """Ask for files on a kept channel, one request after the other; note how long each waits."""
    while time.monotonic() < until:
        channel = Channel(gateway.front)
        try:
            await channel.open()
        except (OSError, TimeoutError):
            await asyncio.sleep(0.3)
            continue
        while time.monotonic() < until:
            name = new_id()
            headers = [("Host", HOST), ("Attempt-Id", name), ("Deadline-Ms", "5000")]
            sent, answer, left = time.monotonic(), None, False
            try:
                await channel.send("POST", FILES + name, headers, b"q" * 600)
                world.record.note(f"{name} sent to {gateway.name}")
                answer = await asyncio.wait_for(channel.receive(), PATIENCE_S)
            except TimeoutError:
                left = True
            except ConnectionError:
                pass
            waited = time.monotonic() - sent
            ran = any(name in each.began for each in world.samplers)
            told = "the client leaves" if left else answer and answer[0]
            world.record.note(f"{name}: {told} after {waited:.2f} s, {'run' if ran else 'not run'}")
            kept = channel.answered > (answer is not None)
            waits.append((answer and answer[0], waited, left, ran and kept))
            if answer is None:
                break
        channel.close()


async def case(world):
    """Play it; the rules are CONFIG, and LOST where a process ends."""
    engines = [Sampler("engines", f"i-e{n}", model="m0", slots=12, work_s=0.05) for n in range(3)]
    files = [Sampler("files", f"i-f{n}", slots=24, work_s=0.4) for n in range(3)]
    await world.start(config(), [*engines, *files], MEMORY_MB)
    waits = []
    until = time.monotonic() + 5.0 + TIME_LIMIT_S
    asking = [
        asyncio.ensure_future(keep_asking(world, gateway, waits, until))
        for gateway in world.gateways
        for _ in range(4)
    ]
    await asyncio.sleep(5.0)
    world.record(f"before the job: {sum(each[0] == 200 for each in waits)} plain requests answered")
    first, name, body = len(waits), new_id(), make_job()
    headers = [("Host", HOST), ("Attempt-Id", name), ("Content-Type", "application/json")]
    answer = await call(world.gateways[0].front, "POST", f"{LOTS}{name}", headers, body, 10.0)
    world.record(f"a job of {ITEMS} items, {len(body)} bytes: {answer and answer[0]}")
    while time.monotonic() < until:
        await asyncio.sleep(5.0)
        ready = [await world.ready(gateway) for gateway in world.gateways]
        held = ", ".join(f"{each.memory_mb():.0f}" for each in world.gateways)
        texts = sum(len(each.ended) for each in engines)
        world.record(f"gateways ready: {ready}; MB held: {held}; texts finished: {texts}")
    await asyncio.gather(*asking)
    later = waits[first:]
    # Requests that ended before the route's time with a closed channel weren't waiting then.
    unanswered = [each for each in later if each[1] > TIMEOUT_S and (each[0] or each[2])]
    late = [each for each in unanswered if each[1] > TIMEOUT_S + LATE_S]
    cut = sum(each[0] is None and not each[2] and each[3] for each in later)
    kills = sum(each.kills for each in world.gateways)
    answered = sum(each[0] == 200 for each in later)
    world.record(f"beside the job: {len(later)} plain requests, {answered} answered with success")
    world.record(f"no answer at timeout_ms: {len(unanswered)}; half a second later: {len(late)}")
    world.record(f"on kept channels, run by sound samplers, channel closed: {cut}; kills: {kills}")
    return len(late) <= len(unanswered) / 2 and cut <= 3


if __name__ == "__main__":
    run(case, HERE)
