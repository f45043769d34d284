"""Registrations of upstreams in the platform's store, and the membership derived from them."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.model import VmEntry, VmRole, VmState

from .const import MAX_LEFT_IDS
from .errors import RegistrationProblem
from .membership import Membership
from .versions import UpstreamVersions

__all__ = ["Directory", "Registration"]

_LOGGER = get_logger(__name__)

# Registrations that expired because the store was unavailable are renewed within two seconds of its
# return. Removing them at once would leave a service without upstreams although all are healthy. One that
# is missing later than that belongs to an upstream that has left.
_LAPSE_GRACE = timedelta(milliseconds=2400)
# Each rejected entry is counted, but heartbeats repeat it about every second. It is logged only if
# no entry was rejected within this time before.
_REJECTION_QUIET_PERIOD = timedelta(seconds=10)


@attrs.frozen
class Registration:
    """What an upstream publishes about itself.

    `born` is the Unix time in milliseconds at which its process started, or 0 if it is not given.
    An upstream that restarts under the same id is a new incarnation without any earlier state.
    """

    id: str
    service: str
    address: str
    data_center: str
    slots: int
    draining: bool
    versions: Mapping[str, int]
    born: int = 0

    @property
    def key(self) -> str:
        """Return the id together with the start time, which identifies this incarnation.

        All state about an upstream is stored by this key: versions, health, outstanding requests,
        pooled connections and cooldowns. So no state of an earlier incarnation applies to a new
        one. Only messages written to the upstream need its id.
        """
        return f"{self.id}@{self.born}" if self.born else self.id


class Directory(UpstreamVersions):
    """Applies registrations to the membership and tracks the model versions that engines serve.

    Registrations are addressed by upstream id, all other methods and listeners by incarnation key.
    `call_later` schedules one callback soon, so that N entries that are read at once are published
    once, and listeners of the membership do the work of a change once. `source` names the partition
    of the store that the registrations are read from. `unread_for` returns for how long a change of it
    may have stood unread, None before the first read.
    """

    def __init__(
        self,
        clock: Clock,
        health: StoreHealth,
        call_later: Callable[[Callable[[], None]], object] | None = None,
        source: str = "",
        unread_for: Callable[[], timedelta | None] = lambda: None,
    ) -> None:
        self._unread_for = unread_for
        self._source = source
        self.membership = Membership(may_be_empty=True)
        self._clock = clock
        self._health = health
        self._call_later = call_later
        self._publish_scheduled = False
        self._registrations: dict[str, Registration] = {}
        self._vm_entries: dict[str, VmEntry] = {}
        self._key_by_id: dict[str, str] = {}
        self._newest_by_id: OrderedDict[str, Registration] = OrderedDict()
        self._lapsed_until: dict[str, timedelta] = {}
        self._reported_versions: dict[str, dict[str, int]] = {}
        self._unpublished: set[str] = set()
        self._last_rejection: timedelta | None = None
        self._listeners: list[Callable[[Registration], None]] = []
        self._superseded_listeners: list[Callable[[str], None]] = []
        self._version_listeners: list[Callable[[str], None]] = []

    def listen(self, listener: Callable[[Registration], None]) -> None:
        """Call a listener with each registration."""
        self._listeners.append(listener)

    def listen_superseded(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the key of each incarnation that a newer one replaces."""
        self._superseded_listeners.append(listener)

    def listen_versions(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the key of each incarnation whose known versions have changed."""
        self._version_listeners.append(listener)

    def put(self, registration: Registration) -> Result[None, RegistrationProblem]:
        """Apply a new or changed registration; the error says why it was rejected."""
        newest = self._newest_by_id.get(registration.id)
        if newest is not None and newest.born and not registration.born:
            # An upstream gives its start time either always or never, so another writer wrote this.
            self.reject(registration.id, RegistrationProblem.BAD_START)
            return Err(RegistrationProblem.BAD_START)
        if newest is not None and registration.born < newest.born:
            return Err(RegistrationProblem.OLD_START)
        if newest is not None and newest.key != registration.key:
            self._supersede(newest)
        elif newest is not None and newest.draining and not registration.draining:
            # This was written before the drain notice but read after it. A drain is final for an
            # incarnation.
            registration = attrs.evolve(registration, draining=True)
        self._remember_newest(registration)
        known = self._registrations.get(registration.key)
        self._lapsed_until.pop(registration.key, None)
        self._reported_versions.pop(registration.key, None)
        self._registrations[registration.key] = registration
        self._key_by_id[registration.id] = registration.key
        for listener in self._listeners:
            listener(registration)
        self._notify_versions(registration.key)
        if known is None or _published_fields(known) != _published_fields(registration):
            self._vm_entries[registration.key] = _vm_entry(registration)
            self._unpublished.add(registration.key)
            _LOGGER.info(
                "upstream_registered",
                upstream=registration.key,
                service=registration.service,
                draining=registration.draining,
                unread_ms=self._unread_ms(),
            )
            self._publish()
        return Ok(None)

    def remove(self, upstream_id: str) -> None:
        """Remove a registration, after a grace period if it may have expired in an outage.

        A draining upstream is removed at once, since its end was announced.
        """
        key = self._key_by_id.get(upstream_id)
        if key is None:
            return
        grace_ends_at = self._grace_ends_at()
        if not self._registrations[key].draining and grace_ends_at > self._clock.monotonic():
            self._lapsed_until[key] = grace_ends_at
            _LOGGER.info("upstream_lapsed", upstream=key)
            return
        self._drop(key)
        self._publish()

    def reject(self, upstream_id: str, problem: RegistrationProblem) -> None:
        """Reject an invalid entry, and stop using its upstream until the next valid entry.

        The invalid entry is from another writer, so what the upstream itself published about its
        incarnation is kept, in particular a drain.
        """
        now = self._clock.monotonic()
        if self._last_rejection is None or now - self._last_rejection >= _REJECTION_QUIET_PERIOD:
            _LOGGER.warning("registration_refused", upstream=upstream_id, problem=problem)
        self._last_rejection = now
        key = self._key_by_id.get(upstream_id)
        if key is not None:
            self._drop(key)
            self._publish()

    def expire(self) -> None:
        """Remove the registrations that lapsed and were not renewed within the grace period."""
        now = self._clock.monotonic()
        expired = [key for key, until in self._lapsed_until.items() if now >= until]
        for key in expired:
            self._drop(key)
        if expired:
            self._publish()

    def get(self, upstream: str) -> Registration | None:
        """Return the registration of an incarnation, or None if it is not registered."""
        return self._registrations.get(upstream)

    def engines(self) -> dict[str, list[Registration]]:
        """Return the registrations that serve models and are not draining, by service."""
        found: dict[str, list[Registration]] = {}
        for registration in self._registrations.values():
            if registration.versions and not registration.draining:
                found.setdefault(registration.service, []).append(registration)
        return found

    def version(self, upstream: str, model: str) -> int | None:
        """Return the newest version that the upstream is known to serve, or None."""
        reported = self._reported_versions.get(upstream, {}).get(model)
        if reported is not None:
            return reported
        registration = self._registrations.get(upstream)
        return None if registration is None else registration.versions.get(model)

    def served_versions(self, upstream: str) -> Mapping[str, int]:
        """Return the newest version that the upstream is known to serve of each model."""
        registration = self._registrations.get(upstream)
        registered = {} if registration is None else registration.versions
        reported = self._reported_versions.get(upstream)
        return registered if reported is None else {**registered, **reported}

    def record_version(self, upstream: str, model: str, version: int) -> None:
        """Record the version that a response reported; it is newer than the registration's."""
        if upstream in self._registrations and self.version(upstream, model) != version:
            self._reported_versions.setdefault(upstream, {})[model] = version
            self._notify_versions(upstream)

    def _grace_ends_at(self) -> timedelta:
        """Return the time until which a registration that expired in an outage may be renewed.

        Where no return of the store is known, a removal that was read now shows that it is back.
        """
        outage = self._health.last_outage(self._source)
        if outage is None:
            return timedelta()
        returned_at = outage.returned_at
        return (self._clock.monotonic() if returned_at is None else returned_at) + _LAPSE_GRACE

    def _notify_versions(self, key: str) -> None:
        for listener in self._version_listeners:
            listener(key)

    def _supersede(self, registration: Registration) -> None:
        """End an incarnation that a newer one replaces, even if it was removed before."""
        if registration.key in self._registrations:
            self._drop(registration.key)
        # The event means that this incarnation is over, not that the upstream starts again.
        _LOGGER.info("upstream_start_over", upstream=registration.key)
        for listener in self._superseded_listeners:
            listener(registration.key)

    def _remember_newest(self, registration: Registration) -> None:
        """Store the newest incarnation of each id, including removed ones up to a limit."""
        self._newest_by_id[registration.id] = registration
        self._newest_by_id.move_to_end(registration.id)
        while len(self._newest_by_id) > max(MAX_LEFT_IDS, 2 * len(self._key_by_id)):
            self._newest_by_id.popitem(last=False)

    def _drop(self, key: str) -> None:
        registration = self._registrations.pop(key)
        del self._vm_entries[key]
        self._unpublished.add(key)
        self._key_by_id.pop(registration.id, None)
        self._lapsed_until.pop(key, None)
        self._reported_versions.pop(key, None)
        _LOGGER.info("upstream_gone", upstream=key, unread_ms=self._unread_ms())

    def _unread_ms(self) -> int | None:
        """Return the milliseconds that a record may have stood unread that is applied now."""
        unread_for = self._unread_for()
        return None if unread_for is None else in_milliseconds(unread_for)

    def _publish(self) -> None:
        if self._call_later is None:
            self._publish_now()
        elif not self._publish_scheduled:
            self._publish_scheduled = True
            self._call_later(self._publish_now)

    def _publish_now(self) -> None:
        self._publish_scheduled = False
        changed, self._unpublished = self._unpublished, set()
        rows = [self._vm_entries[key] for key in sorted(changed) if key in self._vm_entries]
        self.membership.apply_rows(rows, changed - self._vm_entries.keys())


def _published_fields(registration: Registration) -> tuple[bool, str, str, str]:
    """Return the fields shown in the VM list; a heartbeat that changes none publishes no list."""
    return (
        registration.draining,
        registration.address,
        registration.service,
        registration.data_center,
    )


def _vm_entry(registration: Registration) -> VmEntry:
    state = VmState.LEAVING if registration.draining else VmState.LIVE
    return VmEntry(
        id=registration.key,
        role=VmRole.UPSTREAM,
        state=state,
        data_center=registration.data_center,
        peer="",
        address=f"http://{registration.address}",
        service=registration.service,
        name=registration.id,
    )
