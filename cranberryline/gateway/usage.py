"""Counting and reporting of use at a gateway."""

from collections.abc import Coroutine
from typing import Any

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.leases import LeaseKeeper
from cranberryline.platform.ports import PlatformPort
from cranberryline.ports.store import SharedLog
from cranberryline.settings import GatewaySettings
from cranberryline.usage import PeerClock, UsageCounter, UsageReporter, UsageWindows, UsageWriter
from cranberryline.usage.reporter import ReporterParts

from .nodes import NodeHeartbeat, NodeRegistry

__all__ = ["GatewayUsage"]


class GatewayUsage:
    """Counts the requests of workspaces, and reports them while this gateway holds the lease.

    `counter` is None if the settings name no service that takes reports.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        platform: PlatformPort,
        log: SharedLog,
        lease: LeaseKeeper,
        nodes: NodeRegistry,
        clock: Clock,
        health: StoreHealth,
        metrics: Metrics,
    ) -> None:
        self.counter: UsageCounter | None = None
        self._parts: tuple[UsageWriter, UsageReporter] | None = None
        if not cfg.usage_api or cfg.report_window is None:
            return
        windows = UsageWindows(cfg.report_window, cfg.report_late)
        peer_clock = PeerClock(clock)

        def on_heartbeat(heartbeat: NodeHeartbeat) -> None:
            if heartbeat.node != cfg.vm_id:
                peer_clock.record(heartbeat.node, heartbeat.written)

        nodes.listen(on_heartbeat)
        self.counter = UsageCounter(windows, peer_clock, cfg.vm_id)
        writer = UsageWriter(
            self.counter,
            log,
            cfg.vm_id,
            cfg.partitions,
            clock,
            lambda: len(nodes.live_nodes(clock.monotonic())),
        )
        parts = ReporterParts(
            cfg.vm_id,
            log,
            cfg.partitions,
            lease,
            platform.usage(cfg.usage_api),
            clock,
            peer_clock,
            health,
            metrics,
        )
        self._parts = (writer, UsageReporter(parts, windows))

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the background tasks to start."""
        return [] if self._parts is None else [part.async_run() for part in self._parts]

    async def async_close(self) -> None:
        """Store the counts that are not stored; called once no request is served any more."""
        if self._parts is not None:
            await self._parts[0].async_store()
