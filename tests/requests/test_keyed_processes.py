"""Idempotency keys with real processes: the services' journals show at most one run per key."""

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
SLOW_LATENCY_S, FAST_LATENCY_S = 1.5, 0.002

_serial = itertools.count(1)


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    """Run two upstreams of each kind behind two entries, with a relay in front of each peer."""
    with launched(load_plan("giat-sach").shrunk(2, relayed=True)) as deployment:
        yield deployment


@pytest.fixture
def key() -> str:
    """Return a key that no other test uses."""
    return f"booking-{next(_serial)}"


def set_latency(deployment: Deployment, seconds: float) -> None:
    """Set how long each run takes at both upstreams."""
    for name in UPSTREAMS:
        deployment.control(name, latency_s=seconds)


def runs_of(deployment: Deployment, key: str) -> list[str]:
    """Return the upstreams whose journals contain a run of the key, one item per run."""
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


async def async_wait_until_running(deployment: Deployment, key: str) -> str:
    """Wait until a key's request is running and return its upstream."""
    async with asyncio.timeout(10):
        while not runs_of(deployment, key):  # noqa: ASYNC110 - the journal is a file
            await asyncio.sleep(0.05)
    return runs_of(deployment, key)[0]


async def async_retry_until_recorded(client: EntryClient, key: str) -> Reply:
    """Retry through the other entry until the recorded answer is returned."""
    reply = await async_create(client, key, 1)
    for _ in range(20):
        if reply.ok:
            return reply
        assert reply.ran == "unknown", reply.body
        await asyncio.sleep(0.5)
        reply = await async_create(client, key, 1)
    return reply


def make_client(deployment: Deployment) -> EntryClient:
    """Return a client with the identity of the first caller."""
    name = deployment.plan.names_of("caller")[0]
    return EntryClient(deployment.entries, deployment.tokens[name], name)


def test_concurrent_requests_with_one_key_run_once(deployment: Deployment) -> None:
    """A caller sends each of its bookings through both entries at the same time.

    Only the log coordinates the two requests. One runs; the other is refused as in progress or
    gets the recorded answer, marked as replayed. A repetition gets the recorded answer as well.
    """
    keys = [f"at-once-{number}" for number in range(20)]

    async def async_scenario() -> None:
        client = make_client(deployment)
        pairs = [async_create(client, key, entry) for key in keys for entry in (0, 1)]
        replies = await asyncio.gather(*pairs)
        firsts = [
            next(reply for reply in pair if reply.ok)
            for pair in zip(replies[::2], replies[1::2], strict=True)
        ]
        again = await asyncio.gather(*(async_create(client, key, 1) for key in keys))
        assert all(reply.ok for reply in again)
        assert [reply.data["run"] for reply in again] == [r.data["run"] for r in firsts]
        client.close()

    asyncio.run(async_scenario())
    counts = Counter({key: len(runs_of(deployment, key)) for key in keys})
    assert set(counts.values()) == {1}


def test_side_process_killed_during_a_keyed_run(deployment: Deployment, key: str) -> None:
    """The side process is killed while the service creates the booking; the result is not known.

    The caller gets `unknown`, never `no`. It retries through both entries after the crash: there
    must be no second run.
    """
    set_latency(deployment, SLOW_LATENCY_S)

    async def async_scenario() -> list[Reply]:
        client = make_client(deployment)
        first = asyncio.ensure_future(async_create(client, key, 0))
        upstream = await async_wait_until_running(deployment, key)
        deployment.process(f"side-{upstream}").kill()
        replies = [await first]
        for entry in (1, 0, 1):
            replies.append(await async_create(client, key, entry))
            await asyncio.sleep(0.3)
        client.close()
        return replies

    try:
        replies = asyncio.run(async_scenario())
    finally:
        set_latency(deployment, FAST_LATENCY_S)
        for name in UPSTREAMS:
            if not deployment.process(f"side-{name}").running:
                deployment.restart(f"side-{name}")
    assert len(runs_of(deployment, key)) == 1
    assert not any(reply.ok for reply in replies)
    assert {reply.ran for reply in replies} == {"unknown"}


