"""Quarantine of requests that crash upstreams, and of requests that only ran at the same time."""

from datetime import timedelta
from random import Random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.crash_attribution import (
    CRASH_TTL,
    EARLY_TRIAL_DELAY,
    FIRST_TRIAL_DELAY,
    HELD_CRASH_TTL,
    HOLD_AFTER_CRASHES,
    MAX_CRASHES_PER_REQUEST,
    MAX_TRACKED_REQUESTS,
    SIMULTANEOUS_CRASH_WINDOW,
    CrashAttribution,
)
from cranberryline.decisions.recent_answers import ANSWER_TTL, MAX_RECENT_ANSWERS, RecentAnswers

NOW = timedelta(seconds=100)


def _crash(
    attribution: CrashAttribution, request: str, *upstreams: str, now: timedelta = NOW
) -> None:
    for upstream in upstreams:
        attribution.record_crash(request, upstream, now)


def test_request_is_held_after_three_crashes_and_not_after_two() -> None:
    """A request that was running during two unrelated crashes must still be served."""
    attribution = CrashAttribution()
    _crash(attribution, "r", "a", "b")
    assert attribution.hold("r") is None and "r" in attribution
    _crash(attribution, "r", "c")
    hold = attribution.hold("r")
    assert hold is not None and hold.upstreams == ("a", "b", "c")


def test_crash_of_one_upstream_counts_once() -> None:
    """Two gateways report the same crash, or one ran the request there twice."""
    attribution = CrashAttribution()
    assert attribution.record_crash("r", "a", NOW)
    assert not attribution.record_crash("r", "a", NOW)
    assert len(attribution.crashed_upstreams("r")) == 1


def test_request_that_ran_together_with_a_held_one_is_not_held() -> None:
    """It was retried on three upstreams, and another request crashed all of them."""
    attribution = CrashAttribution()
    _crash(attribution, "poison", "a", "b", "c", "d")
    _crash(attribution, "concurrent", "a", "b", "c")
    assert attribution.hold("poison") is not None
    assert attribution.hold("concurrent") is None


def test_request_with_crashes_of_its_own_is_held_although_it_ran_with_another() -> None:
    """Two requests that both crash upstreams must not excuse each other."""
    attribution = CrashAttribution()
    _crash(attribution, "first", "a", "b", "c", "d")
    _crash(attribution, "second", "a", "e", "f", "g")
    assert attribution.held_requests() == ["first", "second"]


def test_two_requests_with_the_same_crashes_both_get_an_early_trial() -> None:
    """The one that did not cause the crashes must run after one second instead of twenty."""
    attribution = CrashAttribution()
    _crash(attribution, "r", "a", "b", "c")
    _crash(attribution, "concurrent", "a", "b", "c")
    for request in ("r", "concurrent"):
        hold = attribution.hold(request)
        assert hold is not None and hold.trial_at == NOW + EARLY_TRIAL_DELAY
    attribution.clear("concurrent")
    hold = attribution.hold("r")
    assert hold is not None and hold.trial_at == NOW + FIRST_TRIAL_DELAY


def test_request_gets_an_early_trial_if_other_upstreams_crashed_at_the_same_time() -> None:
    """Many upstreams crash for another reason, and a request is retried on three of them."""
    attribution = CrashAttribution()
    for number, upstream in enumerate("abc"):
        at = NOW + timedelta(seconds=number)
        attribution.record_crash("r", upstream, at)
        attribution.record_crash(f"other-{number}", f"{upstream}2", at + SIMULTANEOUS_CRASH_WINDOW)
    hold = attribution.hold("r")
    assert hold is not None and hold.trial_at == NOW + timedelta(seconds=2) + EARLY_TRIAL_DELAY
    attribution.record_trial("r", 1, hold.trial_at)
    later = attribution.hold("r")
    assert later is not None and later.trial_at == hold.trial_at + FIRST_TRIAL_DELAY


