"""What a gateway counts and logs of entries that name no upstream."""

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


class _Lines:
    """Keep the names of warnings."""

    def __init__(self) -> None:
        self.warnings: list[str] = []

    def warning(self, event: str, **_: Any) -> None:
        """Keep a warning."""
        self.warnings.append(event)

    def info(self, event: str, **_: Any) -> None:
        """Leave what is no warning."""


def test_refused_entries_are_counted_each_and_logged_once_a_burst(
    clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another writer spoils entries for a minute, and again an hour later: two lines, every one counted."""
    lines, metrics = _Lines(), Metrics()
    monkeypatch.setattr(directory_module, "_LOGGER", lines)
    made = Registrations(
        UsersPlatform("127.0.0.1:9"), Directory(clock, StoreHealth(clock)), ActiveRoutes(), metrics
    )
    for _ in range(60):
        made.take(KeyedRecord("i-1", b"\xff"))
        made.take(KeyedRecord("i-2", b'{"service":5}'))
        clock.advance(timedelta(seconds=1))
    clock.advance(timedelta(hours=1))
    made.take(KeyedRecord("i-1", b"\xff"))
    assert lines.warnings == ["registration_refused"] * 2
    counted = {
        sample.labels["reason"]: sample.value
        for family in metrics.drops.collect()
        for sample in family.samples
    }
    assert counted == {"registration_unreadable": 61, "registration_bad_field": 60}
