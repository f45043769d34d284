"""Replay a recorded trace against an aggregate, line by line."""

import json
from pathlib import Path
from typing import Any

__all__ = ["replay"]


def replay(path: Path, target: Any) -> None:
    """Call what each line does, and compare with what it gives."""
    for number, text in enumerate(path.read_text().splitlines(), 1):
        line = json.loads(text)
        if "do" in line:
            got = getattr(target, line["do"])(line)
            assert got == line.get("gives"), f"line {number}"
