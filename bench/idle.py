"""Measure what an idle entry and an idle side process cost: CPU, memory, bytes, time to start."""

import argparse
import asyncio
import contextlib
import json
import threading
import time
from collections import Counter
from collections.abc import Iterator

import attrs

from .processes import Process, free_port, running_path, started, wait_for_port

__all__ = ["Relays", "main", "relays_running"]

_SETTLE_S = 12.0
_MEASURE_S = 60.0
_READ_BYTES = 65536
_MINUTE_S = 60.0


@attrs.define
class Relays:
    """Pass connections on and count their bytes, both ways, under each relay's name.

    The machine counts bytes by interface, which holds everybody's; a relay on each connection of
    the idle processes counts theirs alone.
    """

    counted: Counter[str] = attrs.field(factory=Counter)
    loop: asyncio.AbstractEventLoop = attrs.field(factory=asyncio.new_event_loop)

    def route(self, name: str, port: int) -> int:
        """Start a relay before a port and return the relay's port."""
        return asyncio.run_coroutine_threadsafe(self._async_listen(name, port), self.loop).result()

    async def _async_listen(self, name: str, port: int) -> int:
        """Listen for one relay."""

        async def async_accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError):
                upstream = await asyncio.open_connection("127.0.0.1", port)
                out = self._async_copy(name, reader, upstream[1])
                back = self._async_copy(name, upstream[0], writer)
                await asyncio.gather(out, back)

        server = await asyncio.start_server(async_accept, "127.0.0.1", 0)
        address: tuple[str, int] = server.sockets[0].getsockname()
        return address[1]

    async def _async_copy(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy one direction to its end."""
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                self.counted[name] += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()


@contextlib.contextmanager
def relays_running() -> Iterator[Relays]:
    """Run the relays' loop in a thread."""
    relays = Relays()
    thread = threading.Thread(target=relays.loop.run_forever, daemon=True)
    thread.start()
    yield relays
    relays.loop.call_soon_threadsafe(relays.loop.stop)
    thread.join()


def _line(process: Process, cpu_s: float, wall_s: float, ready_s: float, sent: int) -> str:
    """Return one process's figures."""
    figures = {
        "bench": "idle",
        "process": process.name,
        "seconds": round(wall_s, 1),
        "cpu_percent": round(100 * cpu_s / wall_s, 3),
        "resident_mib": round(process.resident_mib(), 1),
        "bytes_per_minute": round(sent * _MINUTE_S / wall_s),
        "start_to_ready_s": round(ready_s, 2),
    }
    return json.dumps(figures)


def main(argv: list[str]) -> int:
    """Print one JSON object for each process."""
    parser = argparse.ArgumentParser(prog="bench idle", description=__doc__)
    parser.add_argument("--seconds", type=float, default=_MEASURE_S)
    parser.add_argument("--settle-seconds", type=float, default=_SETTLE_S)
    args = parser.parse_args(argv)
    upstream = free_port()
    with contextlib.ExitStack() as stack:
        serving = started("upstream", "bench.reference", "upstream", str(upstream))
        wait_for_port(stack.enter_context(serving), upstream)
        relays = stack.enter_context(relays_running())
        path = stack.enter_context(running_path(upstream, relays.route))
        time.sleep(args.settle_seconds)
        processes = (path.entry, path.side)
        cpu_before = [process.cpu_seconds() for process in processes]
        bytes_before, began = Counter(relays.counted), time.monotonic()
        time.sleep(args.seconds)
        wall_s = time.monotonic() - began
        cpu = [p.cpu_seconds() - before for p, before in zip(processes, cpu_before, strict=True)]
        sent = relays.counted - bytes_before
        peer = sent["peer"]
        entry_bytes = peer + sent["vms"] + sent["entry_log"]
        side_bytes = peer + sent["side_log"]
        print(_line(path.entry, cpu[0], wall_s, path.entry_ready_s, entry_bytes))
        print(_line(path.side, cpu[1], wall_s, path.side_ready_s, side_bytes))
    return 0
