"""The state of a request that a runner has accepted."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from cranberryline.ports.response_memory import ByteHolding
from cranberryline.requests import RequestKey
from cranberryline.transport.model import Message, Submit

from .stream import ResponseStream

__all__ = ["Held", "Reply"]

# Sends a message about a request back to its sender.
Reply = Callable[[Message], None]


@attrs.define(eq=False)
class Held:
    """A request that the runner has accepted and that is queued or running.

    `deadline` is a reading of the monotonic clock. `is_eligible` is called directly before the
    request is sent to the upstream; False prevents that. `timer` ends the wait in the queue.
    `aborted` means that the sender has been told of the end, before the task is cancelled. `sent`
    is set directly before the request is sent. `room` is what a long body holds of the memory of
    this process.
    """

    key: RequestKey
    msg: Submit
    reply: Reply
    deadline: timedelta
    sequence_number: int
    stream: ResponseStream
    is_eligible: Callable[[], bool] | None = None
    timer: asyncio.TimerHandle | None = None
    task: asyncio.Task[None] | None = None
    aborted: bool = False
    sent: bool = False
    room: ByteHolding | None = None

    def __lt__(self, other: "Held") -> bool:
        """Order by priority, then by arrival."""
        return (self.msg.priority, self.sequence_number) < (
            other.msg.priority,
            other.sequence_number,
        )

    def release_body(self) -> None:
        """Let go of the body; the upstream has answered, or the request has ended."""
        if self.room is not None:
            self.msg = attrs.evolve(self.msg, body=b"")
            self.room.release()
            self.room = None

    def stop_timer(self) -> None:
        """Cancel the timer that ends the wait in the queue."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
