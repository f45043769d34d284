"""The upstreams that registered themselves, as the platform's store lists them."""

from collections.abc import Callable, Mapping
from datetime import timedelta

import attrs

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs.item import UpstreamVersions
from cranberryline.ports.model import VmEntry, VmList, VmRole, VmState

from .membership import Membership

__all__ = ["Directory", "Registration"]

_LOGGER = get_logger(__name__)

# Registrations that lapsed because the store was out are back within two seconds of its return. Taken
# at their word at once, they would leave a service without upstreams that are all well.
_LAPSE_GRACE = timedelta(milliseconds=2400)
_TROUBLE_MEMORY = timedelta(seconds=3)


@attrs.frozen
class Registration:
    """What an upstream says of itself."""

    id: str
    service: str
    address: str
    data_center: str
    slots: int
    draining: bool
    versions: Mapping[str, int]


class Directory(UpstreamVersions):
    """Fold registrations into the membership, and know the versions that engines serve."""

    def __init__(self, clock: Clock, health: StoreHealth) -> None:
        self.membership = Membership()
        self._clock = clock
        self._health = health
        self._rows: dict[str, Registration] = {}
        self._lapsed: dict[str, timedelta] = {}
        self._learned: dict[tuple[str, str], int] = {}
        self._version = 0
        self._listeners: list[Callable[[Registration], None]] = []

    def listen(self, listener: Callable[[Registration], None]) -> None:
        """Call back with each registration."""
        self._listeners.append(listener)

    def put(self, row: Registration) -> None:
        """Take a registration, new or changed."""
        known = self._rows.get(row.id)
        self._lapsed.pop(row.id, None)
        if known is not None and known.draining and not row.draining:
            # Written before the notice and told after it: the notice stands.
            row = attrs.evolve(row, draining=True)
        self._rows[row.id] = row
        for listener in self._listeners:
            listener(row)
        for model in row.versions:
            self._learned.pop((row.id, model), None)
        if known is None or (known.draining, known.address) != (row.draining, row.address):
            _LOGGER.info(
                "upstream_registered", upstream=row.id, service=row.service, draining=row.draining
            )
            self._publish()

    def remove(self, upstream: str) -> None:
        """Take the end of a registration, later if the store was in trouble just now."""
        row = self._rows.get(upstream)
        if row is None:
            return
        if not row.draining and self._health.failed_within(_TROUBLE_MEMORY):
            self._lapsed[upstream] = self._clock.monotonic() + _LAPSE_GRACE
            _LOGGER.info("upstream_lapsed", upstream=upstream)
            return
        self._drop(upstream)
        self._publish()

    def expire(self) -> None:
        """Drop the registrations that lapsed and did not come back."""
        now = self._clock.monotonic()
        due = [upstream for upstream, until in self._lapsed.items() if now >= until]
        for upstream in due:
            self._drop(upstream)
        if due:
            self._publish()

    def get(self, upstream: str) -> Registration | None:
        """Return a registration."""
        return self._rows.get(upstream)

    def engines(self) -> dict[str, list[Registration]]:
        """Return the registrations with models, by service, without those that drain."""
        found: dict[str, list[Registration]] = {}
        for row in self._rows.values():
            if row.versions and not row.draining:
                found.setdefault(row.service, []).append(row)
        return found

    def version(self, upstream: str, model: str) -> int | None:
        """Return the newest version that the upstream is known to serve."""
        row = self._rows.get(upstream)
        told = None if row is None else row.versions.get(model)
        learned = self._learned.get((upstream, model))
        if learned is None:
            return told
        return learned

    def learn(self, upstream: str, model: str, version: int) -> None:
        """Take the version that an answer told; it is newer than what the registration says."""
        self._learned[(upstream, model)] = version

    def _drop(self, upstream: str) -> None:
        self._rows.pop(upstream, None)
        self._lapsed.pop(upstream, None)
        for key in [key for key in self._learned if key[0] == upstream]:
            del self._learned[key]
        _LOGGER.info("upstream_gone", upstream=upstream)

    def _publish(self) -> None:
        self._version += 1
        rows = tuple(_row(row) for row in self._rows.values())
        self.membership.apply_list(VmList(self._version, rows))


def _row(row: Registration) -> VmEntry:
    state = VmState.LEAVING if row.draining else VmState.LIVE
    return VmEntry(
        id=row.id,
        role=VmRole.UPSTREAM,
        state=state,
        data_center=row.data_center,
        peer="",
        address=f"http://{row.address}",
        service=row.service,
    )
