"""Client of shared slots: asks the keepers for the slots that this gateway's texts need."""

import asyncio
import itertools
from functools import partial

from .grants import HeldGrant
from .model import NoSlotSharing, SlotGrant, SlotNeed, SlotSource
from .parts import SlotClientParts
from .route import KeeperRoute
from .scope import SessionScope
from .session import SlotSession
from .shards import EngineShards, shard_of

__all__ = ["SlotClient", "SlotClientParts"]


class SlotClient(SlotSource):
    """Grants slots from what the keeper of each shard of a service answers."""

    def __init__(self, parts: SlotClientParts) -> None:
        self._parts = parts
        self._route = KeeperRoute(parts.clock, parts.peers)
        self._engines = EngineShards(parts.engines)
        self._sessions: dict[tuple[str, int, int], SlotSession] = {}
        self._tickets = itertools.count(1)
        self._numbers = itertools.count(1)
        self._cancelled: set[asyncio.Task[None]] = set()
        self._closed = False

    def is_shared(self, service: str) -> bool:
        """Return whether slots of a service are shared."""
        return not self._closed and self._parts.is_shared(service)

    async def async_acquire(self, need: SlotNeed) -> SlotGrant | None:
        """Wait for a slot; None if this gateway has to choose an engine by itself."""
        if not self._shares(need):
            return None
        session = self._session(need.service, need.prompt or need.trainer)
        if not session.is_open_for_needs:
            self._parts.count(session.why_closed)
            return None
        return await session.async_wait(next(self._tickets), need)

    def record_unshared(self, need: SlotNeed, upstream: str) -> SlotGrant:
        """Record that a text uses a slot that this gateway chose by itself."""
        if not self._shares(need):
            return NoSlotSharing().record_unshared(need, upstream)
        session = self._session(need.service, upstream)
        grant = HeldGrant(session, next(self._tickets), need, upstream)
        session.hold(grant)
        return grant

    async def async_close(self) -> None:
        """Let the texts that wait choose by themselves, and end all exchanges."""
        self._closed = True
        for session in self._sessions.values():
            self._cancelled.update(session.close())
        self._sessions.clear()
        await asyncio.gather(*self._cancelled, return_exceptions=True)

    def _shares(self, need: SlotNeed) -> bool:
        return self.is_shared(need.service)

    def _session(self, service: str, key: str) -> SlotSession:
        """Return the session of the shard that a text's key or an engine's id belongs to."""
        shards = self._engines.count(service)
        shard = shard_of(key, shards)
        session = self._sessions.get((service, shard, shards))
        if session is None:
            session = self._open_session(service, shard, shards)
        return session

    def _open_session(self, service: str, shard: int, shards: int) -> SlotSession:
        scope = SessionScope(
            service=service,
            shard=shard,
            shards=shards,
            engines=partial(self._engines.engines, service, shard),
            is_current=lambda: self._engines.count(service) == shards,
            take_number=partial(next, self._numbers),
        )
        retire = partial(self._retire, service, shard, shards)
        session = SlotSession(self._parts, self._route, scope, retire)
        # Texts that are handed over may belong to this shard, which needs one session only.
        self._sessions[service, shard, shards] = session
        self._retire_divided_otherwise(service, shards)
        return session

    def _retire_divided_otherwise(self, service: str, shards: int) -> None:
        """Retire the sessions of a service from when it had another number of shards."""
        for key in list(self._sessions):
            if key[0] == service and key[2] != shards:
                self._retire(*key)

    def _retire(self, service: str, shard: int, shards: int) -> None:
        """Hand the texts of a session over to those of the shards that the service has now."""
        session = self._sessions.pop((service, shard, shards), None)
        if session is None:
            return
        for task in session.close():
            self._cancelled.add(task)
            task.add_done_callback(self._cancelled.discard)
        for grant in session.take_held():
            self._session(service, grant.upstream).hold(grant)
