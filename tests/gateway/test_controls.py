"""Controls in a gateway: links of cordoned upstreams, nodes for jobs, and controls that are off."""

import asyncio
from datetime import timedelta
from typing import Any, cast

from cranberryline.gateway.controls import GatewayControls
from cranberryline.gateway.nodes import NodeRegistry
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.platform.adapter import UsersPlatform
from cranberryline.platform.const import TOPIC_CONTROLS
from cranberryline.settings import GatewaySettings
from cranberryline.upstreams.directory import Registration
from tests.controls.conftest import make_upstream
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

from .test_links import DirectLinksHarness


class _Nodes:
    """Live nodes as a test sets them."""

    def __init__(self, *live: str) -> None:
        self.live = frozenset(live)

    def live_nodes(self, _since: timedelta) -> frozenset[str]:
        """Return the live nodes."""
        return self.live


class _Gateway:
    """The controls of one gateway, attached to links and nodes."""

    def __init__(self, store: FakeStore, enabled: bool = True) -> None:
        address = "127.0.0.1:1"
        cfg = GatewaySettings(
            vm_id="n0",
            data_center="levis",
            store=address,
            listen=address,
            ready_listen=address,
            peer=address,
            operator_controls=enabled,
        )
        clock, metrics = LoopClock(), Metrics()
        self.log, self.nodes, self.woken = StoreLink(store), _Nodes("n0", "n1"), 0
        health = StoreHealth(clock, metrics)
        platform = UsersPlatform(address)
        self.controls = GatewayControls(cfg, platform, self.log, clock, health, metrics)
        self.harness = DirectLinksHarness(self.controls.is_cordoned, self._attach)
        self.tasks = [asyncio.ensure_future(task) for task in self.controls.tasks()]

    def _attach(self, membership: Any, links: Any) -> None:
        self.controls.attach(membership, links, cast(NodeRegistry, self.nodes), self._wake)

    def _wake(self) -> None:
        self.woken += 1

    def usable(self, service: str = "files") -> set[str]:
        """Return the upstreams that get new requests."""
        return {upstream.id for upstream in self.harness.table.usable(service)}

    async def async_put(self, key: str, value: bytes) -> None:
        """Write a record of a control and wait until it is in force."""
        self.log.put(TOPIC_CONTROLS, key, value)
        await asyncio.sleep(0.1)


_CORDON = b"\x95\xa2n9\xa3ada\x01\xc0\xa0"


def _registration(name: str, data_center: str = "levis") -> Registration:
    return Registration(name, "files", "10.0.0.1:80", data_center, 4, False, {}, 100)


def test_cordoned_upstream_finishes_its_requests_and_gets_a_new_link_afterwards() -> None:
    """It would get new requests, or none any more after the end of the cordon."""

    async def async_run() -> None:
        gateway = _Gateway(FakeStore())
        for name in ("a", "b"):
            gateway.harness.directory.put(_registration(name))
        await asyncio.sleep(0.1)
        (link,) = (u.link for u in gateway.harness.table.usable("files") if u.id == "a@100")
        await gateway.async_put("upstream/a", _CORDON)
        assert gateway.usable() == {"b@100"} and link.draining and gateway.woken
        gateway.harness.directory.put(_registration("c"))
        assert gateway.usable() == {"b@100", "c@100"}
        await gateway.async_put("upstream/a", b"")
        assert gateway.usable() == {"a@100", "b@100", "c@100"}
        (renewed,) = (u.link for u in gateway.harness.table.usable("files") if u.id == "a@100")
        assert renewed is not link and renewed.usable and not link.usable

    run_virtual(async_run())


def test_cordoned_data_center_gets_requests_while_no_other_has_upstreams() -> None:
    """The service would have no upstream until one registers elsewhere, and after that one left."""

    async def async_run() -> None:
        gateway = _Gateway(FakeStore())
        await gateway.async_put("data_center/levis", _CORDON)
        directory = gateway.harness.directory
        directory.put(_registration("a"))
        directory.put(_registration("b"))
        assert gateway.usable() == {"a@100", "b@100"}
        directory.put(_registration("c", "alma"))
        assert gateway.usable() == {"c@100"}
        directory.remove("c")
        assert gateway.usable() == {"a@100", "b@100"}

    run_virtual(async_run())


def test_restarted_upstream_stays_cordoned() -> None:
    """Its id is cordoned, not one start of it."""

    async def async_run() -> None:
        gateway = _Gateway(FakeStore())
        gateway.harness.directory.put(_registration("a"))
        gateway.harness.directory.put(_registration("b"))
        await gateway.async_put("upstream/a", _CORDON)
        restarted = Registration("a", "files", "10.0.0.1:80", "levis", 4, False, {}, 200)
        gateway.harness.directory.put(restarted)
        assert gateway.usable() == {"b@100"}

    run_virtual(async_run())


def test_cordoned_vm_gets_no_items_of_later_jobs() -> None:
    """Others pass over it, and it passes over itself though a node always ranks itself."""

    async def async_run() -> None:
        gateway = _Gateway(FakeStore())
        await asyncio.sleep(1)
        controls, before = gateway.controls, timedelta(seconds=0.5)
        await gateway.async_put("vm/n0", _CORDON)
        now = LoopClock().monotonic()
        assert controls.live_nodes(now) == {"n1"} and not controls.may_start(now)
        assert controls.live_nodes(before) == {"n0", "n1"} and controls.may_start(before)
        await gateway.async_put("vm/n1", _CORDON)
        now = LoopClock().monotonic()
        assert controls.live_nodes(now) == {"n0", "n1"} and controls.may_start(now)

    run_virtual(async_run())


def test_gateway_is_ready_without_controls_that_the_store_does_not_give() -> None:
    """The store fails for that topic; callers must not wait for it longer than 2 s."""

    async def async_run() -> None:
        gateway = _Gateway(FakeStore())
        gateway.log.refusing = lambda topic, _part: topic == TOPIC_CONTROLS
        await asyncio.sleep(1.9)
        assert not gateway.controls.ready
        await asyncio.sleep(0.2)
        assert gateway.controls.ready
        healthy = _Gateway(FakeStore())
        await asyncio.sleep(0.1)
        assert healthy.controls.ready

    run_virtual(async_run())


def test_controls_that_are_off_read_nothing_and_change_nothing() -> None:
    """Whoever does not use controls would pay a poll a second and gateway for them."""

    async def async_run() -> None:
        store = FakeStore()
        gateway = _Gateway(store, enabled=False)
        gateway.harness.directory.put(_registration("a"))
        gateway.harness.directory.put(_registration("b"))
        for key in ("upstream/a", "vm/n0"):
            await gateway.async_put(key, _CORDON)
        controls = gateway.controls
        assert controls.tasks() == [] and controls.handlers() == [] and controls.ready
        assert controls.live_nodes(timedelta()) == {"n0", "n1"} and controls.may_start(timedelta())
        assert not controls.is_cordoned(make_upstream("a"))
        assert gateway.usable() == {"a@100", "b@100"} and controls.controls is None

    run_virtual(async_run())
