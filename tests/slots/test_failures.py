"""Keepers, gateways and links that fail while texts wait for slots."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.slots import SlotGrant

from ..virtual_time import run_virtual
from .site import Gateway, Site, engine, need, random_delays

NODES = ["a", "b", "c", "d"]


async def _async_took(waiting: Awaitable[SlotGrant | None]) -> tuple[SlotGrant | None, float]:
    """Return a grant, and after how many seconds it came."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    return await waiting, loop.time() - began


def _run(test: Callable[[Site], Awaitable[None]], slots: int = 1) -> None:
    async def async_test() -> None:
        site = Site(NODES, [engine("e1", slots)])
        try:
            await test(site)
        finally:
            await site.async_close()

    run_virtual(async_test())


def test_a_dead_keeper_is_passed_over() -> None:
    """A text whose keeper dies gets its slot from the next one within 0.4 s."""

    async def async_test(site: Site) -> None:
        gateway, dead = site.others()[0], site.keeper().node
        await site.async_kill(dead)
        grant, took = await _async_took(site.async_acquire(gateway))
        assert grant and took < 0.4
        del site.peers[dead]
        grant, took = await _async_took(site.async_acquire(gateway))
        assert grant and took < 0.01

    _run(async_test, slots=2)


def test_a_frozen_keeper_is_passed_over_and_does_no_harm_when_it_thaws() -> None:
    """After it thaws and all ask it again, no slot stays granted twice."""

    async def async_test(site: Site) -> None:
        keeper, gateways = site.keeper(), site.others()
        await site.async_acquire(gateways[0])
        site.network.freeze(keeper.node)
        grant, took = await _async_took(site.async_acquire(gateways[1]))
        assert grant and took < 0.4
        await asyncio.sleep(5)
        site.network.thaw(keeper.node)
        await asyncio.sleep(3)
        assert not site.overcommitted()
        waiting = asyncio.create_task(site.async_acquire(gateways[2]))
        await asyncio.sleep(1)
        assert not waiting.done()
        site.release(grant)
        assert await asyncio.wait_for(waiting, 0.1)

    _run(async_test, slots=2)


def test_a_cut_link_harms_its_gateway_only() -> None:
    """A gateway that does not reach the keeper asks the next one; the others notice nothing."""

    async def async_test(site: Site) -> None:
        cut, other = site.others()[:2]
        site.network.cut.add(frozenset((cut.node, site.keeper().node)))
        (far, far_took), (near, near_took) = await asyncio.gather(
            _async_took(site.async_acquire(cut)), _async_took(site.async_acquire(other))
        )
        assert far and far_took < 0.4
        assert near and near_took < 0.01
        assert not other.events["keeper_silent"]

    _run(async_test, slots=2)


def test_without_any_keeper_gateways_choose_by_themselves() -> None:
    """After two silent gateways the answer is None, at once for a second, and then asked again."""

    async def async_test(site: Site) -> None:
        gateway = site.others()[0]
        for node in NODES:
            if node != gateway.node:
                site.network.cut.add(frozenset((gateway.node, node)))
        site.peers.pop(gateway.node)
        grant, took = await _async_took(site.async_acquire(gateway))
        assert grant is None and took < 0.7
        assert gateway.events == {"keeper_silent": 1, "unshared_silent": 1}
        grant, took = await _async_took(site.async_acquire(gateway))
        assert grant is None and took == 0
        site.network.cut.clear()
        await asyncio.sleep(2.1)
        assert await site.async_acquire(gateway)

    _run(async_test)


def test_a_gateway_without_peers_chooses_by_itself() -> None:
    """A view of the live gateways that is empty stops nobody."""

    async def async_test(site: Site) -> None:
        site.peers.clear()
        grant, took = await _async_took(site.async_acquire(site.gateways["a"]))
        assert grant is None and took < 0.01

    _run(async_test)


def test_two_keepers_agree_again() -> None:
    """With a view of its own, a gateway over-commits only until the views are the same."""

    async def async_test(site: Site) -> None:
        keeper = site.keeper()
        first, second = site.others()[:2]
        await site.async_acquire(first)
        site.peers.pop(keeper.node)
        grant = await site.async_acquire(second)
        assert grant.upstream == "e1" and site.overcommitted()
        site.release(grant, RunEnd.REJECTED)
        waiting = asyncio.create_task(site.async_acquire(second))
        await asyncio.sleep(1)
        assert not waiting.done()
        site.peers[keeper.node] = keeper.node
        await asyncio.sleep(1)
        assert not waiting.done() and not site.overcommitted()

    _run(async_test)


