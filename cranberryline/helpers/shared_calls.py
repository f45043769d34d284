"""Calls that concurrent callers share instead of making each their own."""

import asyncio
from collections.abc import Callable, Coroutine, Hashable
from typing import Any, Generic, TypeVar

__all__ = ["SharedCalls"]

T = TypeVar("T")


class SharedCalls(Generic[T]):
    """Runs at most one call for each key at a time; whoever asks meanwhile gets its result."""

    def __init__(self) -> None:
        self._calls: dict[Hashable, asyncio.Future[T]] = {}

    async def async_run(self, key: Hashable, make: Callable[[], Coroutine[Any, Any, T]]) -> T:
        """Return the result of the call for a key that is under way, or of a new one.

        A caller that is cancelled does not end the call for the others.
        """
        call = self._calls.get(key)
        if call is None:
            call = self._calls[key] = asyncio.ensure_future(make())
            call.add_done_callback(lambda _: self._calls.pop(key, None))
        return await asyncio.shield(call)
