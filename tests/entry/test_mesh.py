"""Requests that one entry forwards to another, which may be down."""

import asyncio
import itertools
import socket
from collections.abc import Iterator
from datetime import timedelta

import pytest
import zmq

from cranberryline.entry.dialing import DialContext
from cranberryline.entry.mesh import EntryMesh, MeshEvents, PeerReply
from cranberryline.helpers.clock import SystemClock
from cranberryline.ports.model import VmEntry, VmRole, VmState
from cranberryline.transport.model import Hello, PeerRequest

_SECOND = timedelta(seconds=1)


class _Events(MeshEvents):
    """Responds to a forwarded request with its own path."""

    async def async_serve_peer(self, req: PeerRequest) -> PeerReply:
        return PeerReply(200, req.path.encode())


class _CountingClock(SystemClock):
    """Counts the sleeps while the mesh waits for a connection."""

    def __init__(self) -> None:
        self.sleeps = 0

    async def async_sleep(self, duration: timedelta) -> None:
        self.sleeps += 1
        await super().async_sleep(duration)


@pytest.fixture
def ctx() -> Iterator[zmq.Context]:
    """Return a ZeroMQ context that is destroyed after the test."""
    context = zmq.Context()
    yield context
    context.destroy(linger=0)


def _make_vm(vm_id: str) -> VmEntry:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    return VmEntry(vm_id, VmRole.ENTRY, VmState.LIVE, "levis", f"tcp://127.0.0.1:{port}")


def _mesh(ctx: zmq.Context, vm_id: str, clock: SystemClock) -> EntryMesh:
    ids = itertools.count(1)
    hello = Hello(vm_id, f"life-{vm_id}", "entry", "levis", 0)
    return EntryMesh(DialContext(ctx, clock, vm_id, lambda: hello, lambda: next(ids)), _Events())


def test_forwarded_request_gets_the_response_of_the_owner(ctx: zmq.Context) -> None:
    """A request forwarded to the owner of a step gets no response, or a wrong one."""

    async def async_case() -> None:
        vms = [_make_vm("entry-1"), _make_vm("entry-2")]
        first, second = (_mesh(ctx, vm.id, SystemClock()) for vm in vms)
        second.listen(vms[1].peer)
        first.apply_members(vms)
        reply = await first.async_request("entry-2", "POST", "/x", b"", _SECOND)
        assert reply.unwrap() == PeerReply(200, b"/x")
        for mesh in (first, second):
            await mesh.async_close()

    asyncio.run(async_case())


def test_only_the_first_request_waits_for_an_owner_that_is_down(ctx: zmq.Context) -> None:
    """Every request for an owner that is down waits for the connection timeout.

    The VM list still contains the owner. The first request waits up to 1 s for a connection. If the
    following ones waited too, each request of the trainer would take 1 s longer until the list is
    updated.
    """

    async def async_case() -> None:
        clock = _CountingClock()
        mesh = _mesh(ctx, "entry-1", clock)
        mesh.apply_members([_make_vm("entry-1"), _make_vm("entry-2")])
        assert (await mesh.async_request("entry-2", "POST", "/x", b"", _SECOND)).is_err()
        assert clock.sleeps > 10
        sleeps_before = clock.sleeps
        for _ in range(5):
            assert (await mesh.async_request("entry-2", "POST", "/x", b"", _SECOND)).is_err()
        assert clock.sleeps - sleeps_before <= 1
        await mesh.async_close()

    asyncio.run(async_case())
