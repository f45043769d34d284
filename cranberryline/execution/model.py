"""A request as a side process holds it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from cranberryline.requests import RequestKey
from cranberryline.transport.model import Message, Submit

from .stream import AnswerStream

__all__ = ["Held", "Reply"]

Reply = Callable[[Message], None]


@attrs.define(eq=False)
class Held:
    """A request that waits or runs; `deadline` is on the monotonic clock."""

    key: RequestKey
    msg: Submit
    reply: Reply
    deadline: timedelta
    seq: int
    stream: AnswerStream
    may_go: Callable[[], bool] | None = None
    timer: asyncio.TimerHandle | None = None
    task: asyncio.Task[None] | None = None

    def __lt__(self, other: "Held") -> bool:
        """Sort by class, then by arrival."""
        return (self.msg.priority, self.seq) < (other.msg.priority, other.seq)

    def stop_timer(self) -> None:
        """Cancel the timer of the wait."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
