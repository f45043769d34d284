"""Retries of a request at several upstreams, and their limits."""

import asyncio
from datetime import timedelta
from typing import Any, cast

import pytest
from result import Err, Ok, Result

from cranberryline.decisions.hedging import HedgeBudget
from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.hedged import AttemptSink, HedgedRequest
from cranberryline.dispatch.model import CallerRequest, ResponseSink
from cranberryline.helpers.metrics import Metrics
from tests.virtual_time import run_virtual

STATUS_ERROR = 500
_NO_UPSTREAM = Refusal(RefusalReason.NO_UPSTREAM)
MAX_CALLS = 50


class ScriptedDispatcher:
    """Fake dispatcher that responds with the given statuses, then refuses every request."""

    def __init__(self, refusal: Refusal, *statuses: int) -> None:
        self.refusal = refusal
        self.statuses = list(statuses)
        self.call_count = 0

    async def async_run(self, _req: CallerRequest, sink: ResponseSink) -> Result[str, Refusal]:
        """Respond or refuse immediately; more than `MAX_CALLS` calls show an endless loop."""
        self.call_count += 1
        assert self.call_count < MAX_CALLS
        if not self.statuses:
            return Err(self.refusal)
        sink.dispatched(f"upstream-{self.call_count}")
        await sink.async_head(self.statuses.pop(0), ())
        return Ok(f"upstream-{self.call_count}")


def _make_request(dispatcher: ScriptedDispatcher, max_attempts: int) -> HedgedRequest:
    return HedgedRequest(
        cast(Any, dispatcher),
        HedgeBudget(),
        Metrics(),
        lambda _avoid: cast(Any, None),
        timedelta(seconds=1),
        max_attempts,
    )


def _run(dispatcher: ScriptedDispatcher, max_attempts: int = 3) -> Result[AttemptSink, Refusal]:
    req = _make_request(dispatcher, max_attempts)
    results: list[Result[AttemptSink, Refusal]] = []

    async def async_main() -> None:
        async with asyncio.timeout(10):
            results.append(await req.async_run())

    run_virtual(async_main())
    return results[0]


@pytest.mark.parametrize(("status", "failures"), [(500, 3), (504, 0), (502, 0), (503, 0)])
def test_only_a_failed_run_counts_as_a_failure(status: int, failures: int) -> None:
    """A service that is slower than the time it was given responds 504; nothing has failed."""
    dispatcher = ScriptedDispatcher(_NO_UPSTREAM, status, status, status)
    req = _make_request(dispatcher, 3)

    async def async_main() -> None:
        await req.async_run()

    run_virtual(async_main())
    assert dispatcher.call_count == 3 and req.failures == failures


@pytest.mark.parametrize(
    "reason",
    [RefusalReason.OVERLOADED, RefusalReason.NO_UPSTREAM, RefusalReason.RETRIES_SPENT],
)
def test_retries_after_an_error_end_if_the_service_rejects_all(reason: RefusalReason) -> None:
    """The request is retried without a delay for as long as the service rejects it.

    Every retry was refused immediately, so the loop used a whole processor. The error response must
    be returned in this case.
    """
    dispatcher = ScriptedDispatcher(Refusal(reason, Ran.NO), STATUS_ERROR)
    result = _run(dispatcher)
    assert result.unwrap().status == STATUS_ERROR
    assert dispatcher.call_count <= 6


def test_request_is_retried_at_another_upstream_after_an_error() -> None:
    """The error response of the first upstream is returned although a second one can succeed."""
    dispatcher = ScriptedDispatcher(Refusal(RefusalReason.OVERLOADED), STATUS_ERROR, 200)
    assert _run(dispatcher).unwrap().status == 200


def test_retries_after_errors_end_with_the_attempt_limit() -> None:
    """Every upstream fails, and the last error response is not returned after `max_attempts`."""
    dispatcher = ScriptedDispatcher(Refusal(RefusalReason.OVERLOADED), *[STATUS_ERROR] * MAX_CALLS)
    assert _run(dispatcher).unwrap().status == STATUS_ERROR
    assert dispatcher.call_count == 3


def test_request_rejected_by_all_upstreams_is_reported_as_not_run() -> None:
    """The request is rejected everywhere, and the refusal does not say that it was not run."""
    dispatcher = ScriptedDispatcher(Refusal(RefusalReason.NO_UPSTREAM, Ran.NO))
    assert _run(dispatcher).unwrap_err().ran is Ran.NO
    assert dispatcher.call_count <= 5
