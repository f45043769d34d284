# ruff: noqa: ANN001, ANN201, ANN202, ANN204, PLR2004 - a script of one review, not of the product
"""What cases with a plain service share: its configuration, and clients that ask on kept channels."""

import asyncio
import time

from world import Channel, new_id

HOST = "files.example"
FILES = "/files/"


def config():
    """Return the operator's configuration, with the limits of the example of `fleetbench wire`."""
    safe = {"name": "r-files", "host": HOST, "path_prefix": FILES, "kind": "safe"}
    safe |= {
        "timeout_ms": 3_000,
        "goal_ms": 860,
        "priority": 2,
        "service": "files",
        "max_attempts": 2,
    }
    limits = {"header_bytes": 16_384, "body_bytes": 33_554_432}
    limits |= {"header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}
    services = [{"name": "files", "health_path": "/health", "max_conns": 160}]
    return {"version": 3, "routes": [safe], "services": services, "limits": limits}


def headers(name, deadline_ms=3_000):
    """Return the headers of a request."""
    return [("Host", HOST), ("Attempt-Id", name), ("Deadline-Ms", str(deadline_ms))]


async def keep_asking(world, gateway, counts, until):
    """Ask for files on a kept channel, one request after the other, and count what breaks off."""
    while time.monotonic() < until:
        channel = Channel(gateway.front)
        try:
            await channel.open()
        except (OSError, TimeoutError):
            await asyncio.sleep(0.3)
            continue
        while time.monotonic() < until:
            name = new_id()
            try:
                await channel.send("POST", FILES + name, headers(name), b"q" * 600)
                world.record.note(f"{name} sent to {gateway.name}")
                answer = await asyncio.wait_for(channel.receive(), 4.0)
            except (ConnectionError, TimeoutError):
                answer = None
            if answer is None:
                passed_on = any(name in each.began for each in world.samplers)
                if passed_on and channel.answered:
                    counts["cut"] += 1
                    world.record(
                        f"{name}: on a kept channel of {gateway.name}, run, never answered"
                    )
                break
            world.record.note(f"{name} answered {answer[0]}")
            counts["answered"] += answer[0] == 200
        channel.close()
