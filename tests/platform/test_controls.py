"""Whole gateways under operator controls: who gets work, who finishes it, and what it costs when off."""

import asyncio
import time
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient

from cranberryline.gateway.app import GatewayProcess
from cranberryline.helpers.clock import SystemClock

from .conftest import MODEL, Platform, async_platform, async_until, job, play


async def _async_platform(gateways: int = 2, enabled: bool = True) -> Platform:
    platform = await async_platform(gateways=0)
    platform.more["operator_controls"] = enabled
    for _ in range(gateways):
        await platform.async_add_gateway()
    return platform


async def _async_controls(
    platform: Platform, number: int, method: str = "GET", path: str = "", body: Any = None
) -> dict[str, Any]:
    answer = await AsyncHTTPClient(force_instance=True).fetch(
        f"http://{platform.settings[number].ready_listen}/controls{path}",
        method=method,
        body=body,
        allow_nonstandard_methods=True,
        raise_error=False,
    )
    return {"code": answer.code, **msgspec.json.decode(answer.body)}


def _usable(gateway: GatewayProcess, service: str = "files") -> int:
    return len(gateway.upstreams.usable(service))


def test_cordoned_upstream_finishes_its_request_and_gets_no_other() -> None:
    """Its running request would be cut, or requests of the other gateway would still reach it."""

    async def scene() -> None:
        platform = await _async_platform()
        first, second = platform.gateways
        plain = [sampler for sampler in platform.samplers if sampler.service == "files"]
        for sampler in plain:
            sampler.delay_s = 0.6
        running = asyncio.ensure_future(
            platform.async_call("POST", "/once/x", 0, b"", Attempt_Id="x0")
        )
        await async_until(lambda: any(sampler.runs for sampler in plain))
        (busy,) = (sampler for sampler in plain if sampler.runs)
        answer = await _async_controls(platform, 1, "PUT", f"/upstream/{busy.id}", b"{}")
        assert answer["code"] == 200
        await async_until(lambda: _usable(first) == _usable(second) == 1)
        assert (await running).code == 200
        for sampler in plain:
            sampler.delay_s = 0
        for number in range(8):
            call = platform.async_call("POST", "/once/y", number % 2, b"", Attempt_Id=f"y{number}")
            assert (await call).code == 200
        assert len(busy.runs) == 1
        await _async_controls(platform, 0, "DELETE", f"/upstream/{busy.id}")
        await async_until(lambda: _usable(first) == _usable(second) == 2)

    play(scene())


def test_cordoned_gateway_runs_no_items_of_a_new_job_and_serves_callers() -> None:
    """A job that it accepts itself is run by the other gateway."""

    async def scene() -> None:
        platform = await _async_platform()
        cordoned, other = platform.gateways
        await _async_controls(platform, 1, "PUT", "/vm/front-0", b"{}")
        await async_until(
            lambda: all(
                gateway.controls.live_nodes(SystemClock().monotonic()) == {"front-1"}
                for gateway in (cordoned, other)
            )
        )
        started: list[GatewayProcess] = []
        for gateway in (cordoned, other):
            _note_starts(gateway, started)
        await platform.async_call("POST", "/jobs/j1", 0, body=job(8), Attempt_Id="j1")
        assert len(await platform.async_results("j1", 8)) == 8
        assert started == [other] * 8
        assert (await platform.async_call("POST", "/files/x", 0, b"", Attempt_Id="x")).code == 200

    play(scene())


def _note_starts(gateway: GatewayProcess, started: list[GatewayProcess]) -> None:
    start = gateway.runner._start_item

    def noted(*args: Any) -> None:
        started.append(gateway)
        start(*args)

    gateway.runner._start_item = noted  # type: ignore[method-assign]


def test_cap_of_a_trainer_bounds_its_slots_at_both_gateways() -> None:
    """The keeper would not know of what operators set at any gateway."""

    async def scene() -> None:
        platform = await async_platform(gateways=0)
        platform.more |= {"operator_controls": True, "slot_sharing": "on"}
        for _ in range(2):
            gateway = await platform.async_add_gateway()
        first = platform.gateways[0]
        await async_until(lambda: len(first.nodes.heartbeats()) == 2)
        body = msgspec.json.encode({"cap": 1, "weight": 2})
        await _async_controls(platform, 0, "PUT", f"/trainer/{MODEL}", body)
        for gateway in platform.gateways:
            shares = gateway.slots._keeper._shares
            await async_until(lambda of=shares: of.caps() == {MODEL: 1})
            assert shares.weight(MODEL, "w") == 2
        assert await _async_most_texts(platform, "j1") == 1
        await _async_controls(platform, 0, "DELETE", f"/trainer/{MODEL}")
        await async_until(lambda: not shares.caps())
        assert await _async_most_texts(platform, "j2") > 1

    play(scene())


async def _async_most_texts(platform: Platform, job_id: str) -> int:
    """Run a job, and return how many of its texts ran at once at most."""
    body = job(8)
    for item in body["items"]:
        item["id"] = f"{job_id}{item['id']}"
    await platform.async_call("POST", f"/jobs/{job_id}", 0, body=body, Attempt_Id=job_id)
    results = asyncio.ensure_future(platform.async_results(job_id, 8))
    most = 0
    while not results.done():
        running = sum(sampler.held for sampler in platform.samplers if sampler.model)
        most = max(most, running)
        await asyncio.sleep(0.005)
    assert len(await results) == 8
    return most


def test_gateway_that_cannot_read_the_controls_serves_all_the_same() -> None:
    """The store is out for that topic alone: callers wait for two seconds after a start."""

    async def scene() -> None:
        platform = await async_platform(gateways=0)
        platform.more["operator_controls"] = True
        platform.store.out.add("keyed.controls")
        began = time.monotonic()
        await platform.async_add_gateway()
        assert 1.5 < time.monotonic() - began < 4
        answer = await platform.async_call("POST", "/files/x", 0, b"", Attempt_Id="x")
        assert answer.code == 200

    play(scene())


def test_controls_that_are_off_have_no_calls() -> None:
    """The ready server answers as it does for any other path."""

    async def scene() -> None:
        platform = await _async_platform(1, enabled=False)
        answer = await _async_controls(platform, 0)
        assert answer == {"code": 200, "ready": True}
        assert (await _async_call_code(platform, "PUT", b"{}")) == 405
        assert ("keyed.controls", 0) not in platform.store.records

    play(scene())


async def _async_call_code(platform: Platform, method: str, body: bytes) -> int:
    url = f"http://{platform.settings[0].ready_listen}/controls/vm/front-0"
    answer = await AsyncHTTPClient(force_instance=True).fetch(
        url, method=method, body=body, raise_error=False
    )
    return answer.code
