"""The dispatcher over fake side processes: results for callers, and requests sent to upstreams."""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.configs import Kind
from cranberryline.dispatch.errors import RefusalReason
from cranberryline.dispatch.model import CollectingSink
from cranberryline.requests import Ran
from cranberryline.transport import Exchange, Lost
from cranberryline.transport.model import Chunk, End, Failed, Head, NotRun, Submit

from .conftest import DispatcherHarness, FakeSideProcess, echo_response, no_response


class _CallerSink(CollectingSink):
    """Fake of a caller's connection: a response that was partly sent cannot be restarted."""

    can_restart = False


def _reject(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    exchange.push(NotRun(msg.id, "draining", 0))


def _report_replaced(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    exchange.push(NotRun(msg.id, "upstream_replaced", 0))


def _lose_connection(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    exchange.push(Lost())


def _cut_response(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    exchange.push(Head(msg.id, 200, ()))
    exchange.push(Chunk(msg.id, 0, b"who"))
    exchange.push(Failed(msg.id, "upstream_cut", "yes"))


def _skip_chunk(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    exchange.push(Head(msg.id, 200, ()))
    exchange.push(Chunk(msg.id, 0, b"a"))
    exchange.push(Chunk(msg.id, 2, b"c"))
    exchange.push(End(msg.id, 3))


def test_complete_response_reaches_the_caller(harness: DispatcherHarness) -> None:
    """The status or body in the sink differs from what the upstream sent."""
    harness.add_upstream("up-1")
    sink = CollectingSink()
    result = asyncio.run(harness.dispatcher.async_run(harness.request(), sink))
    assert result.unwrap() == "up-1"
    assert (sink.status, sink.body) == (200, b"whole")


def test_request_rejected_by_draining_upstreams_is_sent_to_another_one(
    harness: DispatcherHarness,
) -> None:
    """A request that draining upstreams rejected is lost, or sent more than three times."""
    first = harness.add_upstream("up-1", _reject)
    second = harness.add_upstream("up-2", _reject)
    third = harness.add_upstream("up-3")
    req = harness.request(method="POST", idempotent=False)
    result = asyncio.run(harness.dispatcher.async_run(req, CollectingSink()))
    if result.is_ok():
        assert result.unwrap() == "up-3"
    assert len(third.submits) <= 1
    assert len(first.submits) + len(second.submits) + len(third.submits) <= 3


@pytest.mark.parametrize("idempotent", [True, False])
def test_only_idempotent_requests_are_retried_after_a_lost_connection(
    harness: DispatcherHarness, idempotent: bool
) -> None:
    """A non-idempotent request is run twice.

    The connection is lost after the request was sent and before its response, so it may have run.
    The caller must read `unknown`, and only an idempotent request may be sent to another upstream.
    """
    sides = [
        harness.add_upstream("up-1", _lose_connection),
        harness.add_upstream("up-2", _lose_connection),
    ]
    req = harness.request(idempotent=idempotent)
    refusal = asyncio.run(harness.dispatcher.async_run(req, CollectingSink())).unwrap_err()
    assert refusal.reason is RefusalReason.CONNECTION_LOST
    assert refusal.ran is Ran.UNKNOWN
    sent = sum(len(side.submits) for side in sides)
    assert sent == 1 if not idempotent else sent > 1


def test_timed_out_request_is_not_run_only_if_the_withdrawal_is_confirmed(
    harness: DispatcherHarness,
) -> None:
    """A request that may have run is reported as not run after its deadline.

    The caller may read `no` only after a confirmed withdrawal. It must read `unknown` if the
    request was started or had ended, or if the side process does not reply at all.
    """
    side = harness.add_upstream("up-1", no_response)
    outcomes = {"not_run": Ran.NO, "started": Ran.UNKNOWN, "done": Ran.UNKNOWN, None: Ran.UNKNOWN}
    for outcome, ran in outcomes.items():
        side.withdrawn = outcome
        deadline = harness.clock.monotonic() + timedelta(milliseconds=50)
        req = harness.request(deadline=deadline, idempotent=False)
        refusal = asyncio.run(harness.dispatcher.async_run(req, CollectingSink())).unwrap_err()
        assert (refusal.reason, refusal.ran) == (RefusalReason.DEADLINE, ran)
    assert not side.cancelled()


@pytest.mark.parametrize("script", [_cut_response, _skip_chunk])
def test_partial_response_is_not_taken_for_complete(
    harness: DispatcherHarness, script: object
) -> None:
    """A caller treats a partial response as complete.

    The upstream's body ends early, or a chunk is lost in transit. The caller's connection must be
    closed, and no attempt may follow, as its response would be appended to the partial one.
    """
    side = harness.add_upstream("up-1", script)  # type: ignore[arg-type]
    other = harness.add_upstream("up-2", script)  # type: ignore[arg-type]
    refusal = asyncio.run(harness.dispatcher.async_run(harness.request(), _CallerSink()))
    assert refusal.unwrap_err().response_started
    assert len(side.submits) + len(other.submits) == 1


@pytest.mark.parametrize("idempotent", [True, False])
def test_buffered_partial_response_is_replaced_by_a_retry(
    harness: DispatcherHarness, idempotent: bool
) -> None:
    """A response mixes the data of two attempts, or a non-idempotent request is run twice.

    A sink that keeps the response in memory discards the partial one when the next response starts.
    A non-idempotent request is not retried; the caller is told that it ran.
    """
    harness.add_upstream("up-1", _cut_response)
    harness.add_upstream("up-2", _cut_response)
    harness.table.pool(harness.service).get("up-2").link.script = echo_response  # type: ignore[union-attr]
    sink = CollectingSink()
    req = harness.request(avoid=frozenset({"up-2"}), idempotent=idempotent)
    result = asyncio.run(harness.dispatcher.async_run(req, sink))
    if idempotent:
        assert result.unwrap() == "up-2"
        assert sink.body == b"whole"
    else:
        assert result.unwrap_err().ran is Ran.YES


def test_concurrency_limit_is_kept_and_all_queued_requests_are_served(
    harness: DispatcherHarness,
) -> None:
    """An upstream gets more than two requests at a time, or one of twenty callers is not served."""
    pending: list[tuple[Exchange, Submit]] = []
    side = harness.add_upstream("up-1", lambda _, exchange, msg: pending.append((exchange, msg)))

    async def async_main() -> None:
        work = [
            asyncio.ensure_future(harness.dispatcher.async_run(harness.request(), CollectingSink()))
            for _ in range(20)
        ]
        while not all(task.done() for task in work):
            await asyncio.sleep(0)
            for exchange, msg in pending:
                echo_response(side, exchange, msg)
            pending.clear()
        assert all(task.result().is_ok() for task in work)

    asyncio.run(async_main())
    assert side.peak == 2
    assert harness.dispatcher.in_flight == 0


def test_expired_queued_request_is_refused_with_a_retry_delay(harness: DispatcherHarness) -> None:
    """A request that expires behind a stuck upstream is not refused as not run, or without a delay."""
    side = harness.add_upstream("up-1", no_response)

    async def async_main() -> None:
        running = [
            asyncio.ensure_future(harness.dispatcher.async_run(harness.request(), CollectingSink()))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        late = harness.request(deadline=harness.clock.monotonic() + timedelta(milliseconds=50))
        refusal = (await harness.dispatcher.async_run(late, CollectingSink())).unwrap_err()
        assert refusal.ran is Ran.NO
        assert refusal.retry_after is not None
        assert len(side.submits) == 2
        for task in running:
            task.cancel()

    asyncio.run(async_main())


def test_disconnected_caller_releases_its_slot(harness: DispatcherHarness) -> None:
    """A slot or an exchange is leaked if a caller disconnects while its request waits or runs."""
    side = harness.add_upstream("up-1", no_response)

    async def async_main() -> None:
        work = [
            asyncio.ensure_future(harness.dispatcher.async_run(harness.request(), CollectingSink()))
            for _ in range(5)
        ]
        await asyncio.sleep(0.01)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        assert side.outstanding == 0
        side.script = echo_response
        result = await harness.dispatcher.async_run(harness.request(), CollectingSink())
        assert result.is_ok()

    asyncio.run(async_main())
    assert side.cancelled()


def test_queued_requests_are_sent_when_an_upstream_is_added(harness: DispatcherHarness) -> None:
    """A request queued before any upstream was connected is not served once one is."""

    async def async_main() -> None:
        task = asyncio.ensure_future(
            harness.dispatcher.async_run(harness.request(), CollectingSink())
        )
        await asyncio.sleep(0.02)
        harness.add_upstream("up-1")
        harness.dispatcher.wake()
        assert (await task).is_ok()

    asyncio.run(async_main())


def test_retries_are_limited_by_the_retry_budget(harness: DispatcherHarness) -> None:
    """In an outage, retries raise the attempts above 1.2 times the requests."""
    sides = [harness.add_upstream(f"up-{i}", _lose_connection) for i in range(4)]
    requests = 200

    async def async_main() -> None:
        for _ in range(requests):
            req = harness.request(deadline=harness.clock.monotonic() + timedelta(seconds=5))
            await harness.dispatcher.async_run(req, CollectingSink())

    harness.publish("service", "other", {"type": "plain"})
    asyncio.run(async_main())
    assert sum(len(side.submits) for side in sides) <= 1.2 * requests


def test_lost_connection_counts_as_one_failure(harness: DispatcherHarness) -> None:
    """Callers are refused for half a minute after a single lost connection.

    All requests on a lost connection fail together. If each counted as a failure, the circuit
    breaker would reduce the upstream to a probe every 30 s, although a new connection works
    immediately.
    """
    harness.publish("service", "wide", {"type": "plain", "concurrency": 64})
    harness.service = "wide"
    side = harness.add_upstream("up-1", no_response)

    async def async_main() -> None:
        work = [
            asyncio.ensure_future(
                harness.dispatcher.async_run(harness.request(idempotent=False), CollectingSink())
            )
            for _ in range(30)
        ]
        await asyncio.sleep(0.01)
        for exchange in list(side._exchanges.values()):
            exchange.push(Lost())
        await asyncio.gather(*work)
        side.script = echo_response
        await asyncio.sleep(0.01)
        assert (await harness.dispatcher.async_run(harness.request(), CollectingSink())).is_ok()

    asyncio.run(async_main())


@pytest.mark.parametrize("then", ["refused", "gone"])
def test_refusal_after_an_attempt_of_unknown_outcome_is_not_reported_as_not_run(
    harness: DispatcherHarness, then: str
) -> None:
    """A request that may have run is reported as not run.

    The connection of the first attempt is lost after it may have run. The retry is rejected by a
    draining side process, or finds no upstream: the retry was not run, but the request may have.
    """
    sides = {name: harness.add_upstream(name) for name in ("up-1", "up-2")}

    def lose_connection(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
        exchange.push(Lost())
        for other in sides.values():
            other.script = _reject
            other.usable = then == "refused"

    for side in sides.values():
        side.script = lose_connection
    deadline = harness.clock.monotonic() + timedelta(milliseconds=300)
    req = harness.request(deadline=deadline)
    refusal = asyncio.run(harness.dispatcher.async_run(req, CollectingSink())).unwrap_err()
    assert refusal.ran is Ran.UNKNOWN


def test_changed_caller_share_applies_without_a_restart(harness: DispatcherHarness) -> None:
    """A changed share of a caller has no effect until the entry is restarted."""
    scheduler = harness.dispatcher.scheduler(harness.service)
    harness.publish("caller", "inspecteur", {"share": 9})
    assert scheduler.shares["inspecteur"] == 9


def test_queued_request_of_a_deleted_service_ends_at_its_deadline(
    harness: DispatcherHarness,
) -> None:
    """A request waits forever if its service is deleted while it is queued."""

    async def async_main() -> None:
        deadline = harness.clock.monotonic() + timedelta(milliseconds=60)
        task = asyncio.ensure_future(
            harness.dispatcher.async_run(harness.request(deadline=deadline), CollectingSink())
        )
        await asyncio.sleep(0)
        harness.delete(Kind.SERVICE, harness.service)
        assert not harness.book.has_service(harness.service)
        async with asyncio.timeout(2):
            assert (await task).unwrap_err().ran is Ran.NO

    asyncio.run(async_main())


def test_wait_without_upstreams_does_not_lower_the_measured_capacity(
    harness: DispatcherHarness,
) -> None:
    """Admission refuses callers for up to a minute after a start without upstreams.

    Requests wait half a second for the first connection. Counted as time in which all slots are
    taken, this wait makes the service look hundreds of times slower than it is.
    """

    async def async_main() -> None:
        deadline = harness.clock.monotonic() + timedelta(seconds=5)
        work = [
            asyncio.ensure_future(
                harness.dispatcher.async_run(harness.request(deadline=deadline), CollectingSink())
            )
            for _ in range(6)
        ]
        await asyncio.sleep(0.5)
        harness.add_upstream("up-1")
        harness.dispatcher.wake()
        assert all(result.is_ok() for result in await asyncio.gather(*work))
        assert not 0 < harness.dispatcher.scheduler(harness.service).capacity < 100

    asyncio.run(async_main())


def test_token_rates_given_with_a_request_decide_the_upstream(harness: DispatcherHarness) -> None:
    """A request is sent to the slower upstream although its sender knows the token rates.

    Both upstreams look alike by the dispatcher's own measurement of complete requests. The sender's
    rates, measured on running texts, show that the second is faster. A long text that starts on the
    slower one ends its step a third later.
    """
    harness.add_upstream("up-1")
    harness.add_upstream("up-2")
    token_rates = {"up-1": 1000.0, "up-2": 1300.0}
    for _ in range(5):
        req = harness.request(tokens=9000, token_rate=token_rates.__getitem__)
        assert asyncio.run(harness.dispatcher.async_run(req, CollectingSink())).unwrap() == "up-2"
    for upstream in token_rates:
        assert harness.dispatcher.has_free_slot(harness.service, upstream)


@pytest.mark.parametrize("idempotent", [True, False])
def test_attempts_at_stale_registrations_do_not_count(
    harness: DispatcherHarness, idempotent: bool
) -> None:
    """A request fails because its only attempt is spent on a stale registration.

    Nine of ten upstreams no longer exist, and other processes respond at their addresses.
    """
    for number in range(9):
        harness.add_upstream(f"old-{number}", _report_replaced)
    current = harness.add_upstream("sound")
    for _ in range(5):
        req = harness.request(idempotent=idempotent, max_attempts=1)
        assert asyncio.run(harness.dispatcher.async_run(req, CollectingSink())).unwrap() == "sound"
    assert len(current.submits) == 5


def test_service_with_only_stale_registrations_is_refused_immediately(
    harness: DispatcherHarness,
) -> None:
    """A stale upstream is tried again, or the caller is not told that the request was not run.

    Each upstream must be tried exactly once, without a delay between them.
    """
    sides = [harness.add_upstream(f"old-{number}", _report_replaced) for number in range(4)]
    req = harness.request(max_attempts=1)
    refusal = asyncio.run(harness.dispatcher.async_run(req, CollectingSink())).unwrap_err()
    assert (refusal.reason, refusal.ran) == (RefusalReason.RETRIES_SPENT, Ran.NO)
    assert [len(side.submits) for side in sides] == [1, 1, 1, 1]
