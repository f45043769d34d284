"""Run one item of a job: its text over as many runs as it takes, then its score."""

import asyncio
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.decisions.elsewhere import avoid_next
from cranberryline.decisions.hedging import scoring_hedge_delay
from cranberryline.decisions.moving import MOST_MOVES
from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.model import CallerClass, CallerRequest
from cranberryline.dispatch.repeated import RepeatedRequest
from cranberryline.helpers.logging import get_logger
from cranberryline.routes import Route

from .events import ItemText
from .model import ItemResult, ItemState, Scorer, TextPiece
from .phases import ItemPhases
from .pieces import PieceCutter
from .sink import STATUS_OK, TextSink
from .state import JobState
from .tools import ItemTools
from .watch import RunWatch

__all__ = ["ItemRun"]

_LOGGER = get_logger(__name__)

STATUS_MULTIPLE = 300
STATUS_IMPOSSIBLE = 422
STATUS_FAILED = 500

_WATCH = timedelta(milliseconds=250)
_RUN_TIME = timedelta(seconds=10)
_SCORE_TIME = timedelta(milliseconds=2500)
_SCORE_ATTEMPTS = 2
_PAUSE = timedelta(milliseconds=40)
_MAX_PAUSE = timedelta(milliseconds=400)
_LEFT = Refusal(RefusalReason.UPSTREAM_FAILED)
# What reading a token of a prompt costs of making one: engines read some 300 while they make one of a text,
# and share that with their other texts. Counted in full, the home of a prompt drew texts to slow engines.
READ_COST = 0.02