@pytest.mark.parametrize("with_another", [False, True])
def test_failed_trials_become_less_frequent(with_another: bool) -> None:
    """A held request that keeps crashing upstreams gets at most two trials in two minutes."""
    attribution, trials = CrashAttribution(), 0
    _crash(attribution, "r", "a", "b", "c")
    if with_another:
        _crash(attribution, "other", "a", "b", "c")
    for tenth in range(1200):
        now = NOW + timedelta(seconds=tenth / 10)
        hold = attribution.hold("r")
        assert hold is not None
        if now >= hold.trial_at:
            trials += 1
            attribution.record_trial("r", hold.trials + 1, now)
            attribution.record_crash("r", f"trial-{trials}", now)
    assert trials == 1 + with_another


def test_answer_clears_all_crashes() -> None:
    """A request that was answered may run at once, and its crashes count from zero."""
    attribution = CrashAttribution()
    _crash(attribution, "r", "a", "b", "c")
    assert attribution.clear("r") == ("a", "b", "c")
    assert (
        attribution.hold("r") is None
        and len(attribution) == 0
        and not attribution._requests_by_upstream
    )
    _crash(attribution, "r", "d", "e")
    assert attribution.hold("r") is None


def test_crashes_expire() -> None:
    """Crashes of a suspected request expire after minutes, those of a held one after hours.

    Neither may leave any state behind.
    """
    attribution = CrashAttribution()
    _crash(attribution, "suspected", "a")
    _crash(attribution, "held", "a", "b", "c")
    assert attribution.expire(NOW + CRASH_TTL) == [("suspected", "a")]
    assert "suspected" not in attribution and attribution.hold("held") is not None
    assert len(attribution.expire(NOW + HELD_CRASH_TTL)) == HOLD_AFTER_CRASHES
    assert len(attribution) == 0 and not attribution._requests_by_upstream


def test_reported_age_of_a_crash_counts_towards_its_expiry() -> None:
    """A gateway that starts reads old crashes from the store.

    Their lifetime must count from the crash and not from the start of the gateway.
    """
    attribution = CrashAttribution()
    attribution.record_crash("r", "a", NOW, CRASH_TTL)
    assert attribution.expire(NOW) == [("r", "a")]


def test_memory_is_bounded_and_held_requests_are_evicted_last() -> None:
    """Many crashes must evict the requests with the fewest crashes, not the held ones."""
    attribution = CrashAttribution()
    _crash(attribution, "held", *(f"u{number}" for number in range(2 * MAX_CRASHES_PER_REQUEST)))
    for number in range(3 * MAX_TRACKED_REQUESTS):
        attribution.record_crash(f"r{number}", f"up{number}", NOW)
    assert len(attribution) == MAX_TRACKED_REQUESTS and attribution.hold("held") is not None
    assert len(attribution.crashed_upstreams("held")) == MAX_CRASHES_PER_REQUEST
    assert len(attribution._requests_by_upstream) <= MAX_TRACKED_REQUESTS + MAX_CRASHES_PER_REQUEST


_STEPS = st.tuples(
    st.sampled_from(("crash", "forget", "clear", "expire", "trial")),
    st.sampled_from("pqrs"),
    st.sampled_from("abcdef"),
)


@given(st.lists(_STEPS, max_size=60))
def test_crashes_by_request_and_by_upstream_agree(steps: list[tuple[str, str, str]]) -> None:
    """After some sequence of changes the two indexes differ, or the wrong requests are held.

    A request is held only with three crashes, and if any request has three, at least one is held.
    """
    attribution, now = CrashAttribution(), NOW
    for action, request, upstream in steps:
        now += timedelta(minutes=3)
        if action == "crash":
            attribution.record_crash(request, upstream, now)
        elif action == "forget":
            attribution.remove_crash(request, upstream)
        elif action == "clear":
            attribution.clear(request)
        elif action == "expire":
            attribution.expire(now)
        else:
            attribution.record_trial(request, 1, now)
        by_request = {
            (each, crashed) for each in "pqrs" for crashed in attribution.crashed_upstreams(each)
        }
        assert by_request == {
            (each, crashed)
            for crashed, requests in attribution._requests_by_upstream.items()
            for each in requests
        }
        assert all(
            len(attribution.crashed_upstreams(each)) >= HOLD_AFTER_CRASHES
            for each in attribution.held_requests()
        )
        suspected = [
            each
            for each in "pqrs"
            if len(attribution.crashed_upstreams(each)) >= HOLD_AFTER_CRASHES
        ]
        assert bool(attribution.held_requests()) == bool(suspected)


