"""The dispatcher over fake side processes: what callers are told, and what upstreams see."""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.configs import Kind
from cranberryline.dispatch.errors import RefusalReason
from cranberryline.dispatch.model import CollectingSink
from cranberryline.requests import Ran
from cranberryline.transport import Exchange, Lost
from cranberryline.transport.model import Chunk, End, Failed, Head, NotRun, Submit

from .conftest import Bench, FakeSide, answer, silent


class _CallerSink(CollectingSink):
    """Stand for a caller's connection: what was written cannot be taken back."""

    can_restart = False


def _not_run(side: FakeSide, exchange: Exchange, msg: Submit) -> None:
    exchange.push(NotRun(msg.id, "draining", 0))


def _replaced(side: FakeSide, exchange: Exchange, msg: Submit) -> None:
    exchange.push(NotRun(msg.id, "upstream_replaced", 0))


def _lose(side: FakeSide, exchange: Exchange, msg: Submit) -> None:
    exchange.push(Lost())


def _cut(side: FakeSide, exchange: Exchange, msg: Submit) -> None:
    exchange.push(Head(msg.id, 200, ()))
    exchange.push(Chunk(msg.id, 0, b"who"))
    exchange.push(Failed(msg.id, "upstream_cut", "yes"))


def _skip_a_chunk(side: FakeSide, exchange: Exchange, msg: Submit) -> None:
    exchange.push(Head(msg.id, 200, ()))
    exchange.push(Chunk(msg.id, 0, b"a"))
    exchange.push(Chunk(msg.id, 2, b"c"))
    exchange.push(End(msg.id, 3))


def test_a_whole_answer_reaches_the_caller(bench: Bench) -> None:
    """The sink holds exactly what the upstream sent."""
    bench.side("up-1")
    sink = CollectingSink()
    result = asyncio.run(bench.dispatcher.async_run(bench.request(), sink))
    assert result.unwrap() == "up-1"
    assert (sink.status, sink.body) == (200, b"whole")


def test_a_request_that_was_not_run_goes_elsewhere(bench: Bench) -> None:
    """The caller of a draining upstream gets its answer from another one."""
    first = bench.side("up-1", _not_run)
    second = bench.side("up-2", _not_run)
    third = bench.side("up-3")
    req = bench.request(method="POST", idempotent=False)
    result = asyncio.run(bench.dispatcher.async_run(req, CollectingSink()))
    if result.is_ok():
        assert result.unwrap() == "up-3"
    assert len(third.submits) <= 1
    assert len(first.submits) + len(second.submits) + len(third.submits) <= 3


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_lost_connection_repeats_only_what_may_be_repeated(
    bench: Bench, idempotent: bool
) -> None:
    """The caller of a non-idempotent request is told `unknown`, and nothing is sent again.

    The connection goes after the request left and before its answer: it may have run. Sending it
    to another upstream would run it twice.
    """
    sides = [bench.side("up-1", _lose), bench.side("up-2", _lose)]
    req = bench.request(idempotent=idempotent)
    refusal = asyncio.run(bench.dispatcher.async_run(req, CollectingSink())).unwrap_err()
    assert refusal.reason is RefusalReason.CONNECTION_LOST
    assert refusal.ran is Ran.UNKNOWN
    sent = sum(len(side.submits) for side in sides)
    assert sent == 1 if not idempotent else sent > 1


def test_a_deadline_is_not_run_only_when_the_withdrawal_is_confirmed(bench: Bench) -> None:
    """The caller reads `no` after a confirmed withdrawal, and `unknown` otherwise.

    The request may have been started or even ended, or the side process does not answer at all.
    """
    side = bench.side("up-1", silent)
    outcomes = {"not_run": Ran.NO, "started": Ran.UNKNOWN, "done": Ran.UNKNOWN, None: Ran.UNKNOWN}
    for outcome, ran in outcomes.items():
        side.withdrawn = outcome
        deadline = bench.clock.monotonic() + timedelta(milliseconds=50)
        req = bench.request(deadline=deadline, idempotent=False)
        refusal = asyncio.run(bench.dispatcher.async_run(req, CollectingSink())).unwrap_err()
        assert (refusal.reason, refusal.ran) == (RefusalReason.DEADLINE, ran)
    assert not side.cancelled()


