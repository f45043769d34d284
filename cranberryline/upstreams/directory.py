"""The upstreams that registered themselves, as the platform's store lists them."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.model import VmEntry, VmList, VmRole, VmState

from .const import LEFT_IDS_KEPT
from .errors import RegistrationProblem
from .membership import Membership
from .versions import UpstreamVersions

__all__ = ["Directory", "Registration"]

_LOGGER = get_logger(__name__)

# Registrations that lapsed because the store was out are back within two seconds of its return. Taken
# at their word at once, they would leave a service without upstreams that are all well.
_LAPSE_GRACE = timedelta(milliseconds=2400)
_TROUBLE_MEMORY = timedelta(seconds=3)
# Refused entries are counted each; of a burst of them, which comes about as often as upstreams beat, one
# line says enough.
_BURST = timedelta(seconds=10)


@attrs.frozen
class Registration:
    """What an upstream says of itself.

    `born` is the Unix millisecond of its start, 0 where it tells none. An upstream that starts again
    under its id holds and knows nothing of before.
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
        """Return what tells this start from others of the same id.

        Everything that is kept about an upstream is kept by this text, so nothing of a former start
        can be taken for the new one's: versions learned, health marks, counts of what is outstanding,
        kept connections, rests. Only who writes to the upstream needs its id.
        """
        return f"{self.id}@{self.born}" if self.born else self.id


