"""Start the command line with `python -m cranberryline`."""

import signal
import sys

# Of the roles only this one reads its settings again on SIGHUP.
_RELOADS = "gateway"


def _run() -> int:
    if sys.argv[1:2] == [_RELOADS]:
        # The signal's default ends the process, and the libraries take most of a start: changed settings
        # would cost one more start. What it tells of is read when the gateway begins to listen to it.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .cli import main  # noqa: PLC0415 - the signal comes first

    return main()


if __name__ == "__main__":
    sys.exit(_run())
