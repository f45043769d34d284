"""Registrations: incarnations, draining, and entries that lapse in an outage."""

from datetime import timedelta

import attrs
import pytest

from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.store import StoreError, StoreProblem
from cranberryline.upstreams.directory import Directory, Registration

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
