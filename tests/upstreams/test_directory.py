"""Registrations: incarnations, draining, and entries that lapse in an outage."""

from collections.abc import Callable
from datetime import timedelta

import attrs
import pytest
from result import Err

from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.store import StoreError, StoreProblem
from cranberryline.upstreams.directory import Directory, Registration
from cranberryline.upstreams.errors import RegistrationProblem

ROW = Registration("i-1", "files", "10.0.0.1:80", "levis", 4, False, {"m": 1})


@pytest.fixture
def health(clock: FakeClock) -> StoreHealth:
    """Return a store that has not failed."""
    return StoreHealth(clock)


@pytest.fixture
def directory(clock: FakeClock, health: StoreHealth) -> Directory:
    """Return a directory that knows one upstream."""
    made = Directory(clock, health)
    made.put(ROW)
    return made


def _usable(directory: Directory) -> list[str]:
    return [vm.id for vm in directory.membership.upstreams()]


def test_an_upstream_that_drains_gets_nothing_more_for_good(directory: Directory) -> None:
    """A beat that was written before the notice and is told after it takes nothing back."""
    directory.put(attrs.evolve(ROW, draining=True))
    assert _usable(directory) == []
    directory.put(ROW)
    assert _usable(directory) == []


def test_a_new_incarnation_at_the_same_address_is_another_upstream(directory: Directory) -> None:
    """The old one's draining says nothing of it."""
    directory.put(attrs.evolve(ROW, draining=True))
    directory.put(attrs.evolve(ROW, id="i-2"))
    assert _usable(directory) == ["i-2"]


def test_a_removed_entry_counts_at_once_while_the_store_is_well(directory: Directory) -> None:
    """No work goes there any more."""
    directory.put(attrs.evolve(ROW, id="i-2"))
    directory.remove("i-1")
    assert _usable(directory) == ["i-2"]


def test_entries_that_lapsed_in_an_outage_are_kept_until_they_had_time_to_return(
    directory: Directory, health: StoreHealth, clock: FakeClock
) -> None:
    """Callers see an outage of the store that empties a service for two seconds.

    Each upstream is well; its entry lapsed because it could not be renewed. Taken as gone at once,
    every request of the service would be refused until the entries are back.
    """
    directory.put(attrs.evolve(ROW, id="i-2"))
    health.failed(StoreError(StoreProblem.REFUSED), "read")
    directory.remove("i-1")
    directory.remove("i-2")
    directory.expire()
    assert _usable(directory) == ["i-1", "i-2"]
    clock.advance(timedelta(seconds=1))
    directory.put(ROW)
    clock.advance(timedelta(seconds=2))
    directory.expire()
    assert _usable(directory) == ["i-1"]


def test_a_drained_entry_that_goes_in_an_outage_is_gone(
    directory: Directory, health: StoreHealth
) -> None:
    """It had said that it leaves."""
    directory.put(attrs.evolve(ROW, id="i-2"))
    directory.put(attrs.evolve(ROW, draining=True))
    health.failed(StoreError(StoreProblem.REFUSED), "read")
    directory.remove("i-1")
    assert directory.get("i-1") is None


def test_what_an_answer_tells_of_a_version_goes_before_the_entry(directory: Directory) -> None:
    """The entry is a beat behind; the next beat is newer again."""
    assert directory.version("i-1", "m") == 1
    directory.learn("i-1", "m", 2)
    assert directory.version("i-1", "m") == 2
    directory.put(attrs.evolve(ROW, versions={"m": 3}))
    assert directory.version("i-1", "m") == 3
    assert directory.version("i-9", "m") is None


def test_engines_are_those_with_models_that_stay(directory: Directory) -> None:
    """Plain services and draining engines take no orders."""
    directory.put(attrs.evolve(ROW, id="i-2", versions={}))
    directory.put(attrs.evolve(ROW, id="i-3", draining=True))
    assert [row.id for row in directory.engines()["files"]] == ["i-1"]


# An upstream may start again under its id. Callers see refusals, or none of its answers, where what
# was known of its former start is taken for the new one: it said that it leaves, the store told an
# older beat of it late, or it lost the model that it served.
FIRST = attrs.evolve(ROW, born=100)
SECOND = attrs.evolve(ROW, born=200, address="10.0.0.2:80")


@pytest.fixture
def starts(clock: FakeClock, health: StoreHealth) -> Directory:
    """Return a directory that knows an upstream's first start."""
    made = Directory(clock, health)
    made.put(FIRST).unwrap()
    return made


def _addresses(directory: Directory) -> list[str]:
    return [vm.address for vm in directory.membership.upstreams()]


def test_a_newer_start_takes_the_place_of_a_draining_one_at_once(starts: Directory) -> None:
    """It drained, went and started again: neither the notice nor the drain's end is waited for."""
    starts.put(attrs.evolve(FIRST, draining=True)).unwrap()
    assert _addresses(starts) == []
    starts.put(SECOND).unwrap()
    assert _addresses(starts) == ["http://10.0.0.2:80"]
    starts.put(attrs.evolve(SECOND, draining=True)).unwrap()
    starts.put(SECOND).unwrap()
    assert _addresses(starts) == []


