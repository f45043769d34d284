"""Kept connections: used again when quiet, never when bytes stand unread on them."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from cranberryline.ports.http import MAX_QUEUED_CHUNKS, HttpOrigin, KeptStreams, async_exchange
from cranberryline.ports.model import UpstreamRequest

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
TIMEOUT = timedelta(seconds=2)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def _async_serve(answers: list[bytes], counts: list[int], linger: float = 0.0) -> HttpOrigin:
    """Serve answers in turn on each connection, and count the connections."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        counts.append(1)
        try:
            for answer in answers:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        if linger:
            await asyncio.sleep(linger)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return HttpOrigin(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")


async def _async_get(origin: HttpOrigin, pool: KeptStreams) -> bytes:
    sent = await async_exchange(origin, UpstreamRequest("GET", "/x"), TIMEOUT, pool)
    return b"".join([chunk async for chunk in sent.unwrap().chunks()])


def test_a_connection_is_used_again() -> None:
    """Ten requests in turn take one connection."""

    async def scene() -> None:
        counts: list[int] = []
        origin, pool = await _async_serve([ANSWER] * 10, counts), KeptStreams()
        for _ in range(10):
            assert await _async_get(origin, pool) == b"ok"
            await asyncio.sleep(0)
        assert len(counts) == 1

    asyncio.run(scene())


def test_bytes_after_an_answer_reach_no_other_request() -> None:
    """The upstream sends a second answer that nobody asked for.

    Given to the next request it would be taken for that one's; the connection is closed instead.
    """

    async def scene() -> None:
        counts: list[int] = []
        extra = ANSWER + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
        origin, pool = await _async_serve([extra], counts), KeptStreams()
        for _ in range(3):
            assert await _async_get(origin, pool) == b"ok"
            await asyncio.sleep(0.05)
        assert len(counts) == 3

    asyncio.run(scene())


def test_an_announced_end_and_a_closed_connection_are_not_used() -> None:
    """`Connection: close`, and a connection that the upstream closed while it rested."""

    async def scene() -> None:
        for answer in (ANSWER.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"), ANSWER):
            counts: list[int] = []
            origin, pool = await _async_serve([answer], counts), KeptStreams()
            for _ in range(2):
                assert await _async_get(origin, pool) == b"ok"
                await asyncio.sleep(0.05)
            assert len(counts) == 2

    asyncio.run(scene())


def test_a_short_keep_alive_is_respected() -> None:
    """The upstream closes after a second: before that the connection is given up here."""

    async def scene() -> None:
        counts: list[int] = []
        answer = ANSWER.replace(b"OK\r\n", b"OK\r\nKeep-Alive: timeout=1\r\n")
        origin, pool = await _async_serve([answer] * 3, counts), KeptStreams()
        assert await _async_get(origin, pool) == b"ok"
        await asyncio.sleep(0.8)
        assert await _async_get(origin, pool) == b"ok"
        assert len(counts) == 2

    asyncio.run(scene())


def test_leaving_an_answer_does_not_cut_the_next_request() -> None:
    """A caller reads slowly, and leaves when all of its answer has come but the end of it.

    The connection had been given back with the answer's end, so another request was on it already:
    closed by who left, that one was cut at its upstream, which ran it for nobody.
    """

    async def scene() -> None:
        cut: list[str] = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            path = ""
            try:
                while True:
                    path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                    if path == "/long":
                        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        for _ in range(MAX_QUEUED_CHUNKS):
                            writer.write(b"2\r\nab\r\n")
                            await asyncio.sleep(0.02)
                        writer.write(b"0\r\n\r\n")
                        continue
                    await asyncio.sleep(0.3)
                    writer.write(ANSWER)
                    await writer.drain()
                    path = ""
            except (asyncio.IncompleteReadError, ConnectionError):
                cut.append(path)
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        origin = HttpOrigin(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
        pool = KeptStreams()
        long = await async_exchange(origin, UpstreamRequest("GET", "/long"), TIMEOUT, pool)
        await asyncio.sleep(0.2)
        following = asyncio.ensure_future(_async_get(origin, pool))
        await asyncio.sleep(0.1)
        await long.unwrap().async_close()
        assert await following == b"ok"
        assert "/x" not in cut
        server.close()

    asyncio.run(scene())


def test_only_sound_connections_are_counted() -> None:
    """A connection that was closed, or whose time is over, is counted as one that waits."""

    async def scene() -> None:
        counts: list[int] = []
        brief = ANSWER.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n", 1)
        lasting, pool = await _async_serve([ANSWER] * 9, counts), KeptStreams()
        await asyncio.gather(*(_async_get(lasting, pool) for _ in range(3)))
        short, expiring = await _async_serve([brief] * 9, counts), KeptStreams()
        await asyncio.gather(*(_async_get(short, expiring) for _ in range(2)))
        closed = KeptStreams()
        await _async_get(await _async_serve([ANSWER], counts, linger=0.3), closed)
        await asyncio.sleep(0)
        assert (pool.count(), expiring.count(), closed.count()) == (3, 2, 1)
        await asyncio.sleep(0.8)
        assert (pool.count(), expiring.count(), closed.count()) == (3, 0, 0)
        pool.close()
        assert pool.count() == 0

    asyncio.run(scene())
