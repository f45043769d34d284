"""The command line: both roles, the operator's commands and the check of settings."""

import json
import os
import platform
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import fire
import yaml
from fire.parser import DefaultParseValue
from result import Err, Result

from . import __version__
from .exit_code import ExitCode
from .operator_cli import (
    PROGRAM,
    Command,
    ConfigCommands,
    ControlCommands,
    HoldCommands,
    command,
    operator,
    usage,
)
from .settings import EntrySettings, GatewaySettings, SettingsError, SideSettings, load_settings

__all__ = ["ExitCode", "main"]

_FIRE_HELP = ("--", "--help")
# `fire` would take the argument behind a flag as its value.
_SWITCHES = {"--json": "--json=True"}
_HELP_FLAGS = ("-h", "--help")

_ROLES: dict[str, type[EntrySettings] | type[GatewaySettings] | type[SideSettings]] = {
    "entry": EntrySettings,
    "gateway": GatewaySettings,
    "side": SideSettings,
}


def _report(as_json: bool) -> Callable[..., int]:
    """Return the command for reports, imported when it runs: the roles need nothing of it."""

    def run(job: str, model: str, request: str, picture: str, *files: str) -> int:
        from .reports import run as run_report  # noqa: PLC0415

        return run_report(job, model, request, picture, as_json, files)

    return run


class Commands:
    """Rollout service for reinforcement learning on shared engines.

    Exit codes: 0 done; 1 failed or refused; 2 wrong usage or settings; 3 conflict with a newer
    record; 4 entry unavailable; 5 outcome unknown; 130 interrupted.
    """

    def __init__(self) -> None:
        self.config = ConfigCommands()
        self.holds = HoldCommands()
        self.controls = ControlCommands()

    def entry(self, settings: str) -> Command:
        """Run an entry process until SIGTERM or SIGINT; a second signal stops it at once.

        Args:
            settings: YAML file of settings; docs/SETTINGS.md describes its keys.

        """
        return command(_run_role, "entry", settings)

    def gateway(self, settings: str) -> Command:
        """Run a gateway process until SIGTERM or SIGINT; its shared state lives in the store.

        Args:
            settings: YAML file of settings; docs/SETTINGS.md describes its keys.

        """
        return command(_run_role, "gateway", settings)

    def side(self, settings: str) -> Command:
        """Run a side process until SIGTERM or SIGINT; a second signal stops it at once.

        Args:
            settings: YAML file of settings; docs/SETTINGS.md describes its keys.

        """
        return command(_run_role, "side", settings)

    def status(self, entry: str = "", token_file: str = "") -> Command:
        """Print what is in force where, as an entry sees it, as YAML.

        Args:
            entry: Base URL of an entry; else CRANBERRYLINE_ENTRY, else http://127.0.0.1:8001.
            token_file: File with an operator's token; else CRANBERRYLINE_TOKEN.

        """
        return command(operator("status"), entry, token_file)

    def check_settings(self, settings: str, role: str = "") -> Command:
        """Check a settings file, and the tokens it names, and print every mistake.

        Args:
            settings: YAML file of settings.
            role: entry, gateway or side; without it, a file that has `service` is a side's and one
                that has `store` a gateway's.

        """
        return command(_check_settings, settings, role)

    def check_config(self, file: str) -> Command:
        """Check a configuration that the users' platform keeps, and print every mistake.

        Args:
            file: The configuration as JSON, as the operator writes it to the store.

        """
        return command(operator("check_config"), file)

    def report(
        self,
        *files: str,
        job: str = "",
        model: str = "",
        request: str = "",
        picture: str = "",
        json: bool = False,
    ) -> Command:
        """Tell from gateways' logs where the time of steps went, or of one plain request.

        Args:
            files: Logs of all gateways, JSON lines; without any, standard input is read.
            job: Tell of this job, with its items.
            model: Tell of this trainer's steps.
            request: Tell of the plain request with this id.
            picture: Draw into this PNG file too; needs matplotlib.
            json: Print JSON; takes no value.

        """
        if not isinstance(json, bool):
            return command(usage, f"--json takes no value: {json!r}")
        return command(_report(json), job, model, request, picture, *files)

    def version(self) -> Command:
        """Print the version."""
        return command(_version)


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    # The help of `fire` would start a pager as a second process; "-" takes the one built in.
    os.environ["PAGER"] = "-"
    args = [_as_text(arg) for arg in (sys.argv[1:] if argv is None else argv)]
    args = [_SWITCHES.get(arg, arg) for arg in args]
    if args and args[-1] in _HELP_FLAGS:
        args = [*args[:-1], *_FIRE_HELP]
    try:
        parsed = _parse(args)
        if isinstance(parsed, Command):
            return parsed.run()
        _parse([*args, *_FIRE_HELP])
        return ExitCode.USAGE
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def _parse(args: list[str]) -> object:
    """Let `fire` read the line; a wrong line or a call for help gives the exit code as a command."""
    try:
        return fire.Fire(Commands(), command=args, name=PROGRAM, serialize=_silent)
    except fire.core.FireExit as exc:
        code = ExitCode.USAGE if exc.code else ExitCode.OK
        return Command(lambda: code)