def test_entry_killed_during_a_keyed_run(deployment: Deployment, key: str) -> None:
    """The entry is killed with a request in flight; the run completes and its answer is recorded.

    The caller's connection is lost. It retries through the other entry and gets the answer of that
    one run, possibly after several refusals as in progress.
    """
    set_latency(deployment, SLOW_LATENCY_S)

    async def async_scenario() -> Reply:
        client = make_client(deployment)
        first = asyncio.ensure_future(async_create(client, key, 0))
        await async_wait_until_running(deployment, key)
        deployment.process("entry-1").kill()
        assert not (await first).ok
        reply = await async_retry_until_recorded(client, key)
        client.close()
        return reply

    try:
        reply = asyncio.run(async_scenario())
    finally:
        set_latency(deployment, FAST_LATENCY_S)
        deployment.restart("entry-1")
    assert reply.ok, reply.body
    assert reply.data["call"] == f"{key}/0"
    assert len(runs_of(deployment, key)) == 1


def test_connection_stalls_during_a_keyed_run(deployment: Deployment, key: str) -> None:
    """The connection to the side process stays open but no longer transfers data.

    The entry receives nothing and answers `unknown`. The run completes meanwhile, and a retry over
    a new connection gets its answer.
    """
    set_latency(deployment, SLOW_LATENCY_S)

    async def async_scenario() -> tuple[Reply, Reply]:
        client = make_client(deployment)
        first = asyncio.ensure_future(async_create(client, key, 0))
        upstream = await async_wait_until_running(deployment, key)
        deployment.silence(upstream)
        replies = await first, await async_retry_until_recorded(client, key)
        client.close()
        return replies

    try:
        first, again = asyncio.run(async_scenario())
    finally:
        set_latency(deployment, FAST_LATENCY_S)
    assert (first.ok, first.ran) == (False, "unknown")
    assert again.ok, again.body
    assert again.data["call"] == f"{key}/0"
    assert len(runs_of(deployment, key)) == 1


def test_side_process_paused_during_a_keyed_run(deployment: Deployment, key: str) -> None:
    """The side process is paused by SIGSTOP during the run and continues 8 s later.

    Meanwhile the kernel still acknowledges data that is sent to it. The caller gets `unknown`.
    Once the side process continues, it records the answer, and a retry gets that answer.
    """
    set_latency(deployment, SLOW_LATENCY_S)

    async def async_scenario() -> tuple[Reply, Reply]:
        client = make_client(deployment)
        first = asyncio.ensure_future(async_create(client, key, 0))
        process = deployment.process(f"side-{await async_wait_until_running(deployment, key)}")
        process.freeze()
        try:
            await asyncio.sleep(8)
        finally:
            process.thaw()
        replies = await first, await async_retry_until_recorded(client, key)
        client.close()
        return replies

    try:
        first, again = asyncio.run(async_scenario())
    finally:
        set_latency(deployment, FAST_LATENCY_S)
    assert (first.ok, first.ran) == (False, "unknown")
    assert again.ok, again.body
    assert again.data["call"] == f"{key}/0"
    assert len(runs_of(deployment, key)) == 1


def test_log_outage_refuses_keyed_requests_without_running_them(
    deployment: Deployment, key: str
) -> None:
    """During a log outage a keyed request is refused with `ran: no`, and the journal has no run."""

    async def async_request() -> Reply:
        client = make_client(deployment)
        reply = await async_create(client, key, 0)
        client.close()
        return reply

    deployment.control("log", outage="refuse")
    try:
        reply = asyncio.run(async_request())
    finally:
        deployment.control("log", outage="")
    assert (reply.status, reply.reason, reply.ran) == (503, "log_unavailable", "no")
    assert runs_of(deployment, key) == []
    assert asyncio.run(async_request()).ok
    assert len(runs_of(deployment, key)) == 1


def test_lost_answer_of_the_log_does_not_prevent_the_run(deployment: Deployment, key: str) -> None:
    """The log appends the claim but its answer is lost; found by its id, the request runs once."""

    async def async_request() -> Reply:
        client = make_client(deployment)
        reply = await async_create(client, key, 0)
        client.close()
        return reply

    deployment.control("log", lose_answers=1)
    assert asyncio.run(async_request()).ok
    assert len(runs_of(deployment, key)) == 1
