"""Attribution of upstream crashes to requests, and quarantine of requests that cause them."""

from collections import OrderedDict
from datetime import timedelta

import attrs

from .const import ZERO

__all__ = ["HOLD_AFTER_CRASHES", "CrashAttribution", "Hold"]

HOLD_AFTER_CRASHES = 3
EARLY_TRIAL_DELAY = timedelta(seconds=1)
SIMULTANEOUS_CRASH_WINDOW = timedelta(milliseconds=500)
FIRST_TRIAL_DELAY = timedelta(seconds=20)
TRIAL_DELAY_FACTOR = 20
MAX_TRIAL_DELAY_STEPS = 5
MAX_TRIAL_DELAY = timedelta(hours=1)
CRASH_TTL = timedelta(minutes=10)
HELD_CRASH_TTL = timedelta(hours=6)
MAX_TRACKED_REQUESTS = 1000
MAX_CRASHES_PER_REQUEST = 16


@attrs.frozen
class Hold:
    """Quarantine of a request: the upstreams that crashed, and the time of its next trial run."""

    upstreams: tuple[str, ...]
    trials: int
    trial_at: timedelta


@attrs.define
class _CrashHistory:
    """Crashes under one request: their times by upstream, and the trial runs so far.

    `updated_at` is the time of the last crash report or trial, from which the delay of the next
    trial counts.
    """

    crashes: dict[str, timedelta] = attrs.field(factory=dict)
    trials: int = 0
    early_trials: int = 0
    updated_at: timedelta = ZERO


