"""Keep a task of a long-lived process running."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import Logger
from cranberryline.helpers.metrics import Metrics

__all__ = ["async_keep_running"]

RESTART_PAUSE = timedelta(seconds=1)


async def async_keep_running(
    name: str, work: Callable[[], Awaitable[None]], clock: Clock, logger: Logger, metrics: Metrics
) -> None:
    """Run a task that never ends; run it again if it fails.

    A defect met in one odd answer would otherwise end the task for the rest of the process's life:
    it would serve on with a configuration that no longer changes, and nobody is there to see it.
    The state that the task works on takes each input whole or not at all, so it can go on from it.
    """
    while True:
        try:
            await work()
            return
        except Exception as exc:
            metrics.drop("task_failed")
            logger.error("task_failed", task=name, error=repr(exc)[:500])
        await clock.async_sleep(RESTART_PAUSE)
