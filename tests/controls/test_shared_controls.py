"""Controls shared by gateways: set, taken back, replaced, ended, kept over stops and bad records."""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.controls.const import DEFAULT_WEIGHT
from cranberryline.controls.records import (
    ControlKind,
    ControlRecord,
    decode_control,
    encode_control,
)
from cranberryline.helpers.metrics import Metrics
from tests.store_fake import StoreLink

from .conftest import PROPAGATION_SECONDS, TOPIC, Cluster, make_upstream, run_scenario

_UNREADABLE = "cranberryline_drops_total"


def _drops(metrics: Metrics, reason: str) -> float:
    return metrics.value(_UNREADABLE, reason=reason) or 0


def test_control_set_at_one_gateway_is_in_force_at_another_until_taken_back_at_a_third() -> None:
    """Operators would have to visit every gateway."""

    async def scenario(cluster: Cluster) -> None:
        first, second, third = cluster.nodes
        cluster.upstreams += [make_upstream("a"), make_upstream("b")]
        await first.async_set("trainer/t", b'{"weight": 2.5, "cap": 12}')
        await first.async_set("upstream/a")
        await first.async_set("vm/n1")
        await asyncio.sleep(PROPAGATION_SECONDS)
        for node in cluster.nodes:
            assert (node.controls.weight("t"), node.controls.cap("t")) == (2.5, 12)
            assert node.cordoned() == {"a"}
            assert node.controls.cordoned_vms() == {"n1"}
        assert second.changes[-2:] == [{"a@7"}, set()]
        for key in ("trainer/t", "upstream/a", "vm/n1"):
            assert (await third.async_clear(key)).is_ok()
        await asyncio.sleep(PROPAGATION_SECONDS)
        for node in cluster.nodes:
            assert node.controls.weight("t") == DEFAULT_WEIGHT and node.controls.cap("t") is None
            assert not node.cordoned() and not node.controls.cordoned_vms()
            assert node.controls.rows() == []

    run_scenario(scenario, gateways=3)


def test_weight_of_a_workspace_holds_for_its_trainers_without_one() -> None:
    """A trainer's own weight would be lost under that of its workspace."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        await node.async_set("workspace/w", b'{"weight": 3, "cap": 40}')
        await node.async_set("trainer/t", b'{"weight": 5}')
        await node.async_set("trainer/u", b'{"cap": 5}')
        controls = node.controls
        assert [controls.weight(trainer, "w") for trainer in "tuv"] == [5, 3, 3]
        assert [controls.cap(trainer) for trainer in "tuv"] == [None, 5, None]
        assert controls.workspace_cap("w") == 40 and controls.workspace_cap("t") is None

    run_scenario(scenario, gateways=1)


def test_controls_are_in_force_after_a_stop_of_all_gateways() -> None:
    """The store forgot the topic's history in between, and keeps the newest record of each key."""

    async def scenario(cluster: Cluster) -> None:
        node = cluster.nodes[0]
        await node.async_set("trainer/t", b'{"weight": 2}')
        await node.async_set("trainer/t", b'{"weight": 4}')
        await node.async_set("trainer/u", b'{"weight": 9}')
        await node.async_clear("trainer/u")
        await cluster.async_stop_all()
        cluster.store.first[TOPIC, 0] = len(cluster.store.records[TOPIC, 0])
        restarted = await cluster.async_add()
        assert restarted.controls.weight("t") == 4
        assert restarted.controls.weight("u") == DEFAULT_WEIGHT
        (row,) = restarted.controls.rows()
        assert (row.record.by, row.record.node, row.why_not) == ("ada", "n0", "")

    run_scenario(scenario)


