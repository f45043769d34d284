"""Exit codes of the command line."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """What the exit code of a command says."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    INTERRUPTED = 130
