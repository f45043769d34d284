"""Runs one item of a job: generates its text in one or more requests, then requests its score."""

from datetime import timedelta

from result import Ok

from cranberryline.decisions.excluded_upstreams import next_excluded
from cranberryline.decisions.moving import MAX_MOVES
from cranberryline.decisions.slot_model import RunEnd
from cranberryline.dispatch.errors import Ran, Refusal
from cranberryline.dispatch.model import CallerClass, CallerRequest, VersionNeed
from cranberryline.helpers.logging import get_logger
from cranberryline.routes import Route
from cranberryline.slots import SlotNeed

from .events import ItemText
from .item_context import ItemContext
from .item_need import ItemNeed
from .job_routes import JobRoutes
from .model import ItemResult, ItemState, TextPiece
from .phases import ItemPhases
from .pieces import PieceBuilder
from .score_request import make_score_request
from .sink import STATUS_OK, TextSink
from .state import JobState
from .text_run import CutCause, TextRun
from .text_slot import TextSlot

__all__ = ["ItemRun"]

_LOGGER = get_logger(__name__)

STATUS_MULTIPLE_CHOICES = 300
STATUS_UNPROCESSABLE = 422
STATUS_SERVER_ERROR = 500

_RUN_TIMEOUT = timedelta(seconds=10)
_MIN_RETRY_DELAY = timedelta(milliseconds=40)
_MAX_RETRY_DELAY = timedelta(milliseconds=400)
# Limits the length of the log line of an item that was cut many times during an outage.
MAX_CUTS = 8
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
        self._routes = JobRoutes(context, state)
        self.text = ItemText()
        self.runs = 0
        self.resumed_events = 0
        self.began_at = context.clock.monotonic()
        self.text_ended_at = self.began_at
        self.phases = ItemPhases(self.began_at)
        self.need = ItemNeed(context, state, index, self._async_back_off)
        self.cuts: list[CutCause] = []
        self._failed_runs = 0
        self._moves = 0
        self._retry_at_once = False
        self._answered_error = False
        # Granted upstreams that were left without a delay since the text last got events.
        self._left_upstreams: frozenset[str] = frozenset()
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
        self.context.texts.start(self.state, self.index, self.text)
        try:
            return await self._async_complete()
        finally:
            self.context.texts.discard(self.state, self.index)

    async def _async_complete(self) -> ItemResult | None:
        """Generate what is missing of the text, and score it."""
        while await self.need.async_is_needed():
            if not self._may_begin():
                self.context.metrics.retry("memory_full")
                await self._async_back_off()
                continue
            route = self._routes.match(self.state.job.host, self.item.path)
            if route is None:
                if await self._routes.async_has_ended(self.state.job.host, self.item.path):
                    return ItemResult(ItemState.DEAD)
                await self._async_back_off()
                continue
            if self._routes.is_expired(route):
                return ItemResult(ItemState.DEAD)
            self._pieces.enabled = not route.single_version
            failed = await self._async_generate_text(route)
            if failed is None:
                if not self._retry_at_once:
                    await self._async_back_off()
                continue
            if failed:
                return ItemResult(ItemState.DEAD)
            return await self._async_score()
        return None

    def _get_earlier_result(self) -> ItemResult | None:
        """Return the result of the same item in an earlier job, if this job allows its versions."""
        stored = self.context.find_result(self.item, self.state.head.workspace)
        route = self._routes.match(self.state.job.host, self.item.path)
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
        route = self._routes.match(self.state.job.host, self.item.path)
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

    def _may_begin(self) -> bool:
        """Return whether there is room for the text; one that has begun goes on, else it stays in memory."""
        return bool(self.text.events) or self.context.memory.has_room

    async def _async_back_off(self) -> None:
        await self.context.clock.async_sleep(self._retry_delay * (0.5 + self.context.rng.random()))
        self._retry_delay = min(self._retry_delay * 2, _MAX_RETRY_DELAY)

    async def _async_generate_text(self, route: Route) -> bool | None:
        """Request the text at one upstream, and at others that it moves to.

        Return False if the text is complete, True if the item has failed permanently, and None if
        the item has to be retried.
        """
        service = route.choose_service(self.context.rng)
        context, shared = self.context, self.context.slots.is_shared(service)
        need = self._make_slot_need(route, service) if shared else None
        slot = TextSlot(context.slots, need, context.clock, context.metrics)
        self._answered_error = False
        try:
            if not await slot.async_acquire(self.need.is_needed):
                return None
            failed = await self._async_run_request(route, service, slot)
            while slot.moving:
                slot.move()
                failed = await self._async_run_request(route, service, slot)
            return failed
        finally:
            slot.release()
            self._retry_at_once = self._may_retry_at_once(slot)

    def _may_retry_at_once(self, slot: TextSlot) -> bool:
        """Return whether the next slot may be asked for without a delay.

        The keeper passes over an engine that has just failed a text. Without a delay, engines that
        fail in turn could be granted any number of times, and a text that engines answer with an
        error would use up its attempts within milliseconds.
        """
        if not slot.upstream or slot.end is RunEnd.UNUSED or self._answered_error:
            return False
        if slot.upstream in self._left_upstreams:
            return False
        self._left_upstreams |= {slot.upstream}
        return True

    def _make_slot_need(self, route: Route, service: str) -> SlotNeed:
        context, state, job = self.context, self.state, self.state.job
        return SlotNeed(
            service=service,
            trainer=job.model or job.host,
            due=state.seen_at + (route.max_wait or route.timeout),
            events_left=lambda: context.texts.events_left(state, self.index),
            group_events_left=lambda: context.texts.step_events_left(
                state, self.index, context.clock.monotonic()
            ),
            model=job.model,
            min_version=job.min_version,
            rank=context.routes.rank(route, job.workspace),
            avoid=self._avoided_upstreams,
            prompt=self.item.prefix,
            may_move=self._may_move,
            workspace=job.workspace,
        )

    async def _async_run_request(self, route: Route, service: str, slot: TextSlot) -> bool | None:
        """Send one request for the text; the result is that of `_async_generate_text`."""
        if slot.upstream and not self._serves_version(slot.upstream):
            slot.end = RunEnd.REJECTED
            return None
        self.runs += 1
        sink = TextSink(
            self.context, self.state, self.text, self.phases, route.single_version, slot
        )
        events_before = len(self.text.events)
        req = self._make_request(route, service, slot.upstream)
        run = TextRun(
            self.context, self.item, self.text, req, sink, slot, self._may_move, self._record_cut
        )
        outcome = await run.async_run()
        up_to_date = self.context.freshness.is_fresh(self.state.job.id)
        # The keeper does not know that the upstream gets no request here, and would grant it again.
        tried = sink.upstream or (slot.upstream if up_to_date else "")
        if tried:
            self._avoided_upstreams = next_excluded(self._avoided_upstreams, tried)
        if len(self.text.events) > events_before:
            self._retry_delay = _MIN_RETRY_DELAY
            self._left_upstreams &= {slot.upstream}
        complete = isinstance(outcome, Ok) and sink.status == STATUS_OK and sink.complete
        self.text_ended_at = self.context.clock.monotonic()
        self.phases.run_ended(self.text_ended_at, complete)
        self._answered_error = isinstance(outcome, Ok) and sink.status != STATUS_OK
        slot.end = run.end(outcome, complete, up_to_date and self.need.is_needed())
        if complete:
            self.context.lengths.record_completed(self.item.told_tokens, len(self.text.events))
            self.context.texts.complete(self.state, self.index)
            return False
        if isinstance(outcome, Ok) and sink.status == STATUS_UNPROCESSABLE:
            return True
        if isinstance(outcome, Ok) and sink.status == STATUS_SERVER_ERROR:
            self._failed_runs += 1
            return True if self._failed_runs >= route.max_attempts else None
        refusal = outcome.err()
        rejected = refusal is not None and refusal.ran is Ran.NO and sink.upstream and up_to_date
        if rejected and not slot.upstream and not slot.moving:
            self.context.rejecting_upstreams.start(sink.upstream, self.context.clock.monotonic())
        self._log_broken_run(sink, refusal)
        return None

    def _log_broken_run(self, sink: TextSink, refusal: Refusal | None) -> None:
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

    def _serves_version(self, upstream: str) -> bool:
        """Return whether an upstream serves a version that the job allows."""
        job = self.state.job
        if job.min_version is None:
            return True
        version = self.context.versions.version(upstream, job.model)
        return version is not None and version >= job.min_version

    def _is_eligible(self, upstream: str) -> bool:
        """Return whether this gateway may choose an upstream for the text."""
        now = self.context.clock.monotonic()
        rejects = self.context.rejecting_upstreams.is_active(upstream, now)
        return not rejects and self._serves_version(upstream)

    def _make_request(self, route: Route, service: str, upstream: str) -> CallerRequest:
        """Return the request for the text; `upstream` is the granted one, or empty."""
        job, model, min_version = self.state.job, self.state.job.model, self.state.job.min_version
        return CallerRequest(
            service=service,
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
            is_wanted=lambda: self._may_begin() and self.need.may_send(),
            eligible=self._serves_version if upstream else self._is_eligible,
            version_need=None if min_version is None else VersionNeed(model, min_version),
            max_attempts=1,
            token_rate=self._tokens_per_second,
            request_id=self.item.id,
            upstream=upstream,
            exempt_from_hold=True,
        )

    def _may_move(self) -> bool:
        return self.phases.stage == "text" and self._moves < MAX_MOVES

    def _record_cut(self, cause: CutCause) -> None:
        self.cuts = [*self.cuts, cause][-MAX_CUTS:]
        self._moves += cause in (CutCause.SLOW, CutCause.MOVED)

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
        while await self.need.async_is_needed():
            route = self._routes.match(scorer.host, scorer.path)
            if route is None:
                if await self._routes.async_has_ended(scorer.host, scorer.path):
                    return ItemResult(ItemState.DEAD)
                await self._async_back_off()
                continue
            service = route.choose_service(self.context.rng)
            self.phases.scoring_queued(self.context.clock.monotonic())
            async with self.context.scoring_slots.slot(service):
                self.phases.scoring_sent(self.context.clock.monotonic())
                request = make_score_request(
                    self.context, self.state, scorer, route, service, self.need.may_send
                )
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

    def _make_result(self, score: str) -> ItemResult:
        versions = tuple(self.text.versions)
        return ItemResult(ItemState.COMPLETED, self.text.text, versions, score)
