"""Registrations of upstreams: restarts, drains, store outages and invalid entries."""

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
    """Return the health of a store that has not failed."""
    return StoreHealth(clock)


@pytest.fixture
def directory(clock: FakeClock, health: StoreHealth) -> Directory:
    """Return a directory with one registered upstream."""
    created = Directory(clock, health)
    created.put(ROW)
    return created


def _usable(directory: Directory) -> list[str]:
    return [vm.id for vm in directory.membership.upstreams()]


def test_drain_is_not_undone_by_an_older_heartbeat(directory: Directory) -> None:
    """A heartbeat is written before the drain notice but read after it. The drain must persist."""
    directory.put(attrs.evolve(ROW, draining=True))
    assert _usable(directory) == []
    directory.put(ROW)
    assert _usable(directory) == []


def test_new_id_at_the_same_address_is_another_upstream(directory: Directory) -> None:
    """The drain of the old upstream must not apply to the new one."""
    directory.put(attrs.evolve(ROW, draining=True))
    directory.put(attrs.evolve(ROW, id="i-2"))
    assert _usable(directory) == ["i-2"]


def test_registration_is_removed_at_once_while_the_store_is_healthy(directory: Directory) -> None:
    """A removed upstream must get no more work."""
    directory.put(attrs.evolve(ROW, id="i-2"))
    directory.remove("i-1")
    assert _usable(directory) == ["i-2"]


def test_registrations_that_lapse_in_a_store_outage_are_kept_for_a_grace_period(
    directory: Directory, health: StoreHealth, clock: FakeClock
) -> None:
    """A store outage would leave a service without upstreams for two seconds.

    The upstreams are healthy; their registrations expire because they cannot be renewed. If they
    were removed at once, every request of the service would be refused until they are back.
    """
    directory.put(attrs.evolve(ROW, id="i-2"))
    health.failed(StoreError(StoreProblem.REFUSED), "", clock.monotonic())
    directory.remove("i-1")
    directory.remove("i-2")
    directory.expire()
    assert _usable(directory) == ["i-1", "i-2"]
    clock.advance(timedelta(seconds=1))
    directory.put(ROW)
    clock.advance(timedelta(seconds=2))
    directory.expire()
    assert _usable(directory) == ["i-1"]


def test_registration_that_is_removed_after_the_grace_period_of_an_outage_is_removed_at_once(
    directory: Directory, health: StoreHealth, clock: FakeClock
) -> None:
    """Guards against work for an upstream that left after the store's return.

    A call that was made shortly before the return fails seconds after it.
    """
    health.failed(StoreError(StoreProblem.REFUSED), "jobs/0", clock.monotonic())
    asked_at = clock.monotonic()
    clock.advance(timedelta(milliseconds=100))
    health.succeeded("jobs/0")
    clock.advance(timedelta(milliseconds=2400))
    health.failed(StoreError(StoreProblem.REFUSED), "", asked_at)
    health.succeeded("")
    clock.advance(timedelta(milliseconds=500))
    directory.remove("i-1")
    assert _usable(directory) == []


def test_grace_period_ends_with_the_time_after_the_stores_return(
    directory: Directory, health: StoreHealth, clock: FakeClock
) -> None:
    """Guards against a grace period that is counted from a late removal."""
    health.failed(StoreError(StoreProblem.REFUSED), "", clock.monotonic())
    health.succeeded("")
    clock.advance(timedelta(seconds=2))
    directory.remove("i-1")
    directory.expire()
    assert _usable(directory) == ["i-1"]
    clock.advance(timedelta(milliseconds=400))
    directory.expire()
    assert _usable(directory) == []


def test_outage_of_other_partitions_keeps_no_removed_registration(
    directory: Directory, health: StoreHealth, clock: FakeClock
) -> None:
    """Guards against work for an upstream that left while the store was out for jobs only."""
    health.failed(StoreError(StoreProblem.REFUSED), "jobs/0", clock.monotonic())
    directory.remove("i-1")
    assert _usable(directory) == []


