"""The upstreams that an entry can send work to, and what it has seen of each."""

from datetime import timedelta

import attrs

from cranberryline.configs import ServiceSpec
from cranberryline.decisions import HealthPolicy, HealthState, RateMeter, UpstreamView
from cranberryline.transport import UpstreamLink
from cranberryline.transport.const import HEARTBEAT_BUSY

__all__ = ["PeerTable", "Upstream"]

_HEALTH = HealthPolicy()
# Twice the interval of reports on a connection with work. One without is probed so seldom that
# other entries' work of that time may be long over; the side process queues what comes too early.
_REPORT_COUNTS = 2 * HEARTBEAT_BUSY


@attrs.define(eq=False)
class Upstream:
    """A way to an upstream, with this entry's measurements of it."""

    peer: UpstreamLink
    data_center: str
    pace: RateMeter = attrs.field(factory=RateMeter)
    health: HealthState = attrs.field(factory=HealthState)
    _turns: int = 0
    _rests_until: timedelta = timedelta()

    def has_room(self, spec: ServiceSpec, now: timedelta) -> bool:
        """Tell whether one more request would find a free place, as far as this entry knows.

        The side process's report lags by up to a heartbeat, so own work counts first; what other
        entries run there is the report less the own work that it includes.
        """
        return self._own_requests() < spec.concurrency - self._others_requests(now)

    def places(self, spec: ServiceSpec, now: timedelta) -> int:
        """Return how many requests this entry may have there: its own and the free places."""
        return max(self._own_requests(), spec.concurrency - self._others_requests(now))

    def begin(self, now: timedelta) -> None:
        """Note that work goes there."""
        self._turns += 1
        if _HEALTH.view(self.health, now).probe_due:
            self.health = _HEALTH.probed(self.health, now)

    def end(self, tokens: int, spent: timedelta, now: timedelta) -> None:
        """Note that an attempt is over, with the tokens that it brought in the time spent."""
        self._turns -= 1
        self.pace.record(tokens, spent, now)

    def release(self) -> None:
        """Note that the work of a turn did not go there."""
        self._turns -= 1

    def succeeded(self) -> None:
        """Note a whole answer."""
        self.health = _HEALTH.succeeded(self.health)

    def failed(self, sent: timedelta, now: timedelta) -> None:
        """Note a failure of the upstream itself, and when the work had been sent there."""
        self.health = _HEALTH.failed(self.health, now, sent)

    def turned_away(self, rest: timedelta, now: timedelta) -> None:
        """Note that it did not run what was sent there: it gets nothing else for a while if others can."""
        self._rests_until = max(self._rests_until, now + rest)

    def view(self, spec: ServiceSpec, now: timedelta) -> UpstreamView:
        """Return what routing needs to know."""
        load = self.peer.load
        return UpstreamView(
            id=self.peer.vm_id,
            data_center=self.data_center,
            slots=spec.concurrency,
            own_requests=self._own_requests(),
            own_tokens=self.peer.outstanding_tokens,
            reported_requests=0 if load is None else load.running + load.queued,
            reported_tokens=0 if load is None else load.queued_tokens,
            report_age=None if load is None else now - self.peer.load_at,
            tokens_per_second=self.pace.tokens_per_second(now),
            weight_version=None if load is None else load.weight_version,
            health=_HEALTH.view(self.health, now),
            draining=self.peer.draining,
            connected=self.peer.connected,
            recently_refused=now < self._rests_until,
        )

    def _own_requests(self) -> int:
        """Count turns as soon as they are given: their requests leave a moment later."""
        return max(self.peer.outstanding, self._turns)

    def _others_requests(self, now: timedelta) -> int:
        load = self.peer.load
        if load is None or now - self.peer.load_at > _REPORT_COUNTS:
            return 0
        return max(0, load.running + load.queued - self.peer.outstanding_at_load)


class PeerTable:
    """All ways to upstreams, by VM and by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, dict[str, Upstream]] = {}

    def add(self, service: str, peer: UpstreamLink, data_center: str) -> None:
        """Add a connection to an upstream of a service."""
        members = self._by_service.setdefault(service, {})
        members[peer.vm_id] = Upstream(peer, data_center)

    def remove(self, vm_id: str) -> None:
        """Forget a connection."""
        for members in self._by_service.values():
            members.pop(vm_id, None)

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new work."""
        return [up for up in self._by_service.get(service, {}).values() if up.peer.usable]

    def get(self, service: str, vm_id: str) -> Upstream | None:
        """Return an upstream of a service."""
        return self._by_service.get(service, {}).get(vm_id)

    def all(self) -> list[UpstreamLink]:
        """Return every connection."""
        return [up.peer for members in self._by_service.values() for up in members.values()]
