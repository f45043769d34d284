"""Whole gateways beside a request that crashes upstreams: who is served, who is refused, who is released."""

import asyncio
import time
from datetime import timedelta
from typing import Any

import msgspec
import pytest
from tornado.httpclient import AsyncHTTPClient

from cranberryline.gateway.app import GatewayProcess
from stand_ins.store_links import StoreLinks

from .conftest import Platform, async_until, job, play
from .crash_scene import Scene, async_scene

_PATH = "/files/crash-me"
# The platform's bound: until then a gateway may not have heard of the crash of a third upstream.
_CONTACT_S = 3.0


async def _async_holds(
    platform: Platform, number: int, method: str = "GET", request: str = ""
) -> dict[str, Any]:
    address = f"http://{platform.settings[number].ready_listen}/holds{request}"
    answer = await AsyncHTTPClient(force_instance=True).fetch(
        address, method=method, raise_error=False
    )
    return {"code": answer.code, **msgspec.json.decode(answer.body)}


async def _async_held(scene: Scene) -> None:
    """Send what crashes upstreams until both gateways hold it."""
    while not all(
        gateway.quarantine.suspected_requests() for gateway in scene.platform.gateways
    ) or any(
        row.trial_in is None
        for gateway in scene.platform.gateways
        for row in gateway.quarantine.suspected_requests()
    ):
        await scene.async_send(_PATH)
        await asyncio.sleep(0.05)


def test_a_held_request_is_refused_at_once_and_told_when_to_come_back() -> None:
    """Its caller reads that it has not run, and a time that is the next trial's; no upstream is asked."""

    async def scene() -> None:
        made = await async_scene()
        await _async_held(made)
        before = len(made.runs())
        began = time.monotonic()
        answer = await made.async_send(_PATH)
        assert time.monotonic() - began < 0.5
        problem = msgspec.json.decode(answer.body)
        assert (answer.code, problem["reason"], problem["ran"]) == (503, "held", "no")
        assert 15 < float(answer.headers["Retry-After"]) <= 20
        assert len(made.runs()) == before

    play(scene())


def test_a_gateway_hears_of_crashes_in_time_as_its_connections_to_the_store_go_silent() -> None:
    """Guards against a gateway that sends a request on to upstreams which has crashed three elsewhere."""

    async def scene() -> None:
        links = StoreLinks()
        made = await async_scene(links)
        first, second = made.platform.gateways
        await made.platform.async_call("POST", _PATH, 0, b"", Attempt_Id="first")
        await async_until(lambda: bool(second.quarantine.suspected_requests()))
        links.silence()
        while not _holds(first):
            await made.platform.async_call("POST", _PATH, 0, b"", Attempt_Id=f"n{time.time()}")
        held_at = time.monotonic()
        await async_until(lambda: _holds(second))
        assert time.monotonic() - held_at < _CONTACT_S

    play(scene())


def _holds(gateway: GatewayProcess) -> bool:
    return any(row.trial_in is not None for row in gateway.quarantine.suspected_requests())


def test_others_are_served_beside_a_request_that_crashes_upstreams() -> None:
    """Plain requests of other paths and bodies, and a job with its scores, while upstreams go one after the other."""

    async def scene() -> None:
        made = await async_scene()
        await made.platform.async_call("POST", "/jobs/j1", body=job(8), Attempt_Id="j1")
        codes = []

        async def async_others(path: str, body: bytes) -> None:
            for _ in range(25):
                codes.append((await made.async_send(path, body)).code)
                await asyncio.sleep(0.05)

        others = asyncio.gather(
            *(async_others(path, b"") for path in ("/files/popular", "/files/popular", "/files/a")),
            async_others("/files/crash", b"me"),
        )
        await _async_held(made)
        await others
        assert codes.count(200) >= len(codes) - 4
        assert len(await made.platform.async_results("j1", 8)) == 8
        for gateway in made.platform.gateways:
            assert [row.record.path for row in gateway.quarantine.suspected_requests()] == [_PATH]

    play(scene())


def test_a_popular_path_is_served_after_its_upstreams_were_killed_together() -> None:
    """It runs at most of them at once when they are killed, so that each crashes under it."""

    async def scene() -> None:
        made = await async_scene()
        for sampler in made.platform.samplers:
            sampler.delay_s = 0.1
        assert (await made.async_send("/files/popular")).code == 200
        calls = [asyncio.ensure_future(made.async_send("/files/popular")) for _ in range(32)]
        await asyncio.sleep(0.06)
        victims = [sampler for sampler in made.platform.samplers if sampler.runs][:5]
        for sampler in victims:
            sampler.ending = asyncio.ensure_future(sampler.async_kill())
        await asyncio.gather(*calls)
        for sampler in victims:
            made.platform.store.put("keyed.servers", sampler.id, None)
        await asyncio.sleep(0.5)
        for _ in range(6):
            assert (await made.async_send("/files/popular")).code == 200

    play(scene())


