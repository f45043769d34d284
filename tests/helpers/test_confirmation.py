"""When a request is served by the active configuration, and when it is confirmed first."""

import asyncio
from datetime import timedelta

from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.confirmation import (
    CONFIRM_MARGIN,
    LOST_INTERVAL,
    MAX_LATENESS,
    READ_RETRY_DELAY,
    READ_TIMEOUT,
    ReadConfirmation,
)

MAX_AGE = timedelta(seconds=2)


class Store:
    """A store whose reads take some time and succeed or fail; `read_at` is what `age` counts from."""

    def __init__(self, clock: FakeClock, max_age: timedelta | None = MAX_AGE) -> None:
        self.clock = clock
        self.read_at: timedelta | None = clock.monotonic()
        self.reads = 0
        self.answers = True
        self.takes = timedelta(milliseconds=5)
        self.confirmation = ReadConfirmation(self._age, self._async_read, clock, max_age, self._age)

    def _age(self) -> timedelta | None:
        return None if self.read_at is None else self.clock.monotonic() - self.read_at

    async def _async_read(self, timeout: timedelta) -> bool:
        asked_at = self.clock.monotonic()
        self.reads += 1
        await self.clock.async_sleep(self.takes)
        if self.answers:
            self.read_at = asked_at
        return self.answers

    def confirm(self) -> bool:
        """Return whether a request that is received now is served."""
        return asyncio.run(self.confirmation.async_confirm(self.clock.monotonic()))


def test_a_recent_configuration_is_not_read_again(clock: FakeClock) -> None:
    """Each request costs a read of the store."""
    store = Store(clock)
    clock.advance(MAX_AGE - CONFIRM_MARGIN)
    assert store.confirm() and store.reads == 0


def test_an_old_configuration_is_read_once_for_all_requests(clock: FakeClock) -> None:
    """A late process reads the configuration for each request that waited, and is later still."""
    store = Store(clock)
    clock.advance(MAX_AGE)

    async def async_main() -> list[bool]:
        confirm, now = store.confirmation.async_confirm, clock.monotonic()
        return list(await asyncio.gather(*(confirm(now) for _ in range(20))))

    assert asyncio.run(async_main()) == [True] * 20
    assert store.reads == 1


def test_a_configuration_that_was_never_read_is_read(clock: FakeClock) -> None:
    """A request is served by a configuration of unknown age."""
    store = Store(clock)
    store.read_at = None
    assert store.confirm() and store.reads == 1


def test_a_long_read_confirms_what_was_received_before_it(clock: FakeClock) -> None:
    """Requests are refused since the read took as long as a configuration may be old."""
    store = Store(clock)
    clock.advance(MAX_AGE)
    store.takes = 2 * MAX_AGE
    assert store.confirm()


def test_a_lost_store_does_not_end_service(clock: FakeClock) -> None:
    """All callers of a gateway that is cut from the store are refused."""
    store = Store(clock)
    clock.advance(MAX_AGE)
    store.answers, store.takes = False, READ_TIMEOUT
    assert store.confirm()


def test_a_late_process_does_not_take_the_store_for_lost(clock: FakeClock) -> None:
    """A starved process gives its own reads up, and serves by an old configuration."""
    store = Store(clock)
    clock.advance(MAX_AGE)
    late = READ_RETRY_DELAY + MAX_LATENESS + timedelta(milliseconds=1)
    store.answers, store.takes = False, READ_TIMEOUT + late
    assert not store.confirm()


def test_a_read_that_is_turned_away_is_made_again(clock: FakeClock) -> None:
    """A store that is asked too often turns one read away, and the request is served by an old table."""
    store = Store(clock)
    clock.advance(MAX_AGE)
    turned_away, read = [False, False], store._async_read

    async def async_read(timeout: timedelta) -> bool:
        store.answers = not turned_away or turned_away.pop()
        return await read(timeout)

    store.confirmation._read = async_read
    assert store.confirm()
    assert store.reads == 3 and store._age() < MAX_AGE - CONFIRM_MARGIN  # type: ignore[operator]


def test_a_lost_store_holds_up_requests_only_now_and_then(clock: FakeClock) -> None:
    """Each request of a gateway that is cut from the store waits for a second."""
    store = Store(clock)
    clock.advance(MAX_AGE)
    store.answers, store.takes = False, READ_TIMEOUT
    assert store.confirm() and store.reads == 1
    began = clock.monotonic()
    assert store.confirm() and clock.monotonic() == began and store.reads == 1
    clock.advance(LOST_INTERVAL)
    assert store.confirm() and store.reads == 2


def test_without_a_limit_nothing_is_read(clock: FakeClock) -> None:
    """A deployment without a limit makes reads that it has not asked for."""
    store = Store(clock, max_age=None)
    clock.advance(timedelta(hours=1))
    assert store.confirm() and store.reads == 0


def _has_all_since(store: Store, moment: timedelta) -> bool:
    return asyncio.run(store.confirmation.async_confirm_read_since(moment))


def test_what_is_missing_is_looked_for_in_a_read_after_the_moment(clock: FakeClock) -> None:
    """Guards against a route that seems to have ended since the table here is older than its job."""
    store = Store(clock)
    clock.advance(timedelta(milliseconds=10))
    moment = clock.monotonic()
    assert _has_all_since(store, moment) and store.reads == 1
    assert _has_all_since(store, moment) and store.reads == 1


def test_a_lost_store_confirms_no_absence(clock: FakeClock) -> None:
    """Guards against routes that seem to have ended while the store cannot be asked."""
    store = Store(clock)
    store.answers = False
    clock.advance(timedelta(seconds=1))
    assert not _has_all_since(store, clock.monotonic())
    store.read_at = None
    assert not _has_all_since(store, clock.monotonic())
