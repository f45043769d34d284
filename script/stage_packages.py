"""Copy the program and what it needs at run time from the environment into a folder."""

import re
import shutil
import sys
from importlib.metadata import Distribution, distribution
from pathlib import Path

_REPOSITORY = Path(__file__).resolve().parent.parent
_PACKAGE = "cranberryline"
_LEFT_OUT = frozenset({"__pycache__", "test", "tests"})
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def main(target: Path) -> None:
    """Stage the package and the closure of its requirements."""
    shutil.copytree(
        _REPOSITORY / _PACKAGE, target / _PACKAGE, ignore=shutil.ignore_patterns(*_LEFT_OUT)
    )
    lines = (_REPOSITORY / "requirements.txt").read_text().splitlines()
    for dist in _closure([line for line in lines if line]):
        _copy(dist, target)


def _closure(requirements: list[str]) -> list[Distribution]:
    """Return the distributions required, each once, with those that they require."""
    found: dict[str, Distribution] = {}
    waiting = list(requirements)
    while waiting:
        match = _NAME.match(waiting.pop())
        if match is None or match.group().lower() in found:
            continue
        dist = distribution(match.group())
        found[match.group().lower()] = dist
        waiting.extend(line for line in dist.requires or () if _is_needed(line))
    return list(found.values())


def _is_needed(requirement: str) -> bool:
    """Tell whether a requirement holds here: not of an extra, another system or Python."""
    _, _, marker = requirement.partition(";")
    from packaging.markers import Marker  # noqa: PLC0415 - only the build has it

    return not marker.strip() or Marker(marker.strip()).evaluate({"extra": ""})


def _copy(dist: Distribution, target: Path) -> None:
    """Copy a distribution's files, without its scripts, caches and tests."""
    for file in dist.files or ():
        if file.parts[0] == ".." or _LEFT_OUT & set(file.parts):
            continue
        goal = target / file
        goal.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(dist.locate_file(file), goal)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