@pytest.mark.parametrize("script", [_cut, _skip_a_chunk])
def test_a_part_of_an_answer_is_never_taken_for_the_whole(bench: Bench, script: object) -> None:
    """The caller that has seen a part sees the connection cut, not a short answer.

    The upstream's body ends early, or a chunk is lost on the way; no attempt may follow, for its
    beginning would be appended to what the caller already has.
    """
    side = bench.side("up-1", script)  # type: ignore[arg-type]
    other = bench.side("up-2", script)  # type: ignore[arg-type]
    refusal = asyncio.run(bench.dispatcher.async_run(bench.request(), _CallerSink()))
    assert refusal.unwrap_err().begun
    assert len(side.submits) + len(other.submits) == 1


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_sample_that_breaks_off_is_made_again_elsewhere(bench: Bench, idempotent: bool) -> None:
    """Who keeps the answer in memory gets the whole one of another upstream, never a mixture.

    The part that came is forgotten at the next head. A non-idempotent request is still not sent
    twice: it is told that it ran.
    """
    bench.side("up-1", _cut)
    bench.side("up-2", _cut)
    bench.table.get(bench.service, "up-2").peer.script = answer  # type: ignore[union-attr]
    sink = CollectingSink()
    req = bench.request(avoid=frozenset({"up-2"}), idempotent=idempotent)
    result = asyncio.run(bench.dispatcher.async_run(req, sink))
    if idempotent:
        assert result.unwrap() == "up-2"
        assert sink.body == b"whole"
    else:
        assert result.unwrap_err().ran is Ran.YES


def test_concurrency_is_never_exceeded_and_the_queue_drains(bench: Bench) -> None:
    """Twenty callers of an upstream that runs two at a time all get their answers."""
    held: list[tuple[Exchange, Submit]] = []
    side = bench.side("up-1", lambda _, exchange, msg: held.append((exchange, msg)))

    async def async_case() -> None:
        work = [
            asyncio.ensure_future(bench.dispatcher.async_run(bench.request(), CollectingSink()))
            for _ in range(20)
        ]
        while not all(task.done() for task in work):
            await asyncio.sleep(0)
            for exchange, msg in held:
                answer(side, exchange, msg)
            held.clear()
        assert all(task.result().is_ok() for task in work)

    asyncio.run(async_case())
    assert side.peak == 2
    assert bench.dispatcher.in_flight == 0


