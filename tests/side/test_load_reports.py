"""Early load reports: entries learn soon that a full upstream has free slots again."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs
import pytest

from cranberryline.side.load_reports import LoadReporter
from cranberryline.transport import Connection
from cranberryline.transport.model import Load
from tests.virtual_time import LoopClock, run_virtual

SLOTS = 16


@attrs.define
class _Upstream:
    """The load of an upstream, and the reports sent to two entries."""

    running: int = SLOTS
    reports: list[tuple[str, int, float]] = attrs.field(factory=list)
    connections: list[Connection] = attrs.field(
        factory=lambda: [
            Connection(name.encode(), name, "life", name, timedelta()) for name in ("e-1", "e-2")
        ]
    )

    def load(self) -> Load:
        return Load(self.running, 0, 0, SLOTS, None, 0)

    def send(self, conn: Connection, load: Load) -> None:
        at = asyncio.get_running_loop().time()
        self.reports.append((conn.name, load.running, round(at, 3)))


@pytest.fixture
def upstream() -> _Upstream:
    """Return an upstream whose slots are all in use."""
    return _Upstream()


@pytest.fixture
def reporter(upstream: _Upstream) -> LoadReporter:
    """Return a reporter of the upstream's load to its two entries."""
    return LoadReporter(LoopClock(), upstream.load, upstream.send, lambda: upstream.connections)


def _end_requests(upstream: _Upstream, reporter: LoadReporter, count: int) -> None:
    for _ in range(count):
        upstream.running -= 1
        reporter.request_ended()


def _play(upstream: _Upstream, reporter: LoadReporter, scene: Callable[[], None]) -> None:
    async def async_main() -> None:
        for conn in upstream.connections:
            reporter.report(conn)
        upstream.reports.clear()
        scene()
        await asyncio.sleep(0.5)

    run_virtual(async_main())


def test_freed_slots_of_a_full_upstream_are_reported_soon(
    upstream: _Upstream, reporter: LoadReporter
) -> None:
    """Entries refuse callers for up to a second after the slots of other entries became free.

    All requests end together, which is one report for each entry.
    """
    _play(upstream, reporter, lambda: _end_requests(upstream, reporter, SLOTS))
    assert [report[:2] for report in upstream.reports] == [("e-1", 0), ("e-2", 0)]
    assert all(at <= 0.02 for _, _, at in upstream.reports)


@pytest.mark.parametrize(("running", "ended"), [(SLOTS, 3), (SLOTS // 2, SLOTS // 2)])
def test_small_changes_and_those_of_an_upstream_with_free_slots_are_not_reported(
    upstream: _Upstream, reporter: LoadReporter, running: int, ended: int
) -> None:
    """Reports that change nothing for entries cost a message for each request."""
    upstream.running = running
    _play(upstream, reporter, lambda: _end_requests(upstream, reporter, ended))
    assert upstream.reports == []


def test_slots_that_are_taken_again_at_once_are_not_reported(
    upstream: _Upstream, reporter: LoadReporter
) -> None:
    """Entries believe that slots are free which queued requests took within milliseconds."""

    def scene() -> None:
        _end_requests(upstream, reporter, SLOTS)
        upstream.running = SLOTS

    _play(upstream, reporter, scene)
    assert upstream.reports == []


def test_reports_of_an_upstream_that_is_full_by_turns_are_limited(
    upstream: _Upstream, reporter: LoadReporter
) -> None:
    """An upstream that fills and empties every 20 ms sends fifty reports a second to each entry, not ten."""

    async def async_main() -> None:
        for _ in range(100):
            upstream.running = SLOTS
            for conn in upstream.connections:
                reporter._reported[conn.name] = upstream.load()
            _end_requests(upstream, reporter, SLOTS)
            await asyncio.sleep(0.02)

    run_virtual(async_main())
    assert len(upstream.reports) <= 2 * (1 + 2 / 0.1)


def test_connections_that_ended_get_no_reports(upstream: _Upstream, reporter: LoadReporter) -> None:
    """A report is sent over a connection that has ended, or its state is kept for ever."""

    def scene() -> None:
        reporter.forget(upstream.connections[0])
        _end_requests(upstream, reporter, SLOTS)

    _play(upstream, reporter, scene)
    assert [name for name, _, _ in upstream.reports] == ["e-2"]


def test_closed_reporter_sends_nothing(upstream: _Upstream, reporter: LoadReporter) -> None:
    """A report is sent through a socket that was closed."""

    def scene() -> None:
        _end_requests(upstream, reporter, SLOTS)
        reporter.close()

    _play(upstream, reporter, scene)
    assert upstream.reports == []