def test_gateway_that_missed_forgotten_records_takes_in_what_was_taken_back() -> None:
    """It was cut off while a control was taken back; the record of that was forgotten since."""

    async def scenario(cluster: Cluster) -> None:
        writer, cut_off = cluster.nodes
        await writer.async_set("trainer/t", b'{"weight": 2}')
        await writer.async_set("trainer/u", b'{"weight": 3}')
        await asyncio.sleep(PROPAGATION_SECONDS)
        cut_off.link.refusing = lambda _topic, _part: True
        await asyncio.sleep(1.5)
        await writer.async_clear("trainer/t")
        await writer.async_set("trainer/u", b'{"weight": 4}')
        cluster.store.first[TOPIC, 0] = len(cluster.store.records[TOPIC, 0])
        assert cut_off.controls.weight("t") == 2
        cut_off.link.refusing = lambda _topic, _part: False
        await asyncio.sleep(2)
        weights = [cut_off.controls.weight(trainer) for trainer in "tu"]
        assert weights == [DEFAULT_WEIGHT, 4]

    run_scenario(scenario)


def test_later_of_two_operators_wins_at_all_gateways() -> None:
    """Two operators set the same control at once; gateways must not disagree on it for good."""

    async def scenario(cluster: Cluster) -> None:
        first, second, _ = cluster.nodes
        await asyncio.gather(
            first.async_set("trainer/t", b'{"weight": 2}'),
            second.async_set("trainer/t", b'{"cap": 7}'),
        )
        await asyncio.sleep(PROPAGATION_SECONDS)
        newest = StoreLink(cluster.store).unpack_keyed(cluster.store.records[TOPIC, 0][-1])
        assert newest is not None
        shares = {(node.controls.weight("t"), node.controls.cap("t")) for node in cluster.nodes}
        record = decode_control(ControlKind.TRAINER, newest.value).unwrap()
        assert shares == {(record.weight or DEFAULT_WEIGHT, record.cap)}

    run_scenario(scenario, gateways=3)


def test_failed_write_is_not_repeated_over_another_operators_change() -> None:
    """The store took the first write late; the gateway must not write it again after the second."""

    async def scenario(cluster: Cluster) -> None:
        first, second = cluster.nodes
        first.link.lost, first.link.late = 1, timedelta(seconds=1)
        assert (await first.async_set("trainer/t", b'{"weight": 2}')).is_err()
        assert first.link.appends == 1
        await second.async_set("trainer/t", b'{"weight": 3}')
        await asyncio.sleep(10)
        assert [node.controls.weight("t") for node in cluster.nodes] == [3, 3]
        assert first.link.appends == 1

    run_scenario(scenario)


def test_control_ends_on_each_gateways_own_clock() -> None:
    """With clocks 5 s apart it ends 5 s earlier or later there, neither at once nor never."""

    async def scenario(cluster: Cluster) -> None:
        setter = cluster.nodes[0]
        ahead = await cluster.async_add(timedelta(seconds=5))
        behind = await cluster.async_add(timedelta(seconds=-5))
        cluster.upstreams += [make_upstream("a"), make_upstream("b")]
        await setter.async_set("upstream/a", b'{"ends_in_seconds": 10}')
        set_at = asyncio.get_running_loop().time()
        for seconds, expected in (
            (4.8, [True, True, True]),
            (6, [True, False, True]),
            (9.8, [True, False, True]),
            (11, [False, False, True]),
            (14.8, [False, False, True]),
            (16, [False, False, False]),
        ):
            await asyncio.sleep(set_at + seconds - asyncio.get_running_loop().time())
            nodes = (setter, ahead, behind)
            assert [bool(node.cordoned()) for node in nodes] == expected, seconds
        assert setter.why_not() == {"upstream/a": "its end has passed"}
        assert setter.changes[-1] == {"a@7"}

    run_scenario(scenario, gateways=1)


