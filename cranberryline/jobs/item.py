"""Run one item of a job: its text over as many runs as it takes, then its score."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

import attrs
from result import Err, Ok, Result

from cranberryline.decisions.elsewhere import avoid_next
from cranberryline.decisions.hedging import HedgeBudget, scoring_hedge_delay
from cranberryline.decisions.lengths import TextLengths
from cranberryline.decisions.moving import MOST_MOVES, EnginePaces, faster_elsewhere
from cranberryline.decisions.turned_away import TurnedAway
from cranberryline.entry.attempt import CallerLeft
from cranberryline.entry.dispatch import Dispatcher
from cranberryline.entry.errors import Ran, Refusal, RefusalReason
from cranberryline.entry.model import AnswerSink, CallerClass, CallerRequest
from cranberryline.entry.repeated import RepeatedRequest
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.edge import EdgeFormat
from cranberryline.routes import Route, RouteBook

from .events import EventReader, ItemText
from .knowledge import JobKnowledge
from .model import Item, ItemResult, ItemState, Scorer
from .phases import ItemPhases
from .scoring import ScoringPlaces
from .state import JobState
from .versions import UpstreamVersions

__all__ = ["ItemRun", "ItemTools"]

_LOGGER = get_logger(__name__)

STATUS_OK = 200
STATUS_MULTIPLE = 300
STATUS_IMPOSSIBLE = 422
STATUS_FAILED = 500

# An upstream that fell silent is left after this long without a byte of any run, and the text gone on
# with elsewhere: some ten times the pause that a trainer allows between events, so a slow
# engine keeps its work. While other runs there go on, the item only waits for its place.
_SILENT = timedelta(milliseconds=1800)
_STALLED = timedelta(seconds=5)
_WATCH = timedelta(milliseconds=250)
# More than all engines of the design size.
_HEARD_KEPT = 10_000
_RUN_TIME = timedelta(seconds=10)
_SCORE_TIME = timedelta(milliseconds=2500)
_SCORE_ATTEMPTS = 2
_PAUSE = timedelta(milliseconds=40)
_MAX_PAUSE = timedelta(milliseconds=400)
_LEFT = Refusal(RefusalReason.UPSTREAM_FAILED)
# What reading a token of a prompt costs of making one: engines read some 300 while they make one of a text,
# and share that with their other texts. Counted in full, the home of a prompt drew texts to slow engines.
READ_COST = 0.02


@attrs.define
class ItemTools:
    """What running an item takes."""

    routes: RouteBook
    dispatcher: Dispatcher
    edge: EdgeFormat
    versions: UpstreamVersions
    clock: Clock
    metrics: Metrics
    rng: Random
    scoring: ScoringPlaces
    kept: Callable[[Item], ItemResult | None]
    knowledge: JobKnowledge
    hedges: HedgeBudget = attrs.field(factory=HedgeBudget)
    heard: dict[str, timedelta] = attrs.field(factory=dict)
    turned_away: TurnedAway = attrs.field(factory=TurnedAway)
    lengths: TextLengths = attrs.field(factory=TextLengths)
    paces: EnginePaces = attrs.field(factory=EnginePaces)


class _TextSink(AnswerSink):
    """Take an item's events as they come, and leave an answer that cannot be used."""

    def __init__(self, run: "ItemRun", route: Route) -> None:
        self._run = run
        self._route = route
        self._reader = EventReader(run.tools.edge.version_field)
        self._version: int | None = None
        self.status = 0
        self.upstream = ""
        self.unusable = ""
        self.moved_at: timedelta | None = None
        self._event_at: timedelta | None = None

    def _note_moved(self) -> None:
        self.moved_at = self._run.tools.clock.monotonic()
        self._run.tools.heard[self.upstream] = self.moved_at

    @property
    def whole(self) -> bool:
        """Tell whether the stream ended behind a whole event."""
        return self._reader.clean

    def dispatched(self, upstream: str) -> None:
        """Note which upstream works now, and start its time."""
        self.upstream = upstream
        self.moved_at = self._run.tools.clock.monotonic()
        self._run.phases.dispatched(self.moved_at, upstream, len(self._run.text.events))
        heard = self._run.tools.heard
        if len(heard) > _HEARD_KEPT:
            # By starts, of which there are more each day: a stall asks about the last seconds only.
            for key in [key for key, at in heard.items() if self.moved_at - at > _STALLED]:
                del heard[key]

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Take the status, and the version that the upstream starts with."""
        self.status = status
        self._note_moved()
        self._reader = EventReader(self._run.tools.edge.version_field)
        if status != STATUS_OK:
            return False
        self._version = self._run.tools.edge.answer_head(headers).version
        if self._version is None:
            self._leave("no_version")
        self._check_version()
        return True

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Take what is whole of the events."""
        self._note_moved()
        if self.status != STATUS_OK:
            return
        try:
            events = self._reader.feed(data)
        except ValueError:
            self._leave("bad_event")
        if events and self.moved_at is not None:
            self._run.phases.heard(self.moved_at)
            self._note_pace(len(events), self.moved_at)
        for event in events:
            if event.version is not None:
                self._version = event.version
                self._check_version()
            if self._version is None or not self._run.text.add(event, self._version):
                self._leave("event_out_of_order")

    def _note_pace(self, events: int, now: timedelta) -> None:
        """Count events after the first of a run, which may have waited for its place."""
        if self._event_at is not None:
            self._run.tools.paces.heard(self.upstream, events, now - self._event_at, now)
        self._event_at = now

    def _check_version(self) -> None:
        run, version = self._run, self._version
        if version is None:
            return
        run.tools.versions.learn(self.upstream, run.state.job.model, version)
        oldest = run.state.job.min_version
        if oldest is not None and version < oldest:
            self._leave("stale_version")
        if self._route.single_version and any(known != version for known in run.text.versions):
            run.text.clear()
            run.phases.thrown_away()
            self._leave("version_changed")

    def _leave(self, reason: str) -> None:
        """Stop the run: what comes would not be kept."""
        self.unusable = reason
        raise CallerLeft


