"""The trainers' HTTP surface: who may call, and the answer on the wire."""

import asyncio
from collections.abc import Callable
from typing import Any

from tornado.web import RequestHandler

from cranberryline.helpers.http_server import break_off
from cranberryline.helpers.problem import ProblemHandler, write_problem

from .trainers import TrainerAnswer, TrainerService

__all__ = ["PullHandler", "StepHandler", "TokenCheck", "trainer_routes"]

# Returns whether the token allows the trainer's call; if not, it has written the refusal.
TokenCheck = Callable[[RequestHandler, str], bool]


class _TrainerHandler(ProblemHandler):
    """What both calls share: the token, and one task that ends with the connection."""

    def initialize(self, service: TrainerService, token_check: TokenCheck) -> None:
        """Take in the service and the token check."""
        self._service = service
        self._token_check = token_check
        self._work: asyncio.Task[TrainerAnswer] | None = None

    def on_connection_close(self) -> None:
        """Stop waiting for samples on behalf of a trainer that has gone."""
        if self._work is not None:
            self._work.cancel()

    async def async_answer(self, trainer: str, work: Any) -> None:
        """Run a call and write its answer."""
        if not self._token_check(self, trainer):
            work.close()
            return
        self._work = asyncio.ensure_future(work)
        try:
            answer = await self._work
        except asyncio.CancelledError:
            break_off(self)
            return
        self._write(answer)

    def _write(self, answer: TrainerAnswer) -> None:
        if answer.reason:
            write_problem(
                self,
                answer.status,
                answer.reason,
                answer.title,
                retry_after=answer.retry_after,
                detail=answer.detail,
            )
            return
        self.set_status(answer.status)
        self.set_header("Content-Type", "application/json")
        self.finish(answer.body())


class StepHandler(_TrainerHandler):
    """Declare a step."""

    async def put(self, trainer: str, step: str) -> None:
        """Declare a step; the same declaration again changes nothing."""
        work = self._service.async_declare(trainer, int(step), self.request.body)
        await self.async_answer(trainer, work)


class PullHandler(_TrainerHandler):
    """Pull samples."""

    async def post(self, trainer: str) -> None:
        """Hand over finished samples, waiting for the first as long as the call allows."""
        await self.async_answer(trainer, self._service.async_pull(trainer, self.request.body))


def trainer_routes(service: TrainerService, token_check: TokenCheck) -> list[Any]:
    """Return the routes of the trainers' surface."""
    args = {"service": service, "token_check": token_check}
    return [
        (r"/trainers/([A-Za-z0-9._-]{1,128})/steps/([0-9]{1,16})", StepHandler, args),
        (r"/trainers/([A-Za-z0-9._-]{1,128})/pull", PullHandler, args),
    ]
