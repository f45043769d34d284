"""What the making of samples needs from the process around it."""

import abc
from collections.abc import Callable, Sequence
from datetime import timedelta

import attrs
from result import Result

from cranberryline.configs.const import DEFAULT_FRESHNESS

from .errors import DiscardReason
from .model import Completion, SampleId

__all__ = [
    "DispatchError",
    "HedgePolicy",
    "RolloutConfig",
    "RolloutLimits",
    "RunningSample",
    "SampleDispatch",
    "SampleRequest",
]


@attrs.frozen
class SampleRequest:
    """One attempt at one sample; `avoid` names upstreams that make the same sample already."""

    service: str
    prompt: str
    max_tokens: int
    sample_id: str
    attempt: str
    avoid: frozenset[str] = frozenset()


@attrs.frozen
class DispatchError:
    """An attempt that gave no sample; `retry_after` is the refuser's own word."""

    reason: DiscardReason
    detail: str = ""
    retry_after: timedelta | None = None


class SampleDispatch(abc.ABC):
    """Run completions on the engines of a service."""

    @abc.abstractmethod
    async def async_complete(
        self, req: SampleRequest, on_dispatched: Callable[[str], None]
    ) -> Result[Completion, DispatchError]:
        """Return a whole, attributed completion; cancelling the call cancels the work.

        `on_dispatched` is told the upstream as soon as it is chosen, so that a hedge avoids it.
        """


@attrs.frozen
class RolloutLimits:
    """What the configuration in force says about a trainer."""

    newest_version: int
    staleness_bound: int
    max_in_flight: int
    freshness: float = DEFAULT_FRESHNESS


class RolloutConfig(abc.ABC):
    """Look up the configuration in force."""

    @abc.abstractmethod
    def limits(self, trainer: str, service: str) -> RolloutLimits | None:
        """Return a trainer's limits, or None when the trainer or its service is not configured."""


@attrs.frozen
class RunningSample:
    """A sample in the making, as a hedging policy sees it."""

    id: SampleId
    elapsed: timedelta


class HedgePolicy(abc.ABC):
    """Choose the stragglers that are started a second time."""

    @abc.abstractmethod
    def pick(
        self, running: Sequence[RunningSample], finished: Sequence[timedelta], room: int
    ) -> list[SampleId]:
        """Return the samples to hedge, given how long finished ones of the step took."""
