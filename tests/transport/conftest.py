"""Fixtures of the transport's tests: a socket context, and an address on loopback."""

import socket
from collections.abc import Iterator

import pytest
import zmq


@pytest.fixture
def ctx() -> Iterator[zmq.Context]:
    """Return a socket context that is destroyed after the test."""
    context = zmq.Context()
    yield context
    context.destroy(linger=0)


@pytest.fixture
def address() -> str:
    """Return an address on loopback that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"tcp://127.0.0.1:{sock.getsockname()[1]}"
