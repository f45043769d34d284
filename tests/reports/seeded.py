"""Small logs of our own, made from a seed: several gateways, trainers, steps, groups and items."""

import json
from random import Random
from typing import Any

START = 1_800_000_000.0


def line(name: str, at: float, vm: str = "front-1", **fields: Any) -> dict[str, Any]:
    """Return a line as a gateway logs it, `at` seconds after the start."""
    return {"message_type": name, "timestamp": START + at, "vm_id": vm, "level": "info", **fields}


def accepted(job: str, at: float, **fields: Any) -> dict[str, Any]:
    """Return the line of a job that was accepted 20 ms after it was asked for."""
    known = {"items": 4, "step": 1, "model": "m0", "group_count": 2, "ms": 20}
    return line("job_accepted", at, request_id=job, **(known | fields))


def item(job: str, name: str, at: float, group: str = "g0", **fields: Any) -> dict[str, Any]:
    """Return the line of an item of a group of two that was listed at `at`."""
    known = {"group_size": 2, "outcome": "completed", "listed": True, "runs": 1, "events": 9}
    return line("item_ended", at, request_id=name, job=job, group=group, **(known | fields))


def seeded_log(seed: int, steps: int = 6, groups: int = 4, size: int = 3) -> list[dict[str, Any]]:
    """Return the lines of two trainers' steps in the order of time."""
    rng = Random(seed)
    lines: list[dict[str, Any]] = []
    for number in range(steps):
        job, model = f"job{number}", f"m{number % 2}"
        at = 4.0 * number
        vm = f"front-{rng.randrange(4)}"
        for node in range(4):
            named = {"model": model, "version": number // 2 + 1}
            lines.append(line("version_named", at - 0.1 + node / 100, f"front-{node}", **named))
        lines.append(
            accepted(job, at, items=groups * size, step=number // 2, model=model, group_count=3)
        )
        made = [_group(rng, job, at, f"{job}-g{group}", size) for group in range(groups)]
        lines += [fields for own in made for fields in own]
        reads = sorted(own[-1]["timestamp"] - START for own in made)
        lines.append(line("job_ended", reads[2] + 0.05, vm, request_id=job))
    return sorted(lines, key=lambda fields: fields["timestamp"])


def _group(rng: Random, job: str, at: float, group: str, size: int) -> list[dict[str, Any]]:
    vm, last, lines = f"front-{rng.randrange(4)}", at, []
    for number in range(size):
        waited, place, prefill = (rng.randrange(300) for _ in range(3))
        broken, text = rng.choice([0, 0, 1800]), rng.randrange(200, 3000)
        swait, score, append = rng.randrange(80), rng.randrange(200), rng.randrange(5, 90)
        text_ms = place + prefill + broken + text
        took = waited + text_ms + swait + score + append
        last = max(last, at + took / 1000)
        times = {
            "waited_ms": waited,
            "text_ms": text_ms,
            "place_ms": place,
            "prefill_ms": prefill,
            "broken_ms": broken,
            "score_ms": swait + score,
            "score_wait_ms": swait,
            "append_ms": append,
        }
        name, listed = f"{group}-i{number}", at + took / 1000
        lines.append(item(job, name, listed, group, vm_id=vm, group_size=size, **times))
    read = last + rng.random() / 2
    for node, told in enumerate([read + 0.7, read + 0.2, read]):
        lines.append(line("groups_read", told, f"front-{node}", request_id=job, groups=[group]))
    return lines


def as_bytes(lines: list[dict[str, Any]]) -> list[bytes]:
    """Return lines as a file holds them."""
    return [json.dumps(fields).encode() + b"\n" for fields in lines]
