"""Bad input to the HTTP server, over real connections."""

import asyncio
import json
import socket
import time
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.web import Application, RequestHandler

from cranberryline.helpers.http_server import InputLimits, open_http_server
from cranberryline.helpers.metrics import Metrics

_MAX_BODY = 1000
_MAX_HEADER = 2000
_SLOW = timedelta(seconds=0.3)
_METRIC = "cranberryline_refusals_total"

Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, Any]]


class _Echo(RequestHandler):
    """Tell how much came, and note every request that was run."""

    ran: list[int]

    def initialize(self, ran: list[int]) -> None:
        """Take the list of requests that were run."""
        self.ran = ran

    def post(self) -> None:
        """Answer with the length of the body."""
        self.ran.append(len(self.request.body))
        self.finish(str(len(self.request.body)))

    get = post


def _talk(talk: Talk, slow: timedelta = _SLOW) -> tuple[Any, Metrics, list[int]]:
    """Run a conversation with a new server; return its result, the metrics and what was run."""
    metrics, ran = Metrics(), []

    async def async_run() -> Any:
        app = Application([(".*", _Echo, {"ran": ran})], log_function=lambda _: None)
        limits = InputLimits(_MAX_BODY, _MAX_HEADER, slow)
        port = _free_port()
        server = open_http_server(app, f"127.0.0.1:{port}", limits, metrics)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            async with asyncio.timeout(20):
                return await talk(reader, writer)
        finally:
            writer.close()
            server.stop()
            await server.close_all_connections()

    return asyncio.run(async_run()), metrics, ran


def _free_port() -> int:
    """Return a port that was free just now."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


async def _async_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read one answer with a declared length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    return int(head.split()[1]), await reader.readexactly(int(lines["Content-Length"]))


def _post(length: int, *headers: str) -> bytes:
    """Return the head of a POST with a declared length."""
    lines = ["POST / HTTP/1.1", "Host: x", f"Content-Length: {length}", *headers, "", ""]
    return "\r\n".join(lines).encode()


def _check_refusal(answer: tuple[int, bytes], status: int, reason: str) -> None:
    """Check that an answer is the problem that was expected, and says that nothing ran."""
    body = json.loads(answer[1])
    assert (answer[0], body["status"], body["reason"], body["ran"]) == (
        status,
        status,
        reason,
        "no",
    )


@given(st.integers(0, 3 * _MAX_BODY))
def test_bodies_pass_up_to_the_limit(length: int) -> None:
    """One byte more is refused, and the connection serves the next request all the same."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        writer.write(_post(length) + b"x" * length)
        first = await _async_answer(reader)
        writer.write(_post(3) + b"abc")
        return first, await _async_answer(reader)

    (first, second), metrics, ran = _talk(talk)
    assert second == (200, b"3")
    if length <= _MAX_BODY:
        assert first == (200, str(length).encode())
        assert ran == [length, 3]
        return
    _check_refusal(first, 413, "body_too_large")
    assert ran == [3]
    assert metrics.value(_METRIC, reason="body_too_large") == 1


def test_a_chunked_body_is_bounded_too() -> None:
    """Its length is not known before; what came of it is let go of, not kept to its end."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(30):
            writer.write(b"64\r\n" + b"x" * 100 + b"\r\n")
        writer.write(b"0\r\n\r\n")
        return await _async_answer(reader)

    answer, metrics, ran = _talk(talk)
    _check_refusal(answer, 413, "body_too_large")
    assert ran == []
    assert metrics.value(_METRIC, reason="body_too_large") == 1


@pytest.mark.parametrize("headers", [("Expect: 100-continue",), ()])
def test_a_body_far_over_the_limit_is_refused_before_it_is_sent(headers: tuple[str, ...]) -> None:
    """Who waits to be told to go on, or announces a thousand times too much, is answered at once."""
    length = _MAX_BODY + 1 if headers else 10**12

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        writer.write(_post(length, *headers))
        return await _async_answer(reader), await reader.read()

    (answer, rest), _, ran = _talk(talk)
    _check_refusal(answer, 413, "body_too_large")
    assert (rest, ran) == (b"", [])


@pytest.mark.parametrize("size", [_MAX_HEADER, 50 * _MAX_HEADER])
def test_long_headers_are_refused(size: int) -> None:
    """A caller with too many cookies reads why, in place of a closed connection."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        writer.write(f"GET / HTTP/1.1\r\nHost: x\r\nX-Long: {'y' * size}\r\n\r\n".encode())
        return await _async_answer(reader)

    answer, metrics, ran = _talk(talk)
    _check_refusal(answer, 431, "headers_too_large")
    assert ran == []
    assert metrics.value(_METRIC, reason="headers_too_large") == 1


