"""Bytes that somebody else may have written where our records stand."""

import zlib
from typing import Any

import msgspec
from hypothesis import strategies as st

NESTED = 50_000
HUGE = (-1, 0, 1 << 53, 1 << 63, (1 << 64) - 1)

scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(1 << 63), (1 << 64) - 1)
    | st.sampled_from(HUGE)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
)
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=6), inner, max_size=4),
    max_leaves=12,
)


def _packed(value: Any) -> bytes:
    return msgspec.msgpack.encode(value)


def _json(value: Any) -> bytes:
    return msgspec.json.encode(value)


def deep(inner: bytes = b"") -> list[bytes]:
    """Return arrays in arrays in JSON and in msgpack, where nothing is asked for and where something is."""
    arrays = b"[" * NESTED + b"]" * NESTED
    return [
        arrays,
        b'{"unknown":' + arrays + b"}",
        b"\x91" * NESTED + b"\x01",
        b"\x9f" + b"\x91" * NESTED + b"\x01",
        inner + b"\x91" * NESTED + b"\x01",
    ]


def foreign(*sound: bytes) -> st.SearchStrategy[bytes]:
    """Return any bytes: of no form, of another one, too deep, and sound records cut or changed."""
    made = [
        st.binary(max_size=80),
        values.map(_packed),
        values.map(_json),
        st.sampled_from(deep()),
        st.just(zlib.compress(bytes(4_000_000))),
    ]
    for record in sound:
        made += [
            st.integers(0, len(record)).map(lambda size, whole=record: whole[:size]),
            st.tuples(st.integers(0, len(record)), st.binary(min_size=1, max_size=9)).map(
                lambda change, whole=record: whole[: change[0]]
                + change[1]
                + whole[change[0] + len(change[1]) :]
            ),
        ]
    return st.one_of(made)
