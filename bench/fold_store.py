"""The store's stand-in in a process of its own, which plays a load when told."""

import asyncio
import multiprocessing
from multiprocessing.connection import Connection
from typing import Any

from stand_ins.platform_store import PlatformStore

from .fold_load import Load

__all__ = ["StoreProcess"]

_PLAY, _CALLS, _END = "play", "calls", "end"
_END_SECONDS = 5
_PAGE = 500


class StoreProcess:
    """A store with jobs of the past in it; this process's time is then the gateway's alone."""

    def __init__(self, load: Load, past: int, seconds: float, config: dict[str, Any]) -> None:
        context = multiprocessing.get_context("spawn")
        self._conn, theirs = context.Pipe()
        args = (theirs, load, past, seconds, config)
        self._process = context.Process(target=_serve, args=args, daemon=True)
        self._process.start()
        self.address: str = self._conn.recv()

    def play(self) -> None:
        """Append each record of the load at its time from now on."""
        self._conn.send(_PLAY)

    def calls(self) -> dict[str, int]:
        """Return how many calls of each kind there were."""
        self._conn.send(_CALLS)
        answer: dict[str, int] = self._conn.recv()
        return answer

    def stop(self) -> None:
        """End the process."""
        self._conn.send(_END)
        self._process.join(_END_SECONDS)


def _serve(conn: Connection, load: Load, past: int, seconds: float, config: dict[str, Any]) -> None:
    asyncio.run(_async_serve(conn, load, past, seconds, config))


async def _async_serve(
    conn: Connection, load: Load, past: int, seconds: float, config: dict[str, Any]
) -> None:
    store = PlatformStore()
    store.page = _PAGE
    store.start()
    store.put("keyed.op", "config", config)
    for record in [*load.fleet(), *load.past(past)]:
        store.append(record.topic, record.part, record.records)
    stream = load.stream(seconds) if seconds else []
    conn.send(store.address)
    loop = asyncio.get_running_loop()
    while (told := await loop.run_in_executor(None, conn.recv)) != _END:
        if told == _CALLS:
            conn.send(dict(store.calls))
            continue
        for record in stream:
            loop.call_later(record.at, store.append, record.topic, record.part, record.records)
