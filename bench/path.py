"""Compare the path through entry and side with a bare tornado handler, side by side in one run.

The two are loaded in turn, in short slices, so that whatever else the machine does meets both.
"""

import argparse
import asyncio
import contextlib
import json
import time
from collections.abc import Iterator

import attrs

from .processes import Process, free_port, running_path, started, wait_for_port
from .reference import BODY

__all__ = ["main"]

_CONNECTIONS = (1, 8, 32)
_ROUNDS = 4
_SLICE_S = 1.5
_WARM_UP_S = 0.7


@attrs.define
class Target:
    """One of the two, and what was measured of it."""

    name: str
    port: int
    path: str
    processes: list[Process]
    latencies: list[float] = attrs.field(factory=list)
    wrong: int = 0
    cpu_s: float = 0.0
    wall_s: float = 0.0

    def clear(self) -> None:
        """Forget what was measured."""
        self.latencies, self.wrong, self.cpu_s, self.wall_s = [], 0, 0.0, 0.0

    def control_cpu_s(self) -> float:
        """Return the CPU time that its processes have used so far."""
        return sum(process.cpu_seconds() for process in self.processes)

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the latencies."""
        ordered = sorted(self.latencies)
        return 1000 * ordered[min(int(len(ordered) * share), len(ordered) - 1)]

    @property
    def per_core(self) -> float:
        """Return the requests per second of CPU time."""
        return len(self.latencies) / self.cpu_s

    def as_dict(self) -> dict[str, float]:
        """Return the figures."""
        return {
            "requests": len(self.latencies),
            "wrong": self.wrong,
            "requests_per_s": round(len(self.latencies) / self.wall_s),
            "requests_per_core_s": round(self.per_core),
            "p50_ms": round(self.percentile_ms(0.50), 3),
            "p99_ms": round(self.percentile_ms(0.99), 3),
        }


async def _async_call(target: Target, until: float, latencies: list[float]) -> int:
    """Send requests one after the other on one connection; return how many answers were wrong."""
    reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
    request = f"GET {target.path} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n".encode()
    wrong = 0
    while time.monotonic() < until:
        started_at = time.perf_counter()
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        body = await _async_body(reader, head)
        latencies.append(time.perf_counter() - started_at)
        wrong += not head.startswith(b"HTTP/1.1 200 ") or body != BODY
    writer.close()
    return wrong


async def _async_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    """Read a body by the length that its head tells, or in chunks."""
    lowered = head.lower()
    mark = b"\r\ncontent-length:"
    if mark in lowered:
        start = lowered.index(mark) + len(mark)
        return await reader.readexactly(int(lowered[start : lowered.index(b"\r\n", start)]))
    parts = []
    while size := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(parts)


async def _async_load(target: Target, connections: int, duration_s: float) -> None:
    """Load a target with that many connections, each with one request out at a time."""
    cpu_before, started_at = target.control_cpu_s(), time.monotonic()
    until = started_at + duration_s
    calls = [_async_call(target, until, target.latencies) for _ in range(connections)]
    target.wrong += sum(await asyncio.gather(*calls))
    target.wall_s += time.monotonic() - started_at
    target.cpu_s += target.control_cpu_s() - cpu_before


async def _async_compare(
    bare: Target, path: Target, connections: int, rounds: int, slice_s: float
) -> None:
    """Load both in turn and print one line."""
    for target in (bare, path):
        await _async_load(target, connections, _WARM_UP_S)
        target.clear()
    for i in range(rounds):
        for target in (bare, path) if i % 2 else (path, bare):
            await _async_load(target, connections, slice_s)
    line = {
        "bench": "path",
        "connections": connections,
        "bare": bare.as_dict(),
        "path": path.as_dict(),
        "per_core_ratio": round(path.per_core / bare.per_core, 3),
        "p50_ratio": round(path.percentile_ms(0.50) / bare.percentile_ms(0.50), 3),
        "p99_ratio": round(path.percentile_ms(0.99) / bare.percentile_ms(0.99), 3),
    }
    print(json.dumps(line), flush=True)


@contextlib.contextmanager
def _targets() -> Iterator[tuple[Target, Target]]:
    """Run all processes of both."""
    upstream, bare = free_port(), free_port()
    with contextlib.ExitStack() as stack:
        serving = started("upstream", "bench.reference", "upstream", str(upstream))
        wait_for_port(stack.enter_context(serving), upstream)
        serving = started("bare", "bench.reference", "bare", str(bare), str(upstream))
        process = stack.enter_context(serving)
        wait_for_port(process, bare)
        path = stack.enter_context(running_path(upstream, lambda _, port: port))
        yield (
            Target("bare", bare, "/item", [process]),
            Target("path", path.entry_port, f"{path.base_path}/item", [path.entry, path.side]),
        )


def main(argv: list[str]) -> int:
    """Print one JSON object for each number of connections."""
    parser = argparse.ArgumentParser(prog="bench path", description=__doc__)
    parser.add_argument("--connections", type=int, nargs="*", default=_CONNECTIONS)
    parser.add_argument("--rounds", type=int, default=_ROUNDS)
    parser.add_argument("--slice-seconds", type=float, default=_SLICE_S)
    args = parser.parse_args(argv)
    wrong = 0
    with _targets() as (bare, path):
        for connections in args.connections:
            bare.clear()
            path.clear()
            asyncio.run(_async_compare(bare, path, connections, args.rounds, args.slice_seconds))
            wrong += bare.wrong + path.wrong
    return 1 if wrong else 0
