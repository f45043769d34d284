"""What operators are told of texts without a keeper, and of changes of the keeper."""

import asyncio
from typing import Any

import pytest

from cranberryline.slots import session as slot_session

from ..virtual_time import run_virtual
from .site import Site, engine


def test_reasons_for_a_choice_without_the_keeper() -> None:
    """Full engines would look like a keeper that is gone, and call for the wrong remedy."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("e1", 1)])
        (gateway,) = site.others()
        await site.async_acquire(gateway)
        assert await site.async_acquire(gateway) is None
        assert gateway.events == {"granted": 1, "unshared_no_grant": 1}
        closing = asyncio.create_task(site.async_acquire(gateway))
        await asyncio.sleep(0.1)
        await gateway.client.async_close()
        assert await closing is None
        assert gateway.events["unshared_off"] == 1
        site.engines = ()
        assert await site.async_acquire(site.keeper()) is None
        assert site.keeper().events == {"unshared_off": 1}
        await site.async_close()

    run_virtual(async_test())


def test_each_change_of_the_keeper_is_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A gateway that becomes the keeper itself, or ceases to be, would not tell so."""
    logged: list[dict[str, Any]] = []

    class _Log:
        def info(self, event: str, **fields: Any) -> None:
            assert event == "slot_keeper_changed"
            logged.append(fields)

    monkeypatch.setattr(slot_session, "_LOGGER", _Log())

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("e1", 4)])
        (gateway,), first = site.others(), site.keeper().node
        for _ in range(3):
            await site.async_acquire(gateway)
        del site.peers[first]
        await asyncio.sleep(1)
        site.peers[first] = first
        await asyncio.sleep(1)
        shown = [(each["previous"], each["keeper"]) for each in logged]
        assert shown == [("", first), (first, gateway.node), (gateway.node, first)]
        assert [(each["keeps"], each["kept"]) for each in logged] == [
            (False, False),
            (True, False),
            (False, True),
        ]
        await site.async_close()

    run_virtual(async_test())
