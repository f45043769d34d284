"""Watches one request for an item's text, and cuts it if its engine is stalled, slow or left."""

import asyncio
import enum
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.model import CallerRequest
from cranberryline.helpers.clock import in_milliseconds
from cranberryline.helpers.logging import get_logger

from .events import ItemText
from .item_context import ItemContext
from .model import Item
from .run_monitor import RunMonitor
from .sink import TextSink
from .text_slot import TextSlot

__all__ = ["CutCause", "TextRun"]

_LOGGER = get_logger(__name__)

_WATCH_INTERVAL = timedelta(milliseconds=250)
# Statuses from the first one up to the second are due to the request; any engine would answer so.
_MIN_REQUEST_ERROR = 400
_MIN_SERVER_ERROR = 500
_ABANDONED = Refusal(RefusalReason.UPSTREAM_FAILED)


class CutCause(enum.StrEnum):
    """Why this gateway cut a request for a text."""

    STALLED = "stalled"  # the engine is silent
    SLOW = "slow"  # another engine is faster
    MOVED = "moved"  # the text got a slot of another engine
    ENDED = "ended"  # the item is not needed any more, or this gateway stops


# Reasons for which a response is left although its engine runs the text without a fault.
_HARMLESS_REASONS = frozenset((CutCause.SLOW, CutCause.MOVED, "stale_version", "version_changed"))


class TextRun:
    """One request for a text; `record_cut` is called with the cause if this gateway cuts it."""

    def __init__(
        self,
        context: ItemContext,
        item: Item,
        text: ItemText,
        req: CallerRequest,
        sink: TextSink,
        slot: TextSlot,
        may_move: Callable[[], bool],
        record_cut: Callable[[CutCause], None],
    ) -> None:
        self._context = context
        self._item = item
        self._text = text
        self._req = req
        self._sink = sink
        self._slot = slot
        self._may_move = may_move
        self._record_cut = record_cut
        self._monitor = RunMonitor(context, item, text, req, sink)

    async def async_run(self) -> Result[str, Refusal]:
        """Send the request; cancel it if its upstream is stalled or slow, or the text moves."""
        task = asyncio.ensure_future(self._context.dispatcher.async_run(self._req, self._sink))
        try:
            while True:
                done, _ = await asyncio.wait((task,), timeout=_WATCH_INTERVAL.total_seconds())
                if done:
                    return task.result()
                cause = self._cause_to_cut()
                if cause is None:
                    continue
                self._cut(cause)
                task.cancel()
                await asyncio.wait((task,))
                return Err(_ABANDONED)
        finally:
            if not task.done():
                if not self._sink.abort_reason:
                    self._cut(CutCause.ENDED)
                task.cancel()

    def _cause_to_cut(self) -> CutCause | None:
        if self._monitor.is_stalled():
            return CutCause.STALLED
        if not self._may_move():
            return None
        if self._slot.move_to and not self._may_go_on_at(self._slot.move_to):
            self._slot.stay()
        if self._slot.move_to:
            self._slot.moving = True
            return CutCause.MOVED
        if not self._slot.upstream and self._monitor.is_slow():
            return CutCause.SLOW
        return None

    def _may_go_on_at(self, upstream: str) -> bool:
        """Return whether this gateway can send the rest of the text to an upstream."""
        req, dispatcher = self._req, self._context.dispatcher
        return (
            dispatcher.has_free_slot(req.service, upstream)
            and (req.eligible is None or req.eligible(upstream))
            and self._sink.may_go_on_at(upstream)
        )

    def _cut(self, cause: CutCause) -> None:
        """Record that this gateway leaves the response; a queued request is none yet."""
        sink = self._sink
        sink.abort_reason = cause
        if sink.dispatched_at is None:
            return
        self._record_cut(cause)
        self._context.metrics.item_cuts.labels(cause).inc()
        _LOGGER.info(
            "item_run_cut",
            request_id=self._item.id,
            cause=cause,
            upstream=sink.upstream,
            events=len(self._text.events),
            ms=in_milliseconds(self._context.clock.monotonic() - sink.dispatched_at),
        )

    def end(self, outcome: Result[str, Refusal], complete: bool, wanted: bool) -> RunEnd:
        """Return how the use of the slot ended; `wanted` is whether the text is still needed."""
        if not self._sink.upstream:
            return RunEnd.UNUSED
        if complete or self._sink.abort_reason in _HARMLESS_REASONS:
            return RunEnd.DONE
        if isinstance(outcome, Ok) and _MIN_REQUEST_ERROR <= self._sink.status < _MIN_SERVER_ERROR:
            return RunEnd.DONE
        refusal = outcome.err()
        if self._sink.abort_reason or refusal is None or refusal.ran is not Ran.NO:
            return RunEnd.FAILED
        return RunEnd.REJECTED if wanted else RunEnd.UNUSED
