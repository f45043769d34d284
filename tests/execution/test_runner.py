"""Tests of the runner with fakes: which requests run, and what the entry is told about them."""

import asyncio

import pytest

from cranberryline.execution.errors import FailReason
from cranberryline.execution.stream import INITIAL_WINDOW_BYTES
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.requests.errors import ClaimReason, ClaimRefused
from cranberryline.requests.model import ClaimOutcome
from cranberryline.transport.model import Chunk, End, Failed, Head, NotRun

from .conftest import CONNECTION, RunnerHarness


def test_response_chunk_is_lost_or_miscounted() -> None:
    """A response is forwarded as head, numbered chunks, and an end with the number of chunks."""

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.upstream.parts = [b"a", b"b"]
        harness.submit(1)
        await harness.async_idle()
        kinds = [type(msg) for msg in harness.replies_to(1)]
        assert kinds == [Head, Chunk, Chunk, End]
        assert harness.replies_to(1)[-1] == End(1, 2)

    asyncio.run(async_case())


def test_truncated_body_is_reported_as_complete() -> None:
    """The upstream endings its response early: no End is sent, and `ran` is "yes"."""

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.upstream.cut = True
        harness.submit(1)
        await harness.async_idle()
        assert harness.replies_to(1)[-1] == Failed(1, "upstream_cut", "yes")
        assert harness.upstream.bodies[0].closed

    asyncio.run(async_case())


@pytest.mark.parametrize("may_have_run", [True, False])
def test_request_that_may_have_run_is_reported_as_not_run(may_have_run: bool) -> None:
    """Only a request that was never sent is reported as not run; any other may have run."""

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.upstream.error = PlatformError(PlatformReason.CUT, may_have_run=may_have_run)
        harness.submit(1)
        await harness.async_idle()
        (reply,) = harness.replies_to(1)
        if may_have_run:
            assert reply == Failed(1, "upstream_error", "unknown")
        else:
            assert isinstance(reply, NotRun)

    asyncio.run(async_case())


def test_withdrawn_expired_or_drained_request_is_still_sent() -> None:
    """A queued request that is withdrawn, expires or is drained never reaches the upstream."""

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.upstream.gate.clear()
        harness.submit(1)
        harness.submit(2)
        harness.submit(3, budget_ms=20)
        harness.submit(4)
        assert harness.runner.withdraw(harness.key(2)) == "not_run"
        assert harness.runner.withdraw(harness.key(9)) == "not_run"
        await asyncio.sleep(0.05)
        assert [type(msg) for msg in harness.replies_to(3)] == [NotRun]
        assert harness.runner.withdraw(harness.key(1)) == "started"
        harness.runner.drain()
        assert [type(msg) for msg in harness.replies_to(4)] == [NotRun]
        harness.submit(5)
        harness.submit(9)
        assert [type(msg) for msg in harness.replies_to(5)] == [NotRun]
        assert [type(msg) for msg in harness.replies_to(9)] == [NotRun]
        harness.upstream.gate.set()
        await harness.async_idle()
        assert len(harness.upstream.runs) == 1
        assert isinstance(harness.replies_to(1)[-1], End)

    asyncio.run(async_case())


@pytest.mark.parametrize("idempotent", [True, False])
def test_lost_entry_stops_or_blocks_a_request_that_is_not_idempotent(idempotent: bool) -> None:
    """The entry terminates in the middle of a long response.

    A request that is not idempotent runs to its end, also beyond the flow control window that
    nobody extends any more. Stopping it half way would leave its effect unknown; waiting for the
    window would occupy a slot of the upstream forever.
    """

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.upstream.parts = [b"x" * INITIAL_WINDOW_BYTES] * 4
        harness.submit(1, idempotent=idempotent)
        await asyncio.sleep(0.01)
        harness.runner.connection_lost(CONNECTION)
        await harness.async_idle()
        assert harness.upstream.bodies[0].parts_read == (4 if not idempotent else 2)

    asyncio.run(async_case())


