"""Gateways that share the slots of engines, before stand-ins of the users' platform."""

import asyncio
from collections.abc import Mapping
from typing import Any

import msgspec
import pytest

from cranberryline.gateway.app import GatewayProcess
from cranberryline.platform.const import HEADER_LENGTH
from cranberryline.ports.http import HttpOrigin, async_exchange
from cranberryline.ports.model import UpstreamRequest
from cranberryline.settings.const import DEFAULT_STOP_TIMEOUT

from .conftest import MODEL, Platform, async_platform, async_until, job, play

STORED = ("keyed.slots", 0)


async def _async_sharing(mode: str, gateways: int = 2) -> Platform:
    platform = await async_platform(0)
    platform.more = {"slot_sharing": mode}
    for _ in range(gateways):
        await platform.async_add_gateway()
    for gateway in platform.gateways:
        await async_until(lambda nodes=gateway.nodes: len(nodes.heartbeats()) == gateways)
    return platform


async def _async_describe(platform: Platform, number: int) -> tuple[int, dict[str, Any]]:
    """Ask a gateway, as an operator, for the slots that it keeps."""
    origin = HttpOrigin(f"http://{platform.settings[number].ready_listen}")
    answered = await async_exchange(origin, UpstreamRequest("GET", "/slots"), DEFAULT_STOP_TIMEOUT)
    body = answered.unwrap()
    data = await body.async_whole()
    return body.head.status, msgspec.json.decode(data) if body.head.status == 200 else {}


def _events(platform: Platform, event: str) -> float:
    name = "cranberryline_slot_events_total"
    return sum(gateway.metrics.value(name, event=event) for gateway in platform.gateways)


async def _async_run_job(platform: Platform, name: str, items: int = 8, number: int = 0) -> None:
    body = job(items)
    for item in body["items"]:
        item["headers"][HEADER_LENGTH] = "30"
    answer = await platform.async_call("POST", f"/jobs/{name}", number, body=body, Attempt_Id=name)
    assert answer.code == 202
    results = await platform.async_results(name, items, number)
    texts = sorted(row["text"] for row in results)
    assert texts == sorted(
        "\n".join(f"item{item}.{event}" for event in range(1, 7)) for item in range(items)
    )


def test_items_of_two_gateways_run_in_granted_slots() -> None:
    """Both gateways ask the same keeper, and every text is whole."""

    async def scene() -> None:
        platform = await _async_sharing("on")
        await _async_run_job(platform, "j1")
        assert _events(platform, "granted") >= 8
        described = [(await _async_describe(platform, number))[1] for number in range(2)]
        kept = [each for each in described if "engines" in each]
        engines = {sampler.id for sampler in platform.samplers if sampler.model == MODEL}
        (keeper,) = kept
        assert {name.partition("@")[0] for name in keeper["engines"]["engines"]} == engines

    play(scene())


@pytest.mark.parametrize("mode", ["off", "auto"])
def test_few_gateways_choose_by_themselves(mode: str) -> None:
    """Where it is off, or two gateways see all of the load, nobody asks for a slot."""

    async def scene() -> None:
        platform = await _async_sharing(mode)
        await _async_run_job(platform, "j1")
        assert _events(platform, "granted") == 0
        assert "engines" not in (await _async_describe(platform, 0))[1]

    play(scene())


def test_job_goes_on_while_the_keeper_is_cut_off() -> None:
    """The keeper answers nobody: texts wait for its time, then their gateway chooses an engine."""

    async def scene() -> None:
        platform = await _async_sharing("on", 3)
        await _async_run_job(platform, "j1")
        described = [(await _async_describe(platform, number))[1] for number in range(3)]
        keeper = next(number for number, each in enumerate(described) if "engines" in each)
        gone = platform.gateways[keeper]
        gone._peer_server.stop()
        await gone._peer_server.close_all_connections()
        caller = (keeper + 1) % 3
        async with asyncio.timeout(8):
            await _async_run_job(platform, "j2", number=caller)

    play(scene())


def _speeds(gateway: GatewayProcess) -> Mapping[str, float]:
    return gateway.slots._keeper.known_speeds("engines")


async def _async_stop_all(platform: Platform) -> None:
    for gateway in platform.gateways:
        gateway._caller_server.stop()
        gateway._peer_server.stop()
        await gateway.async_close()
    platform.gateways.clear()
    platform.addresses.clear()
    platform.settings.clear()


def test_engine_speeds_and_text_lengths_outlast_a_stop_of_all_gateways() -> None:
    """The first texts after a stop of all would go to engines whose speeds nobody knows."""

    async def scene() -> None:
        platform = await _async_sharing("on")
        engines = [sampler for sampler in platform.samplers if sampler.model == MODEL]
        engines[0].pause_s, engines[1].pause_s = 0.05, 0.15
        await _async_run_job(platform, "j1", 16)
        await async_until(lambda: platform.store.records.get(STORED))
        await _async_stop_all(platform)
        for _ in range(2):
            gateway = await platform.async_add_gateway()
            fast, slow = (f"{engine.id}@{engine.born}" for engine in engines)
            speeds = _speeds(gateway)
            assert speeds[fast] > 1.5 * speeds[slow] > 0
            assert gateway.slots.lengths.tokens_per_event == 30 / 6
            assert gateway.runner._context.lengths is gateway.slots.lengths

    play(scene())


def test_start_does_not_wait_for_what_was_learned() -> None:
    """The store does not answer for the topic of slots; callers are served all the same."""

    async def scene() -> None:
        platform = await async_platform(0)
        platform.more = {"slot_sharing": "on"}
        platform.store.out.add("keyed.slots")
        async with asyncio.timeout(2):
            await platform.async_add_gateway()
        await _async_run_job(platform, "j1")

    play(scene())


@pytest.mark.parametrize("mode", ["off", "auto"])
def test_gateway_without_a_keeper_stores_nothing(mode: str) -> None:
    """Where nothing is shared, nothing is spent on it."""

    async def scene() -> None:
        platform = await _async_sharing(mode)
        await _async_run_job(platform, "j1")
        await asyncio.sleep(5.5)
        assert not platform.store.records.get(STORED)

    play(scene())