def test_draining_upstream_is_removed_at_once_in_a_store_outage(
    directory: Directory, health: StoreHealth, clock: FakeClock
) -> None:
    """Its end was announced, so there is no grace period."""
    directory.put(attrs.evolve(ROW, id="i-2"))
    directory.put(attrs.evolve(ROW, draining=True))
    health.failed(StoreError(StoreProblem.REFUSED), "", clock.monotonic())
    directory.remove("i-1")
    assert directory.get("i-1") is None


def test_version_from_a_response_overrides_an_older_registration(directory: Directory) -> None:
    """A registration may be older than a response by one heartbeat; the next one is newer."""
    assert directory.version("i-1", "m") == 1
    directory.record_version("i-1", "m", 2)
    assert directory.version("i-1", "m") == 2
    directory.put(attrs.evolve(ROW, versions={"m": 3}))
    assert directory.version("i-1", "m") == 3
    assert directory.version("i-9", "m") is None


def test_engines_exclude_plain_services_and_draining_upstreams(directory: Directory) -> None:
    """Upstreams without models and draining engines must not receive weight orders."""
    directory.put(attrs.evolve(ROW, id="i-2", versions={}))
    directory.put(attrs.evolve(ROW, id="i-3", draining=True))
    assert [row.id for row in directory.engines()["files"]] == ["i-1"]


# An upstream may restart under its id. Callers would see refusals or missing responses if state of
# the earlier incarnation applied to the new one: its drain, a heartbeat that is read late, or the
# version of a model that the new one has not loaded.
FIRST = attrs.evolve(ROW, born=100)
SECOND = attrs.evolve(ROW, born=200, address="10.0.0.2:80")


@pytest.fixture
def timed_directory(clock: FakeClock, health: StoreHealth) -> Directory:
    """Return a directory with the first incarnation of an upstream that gives its start time."""
    created = Directory(clock, health)
    created.put(FIRST).unwrap()
    return created


def _addresses(directory: Directory) -> list[str]:
    return [vm.address for vm in directory.membership.upstreams()]


def test_new_incarnation_replaces_a_draining_one_at_once(timed_directory: Directory) -> None:
    """An upstream drains, ends and restarts; the drain must not delay the new incarnation."""
    timed_directory.put(attrs.evolve(FIRST, draining=True)).unwrap()
    assert _addresses(timed_directory) == []
    timed_directory.put(SECOND).unwrap()
    assert _addresses(timed_directory) == ["http://10.0.0.2:80"]
    timed_directory.put(attrs.evolve(SECOND, draining=True)).unwrap()
    timed_directory.put(SECOND).unwrap()
    assert _addresses(timed_directory) == []


def test_older_incarnation_read_late_changes_nothing(timed_directory: Directory) -> None:
    """An entry of a replaced incarnation must not apply, even if the newer one was removed."""
    timed_directory.put(SECOND).unwrap()
    assert timed_directory.put(attrs.evolve(FIRST, draining=True)) == Err(
        RegistrationProblem.OLD_START
    )
    assert _addresses(timed_directory) == ["http://10.0.0.2:80"]
    timed_directory.remove("i-1")
    timed_directory.put(FIRST)
    assert _addresses(timed_directory) == []
    timed_directory.put(SECOND).unwrap()
    assert _addresses(timed_directory) == ["http://10.0.0.2:80"]


def test_versions_of_a_replaced_incarnation_are_discarded(timed_directory: Directory) -> None:
    """An upstream restarts without the model, or with an older version.

    Versions from responses of the replaced incarnation, also late ones, must not apply.
    """
    timed_directory.record_version(FIRST.key, "m", 9)
    timed_directory.put(attrs.evolve(SECOND, versions={})).unwrap()
    timed_directory.record_version(FIRST.key, "m", 9)
    assert [timed_directory.version(row.key, "m") for row in (FIRST, SECOND)] == [None, None]
    third = attrs.evolve(SECOND, born=300, versions={"m": 3})
    timed_directory.put(third).unwrap()
    assert timed_directory.version(third.key, "m") == 3


