"""Runs one item of a job: generates its text in one or more requests, then requests its score."""

import asyncio
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.decisions.excluded_upstreams import next_excluded
from cranberryline.decisions.hedging import scoring_hedge_delay
from cranberryline.decisions.moving import MAX_MOVES
from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.hedged import HedgedRequest
from cranberryline.dispatch.model import CallerClass, CallerRequest, VersionNeed
from cranberryline.helpers.logging import get_logger
from cranberryline.routes import Route

from .events import ItemText
from .item_context import ItemContext
from .model import ItemResult, ItemState, Scorer, TextPiece
from .phases import ItemPhases
from .pieces import PieceBuilder
from .run_monitor import RunMonitor
from .sink import STATUS_OK, TextSink
from .state import JobState

__all__ = ["ItemRun"]

_LOGGER = get_logger(__name__)

STATUS_MULTIPLE_CHOICES = 300
STATUS_UNPROCESSABLE = 422
STATUS_SERVER_ERROR = 500

_WATCH_INTERVAL = timedelta(milliseconds=250)
_RUN_TIMEOUT = timedelta(seconds=10)
_SCORE_TIMEOUT = timedelta(milliseconds=2500)
_MAX_SCORE_ATTEMPTS = 2
_MIN_RETRY_DELAY = timedelta(milliseconds=40)
_MAX_RETRY_DELAY = timedelta(milliseconds=400)
_ABANDONED = Refusal(RefusalReason.UPSTREAM_FAILED)
# Cost of reading a prompt token relative to generating a token. Engines read some 300 prompt tokens
# in the time of one generated token, but share that capacity with their other texts. With a cost of
# 1, prefix affinity would attract texts to slow engines.
PROMPT_READ_COST = 0.02


