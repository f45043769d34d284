"""A gateway that is late to read the configuration does not serve by an old one."""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.gateway.app import GatewayProcess

from .conftest import async_platform, async_until, config, play

IN_FORCE_WITHIN = timedelta(milliseconds=600)
NEW_ROUTE = {
    "name": "r-new",
    "host": "files.example",
    "path_prefix": "/new/",
    "kind": "safe",
    "timeout_ms": 1500,
    "goal_ms": 300,
    "priority": 2,
    "service": "other",
    "max_attempts": 2,
}


def _hold_polls(gateway: GatewayProcess) -> None:
    """Let the answers to the gateway's polls of the configuration wait, as in a starved process."""

    async def async_poll() -> None:
        await asyncio.Event().wait()

    gateway._config_tail._async_poll = async_poll  # type: ignore[assignment,method-assign]


@pytest.mark.parametrize(("path", "status"), [("/new/x", 200), ("/files/x", 200), ("/none/x", 404)])
def test_a_late_gateway_reads_the_configuration_before_it_answers(path: str, status: int) -> None:
    """A gateway that handles its poll seconds late answers 404 for a route that is in force.

    It may also send a request to the service that the route led to before.
    """

    async def scene() -> None:
        platform = await async_platform()
        other, gateway = platform.add_sampler("other"), platform.gateways[0]
        await async_until(lambda: gateway.upstreams.usable("files") != [])
        gateway.confirmation.max_age = IN_FORCE_WITHIN
        _hold_polls(gateway)
        # The poll that is under way ends with the change before.
        platform.store.put("keyed.op", "config", config(5))
        await async_until(lambda: gateway.routes.table.version == 5)
        platform.store.put("keyed.op", "config", config(6, plain="other", routes=[NEW_ROUTE]))
        await asyncio.sleep(IN_FORCE_WITHIN.total_seconds() + 0.1)
        assert gateway.routes.table is not None and gateway.routes.table.version == 5
        answer = await platform.async_call("GET", path, Attempt_Id="r1")
        assert answer.code == status
        assert [run.id for run in other.runs] == (["r1"] if status == 200 else [])

    play(scene())


def test_a_gateway_without_the_store_serves_by_what_it_has() -> None:
    """All callers are refused while the store is out, though nothing can have changed."""

    async def scene() -> None:
        platform = await async_platform()
        gateway = platform.gateways[0]
        gateway.confirmation.max_age = IN_FORCE_WITHIN
        platform.store.stop()
        await asyncio.sleep(IN_FORCE_WITHIN.total_seconds() + 0.5)
        answer = await platform.async_call("GET", "/files/x", Attempt_Id="r1")
        assert answer.code == 200

    play(scene())
