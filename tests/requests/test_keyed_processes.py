"""Idempotency keys with real processes: the plain services' own journals have one run at most."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Iterator

import pytest

from stand_ins.client import EntryClient, Reply
from stand_ins.deployment import load_plan
from stand_ins.launcher import Deployment, launched

SERVICE = "pickup-app"
UPSTREAMS = (f"{SERVICE}-1", f"{SERVICE}-2")
SLOW_S, QUICK_S = 1.5, 0.002

_serial = itertools.count(1)


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    """Run two upstreams of each kind behind two entries."""
    with launched(load_plan("giat-sach").shrunk(2)) as deployment:
        yield deployment


@pytest.fixture
def key() -> str:
    """Return a key that no other test uses."""
    return f"booking-{next(_serial)}"


def set_latency(deployment: Deployment, seconds: float) -> None:
    """Let each run take this long."""
    for name in UPSTREAMS:
        deployment.control(name, latency_s=seconds)


def runs_of(deployment: Deployment, key: str) -> list[str]:
    """Return the upstreams that ran a key's request, by their journals."""
    return [
        name
        for name in UPSTREAMS
        for row in deployment.journal(name)
        if row["call"].split("/")[0] == key
    ]


async def async_create(client: EntryClient, key: str, entry: int, timeout_s: float = 15.0) -> Reply:
    """Create a booking under a key, through one entry."""
    headers = {"X-Call-Id": f"{key}/{entry}", "X-Idempotent": "false", "Idempotency-Key": key}
    path = f"/services/{SERVICE}/bookings"
    return await client.async_call("POST", path, {"for": key}, headers, timeout_s, entry)


def make_client(deployment: Deployment) -> EntryClient:
    """Return a caller."""
    name = deployment.plan.names_of("caller")[0]
    return EntryClient(deployment.entries, deployment.tokens[name], name)


def test_same_key_at_once_through_both_entries(deployment: Deployment) -> None:
    """An impatient caller sends each of its bookings through both entries at the same time.

    The two requests meet only on the log. One runs; the other is told that it is in progress, or
    gets the recorded answer; asked again, both get that answer, marked as replayed.
    """
    keys = [f"at-once-{number}" for number in range(20)]

    async def async_play() -> None:
        client = make_client(deployment)
        pairs = [async_create(client, key, entry) for key in keys for entry in (0, 1)]
        replies = await asyncio.gather(*pairs)
        firsts = [
            next(reply for reply in both if reply.ok)
            for both in zip(replies[::2], replies[1::2], strict=True)
        ]
        again = await asyncio.gather(*(async_create(client, key, 1) for key in keys))
        assert all(reply.ok for reply in again)
        assert [reply.data["run"] for reply in again] == [r.data["run"] for r in firsts]
        client.close()

    asyncio.run(async_play())
    counts = Counter({key: len(runs_of(deployment, key)) for key in keys})
    assert set(counts.values()) == {1}


def test_side_process_killed_in_the_middle_of_a_keyed_run(deployment: Deployment, key: str) -> None:
    """The side process dies while the service makes the booking; nobody knows how it ended.

    The caller is told `unknown`, never `no`. It asks again, through the other entry, before and
    after the side process is back: never a second run.
    """
    set_latency(deployment, SLOW_S)

    async def async_play() -> list[Reply]:
        client = make_client(deployment)
        first = asyncio.ensure_future(async_create(client, key, 0))
        for _ in range(100):
            await asyncio.sleep(0.05)
            if runs_of(deployment, key):
                break
        deployment.process(f"side-{runs_of(deployment, key)[0]}").kill()
        replies = [await first]
        for entry in (1, 0, 1):
            replies.append(await async_create(client, key, entry))
            await asyncio.sleep(0.3)
        client.close()
        return replies

    try:
        replies = asyncio.run(async_play())
    finally:
        set_latency(deployment, QUICK_S)
        for name in UPSTREAMS:
            if not deployment.process(f"side-{name}").running:
                deployment.restart(f"side-{name}")
    assert len(runs_of(deployment, key)) == 1
    assert not any(reply.ok for reply in replies)
    assert {reply.ran for reply in replies} == {"unknown"}


def test_entry_killed_while_the_booking_is_made(deployment: Deployment, key: str) -> None:
    """The entry dies with the call in flight; the run goes to its end and its answer is kept.

    The caller's connection breaks. Through the other entry it gets, after at most a few times
    `in progress`, the answer of that one run.
    """
    set_latency(deployment, SLOW_S)

    async def async_play() -> Reply:
        client = make_client(deployment)
        first = asyncio.ensure_future(async_create(client, key, 0))
        for _ in range(100):
            await asyncio.sleep(0.05)
            if runs_of(deployment, key):
                break
        deployment.process("entry-1").kill()
        assert not (await first).ok
        reply = await async_create(client, key, 1)
        for _ in range(20):
            if reply.ok:
                break
            await asyncio.sleep(0.5)
            reply = await async_create(client, key, 1)
        client.close()
        return reply

    try:
        reply = asyncio.run(async_play())
    finally:
        set_latency(deployment, QUICK_S)
        deployment.restart("entry-1")
    assert reply.ok, reply.body
    assert reply.data["call"] == f"{key}/0"
    assert len(runs_of(deployment, key)) == 1


def test_log_out_refuses_a_keyed_request_without_running_it(
    deployment: Deployment, key: str
) -> None:
    """While the log is out a keyed request is refused, `ran: no`, and the journal agrees."""

    async def async_ask() -> Reply:
        client = make_client(deployment)
        reply = await async_create(client, key, 0)
        client.close()
        return reply

    deployment.control("log", outage="refuse")
    try:
        reply = asyncio.run(async_ask())
    finally:
        deployment.control("log", outage="")
    assert (reply.status, reply.reason, reply.ran) == (503, "log_unavailable", "no")
    assert runs_of(deployment, key) == []
    assert asyncio.run(async_ask()).ok
    assert len(runs_of(deployment, key)) == 1


def test_lost_answer_of_the_log_costs_no_run(deployment: Deployment, key: str) -> None:
    """The log takes the claim and loses its answer; read back by its id, the request runs once."""

    async def async_ask() -> Reply:
        client = make_client(deployment)
        reply = await async_create(client, key, 0)
        client.close()
        return reply

    deployment.control("log", lose_answers=1)
    assert asyncio.run(async_ask()).ok
    assert len(runs_of(deployment, key)) == 1
