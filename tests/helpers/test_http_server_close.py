"""The end of a server: what it still takes is answered, and what it no longer answers is not taken."""

import asyncio
from datetime import timedelta

import pytest
from tornado.web import Application, RequestHandler

from cranberryline.helpers.http_server import InputLimits, open_http_server
from cranberryline.helpers.metrics import Metrics
from stand_ins.process import free_ports

_REQUEST = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"
_CONNECTIONS = 8


class _Slow(RequestHandler):
    """Note each request that is taken, and take a while over it."""

    taken: list[str]

    def initialize(self, taken: list[str]) -> None:
        """Take the list of what was taken."""
        self.taken = taken

    async def get(self) -> None:
        """Answer after a moment, as a gateway does that passes a request on."""
        self.taken.append(self.request.path)
        await asyncio.sleep(0.05)
        self.finish("done")


async def _async_open(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection and use it once, so that it is kept."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(_REQUEST % b"first")
    await reader.readuntil(b"done")
    return reader, writer


def test_a_server_that_closes_takes_nothing_that_it_will_not_answer() -> None:
    """A gateway stops; nothing is in flight, so it closes the connections that callers keep.

    Closed one after the other, each waited for, the last ones are still read from: a caller's next
    request there is passed on, and cut off when its connection's turn comes.
    """

    async def scene() -> None:
        taken: list[str] = []
        app = Application([(r".*", _Slow, {"taken": taken})], log_function=lambda _: None)
        (port,) = free_ports(1)
        limits = InputLimits(1000, 1000, timedelta(seconds=1))
        server = open_http_server(app, f"127.0.0.1:{port}", limits, Metrics())
        kept = [await _async_open(port) for _ in range(_CONNECTIONS)]
        taken.clear()
        server.stop()
        closing = asyncio.ensure_future(server.close_all_connections())
        await asyncio.sleep(0)
        for number, (_, writer) in enumerate(kept):
            writer.write(_REQUEST % str(number).encode())
        await closing
        answers = [await reader.read() for reader, _ in kept]
        assert len(taken) == sum(answer.endswith(b"done") for answer in answers)

    asyncio.run(scene())


@pytest.mark.parametrize("turns", range(8))
def test_a_request_counts_from_the_read_of_its_headers(turns: int) -> None:
    """A request comes on a kept connection: from the read on, its connection is not at rest.

    Its headers are parsed some turns of the loop after they were read. Counted from the start of its
    handler, it could be closed in between by a stop that sees no work.
    """

    async def scene() -> None:
        taken: list[str] = []
        app = Application([(r".*", _Slow, {"taken": taken})], log_function=lambda _: None)
        (port,) = free_ports(1)
        server = open_http_server(
            app, f"127.0.0.1:{port}", InputLimits(1000, 1000, timedelta(seconds=1)), Metrics()
        )
        reader, writer = await _async_open(port)
        taken.clear()
        assert (server.open_requests, server.at_rest) == (0, 1)
        writer.write(_REQUEST % b"next")
        for _ in range(turns):
            await asyncio.sleep(0)
        (conn,) = server._connections
        read = not conn.stream.reading() or bool(taken)
        assert server.open_requests == read
        await reader.readuntil(b"done")
        await asyncio.sleep(0.01)
        assert (server.open_requests, server.at_rest) == (0, 1)
        writer.close()
        server.stop()

    asyncio.run(scene())
