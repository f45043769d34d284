"""Score a finished sample, waiting for a scorer that is out."""

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from result import Ok

from cranberryline.helpers.clock import Clock
from cranberryline.ports.model import ScorePort

__all__ = ["async_score_patiently"]

PAUSE_START = timedelta(milliseconds=100)
PAUSE_MOST = timedelta(seconds=5)


async def async_score_patiently(
    scorer: ScorePort,
    sample: dict[str, Any],
    clock: Clock,
    on_retry: Callable[[], None],
    wanted: Callable[[], bool],
) -> float | None:
    """Return a finite score, asking again as long as the sample is wanted; None when it is not.

    The tokens are made and paid for, so the sample waits instead of being made again. Its attempt
    keeps its place among those in flight, which also keeps a step from making more than the scorer
    can take.
    """
    pause = PAUSE_START
    while wanted():
        result = await scorer.async_score(sample)
        if isinstance(result, Ok) and math.isfinite(result.unwrap()):
            return result.unwrap()
        on_retry()
        await clock.async_sleep(pause)
        pause = min(pause * 2, PAUSE_MOST)
    return None
