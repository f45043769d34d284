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
    """Run two upstreams of each kind behind two entries, with a relay before each peer."""
    with launched(load_plan("giat-sach").shrunk(2, relayed=True)) as deployment:
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


async def async_running(deployment: Deployment, key: str) -> str:
    """Wait until a key's request runs; return the upstream."""
    async with asyncio.timeout(10):
        while not runs_of(deployment, key):  # noqa: ASYNC110 - the journal is a file
            await asyncio.sleep(0.05)
    return runs_of(deployment, key)[0]


async def async_ask_until_kept(client: EntryClient, key: str) -> Reply:
    """Ask again through the other entry until the recorded answer comes."""
    reply = await async_create(client, key, 1)
    for _ in range(20):
        if reply.ok:
            return reply
        assert reply.ran == "unknown", reply.body
        await asyncio.sleep(0.5)
        reply = await async_create(client, key, 1)
    return reply


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
        upstream = await async_running(deployment, key)
        deployment.process(f"side-{upstream}").kill()
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
        await async_running(deployment, key)
        deployment.process("entry-1").kill()
        assert not (await first).ok
        reply = await async_ask_until_kept(client, key)
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


def test_connection_goes_silent_in_a_keyed_run(deployment: Deployment, key: str) -> None:
    """The connection to the side process stays open and carries nothing any more.

    The entry hears nothing and tells its caller `unknown`. The run goes to its end beside it, and
    asked again, over a new connection, the caller gets that run's answer.
    """
    set_latency(deployment, SLOW_S)

    async def async_play() -> tuple[Reply, Reply]:
        client = make_client(deployment)
        first = asyncio.ensure_future(async_create(client, key, 0))
        upstream = await async_running(deployment, key)
        deployment.silence(upstream)
        replies = await first, await async_ask_until_kept(client, key)
        client.close()
        return replies

    try:
        first, again = asyncio.run(async_play())
    finally:
        set_latency(deployment, QUICK_S)
    assert (first.ok, first.ran) == (False, "unknown")
    assert again.ok, again.body
    assert again.data["call"] == f"{key}/0"
    assert len(runs_of(deployment, key)) == 1


def test_side_process_stopped_in_a_keyed_run(deployment: Deployment, key: str) -> None:
    """The side process is stopped (SIGSTOP) while the service runs, and goes on 8 s later.

    Meanwhile the kernel acknowledges all that is sent to it. The caller is told `unknown`, also
    when it asks again; once the side process goes on, it notes the answer, and that is given.
    """
    set_latency(deployment, SLOW_S)

    async def async_play() -> tuple[Reply, Reply]:
        client = make_client(deployment)
        first = asyncio.ensure_future(async_create(client, key, 0))
        process = deployment.process(f"side-{await async_running(deployment, key)}")
        process.freeze()
        try:
            await asyncio.sleep(8)
        finally:
            process.thaw()
        replies = await first, await async_ask_until_kept(client, key)
        client.close()
        return replies

    try:
        first, again = asyncio.run(async_play())
    finally:
        set_latency(deployment, QUICK_S)
    assert (first.ok, first.ran) == (False, "unknown")
    assert again.ok, again.body
    assert again.data["call"] == f"{key}/0"
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
