"""Engines that rejected or failed texts lately, as gateways reported them."""

from datetime import timedelta

import attrs

from .const import FAILED_LONGEST, FAILED_SHORTEST, MAX_ROWS, REJECTED_FOR

__all__ = ["EngineOutages"]


@attrs.define
class _Outage:
    until: timedelta
    length: timedelta


class EngineOutages:
    """Which engines get no texts for a while, and which no texts of one model."""

    def __init__(self) -> None:
        self._rejected: dict[tuple[str, str], timedelta] = {}
        self._failed: dict[str, _Outage] = {}

    def record_rejected(self, engine: str, model: str, now: timedelta) -> None:
        """Record that an engine did not take a text of a model."""
        self._expire(now)
        if len(self._rejected) < MAX_ROWS:
            self._rejected[engine, model] = now + REJECTED_FOR

    def record_failed(self, engine: str, now: timedelta) -> None:
        """Record a failure; several that are reported within one outage count as one."""
        outage = self._failed.get(engine)
        if outage is None:
            if len(self._failed) < MAX_ROWS:
                self._failed[engine] = _Outage(now + FAILED_SHORTEST, FAILED_SHORTEST)
            return
        if now < outage.until:
            return
        outage.length = min(2 * outage.length, FAILED_LONGEST)
        outage.until = now + outage.length

    def record_running(self, engine: str) -> None:
        """Record that an engine generates texts, which ends its outage."""
        self._failed.pop(engine, None)

    def is_out(self, engine: str, now: timedelta) -> bool:
        """Return whether an engine gets no texts at all."""
        outage = self._failed.get(engine)
        return outage is not None and now < outage.until

    def rejected(self, now: timedelta) -> set[tuple[str, str]]:
        """Return the pairs of engine and model that are out of choice."""
        self._expire(now)
        return set(self._rejected)

    def forget_except(self, engines: frozenset[str]) -> None:
        """Forget the failures of engines that are not listed any more."""
        for engine in self._failed.keys() - engines:
            del self._failed[engine]

    def _expire(self, now: timedelta) -> None:
        """Remove the rejections whose time is over."""
        for pair in [pair for pair, until in self._rejected.items() if until <= now]:
            del self._rejected[pair]