class Directory(UpstreamVersions):
    """Fold registrations into the membership, and know the versions that engines serve.

    Registrations come by id; all else is asked and told by a start's key. `later` calls back once, soon:
    a list of N entries that is read in one turn is then published once, not N times at N rows each. At 912
    entries that took 56 ms of processor time in place of 3,769 (bench capacity registrations, with and
    without `later`); at the design's 7,300 it is the difference between a second and minutes.
    """

    def __init__(
        self,
        clock: Clock,
        health: StoreHealth,
        later: Callable[[Callable[[], None]], object] | None = None,
    ) -> None:
        self.membership = Membership(may_be_empty=True)
        self._clock = clock
        self._health = health
        self._later = later
        self._publish_due = False
        self._rows: dict[str, Registration] = {}
        self._listed: dict[str, VmEntry] = {}
        self._keys: dict[str, str] = {}
        self._newest: OrderedDict[str, Registration] = OrderedDict()
        self._lapsed: dict[str, timedelta] = {}
        self._learned: dict[str, dict[str, int]] = {}
        self._version = 0
        self._refused_at: timedelta | None = None
        self._listeners: list[Callable[[Registration], None]] = []
        self._over_listeners: list[Callable[[str], None]] = []

    def listen(self, listener: Callable[[Registration], None]) -> None:
        """Call back with each registration."""
        self._listeners.append(listener)

    def listen_over(self, listener: Callable[[str], None]) -> None:
        """Call back with the key of each start that a newer one has followed."""
        self._over_listeners.append(listener)

    def put(self, row: Registration) -> Result[None, RegistrationProblem]:
        """Take a registration, new or changed; an Err says why it is not in force."""
        newest = self._newest.get(row.id)
        if newest is not None and newest.born and not row.born:
            # An upstream tells its start always or never, so this was written by somebody else.
            self.refuse(row.id, RegistrationProblem.BAD_START)
            return Err(RegistrationProblem.BAD_START)
        if newest is not None and row.born < newest.born:
            return Err(RegistrationProblem.OLD_START)
        if newest is not None and newest.key != row.key:
            self._end_start(newest)
        elif newest is not None and newest.draining and not row.draining:
            # Written before the notice and told after it: the notice stands for this start.
            row = attrs.evolve(row, draining=True)
        self._remember(row)
        known = self._rows.get(row.key)
        self._lapsed.pop(row.key, None)
        self._learned.pop(row.key, None)
        self._rows[row.key] = row
        self._keys[row.id] = row.key
        for listener in self._listeners:
            listener(row)
        if known is None or _published(known) != _published(row):
            self._listed[row.key] = _row(row)
            _LOGGER.info(
                "upstream_registered", upstream=row.key, service=row.service, draining=row.draining
            )
            self._publish()
        return Ok(None)

    def remove(self, upstream_id: str) -> None:
        """Take the end of a registration, later if the store was in trouble just now."""
        key = self._keys.get(upstream_id)
        if key is None:
            return
        if not self._rows[key].draining and self._health.failed_within(_TROUBLE_MEMORY):
            self._lapsed[key] = self._clock.monotonic() + _LAPSE_GRACE
            _LOGGER.info("upstream_lapsed", upstream=key)
            return
        self._drop(key)
        self._publish()

    def refuse(self, upstream_id: str, problem: RegistrationProblem) -> None:
        """Take an id out of use whose entry names no upstream, until its next sound entry.

        What the upstream itself said of its start, its drain above all, stands: the entry is not its own.
        """
        now = self._clock.monotonic()
        if self._refused_at is None or now - self._refused_at >= _BURST:
            _LOGGER.warning("registration_refused", upstream=upstream_id, problem=problem)
        self._refused_at = now
        key = self._keys.get(upstream_id)
        if key is not None:
            self._drop(key)
            self._publish()

    def expire(self) -> None:
        """Drop the registrations that lapsed and did not come back."""
        now = self._clock.monotonic()
        due = [key for key, until in self._lapsed.items() if now >= until]
        for key in due:
            self._drop(key)
        if due:
            self._publish()

    def get(self, upstream: str) -> Registration | None:
        """Return the registration of a start, None once that start is over."""
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
        learned = self._learned.get(upstream, {}).get(model)
        if learned is not None:
            return learned
        row = self._rows.get(upstream)
        return None if row is None else row.versions.get(model)

    def learn(self, upstream: str, model: str, version: int) -> None:
        """Take the version that an answer told; it is newer than what the registration says."""
        if upstream in self._rows:
            self._learned.setdefault(upstream, {})[model] = version

    def _end_start(self, row: Registration) -> None:
        """End a start that a newer one follows, also one that had gone or was out of use."""
        if row.key in self._rows:
            self._drop(row.key)
        _LOGGER.info("upstream_start_over", upstream=row.key)
        for listener in self._over_listeners:
            listener(row.key)

    def _remember(self, row: Registration) -> None:
        """Keep the newest start of each id, also of those that have gone, as far as memory allows."""
        self._newest[row.id] = row
        self._newest.move_to_end(row.id)
        while len(self._newest) > max(LEFT_IDS_KEPT, 2 * len(self._keys)):
            self._newest.popitem(last=False)

    def _drop(self, key: str) -> None:
        row = self._rows.pop(key)
        del self._listed[key]
        self._keys.pop(row.id, None)
        self._lapsed.pop(key, None)
        self._learned.pop(key, None)
        _LOGGER.info("upstream_gone", upstream=key)

    def _publish(self) -> None:
        if self._later is None:
            self._publish_now()
        elif not self._publish_due:
            self._publish_due = True
            self._later(self._publish_now)

    def _publish_now(self) -> None:
        self._publish_due = False
        self._version += 1
        self.membership.apply_list(VmList(self._version, tuple(self._listed.values())))


def _published(row: Registration) -> tuple[bool, str, str, str]:
    """Return what a list says of a start; a beat that changes nothing of it publishes nothing."""
    return row.draining, row.address, row.service, row.data_center


def _row(row: Registration) -> VmEntry:
    state = VmState.LEAVING if row.draining else VmState.LIVE
    return VmEntry(
        id=row.key,
        role=VmRole.UPSTREAM,
        state=state,
        data_center=row.data_center,
        peer="",
        address=f"http://{row.address}",
        service=row.service,
        name=row.id,
    )