class ItemRun:
    """One item from its first run to its result."""

    def __init__(self, tools: ItemTools, state: JobState, index: int) -> None:
        self.tools = tools
        self.state = state
        self.index = index
        self.item = state.job.items[index]
        self.text = ItemText()
        self.runs = 0
        self.began = tools.clock.monotonic()
        self.text_at = self.began
        self.phases = ItemPhases(self.began)
        self.known_age: timedelta | None = None
        self._failed_runs = 0
        self._moves = 0
        self._pause = _PAUSE
        self._avoid: frozenset[str] = frozenset()

    async def async_run(self) -> ItemResult | None:
        """Return the result, or None when nobody wants it any more."""
        kept = self._kept_result()
        if kept is not None:
            return kept
        while await self._async_wanted():
            route = self._route(self.state.job.host, self.item.path)
            if route is None or self._too_old(route):
                return ItemResult(ItemState.DEAD)
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
        oldest = self.state.job.min_version
        if oldest is not None and min(kept.versions, default=0) < oldest:
            return None
        return kept

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
        sink = _TextSink(self, route)
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

    async def _async_dispatch(self, route: Route, sink: _TextSink) -> Result[str, Refusal]:
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
        )
        task = asyncio.ensure_future(self.tools.dispatcher.async_run(req, sink))
        try:
            while True:
                done, _ = await asyncio.wait((task,), timeout=_WATCH.total_seconds())
                if done:
                    return task.result()
                if self._stalled(sink):
                    sink.unusable = "stalled"
                elif self._slower(sink, req):
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

    def _tokens_left(self) -> int:
        return self.tools.lengths.tokens_left(self.item.told_tokens, len(self.text.events))

    def _pace_at(self, upstream: str) -> float:
        """Return the tokens a second that an engine makes of one text, 0 if not known."""
        tokens = self.tools.lengths.tokens_an_event
        now = self.tools.clock.monotonic()
        return 0.0 if tokens is None else tokens * self.tools.paces.events_per_second(upstream, now)

    def _slower(self, sink: _TextSink, req: CallerRequest) -> bool:
        """Tell whether the text would be whole sooner at another engine that has a place."""
        if self.phases.stage != "text" or self._moves >= MOST_MOVES:
            return False
        now, paces = self.tools.clock.monotonic(), self.tools.paces
        left = self.tools.lengths.events_left(self.item.told_tokens, len(self.text.events))
        here = paces.events_per_second(sink.upstream, now)
        others = [
            paces.events_per_second(upstream, now)
            for upstream in self.tools.dispatcher.with_room(req.service)
            if upstream != sink.upstream and self._may_have(upstream, req)
        ]
        return faster_elsewhere(left, here, others)

    def _may_have(self, upstream: str, req: CallerRequest) -> bool:
        return upstream not in req.avoid and (req.eligible is None or req.eligible(upstream))

    def _stalled(self, sink: _TextSink) -> bool:
        if sink.moved_at is None:
            return False
        now = self.tools.clock.monotonic()
        heard = max(self.tools.heard.get(sink.upstream, sink.moved_at), sink.moved_at)
        return now - heard > _SILENT or now - sink.moved_at > _STALLED

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
