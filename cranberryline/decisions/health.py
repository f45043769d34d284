"""Draw down an upstream that fails, and probe it back gently.

Load answered: an upstream that fails quickly or crawls. Least-outstanding routing is drawn to an
upstream that fails at once, since its work never stays outstanding: one broken upstream of eight
then takes most of the requests. Sending it everything again at the first success is as bad: it
falls over anew.

Each failure halves the weight, so four in a row leave a sixteenth and routing hardly chooses it;
below `MIN_WEIGHT` nothing but one probe an interval goes there, and the interval doubles to
`MAX_PROBE_INTERVAL`, so a dead upstream costs one attempt in 30 s. Each success while drawn down
adds `RECOVERY_STEP`, so the way back takes a dozen good answers. A failure that says nothing of
the upstream (a refusal by its queue, a caller's cancel) must not be observed here.

How fast an upstream works is not judged here: `routing` divides by its measured rate.
"""

from datetime import timedelta

import attrs

from .const import ZERO

__all__ = ["HealthPolicy", "HealthState", "HealthView"]

FAILURE_FACTOR = 0.5
RECOVERY_STEP = 0.08
MIN_WEIGHT = 0.07
FIRST_PROBE_INTERVAL = timedelta(seconds=1)
MAX_PROBE_INTERVAL = timedelta(seconds=30)


@attrs.frozen
class HealthState:
    """What is remembered of an upstream's answers."""

    weight: float = 1.0
    probe_interval: timedelta = FIRST_PROBE_INTERVAL
    probe_at: timedelta = ZERO
    failed_at: timedelta | None = None


@attrs.frozen
class HealthView:
    """What routing needs: a weight from 0 to 1, and whether a probe is due."""

    weight: float = 1.0
    probe_due: bool = False

    @property
    def usable(self) -> bool:
        """Return whether the upstream may be chosen at all."""
        return self.weight > 0 or self.probe_due


@attrs.frozen
class HealthPolicy:
    """How answers change an upstream's health."""

    failure_factor: float = FAILURE_FACTOR
    recovery_step: float = RECOVERY_STEP
    min_weight: float = MIN_WEIGHT
    max_probe_interval: timedelta = MAX_PROBE_INTERVAL

    def succeeded(self, state: HealthState) -> HealthState:
        """Return the state after a good answer."""
        weight = min(1.0, max(state.weight, self.min_weight) + self.recovery_step)
        return HealthState(weight, failed_at=state.failed_at)

    def failed(
        self, state: HealthState, now: timedelta, sent: timedelta | None = None
    ) -> HealthState:
        """Return the state after a failure of the upstream; `sent` is when the work went there.

        One crash or lost connection fails all that was on it at once. Counted one by one, thirty
        requests would put the upstream on the longest probe interval, so work that was sent before
        the last failure that counted says nothing new.
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
        """Return the state after a probe was sent, so that no second one goes with it."""
        return attrs.evolve(state, probe_at=now + state.probe_interval)

    def view(self, state: HealthState, now: timedelta) -> HealthView:
        """Return what routing needs to know."""
        if state.weight > self.min_weight:
            return HealthView(state.weight)
        return HealthView(0.0, probe_due=now >= state.probe_at)
