"""A model engine: completions from a continuous batch, weight orders, load and cache events."""

import asyncio
import json
import random
import time
from collections import deque
from typing import Any

import attrs
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from .batch import Batch, BatchControls, Run
from .cache import PrefixCache
from .http import Handler, StandIn
from .journal import Journal

__all__ = ["EngineControls", "EngineStandIn"]


@attrs.define
class EngineControls(BatchControls):
    """The next `fail_swaps` orders fail half way; the next `cut_streams` answers are cut."""

    check_fence: bool = True
    swap_s: float = 0.05
    fail_swaps: int = 0
    cut_streams: int = 0
    silent_streams: int = 0
    orphan_s: float = 2.0
    load_lag_s: float = 0.25
    event_lag_s: float = 0.5
    event_gap_share: float = 0.05
    cache_blocks: int = 512


class EngineStandIn(StandIn):
    """The engine; `name` goes into every text, so that a run can be found in the journal."""

    def __init__(
        self, controls: EngineControls, name: str, model: str, store: str, journal: str = ""
    ) -> None:
        super().__init__(controls)
        self.name = name
        self.model = model
        self.store = store
        self.fence = 0
        self.book = Journal(journal)
        cache = PrefixCache(
            controls.cache_blocks,
            controls.event_lag_s,
            controls.event_gap_share,
            random.Random(name),
        )
        self.batch = Batch(name, controls, cache, self.book)
        self.swapping = asyncio.Lock()
        self._reports: deque[tuple[float, dict[str, Any]]] = deque([(0.0, self.report())])
        self._tasks: list[asyncio.Task[None]] = []

    def report(self) -> dict[str, Any]:
        """Return the true report of this moment."""
        return {**self.batch.load(), "fence": self.fence}

    def lagging_report(self) -> dict[str, Any]:
        """Return the newest report that is older than the lag."""
        horizon = time.monotonic() - self.controls.load_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= horizon:
            self._reports.popleft()
        return self._reports[0][1]

    def journal(self) -> Any:
        """Tell the token runs, the orders and the work done."""
        live = [run.row() for run in self.batch.running + self.batch.waiting]
        return {
            "name": self.name,
            "weight_version": self.batch.version,
            "fence": self.fence,
            "orders": self.book.of_kind("order"),
            "runs": self.book.of_kind("run") + live,
            "tokens_made": self.batch.tokens_made,
            "busy_s": self.batch.busy_s,
        }

    async def async_start(self) -> None:
        """Start the batch and the load reports."""
        self._tasks = [
            asyncio.create_task(self.batch.async_loop()),
            asyncio.create_task(self._async_reports()),
        ]

    async def _async_reports(self) -> None:
        """Take a load report at short intervals."""
        while True:
            self._reports.append((time.monotonic(), self.report()))
            await asyncio.sleep(max(self.controls.load_lag_s / 4, 0.01))

    def routes(self) -> list[Any]:
        """Return the engine's routes."""
        context = {"stand_in": self}
        return [
            (r"/v1/completions", _CompletionHandler, context),
            (r"/v1/chat/completions", _CompletionHandler, context),
            (r"/v1/resume", _ResumeHandler, context),
            (r"/cancel", _CancelHandler, context),
            (r"/orders/weights", _WeightsHandler, context),
            (r"/load", _LoadHandler, context),
            (r"/cache_events", _CacheEventsHandler, context),
        ]


