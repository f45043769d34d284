"""Operator controls of a gateway: their construction, and what they change in the process."""

from collections.abc import Callable, Collection, Coroutine
from datetime import timedelta
from typing import Any

from cranberryline.controls import Controls, ControlWriter
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import KeyedTail, StoreHealth
from cranberryline.platform.ports import PlatformPort
from cranberryline.ports.model import VmEntry
from cranberryline.ports.store import SharedLog
from cranberryline.settings import GatewaySettings
from cranberryline.upstreams import Membership

from .controls_handler import PATH_CONTROLS, ControlsHandler
from .links import DirectLinks
from .nodes import NodeRegistry
from .tasks import run_soon

__all__ = ["GatewayControls"]

# How long startup waits for the controls. Without them callers are served as if there were none.
_LOAD_TIMEOUT = timedelta(seconds=2)
_SYNC_TIMEOUT = timedelta(seconds=1)


class GatewayControls:
    """Applies controls to the links and to the placement of jobs; without them, changes nothing."""

    def __init__(
        self,
        cfg: GatewaySettings,
        platform: PlatformPort,
        store: SharedLog,
        clock: Clock,
        health: StoreHealth,
        metrics: Metrics,
    ) -> None:
        self._node = cfg.vm_id
        self._clock = clock
        self._started_at = clock.monotonic()
        self._membership: Membership | None = None
        self._nodes: NodeRegistry | None = None
        self.controls: Controls | None = None
        if not cfg.operator_controls:
            return
        self.controls = Controls(
            clock,
            health,
            metrics,
            lambda: [] if self._membership is None else self._membership.upstreams(),
            self._live_vms,
            self._is_loaded,
            run_soon,
        )
        topic = platform.topic_controls
        self._tail = KeyedTail(store, topic, clock, health, self.controls.apply_record)
        self._writer = ControlWriter(store, topic, lambda: self._tail.async_sync(_SYNC_TIMEOUT))

    @property
    def ready(self) -> bool:
        """Return whether the controls are off or loaded, or loading them has timed out."""
        if self.controls is None or self._is_loaded():
            return True
        return self._clock.monotonic() - self._started_at >= _LOAD_TIMEOUT

    def attach(
        self,
        membership: Membership,
        links: DirectLinks,
        nodes: NodeRegistry,
        wake: Callable[[], None],
    ) -> None:
        """Follow the upstreams and the nodes; call it before others listen to the membership."""
        self._membership, self._nodes = membership, nodes
        controls = self.controls
        if controls is None:
            return

        def apply(changed: Collection[str]) -> None:
            links.apply(membership, changed)
            wake()

        membership.listen(lambda _: controls.upstreams_changed())
        controls.listen(apply)

    def handlers(self) -> list[tuple[str, Any, dict[str, Any]]]:
        """Return the handlers of the ready server."""
        if self.controls is None:
            return []
        context = {
            "controls": self.controls,
            "writer": self._writer,
            "clock": self._clock,
            "node": self._node,
        }
        return [(PATH_CONTROLS, ControlsHandler, context)]

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return what runs until the process stops."""
        return [] if self.controls is None else [self._tail.async_run(), self.controls.async_run()]

    def is_cordoned(self, upstream: VmEntry) -> bool:
        """Return whether an upstream gets no new requests."""
        if self.controls is None:
            return False
        return self.controls.is_cordoned(upstream.id, upstream.data_center)

    def live_nodes(self, since: timedelta) -> frozenset[str]:
        """Return the nodes that run the items of a job that arrived at `since` (monotonic).

        If all live nodes are cordoned, none of the cordons is in force, or no job would run.
        """
        assert self._nodes is not None
        live = self._nodes.live_nodes(since)
        if self.controls is None:
            return live
        return (live - self.controls.cordoned_vms(since)) or live

    def may_start(self, since: timedelta) -> bool:
        """Return whether this node starts items of a job that arrived at `since` (monotonic).

        A node ranks itself for a job even if it is not among the live nodes.
        """
        if self.controls is None or self._node not in self.controls.cordoned_vms(since):
            return True
        return self._node in self.live_nodes(since)

    def _is_loaded(self) -> bool:
        return self._tail.loaded.is_set()

    def _live_vms(self) -> frozenset[str]:
        if self._nodes is None:
            return frozenset()
        return self._nodes.live_nodes(self._clock.monotonic())
