"""Which gateway keeps the slots of a shard, as one gateway sees it."""

from collections.abc import Callable, Mapping
from datetime import timedelta

import attrs

from cranberryline.decisions.rendezvous import rank
from cranberryline.helpers.clock import Clock

from .const import KEEPER_PASSED_OVER

__all__ = ["KeeperRoute", "Peer"]


@attrs.frozen
class Peer:
    """A live gateway by its VM and its peer address."""

    node: str
    address: str


class KeeperRoute:
    """Ranks the live gateways for each shard; all gateways rank them alike."""

    def __init__(self, clock: Clock, peers: Callable[[], Mapping[str, str]]) -> None:
        self._clock = clock
        self._peers = peers
        self._ranked_peers: Mapping[str, str] = {}
        self._ranked: dict[str, list[str]] = {}
        self._passed_over: dict[tuple[str, str], timedelta] = {}

    def find(self, name: str) -> Peer | None:
        """Return the keeper of a shard by its name; None if all gateways are passed over."""
        now = self._clock.elapsed()
        self._passed_over = {key: until for key, until in self._passed_over.items() if until > now}
        for node in self._rank(name):
            if (node, "") not in self._passed_over and (node, name) not in self._passed_over:
                return Peer(node, self._ranked_peers[node])
        return None

    def pass_over(self, peer: Peer, name: str = "") -> bool:
        """Leave a gateway out for a while, for one shard or, without a name, for all.

        Return False if it is left out already.
        """
        now = self._clock.elapsed()
        if self._passed_over.get((peer.node, name), now) > now:
            return False
        self._passed_over[peer.node, name] = now + KEEPER_PASSED_OVER
        return True

    def _rank(self, name: str) -> list[str]:
        """Return the live gateways in the order in which they are keepers."""
        peers = self._peers()
        if peers != self._ranked_peers:
            self._ranked_peers = dict(peers)
            self._ranked.clear()
        if name not in self._ranked:
            self._ranked[name] = rank(name, peers)
        return self._ranked[name]
