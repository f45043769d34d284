"""Callbacks for the event loop, background tasks and HTTP servers of the process."""

import asyncio
from collections.abc import Callable
from typing import Any

from cranberryline.helpers.logging import get_logger

__all__ = ["leave_log_to_handlers", "log_task_failure", "run_soon"]

_LOGGER = get_logger(__name__)


def run_soon(callback: Callable[[], None]) -> None:
    """Call a callback in the next iteration of the event loop.

    Records that are being applied in the current iteration are then applied in full.
    """
    asyncio.get_running_loop().call_soon(callback)


def leave_log_to_handlers(_handler: object) -> None:
    """Log nothing; used as tornado's `log_function`, since handlers log their own requests."""


def log_task_failure(task: "asyncio.Future[Any]") -> None:
    """Log the exception of a background task, none of which should end by itself."""
    if not task.cancelled() and task.exception() is not None:
        _LOGGER.error("task_failed", error=repr(task.exception()))
