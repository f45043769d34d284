"""Let few calls begin at a time, where each is allowed more time than a turn takes."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, TypeVar

__all__ = ["Turns"]

_T = TypeVar("_T")


class Turns:
    """So many calls at once; one that takes longer than `turn` goes on, and lets the next one begin."""

    def __init__(self, at_once: int, turn: timedelta) -> None:
        self._places = asyncio.Semaphore(at_once)
        self._turn = turn

    async def async_run(self, call: Coroutine[Any, Any, _T]) -> _T:
        """Make a call in its turn."""
        task: asyncio.Task[_T] | None = None
        try:
            async with self._places:
                task = asyncio.ensure_future(call)
                await asyncio.wait((task,), timeout=self._turn.total_seconds())
            return await task
        finally:
            if task is None:
                call.close()
            elif not task.done():
                task.cancel()
