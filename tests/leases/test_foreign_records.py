"""Records in the lease's partition that no holder wrote."""

import asyncio
from datetime import timedelta

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.leases.const import TOPIC_LEASES
from cranberryline.leases.model import LeaseBook, LeaseRecord
from tests.foreign import deep, foreign
from tests.store_fake import FakeStore
from tests.virtual_time import run_virtual

from .test_lease import Node, _holders

ABSURD = (1 << 63, 1 << 62, -1, 7)
NOW = timedelta(seconds=1)


def _record(holder: str, token: int) -> bytes:
    return msgspec.msgpack.encode([holder, token])


def test_a_holder_goes_on_holding_while_others_write_nonsense() -> None:
    """Bytes of no form stand between the holder's renewals, three a second.

    Taken as the sign of somebody unknown, each would end the lease: no engine would be ordered for
    as long as that goes on. No node can hold by a record that none can read.
    """

    async def scene() -> None:
        store = FakeStore()
        nodes = [Node(store, f"front-{number}") for number in range(3)]
        for node in nodes:
            node.start()
        await asyncio.sleep(1)
        first = _holders(nodes)
        assert len(first) == 1
        for number in range(60):
            store.append(TOPIC_LEASES, 0, [(b"\xc1 nonsense", b"", b"\x92\xa1x\x91")[number % 3]])
            await asyncio.sleep(0.3)
            assert _holders(nodes) == first

    run_virtual(scene())


def test_an_absurd_token_under_the_holders_name_is_never_ordered_by() -> None:
    """Renewals of the holder stand in the partition that it did not write, with tokens of their own.

    1. Those with a token that no acquisition before them gave are passed over, and it goes on.
    2. The token that it acts by never grows past the partition's end, where the next holder's begins.

    Engines refuse all that is lower than the highest token they saw: one absurd order, and no holder
    could ever order again.
    """

    async def scene() -> None:
        store = FakeStore()
        node, other = Node(store, "front-1"), Node(store, "front-2")
        node.start()
        await asyncio.sleep(1)
        other.start()
        for token in ABSURD:
            store.append(TOPIC_LEASES, 0, [_record(node.keeper.holder, token)])
            await asyncio.sleep(2)
            held = node.keeper.token()
            assert held is not None and held <= len(store.records[(TOPIC_LEASES, 0)])
        before = node.keeper.token()
        node.kill()
        await asyncio.sleep(5)
        after = other.keeper.token()
        assert before is not None and after is not None and after > before

    run_virtual(scene())


def test_a_sound_record_after_a_bad_one_is_taken_and_the_bad_one_counted() -> None:
    """A node that starts reads both; by reason, one is counted for each kind."""

    async def scene() -> None:
        store = FakeStore()
        bad = [b"\xc1", _record("", 0), _record("x", 1 << 60), _record("x", -4)]
        bad += deep(b"\x93\xa1a\x00")
        store.append(TOPIC_LEASES, 0, [*bad, _record("front-9/aa", 0)])
        node = Node(store, "front-1")
        node.start()
        await asyncio.sleep(0.5)
        holding = node.keeper.book.holding
        assert holding is not None and (holding.holder, holding.token) == ("front-9/aa", 10)
        drops = "cranberryline_drops_total"
        assert node.metrics.value(drops, reason="lease_record_unreadable") == 6
        assert node.metrics.value(drops, reason="lease_record_unsound") == 3

    run_virtual(scene())


def test_a_renewal_whose_acquisition_was_deleted_is_taken() -> None:
    """Read late, the partition begins with renewals, or jumps to those of a holder not known here.

    Passed over, the lease would seem to lapse while it is held, and two nodes would give orders.
    """
    book = LeaseBook()
    assert book.apply(900, LeaseRecord("a", 41), NOW)
    assert book.apply(1700, LeaseRecord("b", 1203), NOW)
    assert book.holding is not None and (book.holding.holder, book.holding.token) == ("b", 1203)
    assert not book.apply(1701, LeaseRecord("a", 41), NOW)
    assert not book.apply(1702, LeaseRecord("c", 1203), NOW)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["", "a", "b"]), st.integers(-(1 << 63), 1 << 63) | st.integers(-2, 9)
        ),
        max_size=12,
    )
)
def test_tokens_never_fall_and_never_pass_the_partitions_end(rows: list[tuple[str, int]]) -> None:
    """Whatever stands there: the next acquisition has a higher token than all that anybody held by."""
    book, highest = LeaseBook(), 0
    for offset, row in enumerate(rows):
        book.apply(offset, LeaseRecord(*row), NOW)
        token = 0 if book.holding is None else book.holding.token
        assert highest <= token <= offset + 1
        highest = token


@given(st.lists(foreign(_record("front-1/aa", 0), _record("front-1/aa", 1)), max_size=6))
def test_no_bytes_in_the_partition_raise(records: list[bytes]) -> None:
    """They are read one by one, and the record behind them is taken."""

    async def scene() -> None:
        store = FakeStore()
        node = Node(store, "front-1")
        for offset, data in enumerate([*records, _record("front-9/aa", 0)]):
            node.keeper._on_record(offset, data)
        holding = node.keeper.book.holding
        assert holding is not None and holding.token == len(records) + 1

    run_virtual(scene())
