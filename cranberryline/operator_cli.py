"""Commands of operators on the command line, and what all commands share."""

import functools
import sys
from collections.abc import Callable

import attrs

from .exit_code import ExitCode

__all__ = [
    "PROGRAM",
    "Command",
    "ConfigCommands",
    "ControlCommands",
    "HoldCommands",
    "command",
    "operator",
    "usage",
]

PROGRAM = "cranberryline"


@attrs.frozen
class Command:
    """A command whose arguments are read; it runs only after all of the line is understood.

    `fire` calls a method as soon as it has its arguments and complains of left-over ones after
    that: a misspelt flag would be reported when the record has already been published.
    """

    run: Callable[[], int]

    def __dir__(self) -> list[str]:
        """Hide all members from `fire`, which would take left-over arguments for their names."""
        return []


def command(run: Callable[..., int], *texts: object) -> Command:
    """Return a command, or one that complains if `fire` read a flag without its value as True."""
    if not all(isinstance(text, str) for text in texts):
        return Command(lambda: usage("a flag lacks its value; --help tells the flags"))
    return Command(functools.partial(run, *texts))


def operator(name: str) -> Callable[..., int]:
    """Return an operator's command, imported when it runs: the roles need no HTTP client of it."""

    def run(*texts: str) -> int:
        from . import operator_commands  # noqa: PLC0415

        function: Callable[..., int] = getattr(operator_commands, name)
        return function(*texts)

    return run


class ConfigCommands:
    """Publish and read configuration records."""

    def publish(self, file: str, entry: str = "", token_file: str = "") -> Command:
        """Publish the records in a YAML file, in their order, and stop at the first refusal.

        A record is a mapping with kind, name, schema, spec and, optionally, amends: the revision
        that it replaces (0 for a new record). Without amends the current revision is taken.

        Args:
            file: A YAML file with one record, a list of them, or several documents.
            entry: Base URL of an entry; else CRANBERRYLINE_ENTRY, else http://127.0.0.1:8001.
            token_file: File with an operator's token; else CRANBERRYLINE_TOKEN.

        """
        return command(operator("publish"), file, entry, token_file)

    def get(self, kind: str, name: str, entry: str = "", token_file: str = "") -> Command:
        """Print the record in force, as YAML that can be edited and published.

        Args:
            kind: Kind of the record: service, trainer, weights or caller.
            name: Name of the record.
            entry: Base URL of an entry; else CRANBERRYLINE_ENTRY, else http://127.0.0.1:8001.
            token_file: File with an operator's token; else CRANBERRYLINE_TOKEN.

        """
        return command(operator("get"), kind, name, entry, token_file)

    def list(self, entry: str = "", token_file: str = "") -> Command:
        """Print a line for each record in force: revision, kind, name, schema, time.

        Args:
            entry: Base URL of an entry; else CRANBERRYLINE_ENTRY, else http://127.0.0.1:8001.
            token_file: File with an operator's token; else CRANBERRYLINE_TOKEN.

        """
        return command(operator("list_records"), entry, token_file)

    def history(self, kind: str, name: str, entry: str = "", token_file: str = "") -> Command:
        """Print the revisions of a record that an entry has seen, the oldest first, as YAML.

        Args:
            kind: Kind of the record: service, trainer, weights or caller.
            name: Name of the record.
            entry: Base URL of an entry; else CRANBERRYLINE_ENTRY, else http://127.0.0.1:8001.
            token_file: File with an operator's token; else CRANBERRYLINE_TOKEN.

        """
        return command(operator("history"), kind, name, entry, token_file)


class HoldCommands:
    """See and release requests that are held because upstreams crashed while they ran them."""

    def list(self, gateway: str) -> Command:
        """Print the requests that a gateway suspects or holds, as YAML.

        Args:
            gateway: Base URL of a gateway's ready address.

        """
        return command(operator("list_holds"), gateway)

    def release(self, fingerprint: str, gateway: str) -> Command:
        """Release a held request at every gateway; until upstreams crash under it again, it is run.

        Args:
            fingerprint: The request, as `holds list` and the logs name it.
            gateway: Base URL of a gateway's ready address.

        """
        return command(operator("release_hold"), fingerprint, gateway)


class ControlCommands:
    """See, set and take back weights, caps and cordons of a running fleet of gateways."""

    def list(self, gateway: str) -> Command:
        """Print the controls that a gateway knows, as YAML.

        Args:
            gateway: Base URL of a gateway's ready address.

        """
        return command(operator("list_controls"), gateway)

    def set(
        self,
        kind: str,
        name: str,
        gateway: str,
        weight: str = "",
        cap: str = "",
        seconds: str = "",
        reason: str = "",
    ) -> Command:
        """Set a control at every gateway, in place of the one of the same kind and name.

        Args:
            kind: trainer or workspace, with a weight or a cap; upstream, vm or data_center to cordon.
            name: Name of the trainer or workspace, or id of what is cordoned.
            gateway: Base URL of a gateway's ready address.
            weight: Weight from 0.1 to 100; 1 without it.
            cap: Engine slots in use at once over all gateways, from 1 to 100000.
            seconds: Seconds after which it no longer holds, a day at most; without it, it stays.
            reason: Why it is set.

        """
        run = operator("set_control")
        return command(run, kind, name, gateway, weight, cap, seconds, reason)

    def clear(self, kind: str, name: str, gateway: str) -> Command:
        """Take a control back at every gateway.

        Args:
            kind: Kind of the control, as `controls list` names it.
            name: Name of the control.
            gateway: Base URL of a gateway's ready address.

        """
        return command(operator("clear_control"), kind, name, gateway)


def usage(message: str) -> int:
    """Say what is wrong with the usage or the settings."""
    print(f"{PROGRAM}: {message}", file=sys.stderr)
    return ExitCode.USAGE
