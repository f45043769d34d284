"""Slot sharing of a gateway: its keeper, its client, and how they are reached."""

import uuid
from collections.abc import Coroutine, Mapping
from typing import Any

import attrs

from cranberryline.controls import Controls
from cranberryline.controls.records import ControlKind
from cranberryline.decisions.lengths import TextLengthEstimator
from cranberryline.decisions.moving import EngineRates
from cranberryline.decisions.slot_sharing import should_share
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.ports.store import SharedLog
from cranberryline.routes import ActiveRoutes
from cranberryline.settings import GatewaySettings
from cranberryline.settings.const import SLOT_SHARING_OFF, SLOT_SHARING_ON
from cranberryline.slots import EngineSlots, NoSlotSharing, SlotSource
from cranberryline.slots.client import SlotClient, SlotClientParts
from cranberryline.slots.keeper import SlotKeeper
from cranberryline.slots.memory import Learned, SlotMemory
from cranberryline.upstreams.directory import Directory, Registration

from .nodes import NodeRegistry
from .slot_calls import (
    PATH_SLOTS,
    HttpSlotTransport,
    SlotExchangeHandler,
    SlotStatusHandler,
)

__all__ = ["GatewaySlots", "SlotStore"]

_Handlers = list[tuple[str, type, dict[str, Any]]]


@attrs.frozen
class SlotStore:
    """Where the keepers store what they have learned."""

    log: SharedLog
    topic: str
    health: StoreHealth