def test_controls_hold_and_end_while_the_store_is_out() -> None:
    """A gateway that is cut off would send to cordoned upstreams, or keep a cordon past its end."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        cluster.upstreams += [make_upstream("a"), make_upstream("b"), make_upstream("c")]
        await node.async_set("upstream/a", b'{"ends_in_seconds": 20}')
        await node.async_set("upstream/b")
        node.link.silent = True
        await asyncio.sleep(15)
        assert node.cordoned() == {"a", "b"}
        await asyncio.sleep(6)
        assert node.cordoned() == {"b"}

    run_scenario(scenario, gateways=1)


def test_vm_cordon_holds_for_jobs_that_arrived_while_it_was_in_force() -> None:
    """Jobs from before and after keep their VMs, or their items would run twice."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        before = node.clock.monotonic()
        await asyncio.sleep(1)
        await node.async_set("vm/n0", b'{"ends_in_seconds": 20}')
        await asyncio.sleep(1)
        during = node.clock.monotonic()
        await node.async_set("vm/n0", b'{"ends_in_seconds": 5}')
        await asyncio.sleep(7)
        after = node.clock.monotonic()
        cordoned = node.controls.cordoned_vms
        assert [bool(cordoned(since)) for since in (before, during, after)] == [False, True, False]
        assert not cordoned()

    run_scenario(scenario, gateways=1)


def test_vm_cordon_read_at_the_start_holds_for_all_jobs() -> None:
    """The jobs that a restarted gateway reads may have arrived while it was cordoned."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.nodes[0].async_set("vm/n1")
        restarted = await cluster.async_add()
        assert restarted.controls.cordoned_vms(timedelta()) == {"n1"}
        assert not cluster.nodes[0].controls.cordoned_vms(timedelta())

    run_scenario(scenario, gateways=1)


_SHARE = ControlRecord("n9", "eve", 1.0, None, "", 2.0, None)


@pytest.mark.parametrize(
    ("key", "value", "reason"),
    [
        ("trainer/t", b"\xc1", "control_unreadable"),
        ("trainer/t", b"\x91" * 2000, "control_unreadable"),
        ("trainer/t", encode_control(_SHARE)[:-3], "control_unreadable"),
        *(
            ("trainer/t", encode_control(record), "control_unreadable")
            for record in (
                ControlRecord("n9", "eve", 1.0, None, "", float("nan"), None),
                ControlRecord("n9", "eve", 1.0, None, "", float("inf"), None),
                ControlRecord("n9", "eve", 1.0, None, "", 0.01, None),
                ControlRecord("n9", "eve", 1.0, None, "", None, 0),
                ControlRecord("n9", "eve", 1.0, None, "", None, None),
                ControlRecord("n9", "eve", float("nan"), None, "", 2.0, None),
                ControlRecord("n9", "eve", 1e300, None, "", 2.0, None),
                ControlRecord("n9", "eve", 1.0, 1.0, "", 2.0, None),
                ControlRecord("n9", "eve", 1.0, float("inf"), "", 2.0, None),
                ControlRecord("n9", "eve", 1.0, 90_000.0, "", 2.0, None),
                ControlRecord("n9", "eve", 1.0, None, "a\nb", 2.0, None),
            )
        ),
        ("upstream/a", encode_control(_SHARE), "control_unreadable"),
        ("engine/x", encode_control(_SHARE), "control_key_unreadable"),
        ("trainer/", encode_control(_SHARE), "control_key_unreadable"),
        ("trainer/a\0b", b"", "control_key_unreadable"),
        ("trainer", b"", "control_key_unreadable"),
    ],
)
def test_bad_record_is_counted_and_changes_nothing(key: str, value: bytes, reason: str) -> None:
    """Another writer's record must not end or alter the control of that key, nor the reading."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        cluster.upstreams += [make_upstream("a"), make_upstream("b")]
        await node.async_set("trainer/t", b'{"weight": 7, "cap": 3}')
        await node.async_set("upstream/a")
        rows = node.controls.rows()
        node.link.put(TOPIC, key, value)
        await asyncio.sleep(PROPAGATION_SECONDS)
        assert node.controls.rows() == rows and node.cordoned() == {"a"}
        assert _drops(node.metrics, reason) == 1
        assert _drops(node.metrics, "record_not_taken") == 0
        await node.async_set("trainer/t", b'{"weight": 8}')
        assert node.controls.weight("t") == 8

    run_scenario(scenario, gateways=1)
