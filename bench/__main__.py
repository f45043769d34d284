"""Run one of the measurements; each has a module with `main(argv) -> int`."""

import importlib
import sys

COMMANDS = (
    "decisions",
    "choice",
    "path",
    "idle",
    "capacity",
    "replay",
    "gateway",
    "fold",
    "steps",
    "soak",
    "drain",
    "fairness",
    "keys",
    "slots",
)


def main(argv: list[str]) -> int:
    """Run the measurement that the first argument names."""
    if not argv or argv[0] not in COMMANDS:
        print(f"usage: script/bench {'|'.join(COMMANDS)} [options]", file=sys.stderr)
        return 2
    name = f"{__package__}.{argv[0]}"
    try:
        module = importlib.import_module(name)
    except ModuleNotFoundError as exc:
        if exc.name != name:
            raise
        print(f"there is no measurement {argv[0]} yet", file=sys.stderr)
        return 2
    return module.main(argv[1:])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
