"""Short calls and the connections that polls keep, before a server that fails in each way."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

import pytest
from result import Ok

from cranberryline.ports.errors import PlatformReason
from cranberryline.ports.http import HttpOrigin
from cranberryline.ports.short_call import ShortCalls

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n"
SECOND = timedelta(seconds=1)
_Answer = Callable[[int, int, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """Hand each request to `answer`, with its connection's and its own number."""

    def __init__(self, answer: _Answer) -> None:
        self.connections = 0
        self.requests: list[bytes] = []
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def async_start(self) -> ShortCalls:
        """Listen, and return calls to it."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return ShortCalls(HttpOrigin(f"http://127.0.0.1:{port}"))

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        connection = self.connections
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                if not await self._answer(connection, len(self.requests), writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


def _play(scene: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scene)


def _always(data: bytes, stay: bool = True) -> _Answer:
    async def answer(_connection: int, _number: int, writer: asyncio.StreamWriter) -> bool:
        writer.write(data)
        await writer.drain()
        return stay

    return answer


@pytest.mark.parametrize(
    "data",
    [
        WHOLE,
        CHUNKED,
        b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE,
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
    ],
)
def test_an_answer_comes_back_whole_however_its_end_is_told(data: bytes) -> None:
    """By a length, in chunks, behind an interim answer, or by the end of its connection."""

    async def scene() -> None:
        calls = await Server(_always(data, stay=False)).async_start()
        assert await calls.async_call("GET", "/x", b"", SECOND) == Ok((200, b"ok"))

    _play(scene())


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", PlatformReason.CUT),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", PlatformReason.CUT),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", PlatformReason.CUT),
        (b"nonsense\r\n\r\n", PlatformReason.BAD_ANSWER),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", PlatformReason.BAD_ANSWER),
    ],
)
def test_an_answer_that_is_not_whole_leaves_it_open_whether_the_call_was_made(
    data: bytes, reason: PlatformReason
) -> None:
    """The server ends before its answer does, or sends what is none: it may have done what was asked."""

    async def scene() -> None:
        calls = await Server(_always(data, stay=False)).async_start()
        error = (await calls.async_call("POST", "/x", b"body", SECOND)).unwrap_err()
        assert (error.reason, error.may_have_run) == (reason, True)

    _play(scene())


def test_a_server_that_cannot_be_reached_has_surely_not_run_the_call() -> None:
    """Nothing listens there: nothing was sent."""

    async def scene() -> None:
        error = (
            await ShortCalls(HttpOrigin("http://127.0.0.1:1")).async_call("GET", "/", b"", SECOND)
        ).unwrap_err()
        assert (error.reason, error.may_have_run) == (PlatformReason.UNREACHABLE, False)

    _play(scene())


def test_polls_keep_their_connection_and_other_calls_have_one_each() -> None:
    """Ten polls take one connection, and three calls that are none take three more."""

    async def scene() -> None:
        server = Server(_always(WHOLE))
        calls = await server.async_start()
        for _ in range(10):
            assert (await calls.async_call("GET", "/x", b"", SECOND, "jobs/0")).is_ok()
        assert server.connections == 1
        for _ in range(3):
            assert (await calls.async_call("GET", "/x", b"", SECOND)).is_ok()
        assert server.connections == 4
        calls.close()

    _play(scene())


def test_two_polls_of_one_name_at_once_do_not_share_a_connection() -> None:
    """Each gets the answer to its own request."""

    async def answer(connection: int, _number: int, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.05)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % connection)
        return True

    async def scene() -> None:
        server = Server(answer)
        calls = await server.async_start()
        poll = [calls.async_call("GET", "/x", b"", SECOND, "jobs/0") for _ in range(2)]
        assert {found.unwrap()[1] for found in await asyncio.gather(*poll)} == {b"1", b"2"}
        calls.close()

    _play(scene())


def test_a_poll_whose_kept_connection_was_closed_is_made_again_on_a_new_one() -> None:
    """The server answers, and closes when the next request comes, as one that restarts does.

    Told as a failure of the store, it would send the gateway's calls through its peers.
    """

    async def answer(connection: int, number: int, writer: asyncio.StreamWriter) -> bool:
        if connection == 1 and number == 2:
            return False
        writer.write(WHOLE)
        return True

    async def scene() -> None:
        server = Server(answer)
        calls = await server.async_start()
        for _ in range(3):
            assert (await calls.async_call("GET", "/x", b"", SECOND, "jobs/0")).is_ok()
        assert server.connections == 2
        calls.close()

    _play(scene())


def test_a_connection_that_went_silent_costs_one_poll_and_is_not_used_again() -> None:
    """The kept connection says nothing more, for good, while new ones work.

    The poll on it ends when its own time is over, as it would on a new one; the next one is answered.
    """

    async def answer(connection: int, number: int, writer: asyncio.StreamWriter) -> bool:
        if connection > 1 or number == 1:
            writer.write(WHOLE)
        return True

    async def scene() -> None:
        server = Server(answer)
        calls = await server.async_start()
        short = timedelta(milliseconds=200)
        assert (await calls.async_call("GET", "/x", b"", short, "jobs/0")).is_ok()
        lost = await calls.async_call("GET", "/x", b"", short, "jobs/0")
        assert lost.unwrap_err().reason is PlatformReason.TIMEOUT
        assert (await calls.async_call("GET", "/x", b"", short, "jobs/0")).is_ok()
        calls.close()

    _play(scene())


def test_an_answer_that_tells_the_end_of_its_connection_leaves_none_behind() -> None:
    """The next poll opens a new one instead of meeting a closed one."""

    async def scene() -> None:
        closing = WHOLE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        server = Server(_always(closing))
        calls = await server.async_start()
        for _ in range(2):
            assert (await calls.async_call("GET", "/x", b"", SECOND, "jobs/0")).is_ok()
        assert server.connections == 2

    _play(scene())


def test_a_poll_that_is_cancelled_leaves_no_connection_behind() -> None:
    """Its answer, when it comes, would be taken for the next poll's."""

    async def answer(connection: int, _number: int, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.1 if connection == 1 else 0)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % connection)
        return True

    async def scene() -> None:
        server = Server(answer)
        calls = await server.async_start()
        left = asyncio.ensure_future(calls.async_call("GET", "/x", b"", SECOND, "jobs/0"))
        await asyncio.sleep(0.05)
        left.cancel()
        await asyncio.wait((left,))
        assert (await calls.async_call("GET", "/x", b"", SECOND, "jobs/0")).unwrap()[1] == b"2"
        calls.close()

    _play(scene())
