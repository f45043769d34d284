"""Cost of a change of the members at an entry: processor time, bytes, moved connections."""

import gc
import json
import time
import zlib

from result import Ok

from cranberryline.decisions import SubsetChooser, subset
from cranberryline.entry.notices import MemberNotices
from cranberryline.ports.model import VmEntry, VmList, VmRole, VmState
from cranberryline.transport import encode
from cranberryline.upstreams import Membership

from .report import print_fits, print_line
from .target import DATA_CENTERS, ENTRIES, SAMPLERS

__all__ = ["measure", "rows_of"]

_PART = "members"
_SHARES = (0.125, 0.25, 0.5, 1.0)
_QUICK_SHARES = (0.02, 0.04, 0.08)
_RACK = 20
_CHANGES = 10
_OWN = "entry-0003"
_SERVICE = "redacteurs"


def _row(vm_id: str, role: VmRole, number: int) -> VmEntry:
    upstream = role is VmRole.UPSTREAM
    return VmEntry(
        id=vm_id,
        role=role,
        state=VmState.LIVE,
        data_center=f"dc-{number % DATA_CENTERS}",
        peer=f"tcp://10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7001",
        address=(
            f"http://10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9001" if upstream else ""
        ),
        service=_SERVICE if upstream else "",
    )


def rows_of(entries: int, upstreams: int) -> tuple[VmEntry, ...]:
    """Return a VM list of that size."""
    found = [_row(f"entry-{n:04}", VmRole.ENTRY, n) for n in range(entries)]
    found += [_row(f"sampler-{n:05}", VmRole.UPSTREAM, n) for n in range(upstreams)]
    return tuple(found)


def _as_json(rows: tuple[VmEntry, ...]) -> bytes:
    return json.dumps(
        [
            {
                "id": vm.id,
                "role": vm.role.value,
                "state": vm.state.value,
                "data_center": vm.data_center,
                "peer": vm.peer,
                "address": vm.address,
                "service": vm.service,
            }
            for vm in rows
        ]
    ).encode()


def _subsets(rows: tuple[VmEntry, ...], names: list[str]) -> dict[str, frozenset[str]]:
    entries = sorted(vm.id for vm in rows if vm.role is VmRole.ENTRY)
    upstreams = [vm.id for vm in rows if vm.role is VmRole.UPSTREAM]
    return {name: subset(name, entries, upstreams) for name in names if name in entries}


def _moved(before: dict[str, frozenset[str]], after: dict[str, frozenset[str]]) -> float:
    """Return the connections opened and closed at a surviving entry, on average."""
    common = before.keys() & after.keys()
    return sum(len(before[name] ^ after[name]) for name in common) / len(common)


def _measure_size(entries: int, upstreams: int) -> dict[str, float]:
    rows = rows_of(entries, upstreams)
    membership = Membership()
    gc.collect()
    body = _as_json(rows)
    began = time.process_time()
    json.loads(body)
    parsed = time.process_time()
    assert isinstance(membership.apply_list(VmList(1, rows)), Ok)
    first = time.process_time()
    assert isinstance(membership.apply_list(VmList(2, rows[:-1])), Ok)
    applied = time.process_time()
    chooser = SubsetChooser(_OWN)
    names, upstream_ids = _ids(rows, VmRole.ENTRY), _ids(rows, VmRole.UPSTREAM)
    chosen = chooser.choose(names, upstream_ids)
    subsetted = time.process_time()
    began_members = time.process_time()
    notices = MemberNotices(membership).take_changed(sorted(chosen))
    frames = [encode([notice]) for _, notice in notices]
    encoded = time.process_time()
    return {
        "entries": entries,
        "upstreams": upstreams,
        "list_bytes": len(body),
        "list_gzip_bytes": len(zlib.compress(body)),
        "list_parse_ms": _ms(parsed - began),
        "list_apply_ms": _ms(applied - first),
        "subset_ms": _ms(subsetted - applied),
        **_measure_changes(chooser, names, upstream_ids),
        "subset_size": len(chosen),
        "notices": len(frames),
        "notices_bytes": sum(len(part) for message in frames for part in message),
        "notices_ms": _ms(encoded - began_members),
    }


def _measure_changes(
    chooser: SubsetChooser, entries: list[str], upstreams: list[str]
) -> dict[str, float]:
    """Return the mean time of a choice after one upstream, or one entry, left or came back."""
    fewer_upstreams = [(entries, [*upstreams[:n], *upstreams[n + 1 :]]) for n in range(_CHANGES)]
    others = [name for name in entries if name != _OWN][:: max(1, len(entries) // _CHANGES)]
    fewer_entries = [([n for n in entries if n != gone], upstreams) for gone in others]
    return {
        "upstream_change_ms": _ms(_mean_time(chooser, fewer_upstreams, (entries, upstreams))),
        "entry_change_ms": _ms(_mean_time(chooser, fewer_entries, (entries, upstreams))),
    }


def _mean_time(
    chooser: SubsetChooser,
    changed: list[tuple[list[str], list[str]]],
    whole: tuple[list[str], list[str]],
) -> float:
    began = time.process_time()
    for members in changed:
        chooser.choose(*members)
        chooser.choose(*whole)
    return (time.process_time() - began) / (2 * len(changed))


def _ids(rows: tuple[VmEntry, ...], role: VmRole) -> list[str]:
    return [vm.id for vm in rows if vm.role is role]


def _ms(seconds: float) -> float:
    return round(1000 * seconds, 3)


def _measure_moves(entries: int, upstreams: int) -> None:
    """Print what moves at an entry that stays when something leaves."""
    rows = rows_of(entries, upstreams)
    names = [vm.id for vm in rows if vm.role is VmRole.ENTRY][1::13][:12]
    before = _subsets(rows, names)
    gone_entries = {vm.id for vm in rows[: max(1, _RACK * entries // (entries + upstreams))]}
    rack = gone_entries | {vm.id for vm in rows[entries : entries + _RACK - len(gone_entries)]}
    center = {vm.id for vm in rows if vm.data_center == "dc-0"}
    cases = {"upstream": {rows[-1].id}, "entry": {rows[0].id}, "rack": rack, "data_center": center}
    for case, gone in cases.items():
        left = tuple(vm for vm in rows if vm.id not in gone)
        after = _subsets(left, names)
        print_line(
            _PART,
            case=case,
            entries=entries,
            upstreams=upstreams,
            vms_gone=len(gone),
            connections_each=round(sum(map(len, before.values())) / len(before), 1),
            moved_each=round(_moved(before, after), 2),
        )


def measure(quick: bool) -> None:
    """Measure each size in turn."""
    rows = []
    shares = _QUICK_SHARES if quick else _SHARES
    for share in shares:
        row = _measure_size(int(ENTRIES * share), int(SAMPLERS * share))
        rows.append(row)
        print_line(_PART, **row)
    names = (
        "list_bytes",
        "list_gzip_bytes",
        "list_parse_ms",
        "list_apply_ms",
        "subset_ms",
        "subset_size",
    )
    changes = ("upstream_change_ms", "entry_change_ms")
    members = ("notices_bytes", "notices_ms")
    print_fits(_PART, rows, "upstreams", [*names, *changes, *members], SAMPLERS)
    _measure_moves(int(ENTRIES * shares[-1]), int(SAMPLERS * shares[-1]))
