"""A gateway that starts while the store answers nobody."""

from .conftest import async_platform, async_until, play


def test_a_gateway_that_starts_while_the_store_is_out_serves_by_what_a_peer_knows() -> None:
    """Guards against each restart in a long outage taking a gateway out until the store is back."""

    async def scene() -> None:
        platform = await async_platform()
        platform.more = {"seeds": ("127.0.0.1:9", platform.settings[0].peer)}
        platform.store.down = True
        await platform.async_add_gateway()
        answer = await platform.async_call("GET", "/files/x", 1, Attempt_Id="a1")
        assert (answer.code, answer.body) == (200, b"answer to a1")
        refused = await platform.async_call("GET", "/api/lots/j1?after=0", 1)
        assert refused.code == 503
        platform.store.down = False
        started = platform.gateways[1]
        await async_until(lambda: not started.copies.in_use and started.jobs.loaded)
        assert started.ready

    play(scene())
