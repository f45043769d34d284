"""A gateway before an upstream in trouble whose bytes never end, beside sound ones."""

import asyncio
import time

import pytest

from stand_ins.endless import EndlessServer
from stand_ins.platform_sampler import PlatformSampler

from .conftest import MODEL, Platform, async_platform, async_until, job, play
from .test_endless import MOST_GROWTH_BYTES, Watch

_PLAIN_FORMS = (
    "garbage",
    "header line",
    "interim answers",
    "body in chunks",
    "small chunks",
    "body to the end",
    "another's answer",
    "refusal",
    "server error",
)
_STREAM_FORMS = ("garbage", "body to the end", "event without an end", "lines between events")
_REQUESTS = 24
# So long that not all requests find a connection to an upstream that answered before.
_WORK_S = 0.05
# The route's time limit, and how much longer an answer may take then.
_LIMIT_S, _LATE_S = 1.5, 0.5


def _add(platform: Platform, server: EndlessServer, service: str, model: str = "") -> None:
    """Register a server in trouble as an upstream."""
    sampler = PlatformSampler(service, model, id="i-endless", address=server.address)
    platform.store.put("keyed.servers", sampler.id, sampler.beat())


async def _async_timed(platform: Platform, path: str, name: str) -> tuple[int, float]:
    began = time.monotonic()
    answer = await platform.async_call("POST", path, 0, b"", Attempt_Id=name)
    return answer.code, time.monotonic() - began


async def _async_worker(platform: Platform, path: str, name: str) -> list[tuple[int, float]]:
    """Send one request after the other; return the status and the time of each answer."""
    return [await _async_timed(platform, path, f"{name}-{n}") for n in range(_REQUESTS)]


@pytest.mark.parametrize("form", _PLAIN_FORMS)
def test_callers_are_answered_in_time_beside_an_endless_upstream(form: str) -> None:
    """Guards against a gateway that runs out of memory, or holds callers up, by one upstream in trouble."""

    async def scene() -> None:
        platform = await async_platform()
        # Retries are a share of the answers before them.
        await _async_worker(platform, "/files/x", "w")
        for sampler in platform.samplers:
            sampler.delay_s = _WORK_S
        server, watch = EndlessServer(form), Watch()
        _add(platform, server, "files")
        await async_until(lambda: len(platform.gateways[0].upstreams.usable("files")) == 3)
        paths = ("/files/x", "/files/x", "/files/x", "/once/x", "/once/x")
        workers = [_async_worker(platform, path, f"r{number}") for number, path in enumerate(paths)]
        answers = await watch.async_run(asyncio.gather(*workers))
        safe, once = sum(answers[:3], []), sum(answers[3:], [])
        longest = max(took for _, took in safe + once)
        print(f"{longest:.2f} s, {watch.growth_bytes >> 20} MiB, {safe}, {once}")
        assert server.opened
        assert sum(code == 200 for code, _ in safe) >= 0.9 * len(safe)
        assert {code for code, _ in once} <= {200, 502, 503, 504}
        assert longest < _LIMIT_S + _LATE_S
        assert watch.growth_bytes < MOST_GROWTH_BYTES and platform.gateways[0].ready
        await async_until(lambda: not server.open_connections, 11)
        server.stop()

    play(scene())


@pytest.mark.parametrize("form", _STREAM_FORMS)
def test_items_are_completed_beside_an_endless_engine(form: str) -> None:
    """Guards against a job that waits for an engine whose stream has no events and no end."""

    async def scene() -> None:
        platform = await async_platform()
        server, watch = EndlessServer(form), Watch()
        _add(platform, server, "engines", MODEL)
        await async_until(lambda: len(platform.gateways[0].upstreams.usable("engines")) == 3)
        answer = await platform.async_call("POST", "/jobs/j1", body=job(12), Attempt_Id="j1")
        assert answer.code == 202
        rows = await watch.async_run(platform.async_results("j1", 12))
        assert {row["state"] for row in rows} == {"completed"}
        assert watch.growth_bytes < MOST_GROWTH_BYTES and server.opened
        await platform.async_call("DELETE", "/api/lots/j1", Attempt_Id="j1")
        await async_until(lambda: not server.open_connections, 11)
        server.stop()

    play(scene())


@pytest.mark.parametrize("form", _STREAM_FORMS)
def test_a_stream_goes_on_elsewhere_or_ends_beside_an_endless_engine(form: str) -> None:
    """Guards against streams that pass on no event, or end as complete, without an end at their engine."""

    async def scene() -> None:
        platform = await async_platform()
        server = EndlessServer(form)
        _add(platform, server, "engines", MODEL)
        await async_until(lambda: len(platform.gateways[0].upstreams.usable("engines")) == 3)
        calls = [
            platform.async_call("POST", "/stream/x", 0, b"", Attempt_Id=f"s{number}", Model=MODEL)
            for number in range(12)
        ]
        async with asyncio.timeout(5):
            answers = await asyncio.gather(*calls, return_exceptions=True)
        # The others were broken off, or refused before they began.
        whole = [answer for answer in answers if getattr(answer, "code", 0) == 200]
        assert len(whole) >= 6 and all(b"id: 6\n" in answer.body for answer in whole)
        await async_until(lambda: not server.open_connections, 11)
        server.stop()

    play(scene())
