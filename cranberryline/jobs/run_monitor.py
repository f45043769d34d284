"""Monitors the request for an item's text, and detects stalled and slow engines."""

from datetime import timedelta

from cranberryline.decisions.moving import may_pay_to_move, should_move
from cranberryline.dispatch.model import CallerRequest

from .events import ItemText
from .item_context import ItemContext
from .model import Item
from .sink import STALL_TIMEOUT, TextSink

__all__ = ["RunMonitor"]

# If an upstream sends no byte of any request for this long, the text is resumed at another one.
# This is some ten times the pause that a trainer allows between events, so a slow engine keeps its
# work. While other requests there make progress, the item is only queued, and `STALL_TIMEOUT`
# applies instead.
SILENCE_TIMEOUT = timedelta(milliseconds=1800)


class RunMonitor:
    """Monitors one request for a text, and compares its engine with the other available engines."""

    def __init__(
        self, context: ItemContext, item: Item, text: ItemText, req: CallerRequest, sink: TextSink
    ) -> None:
        self._context = context
        self._item = item
        self._text = text
        self._req = req
        self._sink = sink

    def is_stalled(self) -> bool:
        """Return whether the engine is silent, or only this request makes no progress there."""
        last_received_at = self._sink.last_received_at
        if last_received_at is None:
            return False
        now = self._context.clock.monotonic()
        upstream_active_at = max(
            self._context.last_received_at.get(self._sink.upstream, last_received_at),
            last_received_at,
        )
        # A text in a granted slot is not queued, so its engine lost the request or its answer.
        stall_timeout = SILENCE_TIMEOUT if self._req.upstream else STALL_TIMEOUT
        return now - upstream_active_at > SILENCE_TIMEOUT or now - last_received_at > stall_timeout

    def is_slow(self) -> bool:
        """Return whether another engine with a free slot would complete the text sooner."""
        now, paces = self._context.clock.monotonic(), self._context.paces
        events_left = self._context.lengths.events_left(
            self._item.told_tokens, len(self._text.events)
        )
        current_pace = paces.events_per_second(self._sink.upstream, now)
        if not may_pay_to_move(events_left, current_pace):
            return False
        other_paces = [
            pace
            for upstream, pace in paces.faster_than(current_pace, now)
            if upstream != self._sink.upstream and self._may_serve(upstream)
        ]
        return should_move(events_left, current_pace, other_paces)

    def _may_serve(self, upstream: str) -> bool:
        req, dispatcher = self._req, self._context.dispatcher
        return (
            upstream not in req.avoid
            and dispatcher.has_free_slot(req.service, upstream)
            and req.may_send_to(upstream)
        )