@pytest.mark.parametrize("begun", [True, False])
def test_aborted_request_ends_twice(begun: bool) -> None:
    """The upstream is replaced while a request runs, or is about to; its sender is told once."""

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.upstream.gate.clear()
        harness.submit(1)
        if begun:
            await asyncio.sleep(0.01)
        harness.runner.abort_all()
        await harness.async_idle()
        ends = [msg for msg in harness.replies_to(1) if isinstance(msg, Failed)]
        assert [end.reason for end in ends] == [FailReason.UPSTREAM_RESTARTED.value]
        assert harness.metrics.value("cranberryline_failures_total", reason="cancelled") == 0

    asyncio.run(async_case())


def test_response_is_buffered_without_limit_for_a_slow_caller() -> None:
    """At most one window is read ahead of the caller; the rest follows when it is extended."""

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.upstream.parts = [b"x" * INITIAL_WINDOW_BYTES] * 3
        harness.submit(1)
        await asyncio.sleep(0.01)
        sent = [msg for msg in harness.replies_to(1) if isinstance(msg, Chunk)]
        assert len(sent) == 1
        for _ in range(3):
            harness.runner.extend_window(harness.key(1), INITIAL_WINDOW_BYTES)
            await asyncio.sleep(0)
        await harness.async_idle()
        assert harness.replies_to(1)[-1] == End(1, 3)

    asyncio.run(async_case())


def test_stalled_response_outlasts_the_deadline() -> None:
    """A response that stalls is reported with outcome unknown when the deadline passes."""

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.upstream.gate.clear()
        harness.submit(1, budget_ms=50)
        await harness.async_idle()
        assert harness.replies_to(1)[-1] == Failed(1, "upstream_timeout", "unknown")

    asyncio.run(async_case())


def test_outcome_of_a_request_with_a_key_is_not_recorded() -> None:
    """The claim is settled with the status of the response."""

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.submit(1, key="k")
        await harness.async_idle()
        assert harness.claims.results[0] == "settled 200"
        assert len(harness.upstream.runs) == 1

    asyncio.run(async_case())


def test_request_with_a_refused_claim_runs_or_is_misreported(
    refused_claims: dict[ClaimReason, ClaimRefused],
) -> None:
    """A request whose claim is refused does not run, and its report claims no more than is known.

    It is reported as not run only if no earlier call with the key can have run. A recorded response
    is replayed.
    """

    async def async_case() -> None:
        harness = RunnerHarness()
        expected = {
            ClaimReason.LOG_UNAVAILABLE: NotRun,
            ClaimReason.KEY_REUSED_WITH_OTHER_BODY: NotRun,
            ClaimReason.IN_PROGRESS: Failed,
            ClaimReason.UNKNOWN: Failed,
            ClaimReason.RECORDED: Failed,
        }
        for number, (reason, kind) in enumerate(expected.items()):
            harness.claims.refused = refused_claims[reason]
            harness.submit(number, key="k")
            await harness.async_idle()
            (reply,) = harness.replies_to(number)
            assert isinstance(reply, kind)
        harness.claims.refused = ClaimRefused(ClaimReason.RECORDED, ClaimOutcome(201, (), b"kept"))
        harness.submit(9, key="k")
        await harness.async_idle()
        assert harness.replies_to(9)[0] == Head(9, 201, (("Idempotency-Replayed", "true"),))
        assert harness.replies_to(9)[1:] == [Chunk(9, 0, b"kept"), End(9, 1)]
        assert harness.upstream.runs == []

    asyncio.run(async_case())


def test_request_runs_on_an_expired_claim_or_keeps_its_key(unreachable: PlatformError) -> None:
    """A process that was paused beyond the right to run does not run the request.

    A request that could not be sent releases its key.
    """

    async def async_case() -> None:
        harness = RunnerHarness()
        harness.claims.start_before = harness.runner._clock.monotonic()
        harness.submit(1, key="k")
        await harness.async_idle()
        assert [type(msg) for msg in harness.replies_to(1)] == [NotRun]
        harness = RunnerHarness()
        harness.upstream.error = unreachable
        harness.submit(1, key="k")
        await harness.async_idle()
        assert [type(msg) for msg in harness.replies_to(1)] == [NotRun]
        assert harness.claims.results[0] == "abandoned"
        assert harness.upstream.runs == []

    asyncio.run(async_case())