def test_a_slow_sender_is_refused_and_let_go() -> None:
    """A caller declares ten bytes, sends three and falls silent, with its connection open.

    It would hold the connection and what it sent for as long as it likes. After the time for a body
    it is told so, nothing is run, and the connection ends.
    """

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        writer.write(_post(10) + b"abc")
        return await _async_answer(reader), await reader.read()

    (answer, rest), metrics, ran = _talk(talk)
    _check_refusal(answer, 408, "slow_sender")
    assert (rest, ran) == (b"", [])
    assert metrics.value(_METRIC, reason="slow_sender") == 1


def test_slow_headers_are_refused_and_let_go() -> None:
    """Guards against a sender who holds a connection by a header every now and then."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        writer.write(_post(3) + b"abc")
        first = await _async_answer(reader)
        answer = asyncio.ensure_future(_async_answer(reader))
        began = asyncio.get_running_loop().time()
        for byte in b"POST / HTTP/1.1":
            if answer.done():
                break
            writer.write(bytes((byte,)))
            await asyncio.sleep(0.15)
        took = asyncio.get_running_loop().time() - began
        return first, await answer, await reader.read(), took

    (first, answer, rest, took), metrics, ran = _talk(talk)
    assert first == (200, b"3")
    _check_refusal(answer, 408, "slow_headers")
    assert (rest, ran) == (b"", [3]) and took < 2.0
    assert metrics.value(_METRIC, reason="slow_headers") == 1


def test_a_pause_of_the_process_is_not_counted_as_the_senders() -> None:
    """Guards against refusals of senders whose headers were under way while a gateway stood still."""
    slow = timedelta(seconds=1.5)

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        head = _post(3)
        writer.write(head[:9])
        await asyncio.sleep(0.7)
        time.sleep(2 * slow.total_seconds())  # noqa: ASYNC251 - the process stands still
        await asyncio.sleep(0.1)
        writer.write(head[9:] + b"abc")
        return await _async_answer(reader)

    answer, _, _ = _talk(talk, slow)
    assert answer == (200, b"3")


def test_a_connection_without_a_request_may_rest() -> None:
    """Guards against the time for headers ending connections that callers keep for later."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        answers = []
        for _ in range(2):
            await asyncio.sleep(1.5)
            writer.write(_post(3) + b"abc")
            answers.append(await _async_answer(reader))
        return answers

    answers, _, _ = _talk(talk)
    assert answers == [(200, b"3")] * 2


def test_a_body_in_time_leaves_no_timer_behind() -> None:
    """A request that was sent in time is not refused while it, or the next one, is served."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        answers = []
        for _ in range(4):
            writer.write(_post(3) + b"abc")
            answers.append(await _async_answer(reader))
            await asyncio.sleep(_SLOW.total_seconds() / 2)
        return answers

    answers, _, ran = _talk(talk)
    assert answers == [(200, b"3")] * 4
    assert ran == [3] * 4


@given(st.binary(max_size=300))
def test_any_bytes_disturb_no_one_else(noise: bytes) -> None:
    """Whatever one connection sends, another one is served."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        port = writer.get_extra_info("peername")[1]
        writer.write(noise)
        other_reader, other = await asyncio.open_connection("127.0.0.1", port)
        other.write(_post(3) + b"abc")
        answer = await _async_answer(other_reader)
        other.close()
        return answer

    answer, _, _ = _talk(talk)
    assert answer == (200, b"3")
