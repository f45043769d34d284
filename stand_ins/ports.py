"""Free ports on loopback, for each launcher out of slices that are its own."""

import random
import socket
from pathlib import Path

__all__ = ["PortSource", "free_ports", "holders"]

# Ports that launchers may use, as far as the kernel does not give them to outgoing connections: one of
# those could otherwise take a port before the process it is meant for starts, or starts again.
_PORT_RANGE = (12_000, 32_000)
_OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
# Some five small deployments; a hundred slices are enough for all launchers of a machine.
_SLICE = 200
_STATES = {"01": "established", "08": "close wait", "0A": "listening"}


class PortSource:
    """Choose ports for processes that bind them later.

    Launchers beside each other that drew from one range were now and then given the same port
    before either had bound it, and took each other's processes for their own: two tests in nine,
    run three beside each other, failed for it. A slice belongs to whoever listens on its first
    port, which ends with its process, however that ends; within a slice no port is given twice
    until no slice is left.
    """

    def __init__(self) -> None:
        self._held: list[socket.socket] = []
        self._left: list[int] = []

    def take(self, count: int) -> list[int]:
        """Return ports that were free just now, all different; OSError when there are not enough."""
        ports: list[int] = []
        again = False
        while len(ports) < count:
            if not self._left:
                self._left = self._hold_slice()
            if not self._left:
                if again:
                    raise OSError(f"no {count} free ports")
                again, self._left = True, self._all_held()
                continue
            port = self._left.pop()
            if port not in ports and _is_free(port):
                ports.append(port)
        return ports

    def _hold_slice(self) -> list[int]:
        """Take the first slice that nobody holds; nothing if there is none."""
        starts = _slice_starts()
        random.SystemRandom().shuffle(starts)
        for start in starts:
            lock = socket.socket()
            try:
                lock.bind(("127.0.0.1", start))
                lock.listen()
            except OSError:
                lock.close()
                continue
            self._held.append(lock)
            return _shuffled(start)
        return []

    def _all_held(self) -> list[int]:
        starts = [lock.getsockname()[1] for lock in self._held]
        return [port for start in starts for port in _shuffled(start)]


def _slice_starts() -> list[int]:
    """Return where slices begin that the kernel gives to no outgoing connection, else all."""
    low, high = (int(bound) for bound in _OUTGOING_RANGE.read_text().split())
    starts = list(range(*_PORT_RANGE, _SLICE))
    return [start for start in starts if start + _SLICE <= low or start > high] or starts


def _shuffled(start: int) -> list[int]:
    ports = list(range(start + 1, start + _SLICE))
    random.SystemRandom().shuffle(ports)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_SOURCE = PortSource()


def free_ports(count: int) -> list[int]:
    """Return ports out of this process's slices; OSError when there are not enough."""
    return _SOURCE.take(count)


def holders(port: int) -> list[str]:
    """Return the processes that hold a port of loopback, by command line and state of the socket.

    Any socket but those of ended connections counts, since an outgoing connection holds its port, too.
    A socket whose process cannot be read is named by its inode. Source: proc(5), `net/tcp`.
    """
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    states = {
        row[9]: _STATES.get(row[3], f"state {row[3]}")
        for row in rows
        if row[9] != "0" and int(row[1].rpartition(":")[2], 16) == port
    }
    found = {inode: f"socket {inode}" for inode in states}
    for fd in Path("/proc").glob("[0-9]*/fd/*"):
        try:
            inode = str(fd.readlink()).removeprefix("socket:[").rstrip("]")
            if inode in states:
                words = (fd.parent.parent / "cmdline").read_bytes().split(b"\0")
                found[inode] = f"{fd.parent.parent.name} " + b" ".join(words).decode().strip()
        except OSError:
            continue
    return sorted(f"{who} ({states[inode]})" for inode, who in found.items())
