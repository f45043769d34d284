"""Host many small peers in one process: side processes before an entry, or entries.

Each speaks the real transport and keeps a real fold; nothing stands behind it. Run as
`python -m bench.capacity.peers sides PORT...` or `... entries LISTEN_PORT DIAL_PORT COUNT`.
"""

import asyncio
import sys
from collections.abc import Callable
from datetime import UTC, datetime

import zmq

from cranberryline.configs.fold import ConfigFold
from cranberryline.configs.relay import ConfigRelay
from cranberryline.helpers.clock import SystemClock
from cranberryline.ports.model import LogRecord
from cranberryline.transport import Connection, Dialer, DialerEvents, Listener, ListenerEvents
from cranberryline.transport.model import (
    ConfigDelta,
    ConfigRequest,
    Hello,
    Load,
    Message,
    Welcome,
)

__all__ = ["SERVICE_RECORD", "entry_name", "main", "side_name"]

_SERVICE = "bench"
_SLOTS = 64
_ADDRESS = "tcp://127.0.0.1"
SERVICE_RECORD = {
    "kind": "service",
    "name": _SERVICE,
    "schema": 1,
    "amends": 0,
    "spec": {"type": "plain", "concurrency": _SLOTS},
}


def side_name(number: int) -> str:
    """Return a hosted side process's VM id."""
    return f"{_SERVICE}-{number}"


def entry_name(number: int) -> str:
    """Return a hosted entry's VM id."""
    return f"hosted-{number}"


def _answer(relay: ConfigRelay, peer: str, msg: Message, send: Callable[[Message], object]) -> None:
    """Take configuration, or answer a request for it."""
    if isinstance(msg, ConfigRequest):
        reply = relay.on_request(peer, msg)
    elif isinstance(msg, ConfigDelta):
        reply = relay.on_delta(peer, msg).reply
    else:
        return
    if reply is not None:
        send(reply)


class _Side(ListenerEvents):
    """Greet, acknowledge, report load, keep the configuration; never answer a request."""

    def __init__(self, ctx: zmq.Context, vm_id: str, port: int) -> None:
        self._relay = ConfigRelay(ConfigFold())
        self._vm_id = vm_id
        address = f"{_ADDRESS}:{port}"
        self._listener = Listener(ctx, address, SystemClock(), self._welcome, self)

    def on_connected(self, conn: Connection) -> None:
        """Ask for the configuration."""
        self._listener.send(conn, ConfigRequest(self._relay.fold.offset + 1))

    def on_heartbeat(self, conn: Connection) -> None:
        """Report load, as a side process does."""
        self._listener.send(conn, Load(0, 0, 0, _SLOTS, None, self.config_offset()))

    def on_message(self, conn: Connection, msg: Message) -> None:
        """Take configuration."""
        _answer(self._relay, conn.vm_id, msg, lambda reply: self._listener.send(conn, reply))

    def config_offset(self) -> int:
        """Return how much configuration there is."""
        return self._relay.fold.offset

    def _welcome(self) -> Welcome:
        return Welcome(
            self._vm_id, f"{self._vm_id}-1", _SERVICE, "one", self.config_offset(), False
        )


class _Entry(DialerEvents):
    """Dial one process, and keep or hand out the configuration."""

    def __init__(self, ctx: zmq.Context, vm_id: str, port: int, seeded: bool) -> None:
        self._relay = ConfigRelay(ConfigFold())
        self._vm_id = vm_id
        if seeded:
            self._relay.fold_record(LogRecord(1, datetime.now(UTC), "bench", SERVICE_RECORD))
        ids = iter(range(sys.maxsize))
        self.dialer = Dialer(
            ctx,
            SystemClock(),
            vm_id,
            f"{_ADDRESS}:{port}",
            self._hello,
            self,
            lambda: next(ids),
        )

    def on_config(self, peer: Dialer, msg: ConfigDelta | ConfigRequest) -> None:
        """Take configuration, or answer a request for it."""
        _answer(self._relay, peer.vm_id, msg, peer.send)

    def config_offset(self) -> int:
        """Return how much configuration there is."""
        return self._relay.fold.offset

    def _hello(self) -> Hello:
        return Hello(self._vm_id, f"{self._vm_id}-1", "entry", "one", self.config_offset())


async def _async_sides(ports: list[int]) -> None:
    ctx = zmq.Context()
    sides = [_Side(ctx, side_name(number), port) for number, port in enumerate(ports)]
    await asyncio.sleep(len(sides) and 3600)


async def _async_entries(listen: int, dial: int, count: int) -> None:
    ctx = zmq.Context()
    listener = _Side(ctx, entry_name(0), listen)
    entries = [_Entry(ctx, entry_name(n), dial, seeded=True) for n in range(count)]
    await asyncio.gather(*(entry.dialer.async_run() for entry in entries))
    del listener


def main(argv: list[str]) -> None:
    """Host the peers until ended."""
    numbers = [int(text) for text in argv[1:]]
    if argv[0] == "sides":
        asyncio.run(_async_sides(numbers))
    else:
        asyncio.run(_async_entries(*numbers))


if __name__ == "__main__":
    main(sys.argv[1:])