def test_a_wait_that_ends_is_refused_at_once_with_when_to_come_back(bench: Bench) -> None:
    """The caller behind a stuck upstream hears `not run` when its wait is over, and when to ask."""
    side = bench.side("up-1", silent)

    async def async_case() -> None:
        running = [
            asyncio.ensure_future(bench.dispatcher.async_run(bench.request(), CollectingSink()))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        late = bench.request(deadline=bench.clock.monotonic() + timedelta(milliseconds=50))
        refusal = (await bench.dispatcher.async_run(late, CollectingSink())).unwrap_err()
        assert refusal.ran is Ran.NO
        assert refusal.retry_after is not None
        assert len(side.submits) == 2
        for task in running:
            task.cancel()

    asyncio.run(async_case())


def test_a_caller_that_leaves_frees_its_place(bench: Bench) -> None:
    """Whoever hangs up while waiting or running leaves nothing held."""
    side = bench.side("up-1", silent)

    async def async_case() -> None:
        work = [
            asyncio.ensure_future(bench.dispatcher.async_run(bench.request(), CollectingSink()))
            for _ in range(5)
        ]
        await asyncio.sleep(0.01)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        assert side.outstanding == 0
        side.script = answer
        result = await bench.dispatcher.async_run(bench.request(), CollectingSink())
        assert result.is_ok()

    asyncio.run(async_case())
    assert side.cancelled()


def test_waiting_requests_go_when_an_upstream_appears(bench: Bench) -> None:
    """The caller that came before any upstream was reached is served when one is."""

    async def async_case() -> None:
        task = asyncio.ensure_future(bench.dispatcher.async_run(bench.request(), CollectingSink()))
        await asyncio.sleep(0.02)
        bench.side("up-1")
        bench.dispatcher.wake()
        assert (await task).is_ok()

    asyncio.run(async_case())


def test_retries_end_with_the_budget(bench: Bench) -> None:
    """In an outage attempts stay below 1.2 times the requests once the budget is spent."""
    sides = [bench.side(f"up-{i}", _lose) for i in range(4)]
    requests = 200

    async def async_case() -> None:
        for _ in range(requests):
            req = bench.request(deadline=bench.clock.monotonic() + timedelta(seconds=5))
            await bench.dispatcher.async_run(req, CollectingSink())

    bench.publish("service", "other", {"type": "plain"})
    asyncio.run(async_case())
    assert sum(len(side.submits) for side in sides) <= 1.2 * requests


def test_one_lost_connection_is_one_failure(bench: Bench) -> None:
    """The caller that comes after a lost connection is served, not sent away for half a minute.

    A connection ends with many requests on it, and each of them ends as lost. Counted one by one
    they would draw the upstream down to a probe every 30 s, though a new connection works at once.
    """
    bench.publish("service", "wide", {"type": "plain", "concurrency": 64})
    bench.service = "wide"
    side = bench.side("up-1", silent)

    async def async_case() -> None:
        work = [
            asyncio.ensure_future(
                bench.dispatcher.async_run(bench.request(idempotent=False), CollectingSink())
            )
            for _ in range(30)
        ]
        await asyncio.sleep(0.01)
        for exchange in list(side._exchanges.values()):
            exchange.push(Lost())
        await asyncio.gather(*work)
        side.script = answer
        await asyncio.sleep(0.01)
        assert (await bench.dispatcher.async_run(bench.request(), CollectingSink())).is_ok()

    asyncio.run(async_case())


@pytest.mark.parametrize("then", ["refused", "gone"])
def test_a_refusal_after_an_unknown_attempt_is_not_called_not_run(bench: Bench, then: str) -> None:
    """The caller whose first attempt may have run never reads `not run` about the last one.

    The first attempt's connection is lost after it ran. The repetition is refused by a draining
    side process, or finds no upstream at all: true of the repetition, false of the request.
    """
    sides = {name: bench.side(name) for name in ("up-1", "up-2")}

    def lose(side: FakeSide, exchange: Exchange, msg: Submit) -> None:
        exchange.push(Lost())
        for other in sides.values():
            other.script = _not_run
            other.usable = then == "refused"

    for side in sides.values():
        side.script = lose
    deadline = bench.clock.monotonic() + timedelta(milliseconds=300)
    req = bench.request(deadline=deadline)
    refusal = asyncio.run(bench.dispatcher.async_run(req, CollectingSink())).unwrap_err()
    assert refusal.ran is Ran.UNKNOWN


def test_an_amended_share_counts_from_then_on(bench: Bench) -> None:
    """A caller whose record is amended gets its new share without a restart of the entry."""
    lane = bench.dispatcher.lane(bench.service)
    bench.publish("caller", "inspecteur", {"share": 9})
    assert lane.shares["inspecteur"] == 9


def test_a_deleted_service_still_answers_who_waits(bench: Bench) -> None:
    """Whoever waits when the service's record is deleted gets a final answer in its time."""

    async def async_case() -> None:
        deadline = bench.clock.monotonic() + timedelta(milliseconds=60)
        task = asyncio.ensure_future(
            bench.dispatcher.async_run(bench.request(deadline=deadline), CollectingSink())
        )
        await asyncio.sleep(0)
        bench.delete(Kind.SERVICE, bench.service)
        assert not bench.book.knows(bench.service)
        async with asyncio.timeout(2):
            assert (await task).unwrap_err().ran is Ran.NO

    asyncio.run(async_case())


def test_a_wait_without_upstreams_says_nothing_of_their_speed(bench: Bench) -> None:
    """After a start without upstreams the callers that come next are let in, not sent away.

    Requests wait half a second for the first connection. Counted as time in which all places were
    taken, it made the service look hundreds of times slower than it is, and admission refused what
    it could have served at once, for up to a minute.
    """

    async def async_case() -> None:
        deadline = bench.clock.monotonic() + timedelta(seconds=5)
        work = [
            asyncio.ensure_future(
                bench.dispatcher.async_run(bench.request(deadline=deadline), CollectingSink())
            )
            for _ in range(6)
        ]
        await asyncio.sleep(0.5)
        bench.side("up-1")
        bench.dispatcher.wake()
        assert all(result.is_ok() for result in await asyncio.gather(*work))
        assert not 0 < bench.dispatcher.lane(bench.service).capacity < 100

    asyncio.run(async_case())


def test_a_sender_that_knows_the_pace_of_upstreams_is_followed(bench: Bench) -> None:
    """Measured by whole requests both look alike; by the events of running texts the second is faster.

    A long text that starts on the slower one ends its step a third later.
    """
    bench.side("up-1")
    bench.side("up-2")
    paces = {"up-1": 1000.0, "up-2": 1300.0}
    for _ in range(5):
        req = bench.request(tokens=9000, pace=paces.__getitem__)
        assert asyncio.run(bench.dispatcher.async_run(req, CollectingSink())).unwrap() == "up-2"
    assert sorted(bench.dispatcher.with_room(bench.service)) == ["up-1", "up-2"]


@pytest.mark.parametrize("idempotent", [True, False])
def test_entries_that_are_out_of_date_cost_no_attempt(bench: Bench, idempotent: bool) -> None:
    """Nine of ten upstreams are gone and others answer at their addresses; one attempt is allowed."""
    for number in range(9):
        bench.side(f"old-{number}", _replaced)
    sound = bench.side("sound")
    for _ in range(5):
        req = bench.request(idempotent=idempotent, max_attempts=1)
        assert asyncio.run(bench.dispatcher.async_run(req, CollectingSink())).unwrap() == "sound"
    assert len(sound.submits) == 5


def test_a_service_of_entries_that_are_all_out_of_date_is_refused_at_once(bench: Bench) -> None:
    """Each is asked once, without a pause, and the caller is told that nothing ran."""
    sides = [bench.side(f"old-{number}", _replaced) for number in range(4)]
    req = bench.request(max_attempts=1)
    refusal = asyncio.run(bench.dispatcher.async_run(req, CollectingSink())).unwrap_err()
    assert (refusal.reason, refusal.ran) == (RefusalReason.RETRIES_SPENT, Ran.NO)
    assert [len(side.submits) for side in sides] == [1, 1, 1, 1]
