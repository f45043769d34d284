"""A stand-in for the users' platform's store: its log calls over HTTP, with faults."""

import asyncio
import base64
import struct
from collections import Counter, defaultdict
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["PlatformStore"]

_LENGTH = struct.Struct(">I")
_POSITIONS = struct.Struct(">QQ")


class PlatformStore:
    """Topics in memory; `down` answers 503, `lose` loses answers, `append_s` is what an append takes.

    Calls about the topics that are `out` are answered 503, and appends to those that are `full`.

    `page` is how many of the newest records go into one answer.
    """

    def __init__(self) -> None:
        self.records: dict[tuple[str, int], list[bytes]] = defaultdict(list)
        self.first: dict[tuple[str, int], int] = defaultdict(int)
        self.down = False
        self.out: set[str] = set()
        self.full: set[str] = set()
        self.lose = 0
        self.append_s = 0.0
        self.page = 2
        self.calls: Counter[str] = Counter()
        self.address = ""
        self._grown = asyncio.Event()
        self._server: HTTPServer | None = None

    def start(self) -> None:
        """Listen on a free port of loopback."""
        store = {"store": self}
        app = Application(
            [
                ("/api/log-append", _Append, store),
                ("/api/log-read", _Read, store),
                ("/api/log-newest", _Newest, store),
                ("/api/log-trim", _Trim, store),
            ],
            log_function=lambda _: None,
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def append(self, topic: str, part: int, records: list[bytes]) -> tuple[int, int]:
        """Append and wake who waits; return the first offset and the end."""
        kept = self.records[(topic, part)]
        offset = len(kept)
        kept += records
        self._grown.set()
        self._grown = asyncio.Event()
        return offset, len(kept)

    def put(self, topic: str, key: str, value: Any) -> None:
        """Set a key as the operator, a trainer or a sampler does; None drops it."""
        data = b"" if value is None else msgspec.json.encode(value)
        name = key.encode()
        self.append(topic, 0, [bytes([len(name)]) + name + data])

    async def async_grown(self, seconds: float) -> None:
        """Wait for the next append, or for the time given."""
        try:
            async with asyncio.timeout(seconds):
                await self._grown.wait()
        except TimeoutError:
            return


class _Call(RequestHandler):
    def initialize(self, store: PlatformStore) -> None:
        """Take the store."""
        self.store = store

    def prepare(self) -> None:
        """Count the call, and answer 503 while the store is down."""
        self.store.calls[type(self).__name__.lstrip("_").lower()] += 1
        if self.store.down or self.where[0] in self.store.out:
            self.set_status(503)
            self.finish()

    @property
    def where(self) -> tuple[str, int]:
        """Return the topic and partition of the call."""
        return self.get_query_argument("topic"), int(self.get_query_argument("part", "0"))


class _Append(_Call):
    async def post(self) -> None:
        """Append all records of the body, or none."""
        if self.where[0] in self.store.full:
            self.set_status(503)
            return
        await asyncio.sleep(self.store.append_s)
        records, at, body = [], 0, self.request.body
        while at < len(body):
            (size,) = _LENGTH.unpack_from(body, at)
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        expected = self.get_query_argument("at", None)
        end = len(self.store.records[self.where])
        if expected is not None and int(expected) != end:
            self.set_status(412)
            self.finish({"end": end})
            return
        offset, end = self.store.append(*self.where, records)
        if self.store.lose:
            self.store.lose -= 1
            await asyncio.sleep(60)
        self.finish({"offset": offset, "end": end})


class _Read(_Call):
    async def get(self) -> None:
        """Return records from an offset on, waiting for the first."""
        start, wait = int(self.get_query_argument("from")), self.get_query_argument("wait_ms", "0")
        if start < self.store.first[self.where]:
            self.set_status(410)
            self.finish({"first": self.store.first[self.where]})
            return
        loop = asyncio.get_running_loop()
        give_up = loop.time() + int(wait) / 1000
        # An append to another partition wakes this call too, and is no reason to answer it.
        while len(self.store.records[self.where]) <= start and loop.time() < give_up:
            await self.store.async_grown(give_up - loop.time())
        kept = self.store.records[self.where]
        head = _POSITIONS.pack(len(kept), self.store.first[self.where])
        self.finish(head + self._page(kept[start:]))

    def _page(self, records: list[bytes]) -> bytes:
        """Return the first records, as many as were asked for at most but one at least."""
        most = 1024 * int(self.get_query_argument("max_kb", "1024"))
        page = b""
        for record in records:
            packed = _LENGTH.pack(len(record)) + record
            if page and len(page) + len(packed) > most:
                break
            page += packed
        return page


class _Trim(_Call):
    @property
    def where(self) -> tuple[str, int]:
        """Return the topic and partition, which stand in the body of this call."""
        asked = msgspec.json.decode(self.request.body)
        return asked["topic"], asked["part"]

    def post(self) -> None:
        """Delete the records before an offset."""
        before = msgspec.json.decode(self.request.body)["before"]
        self.store.first[self.where] = max(self.store.first[self.where], before)
        self.finish({})


class _Newest(_Call):
    def get(self) -> None:
        """Return the newest record of each key, some to a page."""
        rows: dict[str, dict[str, Any]] = {}
        kept = self.store.records[self.where]
        for offset, record in enumerate(kept):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            rows[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            if not value:
                del rows[key]
        after = self.get_query_argument("after", "")
        left = [rows[key] for key in sorted(rows) if key > after]
        page = self.store.page
        self.finish({"items": left[:page], "has_more": len(left) > page, "end": len(kept)})