def _as_text(arg: str) -> str:
    """Quote an argument that `fire` would take for a number, a list or a boolean.

    A record named 007 would be looked up as 7, and a file named [a] as a list.
    """
    flag, equals, value = arg.partition("=") if arg.startswith("--") else ("", "", arg)
    if isinstance(DefaultParseValue(value), str):
        return arg
    return f"{flag}{equals}{json.dumps(value)}"


def _silent(_component: object) -> None:
    """Keep `fire` from printing the command object."""


def _run_role(role: str, path: str) -> int:
    """Check the settings, send the logs to standard output and run a role until it stops."""
    loaded: Result[Any, SettingsError] = load_settings(path, _ROLES[role])
    if isinstance(loaded, Err):
        return usage(str(loaded.unwrap_err()))
    settings = loaded.unwrap()
    run: Callable[..., int]
    more: tuple[str, ...] = ()
    if role == "entry":
        from .entry.app import run  # noqa: PLC0415 - keeps the other roles out of memory
    elif role == "gateway":
        from .gateway.run import run  # noqa: PLC0415 - keeps the other roles out of memory

        more = (path,)
    else:
        from .side.app import run  # noqa: PLC0415 - keeps the other role out of memory
    from .helpers.logging import set_up_logging  # noqa: PLC0415 - only the roles log

    writer = set_up_logging(settings.log_level, vm_id=settings.vm_id, role=role)
    try:
        return run(settings, *more)
    finally:
        writer.close()


def _check_settings(path: str, role: str) -> int:
    """Check a settings file and the tokens file that it names."""
    if role and role not in _ROLES:
        return usage(f"role: {role!r}; allowed: one of {', '.join(_ROLES)}")
    role = role or _guess_role(path)
    loaded: Result[Any, SettingsError] = load_settings(path, _ROLES[role])
    if isinstance(loaded, Err):
        return usage(str(loaded.unwrap_err()))
    if role == "entry":
        from .helpers.tokens import load_tokens  # noqa: PLC0415 - only entries have tokens

        tokens = load_tokens(loaded.unwrap().tokens_file)
        if isinstance(tokens, Err):
            return usage(str(tokens.unwrap_err()))
    print(f"{path}: valid settings of role {role}")
    return ExitCode.OK


def _guess_role(path: str) -> str:
    """Return the role that a file's keys speak of; a file that can't be read is the entry's."""
    try:
        raw = yaml.safe_load(Path(path).read_text())
    except (OSError, ValueError, yaml.YAMLError):
        return "entry"
    if isinstance(raw, dict) and "store" in raw:
        return "gateway"
    return "side" if isinstance(raw, dict) and {"service", "upstream"} & set(raw) else "entry"


def _version() -> int:
    """Print the versions of the program and of its Python."""
    print(f"{PROGRAM} {__version__} (Python {platform.python_version()})")
    return ExitCode.OK