def test_recent_answers_are_limited_in_number_and_age() -> None:
    """Only the newest answers are stored, for one minute."""
    recent = RecentAnswers()
    recent.record("r", NOW)
    assert recent.contains("r", NOW + ANSWER_TTL / 2) and not recent.contains("r", NOW + ANSWER_TTL)
    for number in range(2 * MAX_RECENT_ANSWERS):
        recent.record(f"r{number}", NOW)
    assert not recent.contains("r", NOW) and len(recent._answered_at) == MAX_RECENT_ANSWERS


@attrs.define
class _Service:
    """Simulates upstreams that a request crashes and that restart four seconds later.

    The simulation takes a minute in steps of 50 ms. The request that crashes upstreams ("poison")
    is sent to two upstreams each time. Other requests take one step and are retried on other
    upstreams after a crash; some upstreams crash for other reasons.
    """

    attribution: CrashAttribution | None
    rng: Random
    upstreams: int = 12
    down: dict[str, int] = attrs.field(factory=dict)
    starts: int = 0
    crashes: int = 0
    served: int = 0
    unserved: int = 0

    def up(self, step: int) -> list[str]:
        """Return the upstreams that are running at a step, after restarting those that are due."""
        for name, restart_at in list(self.down.items()):
            if step >= restart_at:
                del self.down[name]
                self.starts += 1
        return [f"u{n}" for n in range(self.upstreams) if f"u{n}" not in self.down]

    def may_run(self, request: str, step: int) -> bool:
        """Return whether a request may run at a step."""
        if self.attribution is None or (hold := self.attribution.hold(request)) is None:
            return True
        now = _time_of(step)
        if now < hold.trial_at:
            return False
        self.attribution.record_trial(request, hold.trials + 1, now)
        return True

    def crash(self, name: str, running: list[str], step: int) -> None:
        """Crash an upstream while the given requests run there."""
        self.down[name] = step + 80
        self.crashes += 1
        for request in running:
            if self.attribution is not None:
                self.attribution.record_crash(request, f"{name}@{self.starts}", _time_of(step))

    def simulate(self) -> None:
        """Simulate one minute."""
        waiting: list[str] = []
        for step in range(1200):
            waiting += [f"r{step}-{n}" for n in range(self.rng.randrange(3))]
            up = self.up(step)
            placed: dict[str, list[str]] = {name: [] for name in up}
            unserved = []
            for request in waiting:
                if up and self.may_run(request, step):
                    placed[self.rng.choice(up)].append(request)
                else:
                    unserved.append(request)
            crashing = set()
            if step % 6 == 0 and up and self.may_run("poison", step):
                for name in self.rng.sample(up, min(2, len(up))):
                    placed[name].append("poison")
                    crashing.add(name)
            if step % 200 == 0 and up:
                crashing.add(self.rng.choice(up))
            for name, running in placed.items():
                if name in crashing:
                    self.crash(name, running, step)
                    unserved += [request for request in running if request != "poison"]
                    continue
                self.served += len(running)
                for request in running if self.attribution is not None else ():
                    self.attribution.clear(request)
            waiting = unserved
        self.unserved = len(waiting)


def _time_of(step: int) -> timedelta:
    return NOW + timedelta(milliseconds=50) * step


@pytest.mark.parametrize("seed", range(20))
def test_service_survives_a_request_that_crashes_its_upstreams(seed: int) -> None:
    """A request that crashes every upstream is sent three times a second, together with others.

    Without the quarantine the service loses upstreams as fast as they restart. With it, 6 crashes
    have other causes, 3 lead to the quarantine, and at most 4 more come from copies and trials of
    the request; the requests that ran at the same time are served.
    """
    without_quarantine, with_quarantine = _Service(None, Random(seed)), _Service(
        CrashAttribution(), Random(seed)
    )
    without_quarantine.simulate()
    with_quarantine.simulate()
    assert without_quarantine.crashes > 100
    assert with_quarantine.crashes <= 6 + HOLD_AFTER_CRASHES + 4
    assert with_quarantine.unserved <= 3
