"""Decide which requests are held because upstreams crash while they run them.

Load answered: a request that crashes each upstream that begins to run it, and that its caller repeats at
any gateway. Judged one attempt at a time, each repetition and each copy takes another upstream along, until
a service has none left for anybody.

A request is held once `HELD_AFTER` upstreams have crashed under it. Beside it run others, which must be
served: a crash is not counted against a request while another one that was there is held and is blamed for
more crashes, and one answer clears a request of everything. A request that is held cannot be answered, so
it gets a trial of one run, first after `FIRST_TRIAL` and then ever more seldom. Where the crashes may have
another cause the first trial comes after `EARLY_TRIAL`: another request was at all the same upstreams, or
another upstream crashed at about the same time, without this request.

What is known ends by itself: crashes under a request that was never held after `SUSPECTED_FOR`, those of a
held one after `HELD_FOR`. More than `MAX_REQUESTS` are not remembered; the least blamed and oldest go first.
"""

from collections import OrderedDict
from datetime import timedelta

import attrs

from .const import ZERO

__all__ = ["HELD_AFTER", "CrashBlame", "Hold"]

HELD_AFTER = 3
EARLY_TRIAL = timedelta(seconds=1)
TOGETHER = timedelta(milliseconds=500)
FIRST_TRIAL = timedelta(seconds=20)
TRIAL_GROWTH = 20
MAX_GROWTHS = 5
MAX_TRIAL = timedelta(hours=1)
SUSPECTED_FOR = timedelta(minutes=10)
HELD_FOR = timedelta(hours=6)
MAX_REQUESTS = 1000
MAX_CRASHES = 16


@attrs.frozen
class Hold:
    """A request that is held: the upstreams that crashed under it, and when its next trial is due."""

    upstreams: tuple[str, ...]
    trials: int
    trial_at: timedelta


@attrs.define
class _Suspect:
    """The crashes under one request, by upstream, each with the moment on which its age counts."""

    crashes: dict[str, timedelta] = attrs.field(factory=dict)
    trials: int = 0
    early_trials: int = 0
    newest: timedelta = ZERO


class CrashBlame:
    """What is known of crashes, by the request that ran and by the upstream; requests go by fingerprint."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._at: dict[str, set[str]] = {}
        self._when: dict[str, timedelta] = {}

    def __len__(self) -> int:
        """Count the requests under which an upstream has crashed."""
        return len(self._suspects)

    def __contains__(self, request: str) -> bool:
        """Tell whether an upstream has crashed under a request."""
        return request in self._suspects

    def crashes(self, request: str) -> tuple[str, ...]:
        """Return the upstreams that crashed under a request."""
        suspect = self._suspects.get(request)
        return () if suspect is None else tuple(suspect.crashes)

    def crashed(self, request: str, upstream: str, now: timedelta, age: timedelta = ZERO) -> bool:
        """Note that an upstream crashed under a request `age` ago; False if nothing is new in that."""
        suspect = self._suspects.get(request)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[request] = _Suspect()
        if upstream in suspect.crashes or len(suspect.crashes) >= MAX_CRASHES:
            return False
        suspect.crashes[upstream] = now - age
        suspect.newest = now
        self._at.setdefault(upstream, set()).add(request)
        self._when.setdefault(upstream, now - age)
        return True

    def tried(self, request: str, trials: int, now: timedelta) -> None:
        """Note that a held request gets its trial of that number."""
        suspect = self._suspects.get(request)
        if suspect is None or trials <= suspect.trials:
            return
        suspect.early_trials = int(self._early(request, suspect)) or suspect.early_trials
        suspect.trials, suspect.newest = trials, now

    def forget(self, request: str, upstream: str) -> None:
        """Take one crash back."""
        suspect = self._suspects.get(request)
        if suspect is None or suspect.crashes.pop(upstream, None) is None:
            return
        self._leave(request, upstream)
        if not suspect.crashes:
            del self._suspects[request]

    def clear(self, request: str) -> tuple[str, ...]:
        """Forget all crashes under a request, and return the upstreams."""
        suspect = self._suspects.pop(request, None)
        if suspect is None:
            return ()
        for upstream in suspect.crashes:
            self._leave(request, upstream)
        return tuple(suspect.crashes)

    def hold(self, request: str) -> Hold | None:
        """Return how a request is held, None if it may run."""
        suspect = self._suspects.get(request)
        if suspect is None or self._counted(request, suspect) < HELD_AFTER:
            return None
        delay = EARLY_TRIAL if self._early(request, suspect) else _trial_delay(suspect)
        trial_at = suspect.newest + delay
        return Hold(tuple(suspect.crashes), suspect.trials, trial_at)

    def held(self) -> list[str]:
        """Return the requests that are held."""
        return [request for request in self._suspects if self.hold(request) is not None]

    def expire(self, now: timedelta) -> list[tuple[str, str]]:
        """Forget what is too old, and return it as pairs of request and upstream."""
        old = [
            (request, upstream)
            for request, suspect in self._suspects.items()
            for upstream, at in suspect.crashes.items()
            if now - at >= (HELD_FOR if len(suspect.crashes) >= HELD_AFTER else SUSPECTED_FOR)
        ]
        for request, upstream in old:
            self.forget(request, upstream)
        return old

    def _counted(self, request: str, suspect: _Suspect) -> int:
        """Count the crashes under a request that nothing else explains."""
        blamed = len(suspect.crashes)
        if blamed < HELD_AFTER:
            return blamed
        return sum(not self._explained(upstream, blamed) for upstream in suspect.crashes)

    def _explained(self, upstream: str, blamed: int) -> bool:
        most = max(len(self._suspects[other].crashes) for other in self._at[upstream])
        return most > max(blamed, HELD_AFTER - 1)

    def _early(self, request: str, suspect: _Suspect) -> bool:
        """Tell whether the next trial is the first one, and something else may have caused the crashes."""
        if suspect.trials or not suspect.crashes:
            return False
        shared = set.intersection(*(self._at[upstream] for upstream in suspect.crashes))
        if shared - {request}:
            return True
        return any(self._others_near(upstream, suspect) for upstream in suspect.crashes)

    def _others_near(self, upstream: str, suspect: _Suspect) -> bool:
        """Tell whether an upstream crashed together with another at which the suspect was not."""
        when = self._when[upstream]
        return any(
            abs(at - when) <= TOGETHER and other not in suspect.crashes
            for other, at in self._when.items()
        )

    def _leave(self, request: str, upstream: str) -> None:
        there = self._at[upstream]
        there.discard(request)
        if not there:
            del self._at[upstream]
            del self._when[upstream]

    def _make_room(self) -> None:
        if len(self._suspects) < MAX_REQUESTS:
            return
        least = min(self._suspects, key=lambda request: len(self._suspects[request].crashes))
        self.clear(least)


def _trial_delay(suspect: _Suspect) -> timedelta:
    growths = min(suspect.trials - suspect.early_trials, MAX_GROWTHS)
    return min(FIRST_TRIAL * TRIAL_GROWTH**growths, MAX_TRIAL)
