"""An entry in this process that answers the command line as a test tells it to."""

import asyncio
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["FakeEntry", "serve_fake_entry"]


@attrs.define
class FakeEntry:
    """An entry whose records and next answers a test sets."""

    url: str = ""
    records: list[dict[str, Any]] = attrs.field(factory=list)
    answers: list[tuple[int, dict[str, Any]] | None] = attrs.field(factory=list)
    posted: list[dict[str, Any]] = attrs.field(factory=list)
    ids: list[str] = attrs.field(factory=list)
    authorizations: list[str] = attrs.field(factory=list)
    paths: list[str] = attrs.field(factory=list)


class _Handler(RequestHandler):
    """Answer as the fake entry was told."""

    def initialize(self, fake: FakeEntry) -> None:
        """Take the fake."""
        self._fake = fake

    def prepare(self) -> None:
        """Note the call."""
        self._fake.paths.append(self.request.uri or "")
        self._fake.authorizations.append(self.request.headers.get("Authorization", ""))

    def get(self) -> None:
        """Answer with records or the status."""
        if self._fake.answers:
            self._answer()
            return
        self.finish({"offset": 9, "records": self._fake.records, "role": "entry"})

    def delete(self) -> None:
        """Release a request, or answer as told."""
        if self._fake.answers:
            self._answer()
            return
        self.finish({"released": True})

    def post(self) -> None:
        """Take a record."""
        record = json.loads(self.request.body)
        self._fake.ids.append(record.pop("id"))
        self._fake.posted.append(record)
        if self._fake.answers:
            self._answer()
            return
        self.set_status(201)
        self.finish({**record, "revision": 40 + len(self._fake.posted)})

    def _answer(self) -> None:
        """Give the next answer that was set; None closes the connection without one."""
        answer = self._fake.answers.pop(0)
        if answer is None:
            self.request.connection.close()  # type: ignore[union-attr]
            return
        self.set_status(answer[0])
        self.finish(json.dumps(answer[1]))


@contextmanager
def serve_fake_entry() -> Iterator[FakeEntry]:
    """Serve a fake entry from a thread, since each command runs a loop of its own."""
    fake = FakeEntry()
    ready = threading.Event()
    loop = asyncio.new_event_loop()

    async def async_serve() -> None:
        server = HTTPServer(Application([(".*", _Handler, {"fake": fake})]))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        fake.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        stop = asyncio.Event()
        stops.append(stop)
        ready.set()
        await stop.wait()
        server.stop()
        await server.close_all_connections()

    stops: list[asyncio.Event] = []
    thread = threading.Thread(target=loop.run_until_complete, args=(async_serve(),))
    thread.start()
    assert ready.wait(10)
    yield fake
    loop.call_soon_threadsafe(stops[0].set)
    thread.join(10)
    loop.close()
