"""What a gateway tells the client and the keeper of slots about engines and other gateways."""

import asyncio
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

import attrs
import pytest

from cranberryline.dispatch.table import UpstreamTable
from cranberryline.gateway.nodes import NodeHeartbeat
from cranberryline.gateway.slots import GatewaySlots, SlotStore
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.routes import ActiveRoutes, EngineService, RouteTable
from cranberryline.slots import EngineSlots, NoSlotSharing, SlotExchange
from cranberryline.slots.memory import Learned
from cranberryline.upstreams.directory import Directory, Registration
from tests.store_fake import FakeStore, StoreLink

ENGINE = Registration("e-1", "engines", "10.0.0.1:80", "levis", 4, False, {"m": 3}, 100)


class Site:
    """A gateway's view of engines and gateways."""

    def __init__(self, mode: str = "off", controls: Any = None) -> None:
        clock = SystemClock()
        health = StoreHealth(clock)
        self.directory = Directory(clock, health)
        self.routes = ActiveRoutes()
        self.routes.apply(RouteTable(1, services={"engines": EngineService(slots=6)}))
        self.cfg = SimpleNamespace(vm_id="vm-1", peer="10.0.0.9:1", slot_sharing=mode)
        self.heartbeats: list[NodeHeartbeat] = []
        self.live: set[str] = set()
        self.nodes = SimpleNamespace(
            stopping=False,
            live_count=20,
            live_nodes=lambda _since: self.live,
            heartbeats=lambda: self.heartbeats,
        )
        self.upstreams = UpstreamTable()
        self.slots = GatewaySlots(
            cast(Any, self.cfg),
            clock,
            Metrics(),
            self.directory,
            self.routes,
            self.upstreams,
            cast(Any, self.nodes),
            SlotStore(StoreLink(FakeStore()), "keyed.slots", health),
            controls,
        )

    def put(self, **fields: Any) -> None:
        """Register an engine."""
        self.directory.put(attrs.evolve(ENGINE, **fields)).unwrap()

    def ids(self) -> list[str]:
        """Return the engines that accept texts."""
        return [engine.id for engine in self.slots.engines("engines")]


def test_cordoned_engines_are_not_granted() -> None:
    """A keeper that grants slots of a cordoned engine makes each text ask again."""
    cordoned: set[str] = set()
    listeners: list[Any] = []
    controls = SimpleNamespace(
        listen=listeners.append, is_cordoned=lambda key, _data_center: key in cordoned
    )
    site = Site(controls=controls)
    site.put()
    site.put(id="e-2")
    assert len(site.ids()) == 2
    cordoned.add(site.ids()[0])
    listeners[0](cordoned)
    assert len(site.ids()) == 1 and cordoned.isdisjoint(site.ids())


def test_off_opens_nothing() -> None:
    """Where it is off, peers find no keeper here and no text asks for a slot."""
    slots = Site().slots
    assert isinstance(slots.source, NoSlotSharing)
    assert (slots.peer_handlers, slots.status_handlers) == ([], [])
    assert slots.tasks() == []


def test_engines_are_those_that_accept_texts() -> None:
    """A slot of an engine that drains, or serves no model, is of no use to a text."""
    site = Site()
    site.put()
    site.put(id="e-2", slots=0, versions={"m": 1, "n": 2})
    site.put(id="e-3", draining=True)
    site.put(id="e-4", versions={})
    site.put(id="e-5", service="others")
    assert list(site.slots.engines("engines")) == [
        EngineSlots("e-1@100", "levis", 4, {"m": 3}),
        EngineSlots("e-2@100", "levis", 6, {"m": 1, "n": 2}),
    ]
    assert site.slots.engines("unknown") == ()


def test_change_of_an_engine_is_seen_at_once() -> None:
    """A slot granted on an engine that is gone costs a text a round trip."""
    site = Site()
    site.put()
    assert site.ids() == ["e-1@100"]
    assert site.slots.engines("engines") is site.slots.engines("engines")
    site.put(id="e-2")
    assert site.ids() == ["e-1@100", "e-2@100"]
    site.directory.record_version("e-2@100", "m", 9)
    assert site.slots.engines("engines")[1].versions == {"m": 9}
    site.directory.remove("e-1")
    assert site.ids() == ["e-2@100"]
    site.put(id="e-2", draining=True)
    assert site.ids() == []