class GatewaySlots:
    """Slots that this gateway grants as a keeper, and the `source` of those that it needs.

    `paces` are the event rates that its texts measure, `lengths` the estimates of their lengths.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        clock: Clock,
        metrics: Metrics,
        directory: Directory,
        routes: ActiveRoutes,
        upstreams: UpstreamTable,
        nodes: NodeRegistry,
        store: SlotStore,
        controls: Controls | None = None,
    ) -> None:
        self.source: SlotSource = NoSlotSharing()
        self.paces = EngineRates()
        self.lengths = TextLengthEstimator()
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._directory = directory
        self._routes = routes
        self._upstreams = upstreams
        self._nodes = nodes
        self._store = store
        self._controls = controls
        self._transport = HttpSlotTransport()
        self._is_open = True
        self._engines: dict[str, tuple[EngineSlots, ...]] = {}
        self._model_counts: dict[str, int] = {}
        self._keeper: SlotKeeper | None = None
        self._client: SlotClient | None = None
        self._most_models: int | None = None
        directory.listen_versions(self._forget_engines)
        directory.membership.listen(self._forget_engines)
        routes.listen(self._forget_engines)
        if controls is not None:
            controls.listen(self._forget_engines)
        if cfg.slot_sharing != SLOT_SHARING_OFF:
            self._open()

    def _forget_engines(self, _changed: object) -> None:
        self._engines.clear()
        self._model_counts.clear()
        self._most_models = None

    def _open(self) -> None:
        self._upstreams.count_connections(self.is_any_shared)
        self._keeper = keeper = self._make_keeper()
        self.source = self._client = SlotClient(
            SlotClientParts(
                self._cfg.vm_id,
                uuid.uuid4().hex,
                self._clock,
                keeper,
                self._transport,
                self.peers,
                self.engines,
                self.is_shared,
                self.rates,
                self.connected,
                lambda event: self._metrics.slot_events.labels(event).inc(),
            )
        )

    def _make_keeper(self) -> SlotKeeper:
        controls = self._controls
        if controls is None:
            return SlotKeeper(self._clock, self.engines)
        return SlotKeeper(
            self._clock,
            self.engines,
            weights=controls.weight,
            caps=lambda: controls.caps(ControlKind.TRAINER),
            workspace_weights=controls.workspace_weight,
            workspace_caps=lambda: controls.caps(ControlKind.WORKSPACE),
        )

    @property
    def peer_handlers(self) -> _Handlers:
        """Return the handlers for other gateways."""
        if self._keeper is None:
            return []
        args = {"async_answer": self._keeper.async_exchange, "is_open": lambda: self._is_open}
        return [(PATH_SLOTS, SlotExchangeHandler, args)]

    @property
    def status_handlers(self) -> _Handlers:
        """Return the handlers for operators."""
        if self._keeper is None:
            return []
        return [(PATH_SLOTS, SlotStatusHandler, {"describe": self._keeper.describe})]

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return what runs until the process stops."""
        if self._keeper is None:
            return []
        store = self._store
        memory = SlotMemory(
            store.log, store.topic, self._clock, store.health, self._learned, self._restore
        )
        return [memory.async_run()]

    def stop_answering(self) -> None:
        """Reject the exchanges of peers from now on; they have another keeper by then."""
        self._is_open = False

    async def async_close(self) -> None:
        """End all exchanges and close the connections to peers."""
        if self._client is not None:
            await self._client.async_close()
        self._transport.close()

    def engines(self, service: str) -> tuple[EngineSlots, ...]:
        """Return the engines of a service that accept texts; the same tuple until one changes."""
        engines = self._engines.get(service)
        if engines is None:
            registrations = self._directory.engines().get(service, ())
            engines = tuple(
                self._engine_slots(registration)
                for registration in registrations
                if not self._is_cordoned(registration)
            )
            self._engines[service] = engines
        return engines

    def _is_cordoned(self, registration: Registration) -> bool:
        controls = self._controls
        return controls is not None and controls.is_cordoned(
            registration.key, registration.data_center
        )

    def _engine_slots(self, registration: Registration) -> EngineSlots:
        slots = registration.slots or self._routes.spec(registration.service).concurrency
        versions = self._directory.served_versions(registration.key)
        return EngineSlots(registration.key, registration.data_center, slots, versions)

    def peers(self) -> Mapping[str, str]:
        """Return the peer address of each live gateway that is not stopping, by VM id."""
        cfg, nodes = self._cfg, self._nodes
        live = nodes.live_nodes(self._clock.monotonic())
        found = {
            heartbeat.node: heartbeat.peer
            for heartbeat in nodes.heartbeats()
            if heartbeat.peer and not heartbeat.stopping and heartbeat.node in live
        }
        found.pop(cfg.vm_id, None)
        return found if nodes.stopping else {**found, cfg.vm_id: cfg.peer}

    def is_shared(self, service: str) -> bool:
        """Return whether slots of a service are shared."""
        if self._cfg.slot_sharing == SLOT_SHARING_ON:
            return True
        return should_share(self._count_models(service), self._nodes.live_count)

    def is_any_shared(self) -> bool:
        """Return whether slots of any service are shared."""
        if self._cfg.slot_sharing == SLOT_SHARING_ON:
            return True
        if self._most_models is None:
            services = self._directory.engines()
            self._most_models = max(map(self._count_models, services), default=0)
        return should_share(self._most_models, self._nodes.live_count)

    def _count_models(self, service: str) -> int:
        """Return how many models the engines of a service serve; asked for each text."""
        count = self._model_counts.get(service)
        if count is None:
            models = {model for engine in self.engines(service) for model in engine.versions}
            count = self._model_counts[service] = len(models)
        return count

    def rates(self) -> Mapping[str, float]:
        """Return the events per second of single texts that were measured here lately."""
        return dict(self.paces.faster_than(0.0, self._clock.monotonic()))

    def connected(self, service: str) -> tuple[str, ...]:
        """Return the upstreams of a service, each as often as it has spare idle connections."""
        return tuple(
            upstream.id
            for upstream in self._upstreams.pool(service).recent()
            for _ in range(upstream.spare_connections)
        )

    def _learned(self) -> dict[str, Learned]:
        """Return what is known of the services that this gateway keeps the slots of."""
        assert self._keeper is not None
        tokens_per_event = self.lengths.tokens_per_event or 0.0
        return {
            service: Learned(self._listed_speeds(self._keeper, service), tokens_per_event)
            for service in self._keeper.served()
        }

    def _listed_speeds(self, keeper: SlotKeeper, service: str) -> dict[str, float]:
        listed = {engine.id for engine in self.engines(service)}
        known = keeper.known_speeds(service)
        return {engine: rate for engine, rate in known.items() if engine in listed}

    def _restore(self, service: str, learned: Learned) -> None:
        assert self._keeper is not None
        self._keeper.restore_speeds(service, learned.rates)
        self.lengths.restore(learned.tokens_per_event)