class CrashAttribution:
    """Counts the upstreams that crashed under each request and quarantines requests.

    A request that crashes every upstream that runs it, and that its caller resends through any
    gateway, would take down all upstreams of a service if each attempt were judged alone. It is
    held (quarantined) once `HOLD_AFTER_CRASHES` upstreams have crashed under it.

    Requests that ran at the same time must still be served. A crash does not count against a
    request if another request that ran there is held and has more crashes, and one answer clears a
    request. A held request cannot be answered, so single trial runs are permitted: the first after
    `FIRST_TRIAL_DELAY`, later ones after increasing delays. The first one is permitted after
    `EARLY_TRIAL_DELAY` if the crashes may have another cause: another request ran on all the same
    upstreams, or an upstream that did not run this request crashed at about the same time.

    Crashes expire after `CRASH_TTL`, those of held requests after `HELD_CRASH_TTL`. At most
    `MAX_TRACKED_REQUESTS` requests are stored; those with the fewest crashes are evicted first, the
    oldest before the others. Requests are identified by their fingerprints.
    """

    def __init__(self) -> None:
        self._histories: OrderedDict[str, _CrashHistory] = OrderedDict()
        self._requests_by_upstream: dict[str, set[str]] = {}
        self._crashed_at: dict[str, timedelta] = {}

    def __len__(self) -> int:
        """Return the number of requests under which an upstream has crashed."""
        return len(self._histories)

    def __contains__(self, request: str) -> bool:
        """Return whether an upstream has crashed under a request."""
        return request in self._histories

    def crashed_upstreams(self, request: str) -> tuple[str, ...]:
        """Return the upstreams that crashed under a request."""
        history = self._histories.get(request)
        return () if history is None else tuple(history.crashes)

    def record_crash(
        self, request: str, upstream: str, now: timedelta, age: timedelta = ZERO
    ) -> bool:
        """Record that an upstream crashed under a request `age` ago; return whether this is new."""
        history = self._histories.get(request)
        if history is None:
            self._evict_if_full()
            history = self._histories[request] = _CrashHistory()
        if upstream in history.crashes or len(history.crashes) >= MAX_CRASHES_PER_REQUEST:
            return False
        history.crashes[upstream] = now - age
        history.updated_at = now
        self._requests_by_upstream.setdefault(upstream, set()).add(request)
        self._crashed_at.setdefault(upstream, now - age)
        return True

    def record_trial(self, request: str, trials: int, now: timedelta) -> None:
        """Record the start of a trial run; `trials` counts the trials up to and including it."""
        history = self._histories.get(request)
        if history is None or trials <= history.trials:
            return
        history.early_trials = int(self._trial_is_early(request, history)) or history.early_trials
        history.trials, history.updated_at = trials, now

    def remove_crash(self, request: str, upstream: str) -> None:
        """Remove one crash."""
        history = self._histories.get(request)
        if history is None or history.crashes.pop(upstream, None) is None:
            return
        self._remove_from_upstream(request, upstream)
        if not history.crashes:
            del self._histories[request]

    def clear(self, request: str) -> tuple[str, ...]:
        """Remove all crashes of a request, and return their upstreams."""
        history = self._histories.pop(request, None)
        if history is None:
            return ()
        for upstream in history.crashes:
            self._remove_from_upstream(request, upstream)
        return tuple(history.crashes)

    def hold(self, request: str) -> Hold | None:
        """Return the quarantine of a request, or None if the request may run."""
        history = self._histories.get(request)
        if history is None or self._count_unexplained(request, history) < HOLD_AFTER_CRASHES:
            return None
        delay = (
            EARLY_TRIAL_DELAY if self._trial_is_early(request, history) else _trial_delay(history)
        )
        trial_at = history.updated_at + delay
        return Hold(tuple(history.crashes), history.trials, trial_at)

    def held_requests(self) -> list[str]:
        """Return the requests that are held."""
        return [request for request in self._histories if self.hold(request) is not None]

    def expire(self, now: timedelta) -> list[tuple[str, str]]:
        """Remove the crashes that are too old, and return them as pairs of request and upstream."""
        expired = [
            (request, upstream)
            for request, history in self._histories.items()
            for upstream, at in history.crashes.items()
            if now - at
            >= (HELD_CRASH_TTL if len(history.crashes) >= HOLD_AFTER_CRASHES else CRASH_TTL)
        ]
        for request, upstream in expired:
            self.remove_crash(request, upstream)
        return expired

    def _count_unexplained(self, request: str, history: _CrashHistory) -> int:
        """Return the number of crashes that no other request explains."""
        crashes = len(history.crashes)
        if crashes < HOLD_AFTER_CRASHES:
            return crashes
        return sum(not self._is_explained(upstream, crashes) for upstream in history.crashes)

    def _is_explained(self, upstream: str, crashes: int) -> bool:
        """Return whether a request with more crashes ran on an upstream when it crashed."""
        most = max(
            len(self._histories[other].crashes) for other in self._requests_by_upstream[upstream]
        )
        return most > max(crashes, HOLD_AFTER_CRASHES - 1)

    def _trial_is_early(self, request: str, history: _CrashHistory) -> bool:
        """Return whether the next trial is the first and the crashes may have another cause."""
        if history.trials or not history.crashes:
            return False
        shared = set.intersection(
            *(self._requests_by_upstream[upstream] for upstream in history.crashes)
        )
        if shared - {request}:
            return True
        return any(self._crashed_with_others(upstream, history) for upstream in history.crashes)

    def _crashed_with_others(self, upstream: str, history: _CrashHistory) -> bool:
        """Return whether an upstream that did not run the request crashed at about that time."""
        crashed_at = self._crashed_at[upstream]
        return any(
            abs(at - crashed_at) <= SIMULTANEOUS_CRASH_WINDOW and other not in history.crashes
            for other, at in self._crashed_at.items()
        )

    def _remove_from_upstream(self, request: str, upstream: str) -> None:
        requests = self._requests_by_upstream[upstream]
        requests.discard(request)
        if not requests:
            del self._requests_by_upstream[upstream]
            del self._crashed_at[upstream]

    def _evict_if_full(self) -> None:
        if len(self._histories) < MAX_TRACKED_REQUESTS:
            return
        fewest = min(self._histories, key=lambda request: len(self._histories[request].crashes))
        self.clear(fewest)


def _trial_delay(history: _CrashHistory) -> timedelta:
    steps = min(history.trials - history.early_trials, MAX_TRIAL_DELAY_STEPS)
    return min(FIRST_TRIAL_DELAY * TRIAL_DELAY_FACTOR**steps, MAX_TRIAL_DELAY)
