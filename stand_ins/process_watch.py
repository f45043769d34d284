"""What a process holds while a test runs: its anonymous memory and its open descriptors."""

import os
import threading
from pathlib import Path

__all__ = ["ProcessWatch", "anonymous_bytes", "open_descriptors"]

_INTERVAL_S = 0.02
_KIB = 1024


def anonymous_bytes(pid: int) -> int:
    """Return the anonymous memory of a process; raises OSError if it has gone."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * _KIB
    return 0


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open; raises OSError if it has gone."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class ProcessWatch:
    """Reads the peaks of a process from a thread of its own until `stop`."""

    def __init__(self, pid: int) -> None:
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._pid = pid
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Read no more."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(_INTERVAL_S):
            try:
                self.peak_bytes = max(self.peak_bytes, anonymous_bytes(self._pid))
                self.peak_descriptors = max(self.peak_descriptors, open_descriptors(self._pid))
            except OSError:
                return
