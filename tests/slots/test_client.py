"""A client and the keepers of several gateways, while all works."""

import asyncio
import itertools

import pytest

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.slots import SlotNeed

from ..virtual_time import run_virtual
from .site import MODEL, SERVICE, Site, engine, need


def test_all_slots_are_granted_and_none_twice() -> None:
    """Gateways that compete for the same engines fill them exactly."""

    async def async_test() -> None:
        site = Site(["a", "b", "c"], [engine("e1"), engine("e2", slots=3)])
        texts = [
            asyncio.create_task(site.async_acquire(gateway))
            for gateway in site.gateways.values()
            for _ in range(4)
        ]
        await asyncio.sleep(0.5)
        assert site.used() == {"e1": 2, "e2": 3}
        for grant in list(site.held):
            site.release(grant)
        await asyncio.sleep(0.1)
        assert site.used() == {"e1": 2, "e2": 3}
        for text in texts:
            text.cancel()
        await site.async_close()

    run_virtual(async_test())


def test_a_free_slot_is_granted_at_once() -> None:
    """A text does not wait for a refresh: one way there and one back."""

    async def async_test() -> float:
        site = Site(["a", "b"], [engine("e1")])
        began = asyncio.get_running_loop().time()
        assert await site.async_acquire(site.others()[0])
        took = asyncio.get_running_loop().time() - began
        await site.async_close()
        return took

    assert run_virtual(async_test()) < 0.01


def test_a_released_slot_reaches_another_gateway_at_once() -> None:
    """A keeper answers the parked exchange of a gateway as soon as a slot is free."""

    async def async_test() -> None:
        site = Site(["a", "b", "c"], [engine("e1", slots=1)])
        first, second = site.others()
        grant = await site.async_acquire(first)
        waiting = asyncio.create_task(site.async_acquire(second))
        await asyncio.sleep(0.45)
        assert not waiting.done()
        site.release(grant)
        await asyncio.sleep(0.02)
        assert waiting.done()
        await site.async_close()

    run_virtual(async_test())


def test_an_idle_gateway_sends_nothing() -> None:
    """Refreshes end with the last text."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("e1")])
        gateway = site.others()[0]
        site.release(await site.async_acquire(gateway))
        await asyncio.sleep(0.1)
        sent = sum(site.network.passed.values())
        await asyncio.sleep(5)
        assert sum(site.network.passed.values()) == sent
        await site.async_close()

    run_virtual(async_test())


def test_a_holder_refreshes() -> None:
    """A gateway that holds is not forgotten, and sends no more than it must."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("e1", slots=1)])
        holder = site.others()[0]
        await site.async_acquire(holder)
        before = site.network.passed[site.keeper().node]
        await asyncio.sleep(3)
        assert site.network.passed[site.keeper().node] - before == pytest.approx(10, abs=1)
        assert await site.async_acquire(site.keeper()) is None
        await site.async_close()

    run_virtual(async_test())


def test_waiting_is_bounded() -> None:
    """A need without a slot gets None after three seconds."""

    async def async_test() -> float:
        site = Site(["a", "b"], [engine("e1", slots=1)])
        await site.async_acquire(site.keeper())
        began = asyncio.get_running_loop().time()
        assert await site.async_acquire(site.others()[0]) is None
        took = asyncio.get_running_loop().time() - began
        await site.async_close()
        return took

    assert run_virtual(async_test()) == pytest.approx(3, abs=0.1)


def test_a_cancelled_waiter_holds_nothing() -> None:
    """Cancelled at any moment between its need and its grant, its slot serves another text."""

    async def async_test(milliseconds: int, turns: int) -> bool:
        site = Site(["a", "b"], [engine("e1", slots=1)])
        first = asyncio.create_task(site.others()[0].client.async_acquire(need()))
        await asyncio.sleep(milliseconds / 1000)
        for _ in range(turns):
            await asyncio.sleep(0)
        was_granted = first.done()
        if was_granted:
            first.result().release(RunEnd.UNUSED)
        first.cancel()
        await asyncio.wait([first])
        assert await asyncio.wait_for(site.async_acquire(site.keeper()), 0.1)
        await site.async_close()
        return was_granted

    moments = itertools.product(range(5), range(8))
    assert {run_virtual(async_test(*moment)) for moment in moments} == {False, True}


