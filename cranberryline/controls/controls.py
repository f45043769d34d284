"""Controls in force at this gateway: shares of trainers, and cordons."""

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta

import attrs
from result import Err

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.model import VmEntry
from cranberryline.ports.store import KeyedRecord

from .const import DEFAULT_WEIGHT
from .cordons import AppliedCordons, Cordon, apply_cordons
from .records import ControlKind, ControlRecord, control_key, decode_control, parse_key

__all__ = ["ControlListener", "ControlRow", "Controls"]

_LOGGER = get_logger(__name__)

# Within this time after its end a control no longer holds.
_EXPIRY_INTERVAL = timedelta(milliseconds=500)

# Jobs that arrived before are over.
_KEEP_VM_CORDONS = timedelta(hours=1)

ControlListener = Callable[[Collection[str]], None]


@attrs.frozen
class ControlRow:
    """A control as shown to operators.

    `why_not` is empty if it is in force, at least for some services; `ignored_for` are the services
    for which it is not.
    """

    kind: ControlKind
    name: str
    record: ControlRecord
    why_not: str = ""
    ignored_for: tuple[str, ...] = ()


@attrs.frozen
class _Control:
    kind: ControlKind
    name: str
    record: ControlRecord
    offset: int
    known_at: timedelta


@attrs.frozen
class _VmCordon:
    """When this gateway learned of the last cordon of a VM and of its end (monotonic)."""

    since: timedelta
    until: timedelta | None = None

    def contains(self, moment: timedelta) -> bool:
        """Return whether the VM was cordoned at a moment."""
        return self.since <= moment and (self.until is None or moment < self.until)


