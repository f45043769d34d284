"""Passive health checks: reduce the weight of a failing upstream and restore it gradually."""

from datetime import timedelta

import attrs

from .const import ZERO

__all__ = ["HealthPolicy", "HealthState", "HealthView"]

# Four consecutive failures reduce the weight to a sixteenth, so that routing hardly ever selects
# the upstream.
FAILURE_FACTOR = 0.5
# A full recovery takes twelve successes: an upstream that gets all of its traffic back after the
# first success is overloaded again.
RECOVERY_STEP = 0.08
# At or below this weight the upstream gets no requests except probes.
MIN_WEIGHT = 0.07
FIRST_PROBE_INTERVAL = timedelta(seconds=1)
# An unreachable upstream costs one failed attempt in 30 s.
MAX_PROBE_INTERVAL = timedelta(seconds=30)


@attrs.frozen
class HealthState:
    """Health of one upstream, as derived from the outcomes of its requests.

    `probe_at` is the earliest time of the next probe, `failed_at` the time of the last failure that
    was counted.
    """

    weight: float = 1.0
    probe_interval: timedelta = FIRST_PROBE_INTERVAL
    probe_at: timedelta = ZERO
    failed_at: timedelta | None = None


@attrs.frozen
class HealthView:
    """Health as routing uses it: a weight from 0 to 1, and whether a probe is due."""

    weight: float = 1.0
    probe_due: bool = False

    @property
    def usable(self) -> bool:
        """Return whether the upstream may be selected."""
        return self.weight > 0 or self.probe_due


@attrs.frozen
class HealthPolicy:
    """Updates the health of an upstream after each outcome, with back-off between probes.

    Least-outstanding routing prefers an upstream that fails immediately, because its requests never
    stay outstanding: one broken upstream of eight then receives most of the requests. Failures that
    say nothing about the upstream (its queue rejected the request, or the caller cancelled) must
    not be recorded. Speed is not considered here: routing divides by the measured rate.
    """

    failure_factor: float = FAILURE_FACTOR
    recovery_step: float = RECOVERY_STEP
    min_weight: float = MIN_WEIGHT
    max_probe_interval: timedelta = MAX_PROBE_INTERVAL

    def succeeded(self, state: HealthState) -> HealthState:
        """Return the state after a successful request."""
        weight = min(1.0, max(state.weight, self.min_weight) + self.recovery_step)
        return HealthState(weight, failed_at=state.failed_at)

    def failed(
        self, state: HealthState, now: timedelta, sent: timedelta | None = None
    ) -> HealthState:
        """Return the state after a failed request that was sent to the upstream at `sent`.

        A crash or a lost connection fails all requests in flight at once. If each of them counted,
        thirty requests would raise the probe interval to its maximum, so failures of requests that
        were sent before the last counted failure are ignored.
        """
        if sent is not None and state.failed_at is not None and sent <= state.failed_at:
            return state
        weight = state.weight * self.failure_factor
        if weight > self.min_weight:
            return HealthState(weight, failed_at=now)
        interval = state.probe_interval
        if state.weight <= self.min_weight:
            interval = min(interval * 2, self.max_probe_interval)
        return HealthState(weight, interval, now + interval, now)

    def probed(self, state: HealthState, now: timedelta) -> HealthState:
        """Return the state after a probe was sent, which defers the next probe by one interval."""
        return attrs.evolve(state, probe_at=now + state.probe_interval)

    def is_failing(self, state: HealthState) -> bool:
        """Return whether the upstream gets no requests except probes."""
        return state.weight <= self.min_weight

    def view(self, state: HealthState, now: timedelta) -> HealthView:
        """Return the health as routing uses it."""
        if not self.is_failing(state):
            return HealthView(state.weight)
        return HealthView(0.0, probe_due=now >= state.probe_at)
