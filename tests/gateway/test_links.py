"""Direct links are created, replaced and removed as registrations change."""

import itertools
from collections.abc import Callable
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

import attrs

from cranberryline.dispatch.direct import DirectUpstreams
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.gateway.links import DirectLinks
from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.model import VmEntry
from cranberryline.upstreams import Membership
from cranberryline.upstreams.directory import Directory, Registration

REGISTRATION = Registration("i-1", "files", "10.0.0.1:80", "levis", 4, False, {}, 100)


class DirectLinksHarness:
    """A directory and the direct links that follow its membership."""

    def __init__(
        self,
        is_cordoned: Callable[[VmEntry], bool] = lambda _: False,
        attach: Callable[[Membership, DirectLinks], None] = lambda _membership, _links: None,
    ) -> None:
        clock, metrics, self.table = FakeClock(), Metrics(), UpstreamTable()
        self.connected: list[VmEntry] = []
        self.directory = Directory(clock, StoreHealth(clock))
        directs = DirectUpstreams(
            clock,
            metrics,
            cast(Any, None),
            "life-1",
            itertools.count(1).__next__,
            lambda _service: None,
            lambda: None,
            self._connect,
        )
        links = DirectLinks(self.table, directs, is_cordoned)
        membership = self.directory.membership
        attach(membership, links)
        membership.listen(lambda changed: links.apply(membership, changed))

    def _connect(self, row: VmEntry) -> Any:
        self.connected.append(row)
        return SimpleNamespace(connected=lambda: False, idle_connections=lambda: 0)


def test_restarted_upstream_gets_a_new_link_without_earlier_failures() -> None:
    """The upstream failed, was excluded for that, and restarted at the same address.

    With the link of the earlier start, the new one would inherit its failures.
    """
    harness = DirectLinksHarness()
    harness.directory.put(REGISTRATION)
    (previous,) = harness.table.usable("files")
    previous.reserve(timedelta())
    previous.attempt_failed(timedelta(), timedelta())
    harness.directory.put(attrs.evolve(REGISTRATION, born=200))
    (restarted,) = harness.table.usable("files")
    assert restarted is not previous and restarted.health == type(restarted.health)()
    assert restarted.link.outstanding == 0 and not previous.link.usable
    assert [row.name for row in harness.connected] == ["i-1", "i-1"]


def test_changed_address_or_service_replaces_the_link() -> None:
    """With the earlier link, requests would still be sent to the old address or service."""
    harness = DirectLinksHarness()
    harness.directory.put(REGISTRATION)
    harness.directory.put(attrs.evolve(REGISTRATION, address="10.0.0.2:80"))
    harness.directory.put(attrs.evolve(REGISTRATION, address="10.0.0.2:80", service="other"))
    assert [row.address for row in harness.connected] == [
        f"http://10.0.0.{n}:80" for n in (1, 2, 2)
    ]
    assert harness.table.usable("files") == [] and len(harness.table.usable("other")) == 1


def test_heartbeat_with_new_versions_keeps_the_link() -> None:
    """Served versions change with heartbeats; a new link is created for another upstream only."""
    harness = DirectLinksHarness()
    harness.directory.put(REGISTRATION)
    harness.directory.put(attrs.evolve(REGISTRATION, versions={"m": 2}))
    harness.directory.put(attrs.evolve(REGISTRATION, id="i-2"))
    assert len(harness.connected) == 2
