"""A plain sampler that writes its answers byte by byte, so that it can also send one a second time.

Else it does what the users' pages say of samplers: it runs `slots` requests at once, queues a few more, turns
the rest away with 503 and `Not-Run`, echoes the id of each request, and keeps its channels.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from .world import Record


class PlainSampler:
    """One start of a plain sampler.

    While `garbles` returns True, at most `share` of its answers are sent a second time, late: at the point
    where the next answer on their channel is expected.
    """

    def __init__(
        self,
        service: str,
        number: int,
        record: Record,
        work_s: float,
        garbles: Callable[[], bool] = lambda: False,
        share: float = 0.0,
        slots: int = 6,
        queue: int = 3,
    ) -> None:
        self.service = service
        self.id = f"i-{number:08x}"
        self.slots = slots
        self.queue = queue
        self.address = ""
        self.answers = 0
        self.extras = 0
        self.refusals = 0
        self.runs: list[str] = []
        self._record = record
        self._work_s = work_s
        self._garbles = garbles
        self._share = share
        self._luck = Random(number)
        self._held = 0
        self._turns = asyncio.Semaphore(self.slots)
        self._server: asyncio.Server | None = None
        self._channels: set[asyncio.StreamWriter] = set()

    async def async_listen(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening, and close all channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._channels):
            writer.close()

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "levis",
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 0,
        }

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        again = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                lines = (line.split(": ", 1) for line in head[1:] if ": " in line)
                fields = {name.lower(): value for name, value in lines}
                await reader.readexactly(int(fields.get("content-length", "0")))
                name = fields.get("attempt-id", "")
                if again:
                    self.extras += 1
                    told = again.split(b"\r\n")
                    self._record.line(
                        "extra_answer", sampler=self.id, on_the_channel_of=name, answer=told[:2]
                    )
                    writer.write(again)
                    again = b""
                answer = await self._async_answer(name, fields)
                self.answers += 1
                writer.write(answer)
                await writer.drain()
                if self._garbles() and self._may_garble():
                    again = answer
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the channel has ended, or this script has
        finally:
            self._channels.discard(writer)
            writer.close()

    def _may_garble(self) -> bool:
        allowed = self.extras + 1 <= self._share * self.answers
        return allowed and self._luck.random() < 2 * self._share

    async def _async_answer(self, name: str, fields: dict[str, str]) -> bytes:
        if fields.get("target-instance", self.id) != self.id:
            return _answer(421, name, "Not-Run: 1\r\n", b"")
        if self._held >= self.slots + self.queue:
            self.refusals += 1
            return _answer(503, name, "Not-Run: 1\r\n", b"")
        self._held += 1
        try:
            async with self._turns:
                self.runs.append(name)
                self._record.line("run", id=name, sampler=self.id)
                await asyncio.sleep(self._work_s)
        finally:
            self._held -= 1
        return _answer(200, name, f"Response-Seal: seal.{name}\r\n", f"answer to {name}".encode())


def _answer(status: int, name: str, more: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nAttempt-Id: {name}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body
