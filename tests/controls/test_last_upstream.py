"""Cordons never leave a service without upstreams."""

import asyncio
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.controls import ControlKind
from cranberryline.controls.cordons import Cordon, apply_cordons
from cranberryline.ports.model import VmEntry

from .conftest import PROPAGATION_SECONDS, Cluster, make_upstream, run_scenario

_IGNORED = "cordon_of_last_upstream"


def test_cordon_of_the_last_upstream_is_ignored_until_another_joins() -> None:
    """Callers of the service would be left without any upstream."""

    async def scenario(cluster: Cluster) -> None:
        cluster.upstreams += [make_upstream("a"), make_upstream("b")]
        first, second = cluster.nodes
        await first.async_set("upstream/b")
        await second.async_set("upstream/a")
        await asyncio.sleep(PROPAGATION_SECONDS)
        for node in cluster.nodes:
            assert node.cordoned() == {"b"}
            why_not = "no upstream would be left of engines"
            assert node.why_not() == {"upstream/a": why_not, "upstream/b": ""}
            assert node.metrics.value("cranberryline_drops_total", reason=_IGNORED) == 1
        await first.async_set("trainer/t", b'{"weight": 2}')
        await first.async_clear("trainer/t")
        assert first.metrics.value("cranberryline_drops_total", reason=_IGNORED) == 1
        cluster.upstreams.append(make_upstream("c"))
        first.controls.upstreams_changed()
        assert first.cordoned() == {"a", "b"} and not any(first.why_not().values())
        cluster.upstreams.pop()
        first.controls.upstreams_changed()
        assert first.cordoned() == {"b"}
        await first.async_clear("upstream/b")
        assert first.cordoned() == {"a"}

    run_scenario(scenario)


def test_cordon_of_a_data_center_spares_a_service_that_runs_only_there() -> None:
    """It holds for the other services, and is shown with the service that it is ignored for."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        cluster.upstreams += [
            make_upstream("a", "engines", "levis"),
            make_upstream("b", "engines", "alma"),
            make_upstream("c", "files", "levis"),
        ]
        await node.async_set("data_center/levis")
        assert node.cordoned() == {"a"}
        (row,) = node.controls.rows()
        assert (row.why_not, row.ignored_for) == ("", ("files",))
        assert node.controls.is_cordoned("unknown", "levis")
        assert not node.controls.is_cordoned("unknown", "alma")

    run_scenario(scenario, gateways=1)


def test_cordons_of_all_gateways_are_shown_as_not_in_force() -> None:
    """The gateway passes over them, since no job would run."""

    async def scenario(cluster: Cluster) -> None:
        first, _ = cluster.nodes
        await first.async_set("vm/n0")
        assert first.why_not() == {"vm/n0": ""}
        await first.async_set("vm/n1")
        assert set(first.why_not().values()) == {"no gateway would be left for jobs"}

    run_scenario(scenario)


_NAMES = st.sampled_from("abcdef")
_UPSTREAMS = st.lists(
    st.builds(make_upstream, _NAMES, st.sampled_from(["s", "t"]), st.sampled_from(["x", "y"])),
    unique_by=lambda vm: vm.name,
)
_CORDONS = st.lists(
    st.tuples(st.just(ControlKind.UPSTREAM), _NAMES)
    | st.tuples(st.just(ControlKind.DATA_CENTER), st.sampled_from(["x", "y"])),
    unique=True,
)


@given(_UPSTREAMS, _CORDONS)
def test_every_service_keeps_an_upstream_under_any_cordons(
    upstreams: list[VmEntry], cordons: list[tuple[ControlKind, str]]
) -> None:
    """Whatever is cordoned, no service is emptied, and what is in force excludes all that it covers."""
    made = [Cordon(f"{kind}/{name}", kind, name) for kind, name in cordons]
    applied = apply_cordons(upstreams, made)
    left = Counter(vm.service for vm in upstreams if vm.id not in applied.excluded)
    assert left.keys() == {vm.service for vm in upstreams}
    for cordon in made:
        for vm in upstreams:
            covered = cordon.name in (vm.name, vm.data_center)
            if covered and vm.service not in applied.ignored[cordon.key]:
                assert vm.id in applied.excluded
    assert all(
        any(cordon.name in (vm.name, vm.data_center) for cordon in made)
        for vm in upstreams
        if vm.id in applied.excluded
    )
