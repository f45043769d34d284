"""A prefix cache in limited memory, whose events come late and with gaps.

A prefix is named by the hash of the prompt's first 64, 128, 192, ... characters.
"""

import hashlib
import random
import time
from collections import OrderedDict, deque
from typing import Any

__all__ = ["BLOCK_CHARS", "PrefixCache", "prefixes"]

BLOCK_CHARS = 64
EVENTS_KEPT = 10_000


def prefixes(prompt: str) -> list[str]:
    """Return the names of a prompt's whole blocks, shortest first."""
    ends = range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS)
    return [hashlib.sha256(prompt[:end].encode()).hexdigest()[:16] for end in ends]


class PrefixCache:
    """Keep the most recently used blocks."""

    def __init__(self, room: int, lag_s: float, gap_share: float, rng: random.Random) -> None:
        self._room = room
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=EVENTS_KEPT)
        self._seq = 0

    def use(self, prompt: str) -> int:
        """Store a prompt's blocks; return how many of its characters were already there."""
        names = prefixes(prompt)
        hits = 0
        for name in names:
            if name not in self._blocks:
                break
            hits += 1
        for name in names:
            self._store(name)
        return hits * BLOCK_CHARS

    def clear(self) -> None:
        """Forget all, as a change of weights makes an engine do."""
        for name in self._blocks:
            self._tell("evicted", name)
        self._blocks.clear()

    def events(self, after: int) -> list[dict[str, Any]]:
        """Return the events that are old enough to be seen."""
        horizon = time.monotonic() - self._lag_s
        return [event for at, event in self._events if at <= horizon and event["seq"] > after]

    def _store(self, name: str) -> None:
        if name not in self._blocks:
            self._tell("stored", name)
        self._blocks[name] = None
        self._blocks.move_to_end(name)
        while len(self._blocks) > self._room:
            gone, _ = self._blocks.popitem(last=False)
            self._tell("evicted", gone)

    def _tell(self, kind: str, name: str) -> None:
        """Publish an event, or lose it; its number is used up either way."""
        self._seq += 1
        if self._rng.random() < self._gap_share:
            return
        self._events.append((time.monotonic(), {"seq": self._seq, "kind": kind, "prefix": name}))
