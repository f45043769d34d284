"""Watch a run of an item's text, and tell when its engine should be left."""

from datetime import timedelta

from cranberryline.decisions.moving import faster_elsewhere
from cranberryline.dispatch.model import CallerRequest

from .events import ItemText
from .model import Item
from .sink import STALLED, TextSink
from .tools import ItemTools

__all__ = ["RunWatch"]

# An upstream that fell silent is left after this long without a byte of any run, and the text gone on
# with elsewhere: some ten times the pause that a trainer allows between events, so a slow
# engine keeps its work. While other runs there go on, the item only waits for its place.
SILENT = timedelta(milliseconds=1800)


class RunWatch:
    """What is known of one run, and of the engines that could make its text instead."""

    def __init__(
        self, tools: ItemTools, item: Item, text: ItemText, req: CallerRequest, sink: TextSink
    ) -> None:
        self._tools = tools
        self._item = item
        self._text = text
        self._req = req
        self._sink = sink

    def stalled(self) -> bool:
        """Tell whether the run's engine has fallen silent, or this run among others there."""
        moved_at = self._sink.moved_at
        if moved_at is None:
            return False
        now = self._tools.clock.monotonic()
        heard = max(self._tools.heard.get(self._sink.upstream, moved_at), moved_at)
        return now - heard > SILENT or now - moved_at > STALLED

    def slower(self) -> bool:
        """Tell whether the text would be whole sooner at another engine that has a place."""
        now, paces = self._tools.clock.monotonic(), self._tools.paces
        left = self._tools.lengths.events_left(self._item.told_tokens, len(self._text.events))
        here = paces.events_per_second(self._sink.upstream, now)
        others = [
            paces.events_per_second(upstream, now)
            for upstream in self._tools.dispatcher.with_room(self._req.service)
            if upstream != self._sink.upstream and self._may_have(upstream)
        ]
        return faster_elsewhere(left, here, others)

    def _may_have(self, upstream: str) -> bool:
        req = self._req
        return upstream not in req.avoid and (req.eligible is None or req.eligible(upstream))
