"""Ways to upstreams: made, remade and given up with the rows."""

import itertools
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

import attrs

from cranberryline.dispatch.direct import DirectUpstreams
from cranberryline.dispatch.upstreams import UpstreamTable
from cranberryline.gateway.links import DirectLinks
from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.model import VmEntry
from cranberryline.upstreams.directory import Directory, Registration

ROW = Registration("i-1", "files", "10.0.0.1:80", "levis", 4, False, {}, 100)


class Ways:
    """A directory and the ways that follow it."""

    def __init__(self) -> None:
        clock, metrics, self.table = FakeClock(), Metrics(), UpstreamTable()
        self.made: list[VmEntry] = []
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
        links = DirectLinks(self.table, directs)
        membership = self.directory.membership
        membership.listen(lambda: links.apply(membership))

    def _connect(self, row: VmEntry) -> Any:
        self.made.append(row)
        return SimpleNamespace(connected=lambda: False)


def test_each_start_has_a_way_of_its_own_without_marks_of_the_former() -> None:
    """The former start failed and was left out for it; the new one, at its address, begins unmarked."""
    ways = Ways()
    ways.directory.put(ROW)
    (former,) = ways.table.usable("files")
    former.reserve(timedelta())
    former.attempt_failed(timedelta(), timedelta())
    ways.directory.put(attrs.evolve(ROW, born=200))
    (again,) = ways.table.usable("files")
    assert again is not former and again.health == type(again.health)()
    assert again.link.outstanding == 0 and not former.link.usable
    assert [row.name for row in ways.made] == ["i-1", "i-1"]


def test_a_start_that_tells_another_address_or_service_is_reached_there() -> None:
    """Its way is made anew; kept as it was, work would go on to where it no longer is."""
    ways = Ways()
    ways.directory.put(ROW)
    ways.directory.put(attrs.evolve(ROW, address="10.0.0.2:80"))
    ways.directory.put(attrs.evolve(ROW, address="10.0.0.2:80", service="other"))
    assert [row.address for row in ways.made] == [f"http://10.0.0.{n}:80" for n in (1, 2, 2)]
    assert ways.table.usable("files") == [] and len(ways.table.usable("other")) == 1


def test_a_beat_makes_no_way_anew() -> None:
    """What an upstream serves changes with its beats; the way to it stays."""
    ways = Ways()
    ways.directory.put(ROW)
    ways.directory.put(attrs.evolve(ROW, versions={"m": 2}))
    ways.directory.put(attrs.evolve(ROW, id="i-2"))
    assert len(ways.made) == 2
