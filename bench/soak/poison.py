"""A caller whose request crashes each sampler that runs it, and a look at what gateways hold for it."""

import asyncio
import itertools

import msgspec
from tornado.httpclient import AsyncHTTPClient

from .model import POISON, Book, SoakPlan
from .world import World

__all__ = ["Poisoner"]

_PATH = f"/safe/{POISON}"
_FIRST_S = 1.5
_NOT_RUN = 503


class Poisoner:
    """Send the request for as long as the soak lasts, at any gateway."""

    def __init__(self, world: World, plan: SoakPlan, book: Book) -> None:
        self.stopping = False
        self._world = world
        self._plan = plan
        self._book = book

    async def async_send(self) -> None:
        """Send it again and again, as a caller who does not give up."""
        rng = self._plan.luck("poison")
        await asyncio.sleep(_FIRST_S)
        for number in itertools.count():
            if self.stopping:
                return
            gateway = rng.randrange(self._plan.gateways)
            answer = await self._world.async_call(gateway, "POST", _PATH, f"{POISON}{number}", {})
            status = 0 if answer is None else answer.code
            self._book.counts[f"poison_{status}"] += 1
            if answer is not None and status == _NOT_RUN and "Retry-After" not in answer.headers:
                self._book.break_promise("refused_without_a_time", f"{POISON}{number}")
            await asyncio.sleep(rng.uniform(0.1, 0.5))

    async def async_check(self) -> None:
        """Ask every gateway what it holds: nothing but the poison."""
        for number in range(self._plan.gateways):
            url = f"http://127.0.0.1:{self._world.ready[number]}/holds"
            try:
                answer = await AsyncHTTPClient().fetch(url, raise_error=False)
            except OSError:
                continue  # it was killed or stopped as the last fault
            for row in msgspec.json.decode(answer.body)["requests"]:
                if row["held"] and row["path"] != _PATH:
                    self._book.break_promise("held_beside", f"{row['path']} at front-{number}")
                self._book.counts["poison_held"] += row["held"]
