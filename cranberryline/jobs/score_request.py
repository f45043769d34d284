"""The request that scores the text of an item."""

from collections.abc import Callable
from datetime import timedelta

from cranberryline.decisions.hedging import scoring_hedge_delay
from cranberryline.dispatch.hedged import HedgedRequest
from cranberryline.dispatch.model import CallerClass, CallerRequest
from cranberryline.routes import Route

from .item_context import ItemContext
from .model import Scorer
from .state import JobState

__all__ = ["make_score_request"]

_SCORE_TIMEOUT = timedelta(milliseconds=2500)
_MAX_SCORE_ATTEMPTS = 2


def make_score_request(
    context: ItemContext,
    state: JobState,
    scorer: Scorer,
    route: Route,
    service: str,
    is_wanted: Callable[[], bool],
) -> HedgedRequest:
    """Return the scoring request, which is hedged at another upstream if its answer is slow."""
    deadline = context.clock.monotonic() + _SCORE_TIMEOUT

    def make_request(avoid: frozenset[str]) -> CallerRequest:
        return CallerRequest(
            service=service,
            method="POST",
            path=scorer.path,
            headers=context.edge.scorer_headers(scorer),
            body=scorer.body,
            deadline=deadline,
            caller=state.job.host,
            caller_class=CallerClass.TRAINER,
            workspace=state.head.workspace,
            rank=route.priority,
            avoid=avoid,
            is_wanted=is_wanted,
            max_attempts=1,
            request_id=scorer.id,
            exempt_from_hold=True,
        )

    return HedgedRequest(
        context.dispatcher,
        context.hedge_budget,
        context.metrics,
        make_request,
        scoring_hedge_delay(route.goal),
        min(route.max_attempts, _MAX_SCORE_ATTEMPTS),
    )
