"""Callers whose connections stay open until the gateway's process is gone."""

import asyncio
from contextlib import suppress

from .model import ALPHA_KEY, HOST, Book
from .world import World

__all__ = ["Holders"]

_ANSWER_S = 4.0
_PAUSE_S = 0.4
_AGAIN_S = 0.2


class Holders:
    """Half of them ask now and then on one connection; half sent the start of a request, and wait."""

    def __init__(self, world: World, book: Book) -> None:
        self._world = world
        self._book = book
        self._asked = 0

    async def async_hold(self, number: int) -> None:
        """Hold connections to one gateway, one after another, until cancelled."""
        gateway = number % len(self._world.fronts)
        while True:
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._world.fronts[gateway]
                )
                try:
                    await self._async_use(reader, writer, number < len(self._world.fronts))
                finally:
                    writer.close()
            await asyncio.sleep(_AGAIN_S)

    async def _async_use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, whole: bool
    ) -> None:
        while whole:
            self._asked += 1
            name = f"safe-held{self._asked}"
            writer.write(_head(name) + b"{}")
            async with asyncio.timeout(_ANSWER_S):
                await self._async_answer(reader, name)
            await asyncio.sleep(_PAUSE_S)
        writer.write(_head("safe-half"))
        # An end, or an answer such as 408; anything else would be an answer to no request.
        data = await reader.read(64)
        if data.startswith(b"HTTP/1.1 2"):
            self._book.break_promise("answer_to_none", repr(data))
        self._book.counts["held_to_the_end"] += 1

    async def _async_answer(self, reader: asyncio.StreamReader, name: str) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        status = head[0].split()[1]
        self._book.counts[f"held_{status}"] += 1
        right = (f"answer to {name}".encode(), f"seal-{name}")
        if status == "200" and (body, fields.get("response-seal")) != right:
            self._book.break_promise("own_whole_answer", f"{name}: {head} {body!r}")


def _head(name: str) -> bytes:
    lines = (
        "POST /safe/x HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {name}",
        f"Api-Key: {ALPHA_KEY}",
        "Deadline-Ms: 3000",
        "Content-Length: 2",
        "",
        "",
    )
    return "\r\n".join(lines).encode()
