"""Admission by the measured capacity: callers that fit are admitted, others refused at once."""

import asyncio
from collections import Counter
from datetime import timedelta
from random import Random

import pytest

from cranberryline.dispatch.model import CollectingSink
from cranberryline.transport import Exchange
from cranberryline.transport.model import Load, Submit
from tests.virtual_time import LoopClock, VirtualLoop, run_virtual

from .conftest import DispatcherHarness, FakeSideProcess, echo_response

CONCURRENCY = 16
UPSTREAMS = 3
RUN_SECONDS = 0.3
CAPACITY = UPSTREAMS * CONCURRENCY / RUN_SECONDS
QUEUE_SECONDS = 1


def _timed_harness(sharers: int = 1) -> DispatcherHarness:
    harness = DispatcherHarness(
        LoopClock(), sharers, concurrency=CONCURRENCY, queue_seconds=QUEUE_SECONDS
    )
    for number in range(UPSTREAMS):
        harness.add_upstream(f"up-{number}", _respond_later)
    return harness


@pytest.fixture
def timed_harness() -> DispatcherHarness:
    """Return a dispatcher in virtual time over three upstreams that take 0.3 s a request."""
    return _timed_harness()


def _respond_later(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    # Responses of requests that started together arrive one after the other.
    seconds = RUN_SECONDS + 0.001 * side.outstanding
    asyncio.get_running_loop().call_later(seconds, echo_response, side, exchange, msg)


async def _async_request(harness: DispatcherHarness) -> str:
    """Send a request with a deadline of 10 s; return `ok` or the detail of its refusal."""
    req = harness.request(deadline=harness.clock.monotonic() + timedelta(seconds=10))
    result = await harness.dispatcher.async_run(req, CollectingSink())
    return "ok" if result.is_ok() else result.unwrap_err().detail


def test_callers_that_begin_at_once_and_fit_are_not_refused(
    timed_harness: DispatcherHarness,
) -> None:
    """Callers are refused for the wait of seconds that the first end of a batch seems to show.

    60 callers share 48 slots, so none waits longer than one run of 0.3 s.
    """
    results: Counter[str] = Counter()

    async def async_call_repeatedly(until: timedelta) -> None:
        while timed_harness.clock.monotonic() < until:
            result = await _async_request(timed_harness)
            results[result] += 1
            if result != "ok":
                await asyncio.sleep(0.01)

    async def async_main() -> None:
        until = timed_harness.clock.monotonic() + timedelta(seconds=4)
        await asyncio.gather(*(async_call_repeatedly(until) for _ in range(60)))

    run_virtual(async_main())
    assert set(results) == {"ok"}


def test_callers_after_a_pause_of_the_entry_are_not_refused(
    timed_harness: DispatcherHarness,
) -> None:
    """Callers are refused after an entry has woken up, since its requests seem to take so long.

    60 callers share 48 slots, the entry does not run for 0.6 s, and 20 more come behind that.
    """
    results: Counter[str] = Counter()

    async def async_call_repeatedly() -> None:
        while timed_harness.clock.monotonic() < timedelta(seconds=6):
            results[await _async_request(timed_harness)] += 1

    async def async_pause() -> None:
        await asyncio.sleep(0.4)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.jump(0.6)
        for _ in range(3):
            await asyncio.sleep(0.05)
            more = [asyncio.ensure_future(_async_request(timed_harness)) for _ in range(20)]
            results.update(await asyncio.gather(*more))

    async def async_main() -> None:
        await asyncio.gather(async_pause(), *(async_call_repeatedly() for _ in range(60)))

    run_virtual(async_main())
    assert set(results) == {"ok"}


def test_callers_beside_an_entry_that_took_most_slots_are_not_refused() -> None:
    """Callers are refused since the other entry's requests took nearly all slots before theirs.

    This entry has 3 of 48 slots and 13 requests in its queue. The 45 others end a moment later.
    """
    harness = _timed_harness(sharers=2)
    links = [up.link for up in harness.table.usable(harness.service)]

    def report(others: int) -> None:
        for link in links:
            link.load = Load(others + link.outstanding, 0, 0, CONCURRENCY, None, 0)
            link.load_at = harness.clock.monotonic()
            link.outstanding_at_load = link.outstanding
        harness.dispatcher.wake()

    async def async_main() -> Counter[str]:
        report(others=CONCURRENCY - 1)
        early = [asyncio.ensure_future(_async_request(harness)) for _ in range(16)]
        await asyncio.sleep(RUN_SECONDS + 0.02)
        late = [asyncio.ensure_future(_async_request(harness)) for _ in range(4)]
        await asyncio.sleep(0.05)
        report(others=0)
        return Counter(await asyncio.gather(*early, *late))

    assert set(run_virtual(async_main())) == {"ok"}


@pytest.mark.parametrize("overload", [1.5, 2.0, 4.0])
def test_overload_is_refused_on_arrival(timed_harness: DispatcherHarness, overload: float) -> None:
    """Callers are refused only after they have waited in vain, or the upstreams are not used up.

    All callers have the same priority and name, so nobody overtakes an admitted request and the
    estimate that admits it must hold.
    """
    seconds, rng = 30.0, Random(5)

    async def async_main() -> Counter[str]:
        tasks = []
        while timed_harness.clock.monotonic() < timedelta(seconds=seconds):
            tasks.append(asyncio.ensure_future(_async_request(timed_harness)))
            await asyncio.sleep(rng.expovariate(overload * CAPACITY))
        return Counter(await asyncio.gather(*tasks))

    results = run_virtual(async_main())
    assert set(results) == {"ok", "queue_wait"}
    served_share = results["ok"] / (seconds * CAPACITY)
    assert served_share > 0.9
    metrics = timed_harness.metrics
    refused = metrics.value("cranberryline_queue_refusals_total", reason="queue_wait")
    assert refused == results["queue_wait"]


def test_time_without_callers_beside_full_upstreams_does_not_count(
    timed_harness: DispatcherHarness,
) -> None:
    """The first callers are refused since other entries used all slots while there were none.

    Nobody waited in that time, so it does not show what this entry can use.
    """
    scheduler = timed_harness.dispatcher.scheduler(timed_harness.service)
    upstreams = timed_harness.table.usable(timed_harness.service)
    for upstream in upstreams:
        upstream.link.load = Load(CONCURRENCY, 0, 0, CONCURRENCY, None, 0)
    scheduler.dispatch_waiting()
    assert upstreams and not any(scheduler.has_free_slot(up.id) for up in upstreams)
    assert not scheduler._capacity.saturated


def test_refusal_is_logged_with_its_estimate(
    timed_harness: DispatcherHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A refusal cannot be told from a wrong estimate in the log."""
    logged: list[dict[str, object]] = []
    scheduler = timed_harness.dispatcher.scheduler(timed_harness.service)
    monkeypatch.setattr(
        scheduler._refusal_log, "info", lambda event, **fields: logged.append({event: fields})
    )

    async def async_main() -> None:
        work = []
        for _ in range(40):
            work += [asyncio.ensure_future(_async_request(timed_harness)) for _ in range(20)]
            await asyncio.sleep(0.05)
        await asyncio.gather(*work)

    run_virtual(async_main())
    fields = logged[0]["admission_refused"]
    assert isinstance(fields, dict)
    assert fields["reason"] == "queue_wait"
    assert fields["estimated_wait_s"] > QUEUE_SECONDS * 0.65
    assert fields["capacity"] == pytest.approx(CAPACITY, rel=0.1)
    assert (fields["slots"], fields["running"]) == (48, 48)
    assert fields["slot_rate"] == pytest.approx(1 / RUN_SECONDS, rel=0.1)
    assert (fields["share"], fields["total_slots"], fields["lost_to_overdue"]) == (1.0, 48, 0.0)
    assert fields["queued"] > 0