def test_an_older_start_told_late_changes_nothing(starts: Directory) -> None:
    """Also after the newer one's entry has gone: what is over stays over."""
    starts.put(SECOND).unwrap()
    assert starts.put(attrs.evolve(FIRST, draining=True)) == Err(RegistrationProblem.OLD_START)
    assert _addresses(starts) == ["http://10.0.0.2:80"]
    starts.remove("i-1")
    starts.put(FIRST)
    assert _addresses(starts) == []
    starts.put(SECOND).unwrap()
    assert _addresses(starts) == ["http://10.0.0.2:80"]


def test_what_was_learned_of_a_start_ends_with_it(starts: Directory) -> None:
    """It starts again without the model, or with an older version; late answers add nothing."""
    starts.learn(FIRST.key, "m", 9)
    starts.put(attrs.evolve(SECOND, versions={})).unwrap()
    starts.learn(FIRST.key, "m", 9)
    assert [starts.version(row.key, "m") for row in (FIRST, SECOND)] == [None, None]
    third = attrs.evolve(SECOND, born=300, versions={"m": 3})
    starts.put(third).unwrap()
    assert starts.version(third.key, "m") == 3


def test_a_model_that_a_start_no_longer_tells_of_is_not_served(starts: Directory) -> None:
    """A beat is newer than what answers told before it."""
    starts.learn(FIRST.key, "m", 9)
    starts.put(attrs.evolve(FIRST, versions={})).unwrap()
    assert starts.version(FIRST.key, "m") is None


def test_a_lapse_ends_with_the_start_that_lapsed(
    starts: Directory, health: StoreHealth, clock: FakeClock
) -> None:
    """The store was out, the entry lapsed, and a newer start is there before the grace is over."""
    health.failed(StoreError(StoreProblem.REFUSED), "read")
    starts.remove("i-1")
    starts.put(SECOND).unwrap()
    clock.advance(timedelta(seconds=5))
    starts.expire()
    assert _addresses(starts) == ["http://10.0.0.2:80"]


def test_the_end_of_a_start_is_told_once_and_at_once(starts: Directory) -> None:
    """Who has work there hears of it with the newer start, also where the entry had gone before."""
    over: list[str] = []
    starts.listen_over(over.append)
    starts.put(FIRST)
    starts.remove("i-1")
    assert over == []
    starts.put(SECOND)
    starts.put(SECOND)
    starts.put(FIRST)
    assert over == [FIRST.key]


def test_an_entry_that_names_no_upstream_takes_its_key_out_of_use_and_nothing_else(
    starts: Directory, clock: FakeClock, health: StoreHealth
) -> None:
    """The next sound entry brings it back, not drained; in a lapse as well, and where it is alone."""
    other = attrs.evolve(ROW, id="i-2", address="10.0.0.9:80")
    starts.put(other)
    starts.refuse("i-1", RegistrationProblem.BAD_STATE)
    assert _addresses(starts) == ["http://10.0.0.9:80"]
    starts.refuse("i-2", RegistrationProblem.UNREADABLE)
    assert _addresses(starts) == []
    starts.put(FIRST).unwrap()
    assert _addresses(starts) == ["http://10.0.0.1:80"]
    health.failed(StoreError(StoreProblem.REFUSED), "read")
    starts.remove("i-1")
    starts.refuse("i-1", RegistrationProblem.BAD_ADDRESS)
    assert _addresses(starts) == []
    starts.put(FIRST).unwrap()
    clock.advance(timedelta(seconds=5))
    starts.expire()
    assert _addresses(starts) == ["http://10.0.0.1:80"]


def test_an_entry_without_a_start_is_another_writers_once_a_start_was_told(
    starts: Directory,
) -> None:
    """The upstream tells its start always; where it never told one, its id is one start."""
    assert starts.put(ROW) == Err(RegistrationProblem.BAD_START)
    assert _addresses(starts) == []
    starts.put(FIRST).unwrap()
    assert _addresses(starts) == ["http://10.0.0.1:80"]


def test_a_beat_that_changes_nothing_publishes_nothing(starts: Directory) -> None:
    """Thousands of upstreams beat every second or so; each list made anew costs all of them."""
    version = starts.membership.version
    for _ in range(3):
        starts.put(FIRST)
        starts.put(attrs.evolve(FIRST, versions={"m": 2}))
    assert starts.membership.version == version


def test_a_burst_of_changes_is_published_once(clock: FakeClock, health: StoreHealth) -> None:
    """A whole list is read in one turn; published for each entry, it costs the square of its size."""
    later: list[Callable[[], None]] = []
    made = Directory(clock, health, later.append)
    for number in range(50):
        made.put(attrs.evolve(FIRST, id=f"i-{number}"))
    assert len(later) == 1 and made.membership.version == 0
    later.pop()()
    assert (len(_addresses(made)), made.membership.version) == (50, 1)
    made.put(attrs.evolve(SECOND, id="i-1"))
    assert len(later) == 1
