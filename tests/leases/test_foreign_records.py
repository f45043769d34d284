"""Tests with records in the lease's partition that no holder wrote."""

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

from .test_lease import Node, _get_tokens

FORGED_TOKENS = (1 << 63, 1 << 62, -1, 7)
NOW = timedelta(seconds=1)


def _record(holder: str, token: int) -> bytes:
    return msgspec.msgpack.encode([holder, token])


def test_holder_loses_its_lease_to_malformed_records() -> None:
    """Malformed records are written between the holder's renewals, three per second.

    If each were regarded as a record of an unknown holder, it would end the lease, and no engine
    would receive orders in the meantime. A record that no node can read gives no node the lease.
    """

    async def async_scenario() -> None:
        store = FakeStore()
        nodes = [Node(store, f"front-{number}") for number in range(3)]
        for node in nodes:
            node.start()
        await asyncio.sleep(1)
        first = _get_tokens(nodes)
        assert len(first) == 1
        for number in range(60):
            store.append(TOPIC_LEASES, 0, [(b"\xc1 nonsense", b"", b"\x92\xa1x\x91")[number % 3]])
            await asyncio.sleep(0.3)
            assert _get_tokens(nodes) == first

    run_virtual(async_scenario())


def test_holder_uses_an_out_of_range_token_from_a_forged_renewal() -> None:
    """The partition contains renewals under the holder's name that it did not write.

    1. Renewals with a token that no earlier acquisition gave are ignored, and the holder continues.
    2. The token with which the holder acts never exceeds the end of the partition, above which the
       next holder's token is.

    Engines refuse orders with a token lower than the highest that they have received. After one
    order with a token that is far too high, no holder could give orders any more.
    """

    async def async_scenario() -> None:
        store = FakeStore()
        node, other = Node(store, "front-1"), Node(store, "front-2")
        node.start()
        await asyncio.sleep(1)
        other.start()
        for token in FORGED_TOKENS:
            store.append(TOPIC_LEASES, 0, [_record(node.keeper.holder, token)])
            await asyncio.sleep(2)
            held = node.keeper.token()
            assert held is not None and held <= len(store.records[(TOPIC_LEASES, 0)])
        before = node.keeper.token()
        node.kill()
        await asyncio.sleep(5)
        after = other.keeper.token()
        assert before is not None and after is not None and after > before

    run_virtual(async_scenario())


def test_invalid_record_hides_the_valid_one_after_it_or_is_not_counted() -> None:
    """A starting node applies the valid record and counts the invalid ones by reason."""

    async def async_scenario() -> None:
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

    run_virtual(async_scenario())


def test_renewal_is_ignored_after_its_acquisition_was_deleted() -> None:
    """A node that reads late finds renewals first, or renewals of a holder that it does not know.

    If they were ignored, the lease would seem to expire while it is held, and two nodes would give
    orders.
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
def test_token_decreases_or_exceeds_the_partitions_end(records: list[tuple[str, int]]) -> None:
    """With any records, the next acquisition gets a higher token than all earlier holders."""
    book, highest = LeaseBook(), 0
    for offset, record in enumerate(records):
        book.apply(offset, LeaseRecord(*record), NOW)
        token = 0 if book.holding is None else book.holding.token
        assert highest <= token <= offset + 1
        highest = token


@given(st.lists(foreign(_record("front-1/aa", 0), _record("front-1/aa", 1)), max_size=6))
def test_record_raises_or_hides_the_next_one(records: list[bytes]) -> None:
    """Arbitrary records are read one by one, and the valid record after them is applied."""

    async def async_scenario() -> None:
        store = FakeStore()
        node = Node(store, "front-1")
        for offset, data in enumerate([*records, _record("front-9/aa", 0)]):
            node.keeper._on_record(offset, data)
        holding = node.keeper.book.holding
        assert holding is not None and holding.token == len(records) + 1

    run_virtual(async_scenario())
