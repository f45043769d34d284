"""Entries of another writer, none of which names a sampler."""

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

__all__ = ["bad_entry"]

_NEEDED = ("address", "seq", "service", "slots", "state")
_WRONG: dict[str, tuple[Any, ...]] = {
    "state": ("lost", "", 7, None),
    "address": ("", "nowhere", "127.0.0.1", "127.0.0.1:99999", 80),
    "service": (7, "", None, "nobody"),
    "slots": (-1, 0, "4", 10**9),
    "born": ("1000", -5, 10**15, 1.5, None),
}


def _unreadable(rng: Random, _beat: dict[str, Any]) -> bytes:
    return rng.choice(
        (b"\xff\xfe{", b'{"service":', b'{"more":' + b"[" * 50_000, rng.randbytes(40))
    )


def _without(rng: Random, beat: dict[str, Any]) -> bytes:
    lacking = rng.choice(_NEEDED)
    return msgspec.json.encode({key: value for key, value in beat.items() if key != lacking})


def _wrong(rng: Random, beat: dict[str, Any]) -> bytes:
    field = rng.choice(sorted(_WRONG))
    return msgspec.json.encode({**beat, field: rng.choice(_WRONG[field])})


_KINDS: tuple[Callable[[Random, dict[str, Any]], bytes], ...] = (_unreadable, _without, _wrong)


def bad_entry(rng: Random, key: str, beat: dict[str, Any]) -> bytes:
    """Return a record for a key: what a sampler would write, spoilt in one way or no text at all."""
    name = key.encode()
    return bytes([len(name)]) + name + rng.choice(_KINDS)(rng, beat)
