"""A side process's runner over fakes: what runs, and what the entry is truthfully told."""

import asyncio

import pytest

from cranberryline.execution.stream import INITIAL_WINDOW
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.requests.errors import ClaimReason, ClaimRefused
from cranberryline.requests.model import ClaimOutcome
from cranberryline.transport.model import Chunk, End, Failed, Head, NotRun

from .conftest import CONNECTION, Desk


def test_an_answer_is_passed_on_whole() -> None:
    """Head, numbered chunks, and an end that counts them."""

    async def async_case() -> None:
        desk = Desk()
        desk.upstream.parts = [b"a", b"b"]
        desk.submit(1)
        await desk.async_idle()
        kinds = [type(msg) for msg in desk.about(1)]
        assert kinds == [Head, Chunk, Chunk, End]
        assert desk.about(1)[-1] == End(1, 2)

    asyncio.run(async_case())


def test_a_cut_body_is_a_failure_that_ran() -> None:
    """The upstream ends its answer early: no End is sent, and `ran` is yes."""

    async def async_case() -> None:
        desk = Desk()
        desk.upstream.cut = True
        desk.submit(1)
        await desk.async_idle()
        assert desk.about(1)[-1] == Failed(1, "upstream_cut", "yes")
        assert desk.upstream.bodies[0].closed

    asyncio.run(async_case())


@pytest.mark.parametrize("may_have_run", [True, False])
def test_only_what_was_never_sent_is_not_run(may_have_run: bool) -> None:
    """A connection that was never made is `not run`; anything else may have run."""

    async def async_case() -> None:
        desk = Desk()
        desk.upstream.error = PlatformError(PlatformReason.CUT, may_have_run=may_have_run)
        desk.submit(1)
        await desk.async_idle()
        (reply,) = desk.about(1)
        if may_have_run:
            assert reply == Failed(1, "upstream_error", "unknown")
        else:
            assert isinstance(reply, NotRun)

    asyncio.run(async_case())


def test_waiting_requests_are_withdrawn_expired_and_drained_without_a_run() -> None:
    """Whatever ends a wait, the upstream has seen nothing of the request, and never will."""

    async def async_case() -> None:
        desk = Desk()
        desk.upstream.gate.clear()
        desk.submit(1)
        desk.submit(2)
        desk.submit(3, budget_ms=20)
        desk.submit(4)
        assert desk.runner.withdraw(desk.key(2)) == "not_run"
        assert desk.runner.withdraw(desk.key(9)) == "not_run"
        await asyncio.sleep(0.05)
        assert [type(msg) for msg in desk.about(3)] == [NotRun]
        assert desk.runner.withdraw(desk.key(1)) == "started"
        desk.runner.drain()
        assert [type(msg) for msg in desk.about(4)] == [NotRun]
        desk.submit(5)
        desk.submit(9)
        assert [type(msg) for msg in desk.about(5)] == [NotRun]
        assert [type(msg) for msg in desk.about(9)] == [NotRun]
        desk.upstream.gate.set()
        await desk.async_idle()
        assert len(desk.upstream.runs) == 1
        assert isinstance(desk.about(1)[-1], End)

    asyncio.run(async_case())


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_lost_entry_stops_only_what_may_be_repeated(idempotent: bool) -> None:
    """A non-idempotent run goes on to its end, also past the window that nobody widens.

    The entry dies in the middle of a long answer. Stopping a creation half way would leave its
    effect unknown to everyone; waiting for room would hold its place for ever.
    """

    async def async_case() -> None:
        desk = Desk()
        desk.upstream.parts = [b"x" * INITIAL_WINDOW] * 4
        desk.submit(1, idempotent=idempotent)
        await asyncio.sleep(0.01)
        desk.runner.connection_lost(CONNECTION)
        await desk.async_idle()
        assert desk.upstream.bodies[0].taken == (4 if not idempotent else 2)

    asyncio.run(async_case())


def test_a_slow_reader_holds_the_upstream_back() -> None:
    """No more than a window is read ahead of the caller; a grant lets the rest through."""

    async def async_case() -> None:
        desk = Desk()
        desk.upstream.parts = [b"x" * INITIAL_WINDOW] * 3
        desk.submit(1)
        await asyncio.sleep(0.01)
        sent = [msg for msg in desk.about(1) if isinstance(msg, Chunk)]
        assert len(sent) == 1
        for _ in range(3):
            desk.runner.grant(desk.key(1), INITIAL_WINDOW)
            await asyncio.sleep(0)
        await desk.async_idle()
        assert desk.about(1)[-1] == End(1, 3)

    asyncio.run(async_case())


def test_a_stuck_upstream_ends_with_the_deadline() -> None:
    """An answer that stops in its middle is told as unknown when the time is over."""

    async def async_case() -> None:
        desk = Desk()
        desk.upstream.gate.clear()
        desk.submit(1, budget_ms=50)
        await desk.async_idle()
        assert desk.about(1)[-1] == Failed(1, "upstream_timeout", "unknown")

    asyncio.run(async_case())


def test_a_keyed_run_claims_first_and_records_its_outcome() -> None:
    """The claim is settled with the answer's status."""

    async def async_case() -> None:
        desk = Desk()
        desk.submit(1, key="k")
        await desk.async_idle()
        assert desk.claims.ends[0] == "settled 200"
        assert len(desk.upstream.runs) == 1

    asyncio.run(async_case())


def test_a_refused_claim_never_runs_and_says_no_more_than_is_known(
    refused_claims: dict[ClaimReason, ClaimRefused],
) -> None:
    """`not run` only where no earlier call with the key can have run; a record is replayed."""

    async def async_case() -> None:
        desk = Desk()
        expected = {
            ClaimReason.LOG_UNAVAILABLE: NotRun,
            ClaimReason.KEY_REUSED_WITH_OTHER_BODY: NotRun,
            ClaimReason.IN_PROGRESS: Failed,
            ClaimReason.UNKNOWN: Failed,
            ClaimReason.RECORDED: Failed,
        }
        for number, (reason, kind) in enumerate(expected.items()):
            desk.claims.refused = refused_claims[reason]
            desk.submit(number, key="k")
            await desk.async_idle()
            (reply,) = desk.about(number)
            assert isinstance(reply, kind)
        desk.claims.refused = ClaimRefused(ClaimReason.RECORDED, ClaimOutcome(201, (), b"kept"))
        desk.submit(9, key="k")
        await desk.async_idle()
        assert desk.about(9)[0] == Head(9, 201, (("Idempotency-Replayed", "true"),))
        assert desk.about(9)[1:] == [Chunk(9, 0, b"kept"), End(9, 1)]
        assert desk.upstream.runs == []

    asyncio.run(async_case())


def test_a_claim_that_outlived_its_right_is_given_up(unreachable: PlatformError) -> None:
    """A process paused past its claim does not run, and a run that was never sent frees its key."""

    async def async_case() -> None:
        desk = Desk()
        desk.claims.start_before = desk.runner._clock.monotonic()
        desk.submit(1, key="k")
        await desk.async_idle()
        assert [type(msg) for msg in desk.about(1)] == [NotRun]
        desk = Desk()
        desk.upstream.error = unreachable
        desk.submit(1, key="k")
        await desk.async_idle()
        assert [type(msg) for msg in desk.about(1)] == [NotRun]
        assert desk.claims.ends[0] == "abandoned"
        assert desk.upstream.runs == []

    asyncio.run(async_case())
