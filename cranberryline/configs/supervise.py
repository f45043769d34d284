"""Restart of failed background tasks of a long-lived process."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import Logger
from cranberryline.helpers.metrics import Metrics

__all__ = ["async_keep_running"]

RESTART_DELAY = timedelta(seconds=1)


async def async_keep_running(
    name: str, work: Callable[[], Awaitable[None]], clock: Clock, logger: Logger, metrics: Metrics
) -> None:
    """Run a background task and restart it after a delay if it raises an exception.

    Without a restart, one unexpected response could end the task until the process is restarted:
    the process would continue to serve with a configuration that is no longer updated, unnoticed.
    A restart is safe because the task's state applies each input completely or not at all.
    """
    while True:
        try:
            await work()
            return
        except Exception as exc:
            metrics.drop("task_failed")
            logger.error("task_failed", task=name, error=repr(exc)[:500])
        await clock.async_sleep(RESTART_DELAY)
