"""Interfaces that the process has to implement to generate samples."""

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
    """One attempt to generate a sample.

    `avoid` are the upstreams where other attempts at the sample are running or have failed.
    """

    service: str
    prompt: str
    max_tokens: int
    sample_id: str
    attempt: str
    avoid: frozenset[str] = frozenset()


@attrs.frozen
class DispatchError:
    """A failed attempt; `retry_after` is the delay requested by whoever rejected it."""

    reason: DiscardReason
    detail: str = ""
    retry_after: timedelta | None = None


class SampleDispatch(abc.ABC):
    """Runs completions on the engines of a service."""

    @abc.abstractmethod
    async def async_complete(
        self, req: SampleRequest, on_dispatched: Callable[[str], None]
    ) -> Result[Completion, DispatchError]:
        """Return a complete and attributed completion; cancelling the call cancels the request.

        `on_dispatched` is called with the name of the upstream as soon as it is selected, so that a
        hedge can avoid it.
        """


@attrs.frozen
class RolloutLimits:
    """Limits of a trainer in the current configuration.

    `staleness_bound` is in versions; `freshness` ranges from 0 to 1 (see `RolloutSettings`).
    """

    newest_version: int
    staleness_bound: int
    max_in_flight: int
    freshness: float = DEFAULT_FRESHNESS


class RolloutConfig(abc.ABC):
    """Provides the current configuration."""

    @abc.abstractmethod
    def limits(self, trainer: str, service: str) -> RolloutLimits | None:
        """Return the limits of a trainer, or None if it or its service is not configured."""


@attrs.frozen
class RunningSample:
    """A running sample, as seen by a hedging policy."""

    id: SampleId
    elapsed: timedelta


class HedgePolicy(abc.ABC):
    """Selects the stragglers to start a second time."""

    @abc.abstractmethod
    def pick(
        self, running: Sequence[RunningSample], finished: Sequence[timedelta], free_slots: int
    ) -> list[SampleId]:
        """Return the samples to hedge, at most `free_slots`.

        `finished` are the durations of the latest finished samples of the step.
        """