def test_model_missing_from_the_latest_heartbeat_is_not_served(timed_directory: Directory) -> None:
    """A heartbeat is newer than the versions from responses before it."""
    timed_directory.record_version(FIRST.key, "m", 9)
    timed_directory.put(attrs.evolve(FIRST, versions={})).unwrap()
    assert timed_directory.version(FIRST.key, "m") is None


def test_grace_period_of_a_replaced_incarnation_does_not_remove_the_new_one(
    timed_directory: Directory, health: StoreHealth, clock: FakeClock
) -> None:
    """A registration lapses in a store outage; the upstream restarts in the grace period."""
    health.failed(StoreError(StoreProblem.REFUSED), "", clock.monotonic())
    timed_directory.remove("i-1")
    timed_directory.put(SECOND).unwrap()
    clock.advance(timedelta(seconds=5))
    timed_directory.expire()
    assert _addresses(timed_directory) == ["http://10.0.0.2:80"]


def test_replaced_incarnation_is_reported_once_and_at_once(timed_directory: Directory) -> None:
    """Listeners are called when the newer one registers, even if the old one was removed."""
    superseded: list[str] = []
    timed_directory.listen_superseded(superseded.append)
    timed_directory.put(FIRST)
    timed_directory.remove("i-1")
    assert superseded == []
    timed_directory.put(SECOND)
    timed_directory.put(SECOND)
    timed_directory.put(FIRST)
    assert superseded == [FIRST.key]


def test_invalid_entry_disables_only_its_own_upstream(
    timed_directory: Directory, clock: FakeClock, health: StoreHealth
) -> None:
    """The next valid entry must restore the upstream without a drain.

    The same applies during a grace period, and if no other upstream is left.
    """
    other = attrs.evolve(ROW, id="i-2", address="10.0.0.9:80")
    timed_directory.put(other)
    timed_directory.reject("i-1", RegistrationProblem.BAD_STATE)
    assert _addresses(timed_directory) == ["http://10.0.0.9:80"]
    timed_directory.reject("i-2", RegistrationProblem.UNREADABLE)
    assert _addresses(timed_directory) == []
    timed_directory.put(FIRST).unwrap()
    assert _addresses(timed_directory) == ["http://10.0.0.1:80"]
    health.failed(StoreError(StoreProblem.REFUSED), "", clock.monotonic())
    timed_directory.remove("i-1")
    timed_directory.reject("i-1", RegistrationProblem.BAD_ADDRESS)
    assert _addresses(timed_directory) == []
    timed_directory.put(FIRST).unwrap()
    clock.advance(timedelta(seconds=5))
    timed_directory.expire()
    assert _addresses(timed_directory) == ["http://10.0.0.1:80"]


def test_entry_without_a_start_time_is_rejected_if_one_was_given_before(
    timed_directory: Directory,
) -> None:
    """An upstream gives its start time always or never, so another writer wrote such an entry."""
    assert timed_directory.put(ROW) == Err(RegistrationProblem.BAD_START)
    assert _addresses(timed_directory) == []
    timed_directory.put(FIRST).unwrap()
    assert _addresses(timed_directory) == ["http://10.0.0.1:80"]


def test_unchanged_heartbeat_publishes_no_list(timed_directory: Directory) -> None:
    """Thousands of upstreams send a heartbeat every second or so.

    Each new list contains all of them, so one per heartbeat would cost too much CPU time.
    """
    version = timed_directory.membership.version
    for _ in range(3):
        timed_directory.put(FIRST)
        timed_directory.put(attrs.evolve(FIRST, versions={"m": 2}))
    assert timed_directory.membership.version == version


def test_a_burst_of_changes_is_published_once(clock: FakeClock, health: StoreHealth) -> None:
    """A whole list is read at once; publishing it per entry takes time quadratic in its size."""
    scheduled: list[Callable[[], None]] = []
    directory = Directory(clock, health, scheduled.append)
    for number in range(50):
        directory.put(attrs.evolve(FIRST, id=f"i-{number}"))
    assert len(scheduled) == 1 and directory.membership.version == 0
    scheduled.pop()()
    assert (len(_addresses(directory)), directory.membership.version) == (50, 1)
    directory.put(attrs.evolve(SECOND, id="i-1"))
    assert len(scheduled) == 1
