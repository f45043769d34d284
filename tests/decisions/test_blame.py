"""Requests under which upstreams crash: which is held, for how long, and which only ran beside."""

from datetime import timedelta
from random import Random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.blame import (
    EARLY_TRIAL,
    FIRST_TRIAL,
    HELD_AFTER,
    HELD_FOR,
    MAX_CRASHES,
    MAX_REQUESTS,
    SUSPECTED_FOR,
    TOGETHER,
    CrashBlame,
)
from cranberryline.decisions.recent import ANSWERED_FOR, MAX_ANSWERED, RecentAnswers

NOW = timedelta(seconds=100)


def _blamed(blame: CrashBlame, request: str, *upstreams: str, now: timedelta = NOW) -> None:
    for upstream in upstreams:
        blame.crashed(request, upstream, now)


def test_three_upstreams_make_a_hold_and_two_do_not() -> None:
    """A request that met two crashes by chance is served still."""
    blame = CrashBlame()
    _blamed(blame, "r", "a", "b")
    assert blame.hold("r") is None and "r" in blame
    _blamed(blame, "r", "c")
    hold = blame.hold("r")
    assert hold is not None and hold.upstreams == ("a", "b", "c")


def test_one_upstream_counts_once_however_many_tell_of_it() -> None:
    """Two gateways had the request there, or one had a copy of it."""
    blame = CrashBlame()
    assert blame.crashed("r", "a", NOW)
    assert not blame.crashed("r", "a", NOW)
    assert len(blame.crashes("r")) == 1


def test_a_request_that_ran_beside_a_held_one_is_not_held() -> None:
    """Repeated from one crashing upstream to the next, it has met three crashes, all of them another's."""
    blame = CrashBlame()
    _blamed(blame, "poison", "a", "b", "c", "d")
    _blamed(blame, "beside", "a", "b", "c")
    assert blame.hold("poison") is not None
    assert blame.hold("beside") is None


def test_crashes_of_its_own_hold_a_request_that_also_ran_beside_another() -> None:
    """Two requests that both crash upstreams do not hide behind each other."""
    blame = CrashBlame()
    _blamed(blame, "first", "a", "b", "c", "d")
    _blamed(blame, "second", "a", "e", "f", "g")
    assert blame.held() == ["first", "second"]


def test_of_two_that_cannot_be_told_apart_both_get_an_early_trial() -> None:
    """The innocent one of the two is back in a second, not in twenty."""
    blame = CrashBlame()
    _blamed(blame, "r", "a", "b", "c")
    _blamed(blame, "beside", "a", "b", "c")
    for request in ("r", "beside"):
        hold = blame.hold(request)
        assert hold is not None and hold.trial_at == NOW + EARLY_TRIAL
    blame.clear("beside")
    hold = blame.hold("r")
    assert hold is not None and hold.trial_at == NOW + FIRST_TRIAL


def test_crashes_beside_others_get_an_early_trial() -> None:
    """Upstreams crash in numbers by a cause of their own, and a request moves from one to the next."""
    blame = CrashBlame()
    for number, upstream in enumerate("abc"):
        at = NOW + timedelta(seconds=number)
        blame.crashed("r", upstream, at)
        blame.crashed(f"other-{number}", f"{upstream}2", at + TOGETHER)
    hold = blame.hold("r")
    assert hold is not None and hold.trial_at == NOW + timedelta(seconds=2) + EARLY_TRIAL
    blame.tried("r", 1, hold.trial_at)
    later = blame.hold("r")
    assert later is not None and later.trial_at == hold.trial_at + FIRST_TRIAL


@pytest.mark.parametrize("beside", [False, True])
def test_trials_that_crash_grow_seldom(beside: bool) -> None:
    """In the two minutes after a hold a request that goes on crashing gets two trials at the most."""
    blame, trials = CrashBlame(), 0
    _blamed(blame, "r", "a", "b", "c")
    if beside:
        _blamed(blame, "other", "a", "b", "c")
    for tenth in range(1200):
        now = NOW + timedelta(seconds=tenth / 10)
        hold = blame.hold("r")
        assert hold is not None
        if now >= hold.trial_at:
            trials += 1
            blame.tried("r", hold.trials + 1, now)
            blame.crashed("r", f"trial-{trials}", now)
    assert trials == 1 + beside


def test_an_answer_clears_all() -> None:
    """What was answered is run again at once, and counted from none."""
    blame = CrashBlame()
    _blamed(blame, "r", "a", "b", "c")
    assert blame.clear("r") == ("a", "b", "c")
    assert blame.hold("r") is None and len(blame) == 0 and not blame._at
    _blamed(blame, "r", "d", "e")
    assert blame.hold("r") is None


def test_what_is_known_ends_by_age() -> None:
    """A suspicion lasts minutes, a hold hours, and both leave nothing behind."""
    blame = CrashBlame()
    _blamed(blame, "suspected", "a")
    _blamed(blame, "held", "a", "b", "c")
    assert blame.expire(NOW + SUSPECTED_FOR) == [("suspected", "a")]
    assert "suspected" not in blame and blame.hold("held") is not None
    assert len(blame.expire(NOW + HELD_FOR)) == HELD_AFTER
    assert len(blame) == 0 and not blame._at


def test_an_age_that_another_gateway_tells_counts() -> None:
    """A gateway that starts reads crashes of long ago, and does not keep them for as long again."""
    blame = CrashBlame()
    blame.crashed("r", "a", NOW, SUSPECTED_FOR)
    assert blame.expire(NOW) == [("r", "a")]


