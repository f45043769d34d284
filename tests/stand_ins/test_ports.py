"""Ports for deployments: free, all different, and never those of another launcher."""

import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from stand_ins import ports
from stand_ins.ports import holders
from stand_ins.process import free_ports

ROOT = Path(__file__).resolve().parents[2]
# So many that two random draws out of 20,000 would surely meet.
COUNT = 1_500
_LAUNCHER = (
    "import sys; from stand_ins.process import free_ports; "
    f"print(*free_ports({COUNT}), flush=True); sys.stdin.read()"
)


@contextmanager
def _launcher() -> Iterator[set[int]]:
    """Run a process that chooses ports and binds none of them yet."""
    command = [sys.executable, "-c", _LAUNCHER]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, cwd=ROOT, stdin=pipe, stdout=pipe, text=True) as process:
        assert process.stdout is not None
        try:
            yield {int(port) for port in process.stdout.readline().split()}
        finally:
            process.communicate()


def test_launchers_beside_each_other_are_given_different_ports() -> None:
    """Two launchers choose their ports at the same moment, before either has bound one.

    A port that both were given went to whoever bound it first. The other launcher took the answer
    of that foreign process for its own process's readiness, and sent its load there: a trainer was
    answered by a plain service, and that one's books counted calls that ran twice.
    """
    with _launcher() as first, _launcher() as second:
        assert len(first) == len(second) == COUNT
        assert not first & second


def test_no_port_is_given_twice_before_it_is_bound() -> None:
    """A launcher that asks for a few ports at a time gets new ones each time."""
    given = [port for _ in range(100) for port in free_ports(3)]
    assert len(set(given)) == len(given)


def test_holders_of_a_port_are_told_by_process() -> None:
    """A port that is in use cannot be traced to the process that holds it."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        assert holders(port) == []
        sock.listen()
        told = holders(port)
    assert len(told) == 1
    assert told[0].startswith(f"{os.getpid()} ")


def test_an_outgoing_connection_holds_its_port() -> None:
    """A process cannot listen on its port, and nobody listens there."""
    with socket.socket() as server, socket.socket() as client:
        server.bind(("127.0.0.1", 0))
        server.listen()
        client.bind(("127.0.0.1", 0))
        client.connect(server.getsockname())
        (told,) = holders(client.getsockname()[1])
    assert told.startswith(f"{os.getpid()} ") and told.endswith("(established)")


def test_no_port_is_given_that_outgoing_connections_get(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection takes the port of a process between its end and its next start."""
    file = tmp_path / "range"
    file.write_text("16000\t60999\n")
    monkeypatch.setattr(ports, "_OUTGOING_RANGE", file)
    assert max(ports.PortSource().take(COUNT)) < 16_000
