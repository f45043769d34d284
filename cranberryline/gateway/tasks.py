"""Callbacks for the event loop, background tasks and HTTP servers of the process."""

import asyncio
from collections.abc import Callable
from typing import Any

from tornado.web import Application

from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.raw_body import RawBodyApplication

__all__ = ["log_task_failure", "make_application", "run_soon"]

_LOGGER = get_logger(__name__)


def run_soon(callback: Callable[[], None]) -> None:
    """Call a callback in the next iteration of the event loop.

    Records that are being applied in the current iteration are then applied in full.
    """
    asyncio.get_running_loop().call_soon(callback)


def make_application(handlers: list[tuple[str, Any, dict[str, Any]]]) -> Application:
    """Return an application whose handlers log their own requests."""
    return RawBodyApplication([*handlers])


def log_task_failure(task: "asyncio.Future[Any]") -> None:
    """Log the exception of a background task, none of which should end by itself."""
    if not task.cancelled() and task.exception() is not None:
        _LOGGER.error("task_failed", error=repr(task.exception()))