@pytest.mark.parametrize("stopping", [False, True])
def test_peers_are_live_gateways_that_do_not_stop(stopping: bool) -> None:
    """A keeper that stops or is gone would be asked in vain."""
    site = Site()
    site.live = {"vm-1", "vm-2", "vm-3", "vm-4"}
    site.heartbeats = [
        NodeHeartbeat("vm-1", "levis", "10.0.0.9:1"),
        NodeHeartbeat("vm-2", "levis", "10.0.0.2:1"),
        NodeHeartbeat("vm-3", "levis", "10.0.0.3:1", stopping=True),
        NodeHeartbeat("vm-4", "levis"),
        NodeHeartbeat("vm-5", "levis", "10.0.0.5:1"),
    ]
    site.nodes.stopping = stopping
    expected = {"vm-2": "10.0.0.2:1"}
    assert site.slots.peers() == (expected if stopping else {**expected, "vm-1": "10.0.0.9:1"})


def test_gateway_without_heartbeats_is_its_own_peer() -> None:
    """A gateway that starts reads no heartbeat yet, and keeps the slots for its own texts."""
    assert Site().slots.peers() == {"vm-1": "10.0.0.9:1"}


@pytest.mark.parametrize(
    ("mode", "models", "gateways", "shared"),
    [
        ("auto", ("m", "n"), 17, True),
        ("auto", ("m", "n"), 16, False),
        ("auto", ("m",), 100, False),
        ("auto", (), 100, False),
        ("on", ("m",), 1, True),
    ],
)
def test_auto_shares_where_models_and_gateways_meet(
    mode: str, models: tuple[str, ...], gateways: int, shared: bool
) -> None:
    """Few gateways see most of the load; an exchange would only cost them a round trip."""
    site = Site()
    site.cfg.slot_sharing, site.nodes.live_count = mode, gateways
    for number, model in enumerate(models):
        site.put(id=f"e-{number}", versions={model: 1})
    assert site.slots.is_shared("engines") is shared
    assert site.slots.is_any_shared() is shared


def test_rates_are_those_measured_lately() -> None:
    """The keeper places long texts by the speeds that gateways measure."""
    site = Site()
    now = SystemClock().monotonic()
    for _ in range(10):
        site.slots.paces.record("e-1@100", 5, timedelta(milliseconds=200), now)
    rates = site.slots.rates()
    assert list(rates) == ["e-1@100"] and rates["e-1@100"] == pytest.approx(25, rel=0.05)


def test_each_idle_connection_is_told() -> None:
    """The keeper places eight texts at an engine to which one connection is idle."""
    site = Site()
    for name, idle in (("e-1", 3), ("e-2", 0), ("e-3", 1)):
        link = SimpleNamespace(
            vm_id=name,
            idle_connections=idle,
            outstanding=0,
            unsent=0,
            listen=lambda _listener: None,
        )
        site.upstreams.add("engines", cast(Any, link), "levis")
        site.upstreams.pool("engines").record_ended(name)
    assert Counter(site.slots.connected("engines")) == {"e-1": 3, "e-3": 1}


def test_connections_are_counted_where_slots_are_shared() -> None:
    """Plain requests are routed otherwise at gateways that share no slots."""
    for mode, counted in (("off", False), ("auto", False), ("on", True)):
        pool = Site(mode).upstreams.pool("files")
        assert pool.counts_connections() is counted


def test_counting_starts_and_ends_with_sharing() -> None:
    """A gateway goes on as its engines were when it was first asked."""
    site = Site("auto")
    pool = site.upstreams.pool("files")
    site.put()
    assert not pool.counts_connections()
    site.put(id="e-2", versions={"n": 1})
    assert pool.counts_connections()
    site.directory.remove("e-2")
    assert not pool.counts_connections()


def test_only_listed_engines_of_kept_services_are_stored() -> None:
    """Engines are replaced all day, and the record of a service would grow with those long gone."""

    async def scene() -> None:
        site = Site("on")
        site.put()
        slots = site.slots
        slots._restore("engines", Learned({"e-1@100": 32.0, "gone@1": 9.0}, 5.0))
        assert slots._learned() == {}
        await slots._keeper.async_exchange(SlotExchange("vm-1", "s", 1, "engines", 0, 1, 0))
        assert slots._learned() == {"engines": Learned({"e-1@100": 32.0}, 5.0)}

    asyncio.run(scene())
