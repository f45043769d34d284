"""Scoring of finished samples, with retries while the scorer is unavailable."""

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from result import Ok

from cranberryline.helpers.clock import Clock
from cranberryline.ports.model import ScorePort

__all__ = ["async_score_with_retry"]

INITIAL_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_DELAY = timedelta(seconds=5)


async def async_score_with_retry(
    scorer: ScorePort,
    sample: dict[str, Any],
    clock: Clock,
    on_retry: Callable[[], None],
    is_needed: Callable[[], bool],
) -> float | None:
    """Return a finite score, retrying with exponential back-off while `is_needed` returns True.

    Returns None once the sample is not needed. Retrying is cheaper than generating the tokens
    again. The attempt still counts as in flight meanwhile, so a step does not generate more samples
    than the scorer can process.
    """
    delay = INITIAL_RETRY_DELAY
    while is_needed():
        result = await scorer.async_score(sample)
        if isinstance(result, Ok) and math.isfinite(result.unwrap()):
            return result.unwrap()
        on_retry()
        await clock.async_sleep(delay)
        delay = min(delay * 2, MAX_RETRY_DELAY)
    return None