def test_a_slot_taken_without_a_grant_counts() -> None:
    """What a gateway chose by itself is told to the keeper, which grants it to nobody."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("e1", slots=1)])
        grant = site.others()[0].client.record_unshared(need(), "e1")
        await asyncio.sleep(0.05)
        waiting = asyncio.create_task(site.async_acquire(site.keeper()))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        grant.release(RunEnd.DONE)
        await asyncio.sleep(0.05)
        assert waiting.done()
        await site.async_close()

    run_virtual(async_test())


def test_a_service_that_is_not_shared_costs_nothing() -> None:
    """No wait, no message, and a grant that records nothing."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("e1")])
        client = site.others()[0].client
        other = SlotNeed("plain", "t", need().due, lambda: 1.0, lambda: 1.0)
        assert await client.async_acquire(other) is None
        client.record_unshared(other, "e1").release(RunEnd.DONE)
        await asyncio.sleep(1)
        assert not site.network.passed
        await site.async_close()

    run_virtual(async_test())


def test_nothing_is_left_after_a_close() -> None:
    """Waiters get None, and no task and no timer stays."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("e1", slots=1)])
        gateway = site.others()[0]
        await site.async_acquire(gateway)
        waiting = asyncio.create_task(gateway.client.async_acquire(need()))
        await asyncio.sleep(0.01)
        began = asyncio.get_running_loop().time()
        await gateway.client.async_close()
        assert asyncio.get_running_loop().time() == began
        assert await waiting is None
        assert await gateway.client.async_acquire(need()) is None
        assert asyncio.all_tasks() == {asyncio.current_task()}
        sent = sum(site.network.passed.values())
        await asyncio.sleep(2)
        assert sum(site.network.passed.values()) == sent

    run_virtual(async_test())


def test_engines_are_divided_into_shards() -> None:
    """With more engines than one keeper serves, all slots can still be used."""

    async def async_test() -> None:
        site = Site(["a", "b", "c"], [engine(f"e{each}", slots=1) for each in range(150)])
        gateway = site.gateways["a"]
        texts = [need(prompt=f"p{each}") for each in range(60)]
        grants = await asyncio.gather(*(site.async_acquire(gateway, text) for text in texts))
        assert None not in grants
        assert len({grant.upstream for grant in grants}) == 60
        assert len(gateway.client._sessions) == 3
        await site.async_close()

    run_virtual(async_test())


def test_a_slot_taken_without_a_grant_counts_in_its_shard() -> None:
    """The keeper of the engine's shard is told, whichever shard the text would have asked."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine(f"e{each}", slots=1) for each in range(100)])
        client = site.gateways["a"].client
        grants = [client.record_unshared(need(prompt="p"), each.id) for each in site.engines]
        await asyncio.sleep(0.05)
        texts = [need(prompt=f"p{each}") for each in range(6)]
        other = site.gateways["b"]
        asks = (site.async_acquire(other, text) for text in texts)
        assert not any(await asyncio.gather(*asks))
        for grant in grants:
            grant.release(RunEnd.DONE)
        await site.async_close()

    run_virtual(async_test())


def test_texts_stay_held_when_the_number_of_shards_changes() -> None:
    """A keeper knows the running texts after engines were added, and grants only free slots."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine(f"e{each}", slots=1) for each in range(64)])
        for _ in range(64):
            assert await site.async_acquire(site.gateways["a"])
        site.engines = (*site.engines, engine("e64", slots=1))
        await asyncio.sleep(0.5)
        described = [each.keeper.describe().get(SERVICE) for each in site.gateways.values()]
        held = {
            name: row["held"] for each in described if each for name, row in each["engines"].items()
        }
        assert held == {f"e{each}": int(each < 64) for each in range(65)}
        await site.async_close()

    run_virtual(async_test())


def test_a_version_and_a_rejection_narrow_the_choice() -> None:
    """A text goes to an engine with its version, and for a while not to one that rejected it."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("old", 4, version=1), engine("new", 1, version=2)])
        gateway = site.others()[0]
        newer = await site.async_acquire(gateway, need(min_version=2))
        assert newer.upstream == "new"
        site.release(newer, RunEnd.REJECTED)
        any_version = await site.async_acquire(gateway, need(model=MODEL))
        assert any_version.upstream == "old"
        waiting = asyncio.create_task(site.async_acquire(gateway, need(min_version=2)))
        await asyncio.sleep(0.15)
        assert not waiting.done()
        await asyncio.sleep(0.4)
        assert waiting.done()
        await site.async_close()

    run_virtual(async_test())
