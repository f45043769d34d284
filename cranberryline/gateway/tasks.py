"""Small callbacks of the process: for its tasks, its loop and its servers."""

import asyncio
from collections.abc import Callable
from typing import Any

from cranberryline.helpers.logging import get_logger

__all__ = ["leave_log_to_handlers", "run_soon", "tell_failure"]

_LOGGER = get_logger(__name__)


def run_soon(work: Callable[[], None]) -> None:
    """Do work once what is being read now has been taken in."""
    asyncio.get_running_loop().call_soon(work)


def leave_log_to_handlers(_handler: object) -> None:
    """Log nothing: the handlers log their own requests."""


def tell_failure(task: "asyncio.Future[Any]") -> None:
    """Log that a task ended that should not have."""
    if not task.cancelled() and task.exception() is not None:
        _LOGGER.error("task_failed", error=repr(task.exception()))
