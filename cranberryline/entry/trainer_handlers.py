"""HTTP handlers for trainers, which authenticate each call and write its response."""

import asyncio
from collections.abc import Callable
from typing import Any

from tornado.web import RequestHandler

from cranberryline.helpers.http_server import break_off
from cranberryline.helpers.problem import ProblemHandler, write_problem

from .trainers import TrainerResponse, TrainerService

__all__ = ["PullHandler", "StepHandler", "TokenCheck", "trainer_routes"]

# Returns whether the token authorizes the call of that trainer; if not, it has sent the error.
TokenCheck = Callable[[RequestHandler, str], bool]


class _TrainerHandler(ProblemHandler):
    """Base handler that checks the token and cancels its call when the trainer disconnects."""

    def initialize(self, service: TrainerService, token_check: TokenCheck) -> None:
        """Store the service and the token check."""
        self._service = service
        self._token_check = token_check
        self._task: asyncio.Task[TrainerResponse] | None = None

    def on_connection_close(self) -> None:
        """Cancel the call of a trainer that has disconnected."""
        if self._task is not None:
            self._task.cancel()

    async def async_respond(self, trainer: str, call: Any) -> None:
        """Run a call, if the token allows it, and write its response."""
        if not self._token_check(self, trainer):
            call.close()
            return
        self._task = asyncio.ensure_future(call)
        try:
            response = await self._task
        except asyncio.CancelledError:
            break_off(self)
            return
        self._write(response)

    def _write(self, response: TrainerResponse) -> None:
        if response.reason:
            write_problem(
                self,
                response.status,
                response.reason,
                response.title,
                retry_after=response.retry_after,
                detail=response.detail,
            )
            return
        self.set_status(response.status)
        self.set_header("Content-Type", "application/json")
        self.finish(response.body())


class StepHandler(_TrainerHandler):
    """Declares a step."""

    async def put(self, trainer: str, step: str) -> None:
        """Declare a step; repeating the same declaration has no effect."""
        call = self._service.async_declare(trainer, int(step), self.request.body)
        await self.async_respond(trainer, call)


class PullHandler(_TrainerHandler):
    """Pulls samples."""

    async def post(self, trainer: str) -> None:
        """Return finished samples; wait for the first one up to the time given in the request."""
        await self.async_respond(trainer, self._service.async_pull(trainer, self.request.body))


def trainer_routes(service: TrainerService, token_check: TokenCheck) -> list[Any]:
    """Return the routes of the trainers' endpoints."""
    args = {"service": service, "token_check": token_check}
    return [
        (r"/trainers/([A-Za-z0-9._-]{1,128})/steps/([0-9]{1,16})", StepHandler, args),
        (r"/trainers/([A-Za-z0-9._-]{1,128})/pull", PullHandler, args),
    ]