class _StreamingHandler(Handler):
    """Send a run's pieces, as events or in one."""

    chat = False

    async def _async_send(self, run: Run, stream: bool, start: int = 0) -> None:
        """Answer with the run from piece `start` on; leave it for a while if the caller goes."""
        self._faults()
        if stream:
            self.set_header("Content-Type", "text/event-stream")
        leaving = asyncio.create_task(self.left.wait())
        try:
            at = start
            while not run.over or at < len(run.pieces):
                run.grown.clear()
                if stream:
                    at = await self._async_events(run, at)
                if run.over:
                    break
                grown = asyncio.create_task(run.grown.wait())
                await asyncio.wait({leaving, grown}, return_when=asyncio.FIRST_COMPLETED)
                grown.cancel()
                if self.left.is_set():
                    run.resumed = False
                    asyncio.get_running_loop().call_later(
                        self.stand_in.controls.orphan_s, self._orphan, run
                    )
                    return
        finally:
            leaving.cancel()
        await self._async_end(run, stream)

    def _faults(self) -> None:
        """Take this stream's share of the faults that a test asked for."""
        controls: EngineControls = self.stand_in.controls
        self._cut = controls.cut_streams > 0
        self._silent = not self._cut and controls.silent_streams > 0
        controls.cut_streams -= self._cut
        controls.silent_streams -= self._silent

    def _orphan(self, run: Run) -> None:
        """Stop a run that nobody resumed."""
        if not run.resumed:
            self.stand_in.batch.cancel(run)

    async def _async_events(self, run: Run, at: int) -> int:
        """Write the pieces made since `at`; return where it stands now."""
        for index in range(at, len(run.pieces)):
            if self._silent and index > 0:
                await self.left.wait()
                return len(run.pieces)
            last = run.state == "finished" and index == len(run.pieces) - 1
            self.write(b"data: " + json.dumps(self._event(run, index, last)).encode() + b"\n\n")
            await self.flush()
            if self._cut:
                self.drop()
                return len(run.pieces)
        return len(run.pieces)

    def _event(self, run: Run, index: int, last: bool) -> dict[str, Any]:
        """Return one event in the shape that inference servers use."""
        piece = run.pieces[index]
        content = {"delta": {"content": piece["text"]}} if self.chat else {"text": piece["text"]}
        choice = {"index": 0, **content, "finish_reason": "stop" if last else None}
        return {
            "id": run.request_id,
            "object": "chat.completion.chunk" if self.chat else "text_completion",
            "model": self.stand_in.model,
            "choices": [choice],
            "weight_version": piece["weight_version"],
            "tokens": piece["tokens"],
        }

    async def _async_end(self, run: Run, stream: bool) -> None:
        """End the answer; a cancelled run's is cut."""
        if run.state == "cancelled" or self._cut:
            self.drop()
            return
        if self._silent:
            await self.left.wait()
            return
        if stream:
            self.finish(b"data: [DONE]\n\n")
            return
        self.answer(self._whole(run))

    def _whole(self, run: Run) -> dict[str, Any]:
        """Return the whole answer in one."""
        text = "".join(piece["text"] for piece in run.pieces)
        content = (
            {"message": {"role": "assistant", "content": text}} if self.chat else {"text": text}
        )
        return {
            "id": run.request_id,
            "object": "chat.completion" if self.chat else "text_completion",
            "model": self.stand_in.model,
            "choices": [{"index": 0, **content, "finish_reason": "stop"}],
            "usage": {"prompt_tokens": len(run.prompt) // 4, "completion_tokens": run.made},
            "segments": run.row()["segments"],
        }


class _CompletionHandler(_StreamingHandler):
    """Complete a prompt or a chat."""

    async def post(self) -> None:
        """Run one request."""
        engine: EngineStandIn = self.stand_in
        self.chat = self.request.path.endswith("chat/completions")
        try:
            body = self.payload()
            prompt = self._prompt(body)
            max_tokens = int(body.get("max_tokens", 64))
            priority = int(body.get("priority", 0))
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            self.answer({"error": f"bad request: {exc}"}, 400)
            return
        if body.get("model") != engine.model or body.get("n", 1) != 1:
            self.answer({"error": "unknown model, or n above 1"}, 404)
            return
        request_id = self.request.headers.get("X-Request-Id", "")
        run = engine.batch.submit(request_id, prompt, max_tokens, priority)
        await self._async_send(run, bool(body.get("stream")))

    def _prompt(self, body: dict[str, Any]) -> str:
        """Return the prompt's text; a chat's is its messages' contents, one a line."""
        if not self.chat:
            return str(body["prompt"])
        return "\n".join(str(message["content"]) for message in body["messages"])


class _ResumeHandler(_StreamingHandler):
    """Go on with a stream whose connection was lost."""

    async def post(self) -> None:
        """Send a held stream from piece `from` on."""
        body = self.payload()
        run = self.stand_in.batch.by_id.get(body["request_id"])
        if run is None:
            self.answer({"error": "no such stream"}, 404)
            return
        run.resumed = True
        await self._async_send(run, True, int(body.get("from", 0)))


class _CancelHandler(Handler):
    """Cancel a stream."""

    def post(self) -> None:
        """Stop the named stream if it is there."""
        batch: Batch = self.stand_in.batch
        run = batch.by_id.get(self.payload()["request_id"])
        self.answer_effect({"cancelled": run is not None and batch.cancel(run)})


class _WeightsHandler(Handler):
    """Take an order to load weights."""

    async def post(self) -> None:
        """Fetch the version and swap to it."""
        engine: EngineStandIn = self.stand_in
        order = self.payload()
        async with engine.swapping:
            status, answer = await self._async_obey(engine, order)
        engine.book.append({"kind": "order", **order, "status": status, "at": time.time()})
        if status == 200:
            self.answer_effect(answer)
            return
        self.answer(answer, status, retry_after=0.5 if status == 503 else None)

    async def _async_obey(
        self, engine: EngineStandIn, order: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and body of the answer to an order."""
        if engine.controls.check_fence and order["fence"] < engine.fence:
            return 409, {"error": "stale_fence", "fence": engine.fence}
        engine.fence = max(engine.fence, order["fence"])
        if not await self._async_fetch(engine, order["version"]):
            return 503, {"error": "weight store is busy"}
        return await self._async_swap(engine, order["version"])

    async def _async_fetch(self, engine: EngineStandIn, version: int) -> bool:
        """Fetch weights from the store."""
        client = SimpleAsyncHTTPClient(force_instance=True)
        url = f"{engine.store}/weights/{engine.model}/{version}"
        try:
            got = await client.fetch(HTTPRequest(url, request_timeout=10), raise_error=False)
        finally:
            client.close()
        return got.code == 200

    async def _async_swap(self, engine: EngineStandIn, version: int) -> tuple[int, dict[str, Any]]:
        """Pause the batch and change the weights, or fail half way through."""
        controls: EngineControls = engine.controls
        engine.batch.paused = True
        await asyncio.sleep(controls.swap_s)
        failed = controls.fail_swaps > 0
        controls.fail_swaps -= failed
        engine.batch.version = None if failed else version
        engine.batch.cache.clear()
        engine.batch.resume()
        if failed:
            return 500, {"error": "the swap failed half way"}
        return 200, {"weight_version": version}


class _LoadHandler(Handler):
    """Report load."""

    def get(self) -> None:
        """Answer a report that lags."""
        self.answer(self.stand_in.lagging_report())


class _CacheEventsHandler(Handler):
    """Tell cache events."""

    async def get(self) -> None:
        """Answer the events above `after`, waiting for one where asked to."""
        after = int(self.get_argument("after", "0"))
        deadline = time.monotonic() + float(self.get_argument("wait", "0"))
        cache: PrefixCache = self.stand_in.batch.cache
        # Events become visible by age alone, so there is nothing that could be awaited instead.
        while not (events := cache.events(after)) and time.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        self.answer({"events": events})