def test_slots_of_a_dead_gateway_come_back() -> None:
    """Within 1.5 s of its death another gateway uses them."""

    async def async_test(site: Site) -> None:
        dead, other = site.others()[:2]
        await site.async_acquire(dead)
        await site.async_kill(dead.node)
        grant, took = await _async_took(site.async_acquire(other))
        assert grant and took < 1.5

    _run(async_test)


def test_slots_of_a_restarted_gateway_come_back_at_once() -> None:
    """Under the same node id, the first exchange of the new run replaces what the old one held."""

    async def async_test(site: Site) -> None:
        node = site.others()[0].node
        await site.async_acquire(site.gateways[node])
        await site.async_kill(node)
        grant, took = await _async_took(site.async_acquire(site.start(node, start="2")))
        assert grant and took < 0.01

    _run(async_test)


def test_a_gateway_that_was_frozen_does_not_use_old_grants() -> None:
    """What it was granted before is another text's by now, and it goes on with the same keeper."""

    async def async_test(site: Site) -> None:
        gateway, other = site.others()[:2]
        loop = asyncio.get_running_loop()
        first = asyncio.create_task(gateway.client.async_acquire(need()))
        await asyncio.sleep(0.0015)
        loop.jump(2)
        second = asyncio.create_task(site.async_acquire(other))
        await asyncio.sleep(0.5)
        assert [first.done(), second.done()].count(True) == 1
        for task in (first, second):
            task.cancel()

    _run(async_test)


def test_a_paused_gateway_does_not_blame_its_keeper() -> None:
    """Exchanges that ran out of time while the VM stood still say nothing of the keeper."""

    async def async_test(site: Site) -> None:
        gateway = site.others()[0]
        await site.async_acquire(site.keeper())
        waiting = asyncio.create_task(site.async_acquire(gateway))
        await asyncio.sleep(0.05)
        site.network.delay = lambda: 0.3
        asyncio.get_running_loop().call_soon(asyncio.get_running_loop().jump, 2)
        await asyncio.sleep(0.01)
        site.network.delay = lambda: 0.001
        await asyncio.sleep(0.3)
        assert gateway.client._route.find("slots/policy/0").node == site.keeper().node
        waiting.cancel()

    _run(async_test)


@pytest.mark.parametrize("seed", range(5))
def test_messages_that_overtake_each_other_take_no_slot_twice(seed: int) -> None:
    """Delays and repetitions of exchanges and answers over-commit no engine."""

    async def async_run_texts(site: Site, gateway: Gateway, most: list[int]) -> None:
        for _ in range(30):
            grant = await site.async_acquire(gateway)
            most.append(len(site.held))
            assert not site.overcommitted()
            await asyncio.sleep(0.02)
            if grant is not None:
                site.release(grant)

    async def async_test(site: Site) -> None:
        site.network.delay = random_delays(seed, longest=0.04)
        repeats = iter(range(10**6))
        site.network.repeat = lambda: next(repeats) % 3 == 0
        most: list[int] = []
        texts = [
            async_run_texts(site, gateway, most)
            for gateway in site.gateways.values()
            for _ in range(3)
        ]
        await asyncio.gather(*texts)
        assert max(most) == 3

    _run(async_test, slots=3)


def test_a_text_of_a_small_trainer_is_not_left_behind_a_burst() -> None:
    """While a burst of another trainer is served, it gets its slot in the time of the burst."""

    async def async_run(site: Site, gateway: Gateway, trainer: str) -> float:
        grant, took = await _async_took(site.async_acquire(gateway, need(trainer)))
        assert grant is not None
        await asyncio.sleep(0.1)
        site.release(grant)
        return took

    async def async_test(site: Site) -> None:
        first, second = site.others()[:2]
        burst = [asyncio.create_task(async_run(site, first, "big")) for _ in range(40)]
        await asyncio.sleep(0.05)
        small = await asyncio.gather(*(async_run(site, second, "small") for _ in range(4)))
        waits = await asyncio.gather(*burst)
        assert max(small) <= max(waits) + 0.2
        assert max(waits) < 1.4

    _run(async_test, slots=4)