class ItemRun:
    """Execution of one item from its first request to its result."""

    def __init__(self, context: ItemContext, state: JobState, index: int) -> None:
        self.context = context
        self.state = state
        self.index = index
        self.item = state.job.items[index]
        self.text = ItemText()
        self.runs = 0
        self.resumed_events = 0
        self.began_at = context.clock.monotonic()
        self.text_ended_at = self.began_at
        self.phases = ItemPhases(self.began_at)
        self.job_data_age: timedelta | None = None
        self._failed_runs = 0
        self._moves = 0
        self._pieces = PieceBuilder(state.head.id, index)
        self._retry_delay = _MIN_RETRY_DELAY
        self._avoided_upstreams: frozenset[str] = frozenset()

    async def async_run(self) -> ItemResult | None:
        """Return the result, or None if the item is no longer needed."""
        stored = self._get_earlier_result()
        if stored is not None:
            return stored
        await self.context.async_read_texts(self.state)
        self._resume_stored_text()
        while await self._async_is_needed():
            route = self._match_route(self.state.job.host, self.item.path)
            if route is None or self._is_expired(route):
                return ItemResult(ItemState.DEAD)
            self._pieces.enabled = not route.single_version
            failed = await self._async_generate_text(route)
            if failed is None:
                await self._async_back_off()
                continue
            if failed:
                return ItemResult(ItemState.DEAD)
            return await self._async_score()
        return None

    def _get_earlier_result(self) -> ItemResult | None:
        """Return the result of the same item in an earlier job, if this job allows its versions."""
        stored = self.context.find_result(self.item, self.state.head.workspace)
        route = self._match_route(self.state.job.host, self.item.path)
        if stored is None or route is None:
            return None
        return stored if self._allows_versions(stored.versions) else None

    def _allows_versions(self, versions: tuple[int, ...]) -> bool:
        """Return whether the job allows text of these model versions.

        Text without a known version counts as version 0.
        """
        min_version = self.state.job.min_version
        return min_version is None or min(versions, default=0) >= min_version

    def _resume_stored_text(self) -> None:
        """Resume from the partial text that another run or an earlier job stored.

        The text is used only if the job allows the versions that generated it.
        """
        stored = self.context.find_partial_text(self.item, self.state.head.workspace)
        route = self._match_route(self.state.job.host, self.item.path)
        if (
            stored is None
            or route is None
            or route.single_version
            or not self._allows_versions(stored.versions)
        ):
            return
        text = stored.decode()
        if text is None:
            _LOGGER.error("text_unreadable", request_id=self.item.id, job=self.state.job.id)
            return
        self.text = text
        self.resumed_events = len(text.events)

    def next_piece(self) -> TextPiece | None:
        """Return the next piece of the text to store, if there is one."""
        return self._pieces.next_piece(self.text)

    def confirm_piece(self, piece: TextPiece) -> None:
        """Record that a piece has been stored."""
        self._pieces.confirm(piece)

    async def _async_is_needed(self) -> bool:
        """Return whether the item still needs a result.

        Waits until this node's data about the job and the routes is recent enough to decide that.
        """
        job, freshness = self.state.job.id, self.context.freshness
        while self._is_needed() and not freshness.is_fresh(job):
            self.context.metrics.retry("job_known_too_little")
            await freshness.async_refresh(job)
            if not freshness.is_fresh(job):
                await self._async_back_off()
        while self._is_needed() and not await self.context.async_confirm_routes():
            await self._async_back_off()
        return self._is_needed()

    def _is_needed(self) -> bool:
        return not self.state.ended and self.index not in self.state.done

    def _may_send(self) -> bool:
        """Return whether a request may still be sent, at the time when it is assigned an upstream.

        The request may have been queued for seconds, and its job may have ended in the meantime.
        """
        if not self._is_needed() or not self.context.freshness.is_fresh(self.state.job.id):
            return False
        self.job_data_age = self.context.freshness.age(self.state.job.id)
        return True

    def _match_route(self, host: str, path: str) -> Route | None:
        table = self.context.routes.table
        return None if table is None else table.match(host, path)

    def _is_expired(self, route: Route) -> bool:
        if route.max_wait is None:
            return False
        age = self.context.clock.now().timestamp() - self.state.job.submitted
        return age > route.max_wait.total_seconds()

    async def _async_back_off(self) -> None:
        await self.context.clock.async_sleep(self._retry_delay * (0.5 + self.context.rng.random()))
        self._retry_delay = min(self._retry_delay * 2, _MAX_RETRY_DELAY)

    async def _async_generate_text(self, route: Route) -> bool | None:
        """Send one request for the text.

        Return False if the text is complete, True if the item has failed permanently, and None if
        the item has to be retried.
        """
        self.runs += 1
        sink = TextSink(self.context, self.state, self.text, self.phases, route.single_version)
        events_before = len(self.text.events)
        outcome = await self._async_dispatch(route, sink)
        if sink.upstream:
            self._avoided_upstreams = next_excluded(self._avoided_upstreams, sink.upstream)
        if len(self.text.events) > events_before:
            self._retry_delay = _MIN_RETRY_DELAY
        complete = isinstance(outcome, Ok) and sink.status == STATUS_OK and sink.complete
        self.text_ended_at = self.context.clock.monotonic()
        self.phases.run_ended(self.text_ended_at, complete)
        if complete:
            self.context.lengths.record_completed(self.item.told_tokens, len(self.text.events))
            return False
        if isinstance(outcome, Ok) and sink.status == STATUS_UNPROCESSABLE:
            return True
        if isinstance(outcome, Ok) and sink.status == STATUS_SERVER_ERROR:
            self._failed_runs += 1
            return True if self._failed_runs >= route.max_attempts else None
        refusal = outcome.err()
        up_to_date = self.context.freshness.is_fresh(self.state.job.id)
        if refusal is not None and refusal.ran is Ran.NO and sink.upstream and up_to_date:
            self.context.rejecting_upstreams.start(sink.upstream, self.context.clock.monotonic())
        reason = sink.abort_reason or (refusal.reason if refusal else "cut")
        self.context.metrics.retry(f"item_{reason}")
        _LOGGER.debug(
            "item_run_broken",
            request_id=self.item.id,
            job=self.state.job.id,
            upstream=sink.upstream,
            status=sink.status,
            reason=reason,
            events=len(self.text.events),
        )
        return None

    async def _async_dispatch(self, route: Route, sink: TextSink) -> Result[str, Refusal]:
        """Send the item to an upstream; cancel the request if the upstream is stalled or slow."""
        job, model, min_version = self.state.job, self.state.job.model, self.state.job.min_version

        def eligible(upstream: str) -> bool:
            if self.context.rejecting_upstreams.is_active(upstream, self.context.clock.monotonic()):
                return False
            if min_version is None:
                return True
            version = self.context.versions.version(upstream, model)
            return version is not None and version >= min_version

        req = CallerRequest(
            service=route.choose_service(self.context.rng),
            method="POST",
            path=self.item.path,
            headers=self.context.edge.item_headers(job, self.item, self.text.last_id),
            body=self.item.body,
            deadline=self.context.clock.monotonic() + _RUN_TIMEOUT,
            caller=job.host,
            caller_class=CallerClass.TRAINER,
            workspace=job.workspace,
            rank=self.context.routes.rank(route, job.workspace),
            tokens=self._tokens_left() or max(self.item.tokens, 1),
            prefix_key=self.item.prefix,
            prefix_tokens=int(self.item.prefix_tokens * PROMPT_READ_COST),
            avoid=self._avoided_upstreams,
            is_wanted=self._may_send,
            eligible=eligible,
            version_need=None if min_version is None else VersionNeed(model, min_version),
            max_attempts=1,
            token_rate=self._tokens_per_second,
            request_id=self.item.id,
        )
        monitor = RunMonitor(self.context, self.item, self.text, req, sink)
        task = asyncio.ensure_future(self.context.dispatcher.async_run(req, sink))
        try:
            while True:
                done, _ = await asyncio.wait((task,), timeout=_WATCH_INTERVAL.total_seconds())
                if done:
                    return task.result()
                if monitor.is_stalled():
                    sink.abort_reason = "stalled"
                elif self._may_move() and monitor.is_slow():
                    sink.abort_reason = "slow"
                    self._moves += 1
                else:
                    continue
                task.cancel()
                await asyncio.wait((task,))
                return Err(_ABANDONED)
        finally:
            if not task.done():
                task.cancel()

    def _may_move(self) -> bool:
        return self.phases.stage == "text" and self._moves < MAX_MOVES

    def _tokens_left(self) -> int:
        return self.context.lengths.tokens_left(self.item.told_tokens, len(self.text.events))

    def _tokens_per_second(self, upstream: str) -> float:
        """Return the tokens per second that an engine generates for one text, or 0 if unknown."""
        tokens = self.context.lengths.tokens_per_event
        now = self.context.clock.monotonic()
        return (
            0.0 if tokens is None else tokens * self.context.paces.events_per_second(upstream, now)
        )

    async def _async_score(self) -> ItemResult | None:
        """Send the scoring request until it is answered, then return the item's result."""
        self.text_ended_at = self.context.clock.monotonic()
        scorer = self.item.scorer
        if scorer is None:
            return self._make_result("")
        self._retry_delay = _MIN_RETRY_DELAY
        failures = 0
        while await self._async_is_needed():
            route = self._match_route(scorer.host, scorer.path)
            if route is None:
                return ItemResult(ItemState.DEAD)
            service = route.choose_service(self.context.rng)
            self.phases.scoring_queued(self.context.clock.monotonic())
            async with self.context.scoring_slots.slot(service):
                self.phases.scoring_sent(self.context.clock.monotonic())
                request = self._make_score_request(scorer, route, service)
                outcome = await request.async_run()
            failures += request.failures
            answer = outcome.ok()
            if answer is not None and STATUS_OK <= answer.status < STATUS_MULTIPLE_CHOICES:
                return self._make_result(self.context.edge.answer_head(answer.headers).signature)
            if failures >= route.max_attempts:
                return ItemResult(ItemState.DEAD)
            self.context.metrics.retry("score")
            await self._async_back_off()
        return None

    def _make_score_request(self, scorer: Scorer, route: Route, service: str) -> HedgedRequest:
        """Return the scoring request, which is hedged at another upstream if its answer is slow."""
        deadline = self.context.clock.monotonic() + _SCORE_TIMEOUT

        def make_request(avoid: frozenset[str]) -> CallerRequest:
            return CallerRequest(
                service=service,
                method="POST",
                path=scorer.path,
                headers=self.context.edge.scorer_headers(scorer),
                body=scorer.body,
                deadline=deadline,
                caller=self.state.job.host,
                caller_class=CallerClass.TRAINER,
                workspace=self.state.head.workspace,
                rank=route.priority,
                avoid=avoid,
                is_wanted=self._may_send,
                max_attempts=1,
                request_id=scorer.id,
            )

        attempts = min(route.max_attempts, _MAX_SCORE_ATTEMPTS)
        context = self.context
        hedge_delay = scoring_hedge_delay(route.goal)
        return HedgedRequest(
            context.dispatcher,
            context.hedge_budget,
            context.metrics,
            make_request,
            hedge_delay,
            attempts,
        )

    def _make_result(self, score: str) -> ItemResult:
        versions = tuple(self.text.versions)
        return ItemResult(ItemState.COMPLETED, self.text.text, versions, score)
