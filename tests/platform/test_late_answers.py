"""Answers to other requests that arrive late on a kept connection to a sampler."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest

from cranberryline.platform.samplers import SamplerClient
from cranberryline.ports.model import UpstreamRequest, VmEntry, VmRole, VmState

TIMEOUT = timedelta(seconds=2)
REFUSED = "HTTP/1.1 503 X\r\nAttempt-Id: {}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = "HTTP/1.1 421 X\r\nAttempt-Id: {}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
SERVED = "HTTP/1.1 200 OK\r\nAttempt-Id: {0}\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\n{0}"


class Sampler:
    """Refuses or serves the first request, and sends that answer once more before the next one."""

    def __init__(self, first: str, work_s: float = 0.0) -> None:
        self.ran: list[str] = []
        self.channels = 0
        self.closed = 0
        self.is_full = True
        self._late = [first, first]
        self._work_s = work_s

    async def async_serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one channel."""
        self.channels += 1
        late = self._late if self.channels == 1 else []
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.split("Attempt-Id: ")[1][:2]
                if late:
                    writer.write(late.pop().encode())
                    await writer.drain()
                    if request_id == "r1" and self.is_full:
                        continue
                self.ran.append(request_id)
                await asyncio.sleep(self._work_s)
                writer.write(SERVED.format(request_id).encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        writer.close()


@asynccontextmanager
async def async_client(sampler: Sampler) -> AsyncIterator[SamplerClient]:
    """Serve a sampler, and yield a client of it."""
    server = await asyncio.start_server(sampler.async_serve, "127.0.0.1", 0)
    address = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    entry = VmEntry("i-1", VmRole.UPSTREAM, VmState.LIVE, "q1", "", address, "files", "i-1")
    try:
        yield SamplerClient(entry)
    finally:
        server.close()


def _request(request_id: str) -> UpstreamRequest:
    return UpstreamRequest("GET", "/x", (("Attempt-Id", request_id),))


@pytest.mark.parametrize("refusal", [REFUSED, MISDIRECTED])
def test_a_late_refusal_of_another_request_does_not_say_that_this_one_was_not_run(
    refusal: str,
) -> None:
    """Guards against running a request again that its upstream is at work on."""

    async def scene() -> None:
        sampler = Sampler(refusal.format("r1"), work_s=0.05)
        async with async_client(sampler) as client:
            first = await client.async_send(_request("r1"), TIMEOUT)
            assert not first.unwrap_err().may_have_run
            second = await client.async_send(_request("r2"), TIMEOUT)
            assert second.is_ok() or second.unwrap_err().may_have_run
            await asyncio.sleep(0.1)
            assert sampler.ran == ["r2"]

    asyncio.run(scene())


def test_the_answer_behind_a_late_one_of_another_request_is_the_callers() -> None:
    """Guards against a request that was served ending as failed because a late answer stood before its own."""

    async def scene() -> None:
        sampler = Sampler(SERVED.format("r1"), work_s=0.05)
        async with async_client(sampler) as client:
            await (await client.async_send(_request("r1"), TIMEOUT)).unwrap().async_whole()
            for request_id in ("r2", "r3"):
                answer = (await client.async_send(_request(request_id), TIMEOUT)).unwrap()
                assert await answer.async_whole() == request_id.encode()
            assert (sampler.ran, sampler.channels) == (["r2", "r3"], 1)

    asyncio.run(scene())


def test_a_connection_is_closed_after_an_answer_that_names_no_request() -> None:
    """Guards against each later request on the connection getting the answer to the one before."""

    async def scene() -> None:
        sampler = Sampler(SERVED.format("r1").replace("Attempt-Id: r1\r\n", ""))
        async with async_client(sampler) as client:
            assert (await client.async_send(_request("r1"), TIMEOUT)).unwrap_err().may_have_run
            assert client.idle_connections() == 0
            answer = (await client.async_send(_request("r2"), TIMEOUT)).unwrap()
            assert await answer.async_whole() == b"r2"
            assert sampler.channels == 2

    asyncio.run(scene())


def test_a_late_refusal_of_the_same_request_is_not_met_when_it_is_sent_again() -> None:
    """Guards against a second run of a request whose first refusal came again before its own answer."""

    async def scene() -> None:
        sampler = Sampler(REFUSED.format("r1"))
        async with async_client(sampler) as client:
            assert not (await client.async_send(_request("r1"), TIMEOUT)).unwrap_err().may_have_run
            await asyncio.sleep(0)
            assert client.idle_connections() == 1
            sampler.is_full = False
            answer = (await client.async_send(_request("r1"), TIMEOUT)).unwrap()
            assert await answer.async_whole() == b"r1"
            assert sampler.ran == ["r1"] and sampler.channels == 2

    asyncio.run(scene())
