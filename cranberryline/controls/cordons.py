"""Decide which upstreams cordons take out of the choice, never the last one of a service."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import attrs

from cranberryline.ports.model import VmEntry

from .records import ControlKind

__all__ = ["AppliedCordons", "Cordon", "apply_cordons"]


@attrs.frozen
class Cordon:
    """A cordon of an upstream or of a data center; `key` is that of its record."""

    key: str
    kind: ControlKind
    name: str


@attrs.frozen
class AppliedCordons:
    """The upstreams that get no new requests, by VM id, and what became of each cordon.

    `in_force` and `ignored` are the services for which a cordon is in force or ignored, by its key.
    """

    excluded: frozenset[str] = frozenset()
    in_force: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    ignored: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)


def apply_cordons(upstreams: Iterable[VmEntry], cordons: Sequence[Cordon]) -> AppliedCordons:
    """Apply cordons in their order to the usable upstreams of each service.

    A cordon that would leave a service without any upstream is ignored for that service: its callers
    would be refused, which is worse than a request at an upstream that should get none. The cordons
    before it stay in force, so all gateways with the same records and upstreams decide alike.
    """
    by_name: dict[str, list[VmEntry]] = {}
    by_data_center: dict[str, list[VmEntry]] = {}
    left: Counter[str] = Counter()
    for upstream in upstreams:
        for name in {upstream.name, upstream.id}:
            by_name.setdefault(name, []).append(upstream)
        by_data_center.setdefault(upstream.data_center, []).append(upstream)
        left[upstream.service] += 1
    excluded: set[str] = set()
    in_force: dict[str, tuple[str, ...]] = {}
    ignored: dict[str, tuple[str, ...]] = {}
    for cordon in cordons:
        index = by_data_center if cordon.kind is ControlKind.DATA_CENTER else by_name
        hit = [vm for vm in index.get(cordon.name, ()) if vm.id not in excluded]
        taken = Counter(vm.service for vm in hit)
        last = {service for service, count in taken.items() if count == left[service]}
        excluded.update(vm.id for vm in hit if vm.service not in last)
        left.subtract({service: n for service, n in taken.items() if service not in last})
        ignored[cordon.key] = tuple(sorted(last))
        in_force[cordon.key] = tuple(sorted(taken.keys() - last))
    return AppliedCordons(frozenset(excluded), in_force, ignored)
