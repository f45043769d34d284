"""The upstreams that this process can send requests to, with the state it keeps of each."""

from datetime import timedelta

import attrs

from cranberryline.configs import ServiceSpec
from cranberryline.decisions import HealthPolicy, HealthState, RateMeter, UpstreamView
from cranberryline.transport import UpstreamLink
from cranberryline.transport.const import HEARTBEAT_BUSY

__all__ = ["Upstream", "UpstreamTable"]

_HEALTH = HealthPolicy()
# Twice the interval of load reports on a busy connection. On an idle connection reports are so rare
# that the requests of other entries they show may have ended long ago. If those still run, the side
# process queues what is sent in the meantime.
_MAX_LOAD_REPORT_AGE = 2 * HEARTBEAT_BUSY


@attrs.define(eq=False)
class Upstream:
    """An upstream, its link, and its slots, token rate and health as tracked by this process."""

    link: UpstreamLink
    data_center: str
    token_rate: RateMeter = attrs.field(factory=RateMeter)
    health: HealthState = attrs.field(factory=HealthState)
    _reserved_slots: int = 0
    _cooldown_until: timedelta = timedelta()

    def has_free_slot(self, spec: ServiceSpec, now: timedelta) -> bool:
        """Return whether a slot is free for one more request, as far as this process knows.

        The load report is up to one heartbeat interval old, so own requests are counted locally.
        Those of other entries are the reported requests minus the own ones included in the report.
        """
        return self._own_requests() < spec.concurrency - self._others_requests(now)

    def usable_slots(self, spec: ServiceSpec, now: timedelta) -> int:
        """Return how many slots this process can use: those it already uses and the free ones."""
        return max(self._own_requests(), spec.concurrency - self._others_requests(now))

    def reserve(self, now: timedelta) -> None:
        """Reserve a slot for a request; the request may serve as a health probe."""
        self._reserved_slots += 1
        if _HEALTH.view(self.health, now).probe_due:
            self.health = _HEALTH.probed(self.health, now)

    def complete(self, tokens: int, duration: timedelta, now: timedelta) -> None:
        """Release the slot of an attempt that ended, and record its tokens and duration."""
        self._reserved_slots -= 1
        self.token_rate.record(tokens, duration, now)

    def release(self) -> None:
        """Release a slot to which no request was sent."""
        self._reserved_slots -= 1

    def response_completed(self) -> None:
        """Record a complete response."""
        self.health = _HEALTH.succeeded(self.health)

    def attempt_failed(self, sent_at: timedelta, now: timedelta) -> None:
        """Record a fault of the upstream in an attempt that started at `sent_at`."""
        self.health = _HEALTH.failed(self.health, now, sent_at)

    def request_rejected(self, cooldown: timedelta, now: timedelta) -> None:
        """Record that the upstream rejected a request; others are preferred for `cooldown`."""
        self._cooldown_until = max(self._cooldown_until, now + cooldown)

    def view(self, spec: ServiceSpec, now: timedelta) -> UpstreamView:
        """Return the state of the upstream for routing."""
        load = self.link.load
        return UpstreamView(
            id=self.link.vm_id,
            data_center=self.data_center,
            slots=spec.concurrency,
            own_requests=self._own_requests(),
            own_tokens=self.link.outstanding_tokens,
            reported_requests=0 if load is None else load.running + load.queued,
            reported_tokens=0 if load is None else load.queued_tokens,
            report_age=None if load is None else now - self.link.load_at,
            tokens_per_second=self.token_rate.tokens_per_second(now),
            weight_version=None if load is None else load.weight_version,
            health=_HEALTH.view(self.health, now),
            draining=self.link.draining,
            connected=self.link.connected,
            recently_refused=now < self._cooldown_until,
        )

    def _own_requests(self) -> int:
        """Return the own requests; reservations count before their requests are sent."""
        return max(self.link.outstanding, self._reserved_slots)

    def _others_requests(self, now: timedelta) -> int:
        load = self.link.load
        if load is None or now - self.link.load_at > _MAX_LOAD_REPORT_AGE:
            return 0
        return max(0, load.running + load.queued - self.link.outstanding_at_load)


class UpstreamTable:
    """The upstreams of each service, by VM id."""

    def __init__(self) -> None:
        self._by_service: dict[str, dict[str, Upstream]] = {}

    def add(self, service: str, link: UpstreamLink, data_center: str) -> None:
        """Add an upstream of a service, or replace the one with the same VM id."""
        upstreams = self._by_service.setdefault(service, {})
        upstreams[link.vm_id] = Upstream(link, data_center)

    def remove(self, vm_id: str) -> None:
        """Remove an upstream from all services."""
        for upstreams in self._by_service.values():
            upstreams.pop(vm_id, None)

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new requests."""
        return [up for up in self._by_service.get(service, {}).values() if up.link.usable]

    def total_slots(self, service: str, spec: ServiceSpec) -> int:
        """Return how many requests the usable upstreams of a service can run at once."""
        return len(self.usable(service)) * spec.concurrency

    def get(self, service: str, vm_id: str) -> Upstream | None:
        """Return an upstream of a service, None if it is not in the table."""
        return self._by_service.get(service, {}).get(vm_id)

    def all(self) -> list[UpstreamLink]:
        """Return the links to all upstreams."""
        return [up.link for upstreams in self._by_service.values() for up in upstreams.values()]