class Controls:
    """Keeps the newest record of each control, and what follows from all that are in force.

    `upstreams` returns the usable upstreams, cordoned ones included; `live_vms` the ids of the live
    gateway VMs. `is_loaded` returns whether the topic was read up to its end. `call_later` schedules
    one callback soon, so that many records that are read at once are taken in once.

    A control ends when this gateway's clock passes its end, which is on the clock of the gateway
    that set it. Where their clocks differ, it ends here earlier or later by that much.
    """

    def __init__(
        self,
        clock: Clock,
        health: StoreHealth,
        metrics: Metrics,
        upstreams: Callable[[], Iterable[VmEntry]],
        live_vms: Callable[[], Collection[str]],
        is_loaded: Callable[[], bool],
        call_later: Callable[[Callable[[], None]], object] | None = None,
    ) -> None:
        self._clock = clock
        self._health = health
        self._metrics = metrics
        self._upstreams = upstreams
        self._live_vms = live_vms
        self._is_loaded = is_loaded
        self._call_later = call_later
        self._refresh_scheduled = False
        self._controls: dict[str, _Control] = {}
        self._active: dict[str, ControlRecord] = {}
        self._caps: dict[ControlKind, dict[str, int]] = {}
        self._applied = AppliedCordons()
        # Upstreams by id and by VM id: all that are usable, and the cordoned ones.
        self._known_upstreams: frozenset[str] = frozenset()
        self._cordoned_upstreams: frozenset[str] = frozenset()
        self._vm_cordons: dict[str, _VmCordon] = {}
        self._ignored_logged: set[tuple[str, str]] = set()
        self._listeners: list[ControlListener] = []

    def listen(self, listener: ControlListener) -> None:
        """Call a listener after each change, with the ids of the upstreams whose cordon changed."""
        self._listeners.append(listener)

    def weight(self, trainer: str, workspace: str = "") -> float:
        """Return the weight of a trainer, else that of its workspace, else 1."""
        for record in self._shares(trainer, workspace):
            if record.weight is not None:
                return record.weight
        return DEFAULT_WEIGHT

    def cap(self, trainer: str) -> int | None:
        """Return how many engine slots a trainer may use at once, or None for any number."""
        record = self._active.get(control_key(ControlKind.TRAINER, trainer))
        return None if record is None else record.cap

    def workspace_cap(self, workspace: str) -> int | None:
        """Return how many slots all trainers of a workspace may use together, or None."""
        record = self._active.get(control_key(ControlKind.WORKSPACE, workspace))
        return None if record is None else record.cap

    def workspace_weight(self, workspace: str) -> float:
        """Return the weight of a workspace, else 1."""
        record = self._active.get(control_key(ControlKind.WORKSPACE, workspace))
        return DEFAULT_WEIGHT if record is None or record.weight is None else record.weight

    def caps(self, kind: ControlKind) -> Mapping[str, int]:
        """Return the caps in force by the name of a trainer or a workspace."""
        return self._caps.get(kind, {})

    def is_cordoned(self, upstream_id: str, data_center: str) -> bool:
        """Return whether an upstream, by its id or its VM id, gets no new requests."""
        if upstream_id in self._known_upstreams:
            return upstream_id in self._cordoned_upstreams
        keys = (
            control_key(ControlKind.UPSTREAM, upstream_id),
            control_key(ControlKind.DATA_CENTER, data_center),
        )
        return any(key in self._active for key in keys)

    def cordoned_vms(self, since: timedelta | None = None) -> frozenset[str]:
        """Return the gateway VMs that get no new items of jobs.

        With `since`, return those that get none of a job that arrived then (monotonic): a job keeps
        its VMs when a cordon begins or ends later, so that its items don't run twice.
        """
        moment = self._clock.monotonic() if since is None else since
        return frozenset(vm for vm, cordon in self._vm_cordons.items() if cordon.contains(moment))

    def rows(self) -> list[ControlRow]:
        """Return every control that was not taken back, sorted by kind and name."""
        return [self._row(key, self._controls[key]) for key in sorted(self._controls)]

    def __contains__(self, key: str) -> bool:
        return key in self._controls

    def __len__(self) -> int:
        return len(self._controls)

    def apply_record(self, keyed: KeyedRecord) -> None:
        """Apply a record from the store; an invalid one is counted, and its key keeps the last."""
        parsed = parse_key(keyed.key)
        if isinstance(parsed, Err):
            detail = str(parsed.unwrap_err())
            self._health.unsound("control_key_unreadable", key=keyed.key, detail=detail)
            return
        kind, name = parsed.unwrap()
        if not keyed.value:
            if self._controls.pop(keyed.key, None) is not None:
                self._refresh_soon()
            return
        decoded = decode_control(kind, keyed.value)
        if isinstance(decoded, Err):
            detail = decoded.unwrap_err()
            self._health.unsound("control_unreadable", key=keyed.key, detail=detail)
            return
        known_at = self._clock.monotonic() if self._is_loaded() else timedelta()
        self._controls[keyed.key] = _Control(kind, name, decoded.unwrap(), keyed.offset, known_at)
        self._refresh_soon()

    def refresh(self) -> None:
        """Take in changes of the controls, of the upstreams and of the time."""
        self._refresh_scheduled = False
        before, excluded = self._active, self._applied.excluded
        self._active = self._find_active()
        self._caps = self._find_caps()
        for key in sorted(before.keys() & self._controls.keys() - self._active.keys()):
            _LOGGER.info("control_ended", key=key)
        self._refresh_vms()
        self._refresh_upstreams()
        changed = excluded ^ self._applied.excluded
        if changed or before != self._active:
            for listener in self._listeners:
                listener(changed)

    def upstreams_changed(self) -> None:
        """Take in a change of the usable upstreams."""
        if self._controls:
            self.refresh()

    async def async_run(self) -> None:
        """End controls in time, until cancelled."""
        while True:
            await self._clock.async_sleep(_EXPIRY_INTERVAL)
            if self._find_active().keys() != self._active.keys():
                self.refresh()

    def _refresh_soon(self) -> None:
        if self._call_later is None:
            self.refresh()
        elif not self._refresh_scheduled:
            self._refresh_scheduled = True
            self._call_later(self.refresh)

    def _find_active(self) -> dict[str, ControlRecord]:
        """Return the records whose end has not passed."""
        now = self._clock.now().timestamp()
        return {
            key: control.record
            for key, control in self._controls.items()
            if control.record.until is None or now < control.record.until
        }

    def _find_caps(self) -> dict[ControlKind, dict[str, int]]:
        """Return the caps in force by kind and name."""
        caps: dict[ControlKind, dict[str, int]] = {}
        for key, record in self._active.items():
            if record.cap is not None:
                control = self._controls[key]
                caps.setdefault(control.kind, {})[control.name] = record.cap
        return caps

    def _shares(self, trainer: str, workspace: str) -> list[ControlRecord]:
        keys = (
            control_key(ControlKind.TRAINER, trainer),
            control_key(ControlKind.WORKSPACE, workspace),
        )
        return [self._active[key] for key in keys if key in self._active]

    def _refresh_upstreams(self) -> None:
        cordons = [
            Cordon(key, control.kind, control.name)
            for key, control in sorted(self._controls.items(), key=lambda pair: pair[1].offset)
            if key in self._active
            and control.kind in (ControlKind.UPSTREAM, ControlKind.DATA_CENTER)
        ]
        upstreams = list(self._upstreams()) if cordons else []
        self._applied = apply_cordons(upstreams, cordons)
        self._known_upstreams = _ids(upstreams)
        self._cordoned_upstreams = _ids(vm for vm in upstreams if vm.id in self._applied.excluded)
        self._log_ignored()

    def _refresh_vms(self) -> None:
        """Record when cordons of VMs began and ended; those read at the start have always held."""
        now = self._clock.monotonic()
        active = {
            control.name: control.known_at
            for key, control in self._controls.items()
            if key in self._active and control.kind is ControlKind.VM
        }
        for vm, cordon in list(self._vm_cordons.items()):
            if cordon.until is None and vm not in active:
                self._vm_cordons[vm] = attrs.evolve(cordon, until=now)
            elif cordon.until is not None and now - cordon.until > _KEEP_VM_CORDONS:
                del self._vm_cordons[vm]
        for vm, known_at in active.items():
            known = self._vm_cordons.get(vm)
            if known is None or known.until is not None:
                self._vm_cordons[vm] = _VmCordon(known_at)

    def _log_ignored(self) -> None:
        ignored = {
            (key, service)
            for key, services in self._applied.ignored.items()
            for service in services
        }
        for key, service in sorted(ignored - self._ignored_logged):
            self._metrics.drop("cordon_of_last_upstream")
            _LOGGER.warning("control_ignored", key=key, service=service, why="last upstream")
        self._ignored_logged = ignored

    def _row(self, key: str, control: _Control) -> ControlRow:
        ignored = self._applied.ignored.get(key, ())
        why_not = ""
        if key not in self._active:
            why_not = "its end has passed"
        elif control.kind is ControlKind.VM:
            why_not = self._why_vm_ignored()
        elif ignored and not self._applied.in_force.get(key):
            why_not = f"no upstream would be left of {', '.join(ignored)}"
        return ControlRow(control.kind, control.name, control.record, why_not, ignored)

    def _why_vm_ignored(self) -> str:
        live = frozenset(self._live_vms())
        if live and live <= self.cordoned_vms():
            return "no gateway would be left for jobs"
        return ""


def _ids(upstreams: Iterable[VmEntry]) -> frozenset[str]:
    """Return the ids and the VM ids of upstreams; the latter differ with each start."""
    return frozenset(name for vm in upstreams for name in (vm.id, vm.name) if name)
