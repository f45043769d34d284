"""The VM list: what it shows follows what is true with a lag."""

import asyncio
from typing import Any

import attrs

from .http import Controls, Handler, StandIn

__all__ = ["VmsControls", "VmsStandIn"]


@attrs.define
class VmsControls(Controls):
    """`vms` is the whole true list; `lag_s` is how much later the list shows a change."""

    vms: list[dict[str, Any]] = attrs.field(factory=list)
    lag_s: float = 0.5


class VmsStandIn(StandIn):
    """The VM list service."""

    def __init__(self, controls: VmsControls) -> None:
        super().__init__(controls)
        self.version = 1
        self.shown = list(controls.vms)
        self.moved = asyncio.Condition()
        self._showing: set[asyncio.Task[None]] = set()

    def changed(self) -> None:
        """Show the new list after the lag."""
        task = asyncio.create_task(self._async_show(list(self.controls.vms)))
        self._showing.add(task)
        task.add_done_callback(self._showing.discard)

    async def _async_show(self, vms: list[dict[str, Any]]) -> None:
        """Show a list once the lag is over."""
        await asyncio.sleep(self.controls.lag_s)
        if vms == self.shown:
            return
        async with self.moved:
            self.shown = vms
            self.version += 1
            self.moved.notify_all()

    def journal(self) -> Any:
        """Tell what is shown now."""
        return {"version": self.version, "vms": self.shown}

    def routes(self) -> list[Any]:
        """Return the list's one route."""
        return [(r"/vms", _VmsHandler, {"stand_in": self})]


class _VmsHandler(Handler):
    """Tell the list."""

    async def get(self) -> None:
        """Answer 304 when nothing changed within the wait."""
        service: VmsStandIn = self.stand_in
        known = int(self.get_argument("known", "0"))
        wait = float(self.get_argument("wait", "0"))
        try:
            async with asyncio.timeout(wait), service.moved:
                await service.moved.wait_for(lambda: service.version != known)
        except TimeoutError:
            pass
        if service.version == known:
            self.answer(None, 304)
            return
        self.answer({"version": service.version, "vms": service.shown})
