"""What the dispatcher tells of runs that broke off, and how it asks before it sends."""

import asyncio
from datetime import timedelta

import attrs
import pytest

from cranberryline.dispatch.errors import RefusalReason
from cranberryline.dispatch.model import CollectingSink
from cranberryline.helpers.clock import FakeClock
from cranberryline.quarantine import BrokenRun, Held, RequestGuard
from cranberryline.requests import Ran
from cranberryline.transport import Exchange
from cranberryline.transport.model import Chunk, End, Failed, Head, NotRun, Submit

from .conftest import Bench, FakeSide, Script


@attrs.define
class _Guard(RequestGuard):
    """Hold after so many broken runs, and note what is told."""

    has_suspects = True
    holds_after: int = 100
    trials: int = 0
    broken: list[BrokenRun] = attrs.field(factory=list)
    answers: list[str] = attrs.field(factory=list)

    def is_suspected(self, request: str) -> bool:
        """Suspect every request."""
        return True

    def held(self, request: str) -> Held | None:
        """Hold every request alike."""
        if len(self.broken) < self.holds_after:
            return None
        return Held(len(self.broken), timedelta(seconds=7))

    async def async_claim_trial(self, request: str) -> bool:
        """Give the trials that are left."""
        self.trials -= 1
        return self.trials >= 0

    async def async_report_broken_run(self, run: BrokenRun) -> None:
        """Note a broken run."""
        self.broken.append(run)

    def record_answer(self, request: str) -> None:
        """Note an answer."""
        self.answers.append(request)


def _guarded(bench: Bench, **fields: int) -> _Guard:
    guard = _Guard(**fields)
    bench.dispatcher._guard = guard
    return guard


def _fails(
    reason: str, clock: FakeClock | None = None, answered_for_ms: int | None = None
) -> Script:
    """Return a side that breaks off, before its answer or so long after it has begun."""

    def script(side: FakeSide, exchange: Exchange, msg: Submit) -> None:
        if answered_for_ms is None or clock is None:
            exchange.push(Failed(msg.id, reason, "unknown"))
            return
        exchange.push(Head(msg.id, 200, ()))
        exchange.push(Chunk(msg.id, 0, b"who"))

        def end() -> None:
            clock.advance(timedelta(milliseconds=answered_for_ms))
            exchange.push(Failed(msg.id, reason, "yes"))

        asyncio.get_running_loop().call_later(0.02, end)

    return script


@pytest.mark.parametrize(
    ("reason", "told"),
    [
        ("upstream_cut", True),
        ("upstream_error", True),
        ("upstream_timeout", False),
        ("upstream_restarted", False),
    ],
)
def test_only_a_connection_that_ended_may_have_been_a_crash(
    bench: Bench, reason: str, told: bool
) -> None:
    """An upstream that is silent, frozen or known to have started again is not asked about."""
    guard = _guarded(bench)
    bench.side("up-1", _fails(reason))
    req = bench.request(request_id="r1", path="/x?secret=1", idempotent=False)
    asyncio.run(bench.dispatcher.async_run(req, CollectingSink()))
    expected = BrokenRun(req.fingerprint, "r1", req.caller, "/x", req.service, "up-1")
    assert guard.broken == ([expected] if told else [])


@pytest.mark.parametrize(("answered_for_ms", "told"), [(100, True), (900, False)])
def test_a_run_that_went_well_for_a_while_is_not_to_blame(answered_for_ms: int, told: bool) -> None:
    """A long text that is under way when its engine crashes did not crash it by beginning."""
    clock = FakeClock()
    bench = Bench(clock)
    guard = _guarded(bench)
    bench.side("up-1", _fails("upstream_cut", clock, answered_for_ms))
    req = bench.request(idempotent=False, deadline=clock.monotonic() + timedelta(seconds=9))
    asyncio.run(bench.dispatcher.async_run(req, CollectingSink()))
    assert bool(guard.broken) == told


def test_a_refusal_by_the_upstream_is_no_crash(bench: Bench) -> None:
    """It says itself that it did not run the request."""
    guard = _guarded(bench)
    bench.side("up-1", lambda _side, exchange, msg: exchange.push(NotRun(msg.id, "draining", 0)))
    asyncio.run(bench.dispatcher.async_run(bench.request(), CollectingSink()))
    assert guard.broken == []


def test_a_held_request_reaches_no_upstream(bench: Bench) -> None:
    """It is refused as not run, with the time of its trial."""
    _guarded(bench, holds_after=0)
    side = bench.side("up-1")
    ended = asyncio.run(bench.dispatcher.async_run(bench.request(), CollectingSink()))
    refusal = ended.unwrap_err()
    assert (refusal.reason, refusal.ran) == (RefusalReason.HELD, Ran.NO)
    assert refusal.retry_after == timedelta(seconds=7) and not side.submits


def test_a_request_that_is_held_between_its_attempts_is_told_as_perhaps_run(bench: Bench) -> None:
    """Its first run broke off, and a second one would crash another upstream; it is no longer `not run`."""
    _guarded(bench, holds_after=1)
    sides = [bench.side(f"up-{n}", _fails("upstream_cut")) for n in range(3)]
    ended = asyncio.run(bench.dispatcher.async_run(bench.request(), CollectingSink()))
    refusal = ended.unwrap_err()
    assert (refusal.reason, refusal.ran) == (RefusalReason.HELD, Ran.UNKNOWN)
    assert sum(len(side.submits) for side in sides) == 1


def test_a_trial_is_one_run(bench: Bench) -> None:
    """It breaks off again, and the dispatcher does not repeat it."""
    guard = _guarded(bench, holds_after=0, trials=1)
    sides = [bench.side(f"up-{n}", _fails("upstream_cut")) for n in range(3)]
    ended = asyncio.run(bench.dispatcher.async_run(bench.request(), CollectingSink()))
    assert ended.unwrap_err().ran is Ran.UNKNOWN
    assert sum(len(side.submits) for side in sides) == 1 and len(guard.broken) == 1


@pytest.mark.parametrize(("status", "clears"), [(200, True), (404, True), (500, False)])
def test_a_sound_answer_is_told(bench: Bench, status: int, clears: bool) -> None:
    """An upstream's own failure says nothing of whether the next one survives."""
    guard = _guarded(bench)

    def script(side: FakeSide, exchange: Exchange, msg: Submit) -> None:
        exchange.push(Head(msg.id, status, ()))
        exchange.push(End(msg.id, 0))

    bench.side("up-1", script)
    req = bench.request()
    asyncio.run(bench.dispatcher.async_run(req, CollectingSink()))
    assert guard.answers == ([req.fingerprint] if clears else [])