@pytest.mark.parametrize("path", ["/files/reset-me", "/once/reset-me"])
def test_a_request_whose_connections_are_reset_runs_on(path: str) -> None:
    """Its upstreams live: it reaches one with each attempt, however often."""

    async def scene() -> None:
        made = await async_scene()
        for sampler in made.platform.samplers:
            sampler.reset_on = b"reset-me"
        for number in range(8):
            assert (await made.async_send(path)).code == 502
            runs = sum(len(sampler.runs) for sampler in made.platform.samplers)
            assert runs > number
        assert not any(gateway.quarantine.has_suspects for gateway in made.platform.gateways)

    play(scene())


def test_a_request_at_upstreams_that_leave_as_announced_runs_on() -> None:
    """They drain, and end with the request still there."""

    async def scene() -> None:
        made = await async_scene()
        plain = [sampler for sampler in made.platform.samplers if sampler.service == "files"]
        for sampler in plain:
            sampler.delay_s = 0.6
        table = made.platform.gateways[0].upstreams
        for leaving in range(1, 5):
            call = asyncio.ensure_future(
                made.platform.async_call("POST", "/once/x", 0, b"", Attempt_Id=f"x{leaving}")
            )
            await async_until(lambda: any(s.runs and s.runs[-1].path == "/once/x" for s in plain))
            busy = next(s for s in plain if s.runs and s.runs[-1].path == "/once/x")
            made.platform.store.put("keyed.servers", busy.id, busy.beat("draining"))
            await async_until(lambda n=8 - leaving: len(table.usable("files")) == n)
            await busy.async_kill()
            assert (await call).code in (200, 502)
            plain.remove(busy)
        assert not made.platform.gateways[0].quarantine.has_suspects

    play(scene())


def test_a_gateway_that_starts_later_refuses_the_first_one() -> None:
    """It was not there when the upstreams crashed."""

    async def scene() -> None:
        made = await async_scene()
        await _async_held(made)
        before = len(made.runs())
        await made.platform.async_add_gateway()
        answer = await made.platform.async_call("POST", _PATH, 2, b"", Attempt_Id="late")
        assert answer.code == 503 and len(made.runs()) == before

    play(scene())


def test_a_gateway_that_cannot_read_what_is_held_serves_all_the_same() -> None:
    """The store is out for that topic alone: callers wait for two seconds after a start, and not for each request."""

    async def scene() -> None:
        made = await async_scene()
        made.platform.store.out.add("keyed.quarantine")
        began = time.monotonic()
        await made.platform.async_add_gateway()
        assert time.monotonic() - began < 4
        began = time.monotonic()
        answer = await made.platform.async_call("POST", "/files/x", 2, b"", Attempt_Id="x")
        assert answer.code == 200 and time.monotonic() - began < 0.3

    play(scene())


def test_an_operator_sees_and_releases_what_is_held() -> None:
    """The upstreams were mended: released at one gateway, the request is served at all."""

    async def scene() -> None:
        made = await async_scene()
        await _async_held(made)
        (row,) = (await _async_holds(made.platform, 1))["requests"]
        assert row["held"] and row["path"] == _PATH and len(row["upstreams"]) >= 3
        made.mend()
        one = f"/{row['fingerprint']}"
        (same,) = (await _async_holds(made.platform, 1, request=one))["requests"]
        assert same["fingerprint"] == row["fingerprint"]
        assert (await _async_holds(made.platform, 1, "DELETE", one)) == {
            "code": 200,
            "released": True,
        }
        assert (await _async_holds(made.platform, 1, "DELETE", one))["code"] == 404
        assert (await _async_holds(made.platform, 1, "DELETE"))["code"] == 404
        assert (await _async_holds(made.platform, 1, request=one))["reason"] == "unknown_request"
        await async_until(lambda: not made.platform.gateways[0].quarantine.has_suspects)
        for _ in range(2):
            assert (await made.async_send(_PATH)).code == 200

    play(scene())


def test_a_held_request_is_served_again_after_its_trial(monkeypatch: pytest.MonkeyPatch) -> None:
    """It crashes nothing any more, and nobody releases it: its first trial clears it at both gateways."""
    monkeypatch.setattr(
        "cranberryline.decisions.crash_attribution.FIRST_TRIAL_DELAY", timedelta(seconds=2)
    )

    async def scene() -> None:
        made = await async_scene()
        await _async_held(made)
        made.mend()
        assert (await made.async_send(_PATH)).code == 503
        await asyncio.sleep(2.5)
        answers = await asyncio.gather(*(made.async_send(_PATH) for _ in range(6)))
        assert [answer.code for answer in answers].count(200) >= 1
        await async_until(
            lambda: not any(gateway.quarantine.has_suspects for gateway in made.platform.gateways)
        )
        assert (await made.async_send(_PATH)).code == 200

    play(scene())
