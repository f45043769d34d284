"""The books of a stand-in: JSON lines in a file, so that they outlive a killed process."""

import json
from collections import deque
from pathlib import Path
from typing import Any

__all__ = ["Journal", "read_journal"]

ROWS_KEPT = 200_000
KIND_BOOT = "boot"


class Journal:
    """Append rows; `boot` counts the lives of this stand-in."""

    def __init__(self, path: str = "") -> None:
        earlier = read_journal(path) if path else []
        self.rows: deque[dict[str, Any]] = deque(earlier, maxlen=ROWS_KEPT)
        self.boot = 1 + sum(row["kind"] == KIND_BOOT for row in earlier)
        # Line buffering hands each row to the kernel at once, which a killed process can't undo.
        self._file = Path(path).open("a", buffering=1) if path else None  # noqa: SIM115
        self.append({"kind": KIND_BOOT, "boot": self.boot})

    def append(self, row: dict[str, Any]) -> None:
        """Add a row."""
        self.rows.append(row)
        if self._file is not None:
            self._file.write(json.dumps(row) + "\n")

    def of_kind(self, kind: str) -> list[dict[str, Any]]:
        """Return the rows of a kind, in order."""
        return [row for row in self.rows if row["kind"] == kind]


def read_journal(path: str | Path) -> list[dict[str, Any]]:
    """Read the whole rows of a journal; a row cut by a kill counts as not written."""
    file = Path(path)
    if not file.exists():
        return []
    rows = []
    for line in file.read_text().split("\n")[:-1]:
        try:
            rows.append(json.loads(line))
        except ValueError:
            continue
    return rows
