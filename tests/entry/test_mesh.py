"""Entries that reach each other, and one that is not there."""

import asyncio
import itertools
import socket
from collections.abc import Iterator
from datetime import timedelta

import pytest
import zmq

from cranberryline.entry.dialing import Dialing
from cranberryline.entry.mesh import EntryMesh, MeshEvents, PeerReply
from cranberryline.helpers.clock import SystemClock
from cranberryline.ports.model import VmEntry, VmRole, VmState
from cranberryline.transport.model import Hello, PeerRequest

_SECOND = timedelta(seconds=1)


class _Events(MeshEvents):
    """Answer a trainer's call with its own path."""

    async def async_serve_peer(self, req: PeerRequest) -> PeerReply:
        return PeerReply(200, req.path.encode())


class _CountingClock(SystemClock):
    """Count the naps of those who wait for a connection."""

    def __init__(self) -> None:
        self.naps = 0

    async def async_sleep(self, duration: timedelta) -> None:
        self.naps += 1
        await super().async_sleep(duration)


@pytest.fixture
def ctx() -> Iterator[zmq.Context]:
    """Return a socket context that is destroyed after the test."""
    context = zmq.Context()
    yield context
    context.destroy(linger=0)


def _row(vm_id: str) -> VmEntry:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    return VmEntry(vm_id, VmRole.ENTRY, VmState.LIVE, "levis", f"tcp://127.0.0.1:{port}")


def _mesh(ctx: zmq.Context, vm_id: str, clock: SystemClock) -> EntryMesh:
    ids = itertools.count(1)
    hello = Hello(vm_id, f"life-{vm_id}", "entry", "levis", 0)
    return EntryMesh(Dialing(ctx, clock, vm_id, lambda: hello, lambda: next(ids)), _Events())


def test_a_trainers_call_reaches_the_owner(ctx: zmq.Context) -> None:
    """The entry that took the call gets the owner's answer."""

    async def async_case() -> None:
        rows = [_row("entry-1"), _row("entry-2")]
        first, second = (_mesh(ctx, row.id, SystemClock()) for row in rows)
        second.listen(rows[1].peer)
        first.apply_members(rows)
        reply = await first.async_request("entry-2", "POST", "/x", b"", _SECOND)
        assert reply.unwrap() == PeerReply(200, b"/x")
        for mesh in (first, second):
            await mesh.async_close()

    asyncio.run(async_case())


def test_an_owner_that_is_down_is_waited_for_once(ctx: zmq.Context) -> None:
    """The trainer of a dead owner is served elsewhere without a wait before each call.

    The VM list still shows the owner. The first call waits for its connection for a second; those
    after it must not, or each pull of the trainer would lose that second until the list catches up.
    """

    async def async_case() -> None:
        clock = _CountingClock()
        mesh = _mesh(ctx, "entry-1", clock)
        mesh.apply_members([_row("entry-1"), _row("entry-2")])
        assert (await mesh.async_request("entry-2", "POST", "/x", b"", _SECOND)).is_err()
        assert clock.naps > 10
        before = clock.naps
        for _ in range(5):
            assert (await mesh.async_request("entry-2", "POST", "/x", b"", _SECOND)).is_err()
        assert clock.naps - before <= 1
        await mesh.async_close()

    asyncio.run(async_case())