def test_memory_is_bounded_and_holds_outlast_suspicions() -> None:
    """A storm of crashes pushes out what is least blamed, not what is held."""
    blame = CrashBlame()
    _blamed(blame, "held", *(f"u{number}" for number in range(2 * MAX_CRASHES)))
    for number in range(3 * MAX_REQUESTS):
        blame.crashed(f"r{number}", f"up{number}", NOW)
    assert len(blame) == MAX_REQUESTS and blame.hold("held") is not None
    assert len(blame.crashes("held")) == MAX_CRASHES
    assert len(blame._at) <= MAX_REQUESTS + MAX_CRASHES


_STEPS = st.tuples(
    st.sampled_from(("crash", "forget", "clear", "expire", "trial")),
    st.sampled_from("pqrs"),
    st.sampled_from("abcdef"),
)


@given(st.lists(_STEPS, max_size=60))
def test_what_is_kept_by_upstream_and_by_request_agree(steps: list[tuple[str, str, str]]) -> None:
    """Whatever comes in whatever order, no crash is kept on one side only, and no request is held without three."""
    blame, now = CrashBlame(), NOW
    for what, request, upstream in steps:
        now += timedelta(minutes=3)
        if what == "crash":
            blame.crashed(request, upstream, now)
        elif what == "forget":
            blame.forget(request, upstream)
        elif what == "clear":
            blame.clear(request)
        elif what == "expire":
            blame.expire(now)
        else:
            blame.tried(request, 1, now)
        by_request = {(each, at) for each in "pqrs" for at in blame.crashes(each)}
        assert by_request == {(each, at) for at, there in blame._at.items() for each in there}
        assert all(len(blame.crashes(each)) >= HELD_AFTER for each in blame.held())
        suspected = [each for each in "pqrs" if len(blame.crashes(each)) >= HELD_AFTER]
        assert bool(blame.held()) == bool(suspected)


def test_recent_answers_are_bounded_in_number_and_age() -> None:
    """The newest are remembered, for a minute."""
    recent = RecentAnswers()
    recent.note("r", NOW)
    assert recent.has("r", NOW + ANSWERED_FOR / 2) and not recent.has("r", NOW + ANSWERED_FOR)
    for number in range(2 * MAX_ANSWERED):
        recent.note(f"r{number}", NOW)
    assert not recent.has("r", NOW) and len(recent._answered) == MAX_ANSWERED


@attrs.define
class _Service:
    """Upstreams that crash under the poison and are back four seconds later, in steps of 50 ms.

    The poison comes for a minute, each time at two upstreams, beside requests that take one step each and are
    repeated elsewhere, and upstreams that crash by themselves.
    """

    blame: CrashBlame | None
    rng: Random
    upstreams: int = 12
    down: dict[str, int] = attrs.field(factory=dict)
    starts: int = 0
    crashes: int = 0
    served: int = 0
    lost: int = 0

    def up(self, step: int) -> list[str]:
        """Return the upstreams that are there, under the id of their newest start."""
        for name, back in list(self.down.items()):
            if step >= back:
                del self.down[name]
                self.starts += 1
        return [f"u{n}" for n in range(self.upstreams) if f"u{n}" not in self.down]

    def runs(self, request: str, step: int) -> bool:
        """Tell whether a request may run."""
        if self.blame is None or (hold := self.blame.hold(request)) is None:
            return True
        now = _at(step)
        if now < hold.trial_at:
            return False
        self.blame.tried(request, hold.trials + 1, now)
        return True

    def crash(self, name: str, running: list[str], step: int) -> None:
        """End an upstream under what runs there."""
        self.down[name] = step + 80
        self.crashes += 1
        for request in running:
            if self.blame is not None:
                self.blame.crashed(request, f"{name}@{self.starts}", _at(step))

    def play(self) -> None:
        """Play a minute."""
        waiting: list[str] = []
        for step in range(1200):
            waiting += [f"r{step}-{n}" for n in range(self.rng.randrange(3))]
            up = self.up(step)
            placed: dict[str, list[str]] = {name: [] for name in up}
            left = []
            for request in waiting:
                if up and self.runs(request, step):
                    placed[self.rng.choice(up)].append(request)
                else:
                    left.append(request)
            doomed = set()
            if step % 6 == 0 and up and self.runs("poison", step):
                for name in self.rng.sample(up, min(2, len(up))):
                    placed[name].append("poison")
                    doomed.add(name)
            if step % 200 == 0 and up:
                doomed.add(self.rng.choice(up))
            for name, running in placed.items():
                if name in doomed:
                    self.crash(name, running, step)
                    left += [request for request in running if request != "poison"]
                    continue
                self.served += len(running)
                for request in running if self.blame is not None else ():
                    self.blame.clear(request)
            waiting = left
        self.lost = len(waiting)


def _at(step: int) -> timedelta:
    return NOW + timedelta(milliseconds=50) * step


@pytest.mark.parametrize("seed", range(20))
def test_a_service_outlives_a_request_that_crashes_its_upstreams(seed: int) -> None:
    """Load: one request that crashes whoever runs it, three times a second, beside others that are to be served.

    Without blame the service loses upstreams as fast as they come back; with it a handful, and nothing that only
    ran beside is left waiting.
    """
    without, held = _Service(None, Random(seed)), _Service(CrashBlame(), Random(seed))
    without.play()
    held.play()
    assert without.crashes > 100
    assert held.crashes <= 6 + HELD_AFTER + 4
    assert held.lost <= 3
