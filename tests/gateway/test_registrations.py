"""Invalid registrations in the store: how a gateway counts and logs them."""

from datetime import timedelta
from typing import Any

import pytest

from cranberryline.gateway.registrations import Registrations
from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.platform.adapter import UsersPlatform
from cranberryline.ports.store import KeyedRecord
from cranberryline.routes import ActiveRoutes
from cranberryline.upstreams import directory as directory_module
from cranberryline.upstreams.directory import Directory


class _RecordingLogger:
    """Records the event names of warnings."""

    def __init__(self) -> None:
        self.warnings: list[str] = []

    def warning(self, event: str, **_: Any) -> None:
        """Record a warning."""
        self.warnings.append(event)

    def info(self, event: str, **_: Any) -> None:
        """Ignore an info event."""


def test_rejected_registrations_are_all_counted_and_logged_once_per_burst(
    clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another writer overwrites entries for a minute, and again an hour later.

    Each invalid entry is counted, but only the first one of each burst is logged.
    """
    logger, metrics = _RecordingLogger(), Metrics()
    monkeypatch.setattr(directory_module, "_LOGGER", logger)
    registrations = Registrations(
        UsersPlatform("127.0.0.1:9"), Directory(clock, StoreHealth(clock)), ActiveRoutes(), metrics
    )
    for _ in range(60):
        registrations.apply_record(KeyedRecord("i-1", b"\xff"))
        registrations.apply_record(KeyedRecord("i-2", b'{"service":5}'))
        clock.advance(timedelta(seconds=1))
    clock.advance(timedelta(hours=1))
    registrations.apply_record(KeyedRecord("i-1", b"\xff"))
    assert logger.warnings == ["registration_refused"] * 2
    counted = {
        sample.labels["reason"]: sample.value
        for family in metrics.drops.collect()
        for sample in family.samples
    }
    assert counted == {"registration_unreadable": 61, "registration_bad_field": 60}