class ItemRun:
    """One item from its first run to its result."""

    def __init__(self, tools: ItemTools, state: JobState, index: int) -> None:
        self.tools = tools
        self.state = state
        self.index = index
        self.item = state.job.items[index]
        self.text = ItemText()
        self.runs = 0
        self.taken_up = 0
        self.began = tools.clock.monotonic()
        self.text_at = self.began
        self.phases = ItemPhases(self.began)
        self.known_age: timedelta | None = None
        self._failed_runs = 0
        self._moves = 0
        self._pieces = PieceCutter(state.head.id, index)
        self._pause = _PAUSE
        self._avoid: frozenset[str] = frozenset()

    async def async_run(self) -> ItemResult | None:
        """Return the result, or None when nobody wants it any more."""
        kept = self._kept_result()
        if kept is not None:
            return kept
        await self.tools.read_texts(self.state)
        self._take_up()
        while await self._async_wanted():
            route = self._route(self.state.job.host, self.item.path)
            if route is None or self._too_old(route):
                return ItemResult(ItemState.DEAD)
            self._pieces.wanted = not route.single_version
            dead = await self._async_text(route)
            if dead is None:
                await self._async_pause()
                continue
            if dead:
                return ItemResult(ItemState.DEAD)
            return await self._async_score()
        return None

    def _kept_result(self) -> ItemResult | None:
        """Return what an earlier job lists of the same item, if its versions fit this job."""
        kept = self.tools.kept(self.item)
        route = self._route(self.state.job.host, self.item.path)
        if kept is None or route is None:
            return None
        return kept if self._fits(kept.versions) else None

    def _fits(self, versions: tuple[int, ...]) -> bool:
        """Tell whether the job allows what these versions made; a record without any is too old for all."""
        oldest = self.state.job.min_version
        return oldest is None or min(versions, default=0) >= oldest

    def _take_up(self) -> None:
        """Begin with what another run, or an earlier job, keeps of the text, if its versions fit this job."""
        kept = self.tools.begun(self.item)
        route = self._route(self.state.job.host, self.item.path)
        if kept is None or route is None or route.single_version or not self._fits(kept.versions):
            return
        text = kept.read()
        if text is None:
            _LOGGER.error("text_unreadable", request_id=self.item.id, job=self.state.job.id)
            return
        self.text = text
        self.taken_up = len(text.events)

    def piece(self) -> TextPiece | None:
        """Return the piece of the text that is to be kept next, if there is one."""
        return self._pieces.next(self.text)

    def piece_stands(self, piece: TextPiece) -> None:
        """Note that a piece is kept."""
        self._pieces.stands(piece)

    async def _async_wanted(self) -> bool:
        """Tell whether the item is still to be done, once enough is known of its job to tell."""
        job, knowledge = self.state.job.id, self.tools.knowledge
        while self._wanted() and not knowledge.suffices(job):
            self.tools.metrics.retry("job_known_too_little")
            await knowledge.async_refresh(job)
            if not knowledge.suffices(job):
                await self._async_pause()
        return self._wanted()

    def _wanted(self) -> bool:
        return not self.state.ended and self.index not in self.state.done

    def _may_go_out(self) -> bool:
        """Tell, as a request gets its upstream, whether it may still go there.

        It may have waited for its place for seconds, in which its job ended unheard.
        """
        if not self._wanted() or not self.tools.knowledge.suffices(self.state.job.id):
            return False
        self.known_age = self.tools.knowledge.age(self.state.job.id)
        return True

    def _route(self, host: str, path: str) -> Route | None:
        table = self.tools.routes.table
        return None if table is None else table.match(host, path)

    def _too_old(self, route: Route) -> bool:
        if route.max_wait is None:
            return False
        age = self.tools.clock.now().timestamp() - self.state.job.submitted
        return age > route.max_wait.total_seconds()

    async def _async_pause(self) -> None:
        await self.tools.clock.async_sleep(self._pause * (0.5 + self.tools.rng.random()))
        self._pause = min(self._pause * 2, _MAX_PAUSE)

    async def _async_text(self, route: Route) -> bool | None:
        """Run once; False when the text is whole, True when it never will be, None to go on."""
        self.runs += 1
        sink = TextSink(self.tools, self.state, self.text, self.phases, route.single_version)
        had = len(self.text.events)
        outcome = await self._async_dispatch(route, sink)
        if sink.upstream:
            self._avoid = avoid_next(self._avoid, sink.upstream)
        if len(self.text.events) > had:
            self._pause = _PAUSE
        whole = isinstance(outcome, Ok) and sink.status == STATUS_OK and sink.whole
        self.text_at = self.tools.clock.monotonic()
        self.phases.run_ended(self.text_at, whole)
        if whole:
            self.tools.lengths.learn(self.item.told_tokens, len(self.text.events))
            return False
        if isinstance(outcome, Ok) and sink.status == STATUS_IMPOSSIBLE:
            return True
        if isinstance(outcome, Ok) and sink.status == STATUS_FAILED:
            self._failed_runs += 1
            return True if self._failed_runs >= route.max_attempts else None
        refusal = outcome.err()
        knows = self.tools.knowledge.suffices(self.state.job.id)
        if refusal is not None and refusal.ran is Ran.NO and sink.upstream and knows:
            self.tools.turned_away.note(sink.upstream, self.tools.clock.monotonic())
        reason = sink.unusable or (refusal.reason if refusal else "cut")
        self.tools.metrics.retry(f"item_{reason}")
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
        """Send the item, and leave an upstream that has fallen silent."""
        job, model, oldest = self.state.job, self.state.job.model, self.state.job.min_version

        def eligible(upstream: str) -> bool:
            if not self._may_go_out():
                return False
            if self.tools.turned_away.rests(upstream, self.tools.clock.monotonic()):
                return False
            if oldest is None:
                return True
            version = self.tools.versions.version(upstream, model)
            return version is not None and version >= oldest

        req = CallerRequest(
            service=route.choose_service(self.tools.rng),
            method="POST",
            path=self.item.path,
            headers=self.tools.edge.item_headers(job, self.item, self.text.last_id),
            body=self.item.body,
            deadline=self.tools.clock.monotonic() + _RUN_TIME,
            caller=job.host,
            caller_class=CallerClass.TRAINER,
            tokens=self._tokens_left() or max(self.item.tokens, 1),
            prefix_key=self.item.prefix,
            prefix_tokens=int(self.item.prefix_tokens * READ_COST),
            avoid=self._avoid,
            eligible=eligible,
            max_attempts=1,
            pace=self._pace_at,
            request_id=self.item.id,
        )
        watch = RunWatch(self.tools, self.item, self.text, req, sink)
        task = asyncio.ensure_future(self.tools.dispatcher.async_run(req, sink))
        try:
            while True:
                done, _ = await asyncio.wait((task,), timeout=_WATCH.total_seconds())
                if done:
                    return task.result()
                if watch.stalled():
                    sink.unusable = "stalled"
                elif self._may_move() and watch.slower():
                    sink.unusable = "slow"
                    self._moves += 1
                else:
                    continue
                task.cancel()
                await asyncio.wait((task,))
                return Err(_LEFT)
        finally:
            if not task.done():
                task.cancel()

    def _may_move(self) -> bool:
        return self.phases.stage == "text" and self._moves < MOST_MOVES

    def _tokens_left(self) -> int:
        return self.tools.lengths.tokens_left(self.item.told_tokens, len(self.text.events))

    def _pace_at(self, upstream: str) -> float:
        """Return the tokens a second that an engine makes of one text, 0 if not known."""
        tokens = self.tools.lengths.tokens_an_event
        now = self.tools.clock.monotonic()
        return 0.0 if tokens is None else tokens * self.tools.paces.events_per_second(upstream, now)

    async def _async_score(self) -> ItemResult | None:
        """Send the scoring request until it has an answer, then put the result together."""
        self.text_at = self.tools.clock.monotonic()
        scorer = self.item.scorer
        if scorer is None:
            return self._completed("")
        self._pause = _PAUSE
        failures = 0
        while await self._async_wanted():
            route = self._route(scorer.host, scorer.path)
            if route is None:
                return ItemResult(ItemState.DEAD)
            service = route.choose_service(self.tools.rng)
            self.phases.scoring_asked(self.tools.clock.monotonic())
            async with self.tools.scoring.place(service):
                self.phases.scoring_sent(self.tools.clock.monotonic())
                asked = self._score_request(scorer, route, service)
                outcome = await asked.async_run()
            failures += asked.failures
            answer = outcome.ok()
            if answer is not None and STATUS_OK <= answer.status < STATUS_MULTIPLE:
                return self._completed(self.tools.edge.answer_head(answer.headers).signature)
            if failures >= route.max_attempts:
                return ItemResult(ItemState.DEAD)
            self.tools.metrics.retry("score")
            await self._async_pause()
        return None

    def _score_request(self, scorer: Scorer, route: Route, service: str) -> RepeatedRequest:
        """Return the scoring request, with a copy at another upstream if its answer takes long."""
        deadline = self.tools.clock.monotonic() + _SCORE_TIME

        def make(avoid: frozenset[str]) -> CallerRequest:
            return CallerRequest(
                service=service,
                method="POST",
                path=scorer.path,
                headers=self.tools.edge.scorer_headers(scorer),
                body=scorer.body,
                deadline=deadline,
                caller=self.state.job.host,
                caller_class=CallerClass.TRAINER,
                avoid=avoid,
                eligible=lambda _upstream: self._may_go_out(),
                max_attempts=1,
                request_id=scorer.id,
            )

        attempts = min(route.max_attempts, _SCORE_ATTEMPTS)
        tools = self.tools
        copy_after = scoring_hedge_delay(route.goal)
        return RepeatedRequest(
            tools.dispatcher, tools.hedges, tools.metrics, make, copy_after, attempts
        )

    def _completed(self, score: str) -> ItemResult:
        versions = tuple(self.text.versions)
        return ItemResult(ItemState.COMPLETED, self.text.text, versions, score)
