"""The dispatcher's use of the quarantine: crash reports, and checks before sending."""

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

from .conftest import DispatcherHarness, FakeSideProcess, Script


@attrs.define
class _Guard(RequestGuard):
    """Fake guard that holds all requests after `holds_after` broken runs, and records its calls."""

    has_suspects = True
    holds_after: int = 100
    trials: int = 0
    broken: list[BrokenRun] = attrs.field(factory=list)
    cleared: list[str] = attrs.field(factory=list)

    def is_suspected(self, request: str) -> bool:
        """Return true: every request is suspected."""
        return True

    def held(self, request: str) -> Held | None:
        """Return the hold of any request once there are enough broken runs."""
        if len(self.broken) < self.holds_after:
            return None
        return Held(len(self.broken), timedelta(seconds=7))

    async def async_claim_trial(self, request: str) -> bool:
        """Grant the remaining trial runs."""
        self.trials -= 1
        return self.trials >= 0

    async def async_report_broken_run(self, run: BrokenRun) -> None:
        """Record a broken run."""
        self.broken.append(run)

    def record_answer(self, request: str) -> None:
        """Record a successful response."""
        self.cleared.append(request)


def _guarded(harness: DispatcherHarness, **fields: int) -> _Guard:
    guard = _Guard(**fields)
    harness.dispatcher._guard = guard
    return guard


def _failing_script(
    reason: str, clock: FakeClock | None = None, failed_after_ms: int | None = None
) -> Script:
    """Return a script that fails before the response, or the given time after its start."""

    def script(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
        if failed_after_ms is None or clock is None:
            exchange.push(Failed(msg.id, reason, "unknown"))
            return
        exchange.push(Head(msg.id, 200, ()))
        exchange.push(Chunk(msg.id, 0, b"who"))

        def fail() -> None:
            clock.advance(timedelta(milliseconds=failed_after_ms))
            exchange.push(Failed(msg.id, reason, "yes"))

        asyncio.get_running_loop().call_later(0.02, fail)

    return script


@pytest.mark.parametrize(
    ("reason", "reported"),
    [
        ("upstream_cut", True),
        ("upstream_error", True),
        ("upstream_timeout", False),
        ("upstream_restarted", False),
    ],
)
def test_only_a_closed_connection_is_reported_as_a_possible_crash(
    harness: DispatcherHarness, reason: str, reported: bool
) -> None:
    """A timeout, or a restart that is already known, is reported as a possible crash."""
    guard = _guarded(harness)
    harness.add_upstream("up-1", _failing_script(reason))
    req = harness.request(request_id="r1", path="/x?secret=1", idempotent=False)
    asyncio.run(harness.dispatcher.async_run(req, CollectingSink()))
    expected = BrokenRun(req.fingerprint, "r1", req.caller, "/x", req.service, "up-1")
    assert guard.broken == ([expected] if reported else [])


@pytest.mark.parametrize(("failed_after_ms", "reported"), [(100, True), (900, False)])
def test_late_failure_of_a_run_is_not_reported_as_a_possible_crash(
    failed_after_ms: int, reported: bool
) -> None:
    """A long text is blamed for a crash of its engine although it had been running for a while.

    Only failures before a response or in its first 500 ms are reported.
    """
    clock = FakeClock()
    harness = DispatcherHarness(clock)
    guard = _guarded(harness)
    harness.add_upstream("up-1", _failing_script("upstream_cut", clock, failed_after_ms))
    req = harness.request(idempotent=False, deadline=clock.monotonic() + timedelta(seconds=9))
    asyncio.run(harness.dispatcher.async_run(req, CollectingSink()))
    assert bool(guard.broken) == reported


def test_rejection_by_the_upstream_is_not_reported_as_a_possible_crash(
    harness: DispatcherHarness,
) -> None:
    """A request that the upstream rejected as not run is reported as a possible crash."""
    guard = _guarded(harness)
    harness.add_upstream(
        "up-1", lambda _side, exchange, msg: exchange.push(NotRun(msg.id, "draining", 0))
    )
    asyncio.run(harness.dispatcher.async_run(harness.request(), CollectingSink()))
    assert guard.broken == []


def test_request_in_quarantine_is_not_sent(harness: DispatcherHarness) -> None:
    """A request in quarantine is sent to an upstream.

    It must be refused as not run, with the time until its next trial run.
    """
    _guarded(harness, holds_after=0)
    side = harness.add_upstream("up-1")
    result = asyncio.run(harness.dispatcher.async_run(harness.request(), CollectingSink()))
    refusal = result.unwrap_err()
    assert (refusal.reason, refusal.ran) == (RefusalReason.HELD, Ran.NO)
    assert refusal.retry_after == timedelta(seconds=7) and not side.submits


def test_request_held_after_its_first_attempt_is_reported_as_unknown(
    harness: DispatcherHarness,
) -> None:
    """A second run crashes another upstream, or the request is reported as not run."""
    _guarded(harness, holds_after=1)
    sides = [harness.add_upstream(f"up-{n}", _failing_script("upstream_cut")) for n in range(3)]
    result = asyncio.run(harness.dispatcher.async_run(harness.request(), CollectingSink()))
    refusal = result.unwrap_err()
    assert (refusal.reason, refusal.ran) == (RefusalReason.HELD, Ran.UNKNOWN)
    assert sum(len(side.submits) for side in sides) == 1


def test_trial_run_is_not_retried(harness: DispatcherHarness) -> None:
    """The trial run fails, and a retry of it crashes another upstream."""
    guard = _guarded(harness, holds_after=0, trials=1)
    sides = [harness.add_upstream(f"up-{n}", _failing_script("upstream_cut")) for n in range(3)]
    result = asyncio.run(harness.dispatcher.async_run(harness.request(), CollectingSink()))
    assert result.unwrap_err().ran is Ran.UNKNOWN
    assert sum(len(side.submits) for side in sides) == 1 and len(guard.broken) == 1


@pytest.mark.parametrize(("status", "is_cleared"), [(200, True), (404, True), (500, False)])
def test_only_responses_without_a_server_error_clear_a_request(
    harness: DispatcherHarness, status: int, is_cleared: bool
) -> None:
    """A request is cleared by a server error, although it may crash the next upstream."""
    guard = _guarded(harness)

    def script(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
        exchange.push(Head(msg.id, status, ()))
        exchange.push(End(msg.id, 0))

    harness.add_upstream("up-1", script)
    req = harness.request()
    asyncio.run(harness.dispatcher.async_run(req, CollectingSink()))
    assert guard.cleared == ([req.fingerprint] if is_cleared else [])
