"""Processes that the launcher starts, signals and ends, each by its own process id."""

import ctypes
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from .ports import free_ports

__all__ = ["Process", "free_ports", "wait_for"]

PR_SET_PDEATHSIG = 1
_ROOT = Path(__file__).resolve().parent.parent
_LIBC = ctypes.CDLL(None)


def _die_with_parent() -> None:
    """Ask for SIGKILL when the launcher dies, so that a killed test leaves no process behind.

    The kernel looks at the thread that started the process; start from one that stays.
    """
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def wait_for(condition: Callable[[], bool], what: str, timeout_s: float = 20.0) -> None:
    """Poll until the condition holds, or raise TimeoutError."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{what} within {timeout_s} s")
        time.sleep(0.03)


class Process:
    """One process, which may be started again after its end."""

    def __init__(self, name: str, args: Sequence[str], log: Path) -> None:
        self.name = name
        self.log = log
        self._args = [sys.executable, "-m", *args]
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        if self._popen is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Say whether the process is there."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process; its output goes to the log file."""
        env = {**os.environ, "PYTHONPATH": str(_ROOT)}
        with self.log.open("ab") as out:
            self._popen = subprocess.Popen(
                self._args,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=env,
                cwd=_ROOT,
                start_new_session=True,
                preexec_fn=_die_with_parent,  # noqa: PLW1509 - the launcher has one thread
            )

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal, if the process is still there."""
        if self.running:
            os.kill(self.pid, signum)

    def kill(self) -> None:
        """Kill the process, which gets no chance to clean up."""
        self.signal(signal.SIGKILL)
        self.wait(5.0)

    def freeze(self) -> None:
        """Stop the process in its tracks; the kernel keeps its connections open."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a stopped process go on."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a planned stop."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for the end and return the exit code."""
        if self._popen is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._popen.wait(timeout_s)

    def output(self) -> str:
        """Return what the process wrote."""
        return self.log.read_text(errors="replace") if self.log.exists() else ""
