"""The command `report`: read, choose, show."""

import sys
from collections.abc import Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from cranberryline.exit_code import ExitCode

from .errors import ReportError, ReportProblem
from .model import LogLines
from .path import step_path
from .picture import draw_run, draw_step
from .plain import read_plain, request_plain, run_plain, step_plain
from .reader import read_files, read_stream
from .requests import request_path
from .steps import steps_of
from .text import read_text, request_text, run_text, step_text

__all__ = ["run"]


def run(
    job: str, model: str, request: str, picture: str, as_json: bool, files: Sequence[str]
) -> int:
    """Print a report of one job, one trainer, one request or the whole run; return the exit code."""
    made = _report(job, model, request, picture, as_json, files)
    if isinstance(made, Ok):
        print(made.unwrap())
        return ExitCode.OK
    error = made.unwrap_err()
    print(f"cranberryline: {error.message}", file=sys.stderr)
    return ExitCode.USAGE if error.problem is ReportProblem.USAGE else ExitCode.FAILURE


def _report(
    job: str, model: str, request: str, picture: str, as_json: bool, files: Sequence[str]
) -> Result[str, ReportError]:
    if sum(map(bool, (job, model, request))) > 1:
        return Err(ReportError(ReportProblem.USAGE, "one of --job, --model and --request at most"))
    if request and picture:
        return Err(ReportError(ReportProblem.USAGE, "there is no --picture of a single request"))
    read = _read(files, request)
    if isinstance(read, Err):
        return read
    log = read.unwrap()
    if request:
        return request_path(log, request).map(
            lambda path: _shown(log, request_plain(path), request_text(path), as_json)
        )
    return _of_steps(log, job, model, picture, as_json)


def _read(files: Sequence[str], request: str) -> Result[LogLines, ReportError]:
    if files:
        return read_files(files, request)
    log = LogLines()
    read_stream(sys.stdin.buffer, log, request)
    if not log.lines:
        return Err(ReportError(ReportProblem.NO_LINES, "no lines on standard input"))
    return Ok(log)


def _of_steps(
    log: LogLines, job: str, model: str, picture: str, as_json: bool
) -> Result[str, ReportError]:
    paths = [
        step_path(step)
        for step in steps_of(log)
        if (not job or step.job == job) and (not model or step.model == model)
    ]
    if not paths:
        what = f"job {job}" if job else f"trainer {model}" if model else "a job"
        message = f"no line about {what}; {read_text(log)}"
        return Err(ReportError(ReportProblem.UNKNOWN_ID, message))
    if picture:
        drawn = draw_step(paths[0], picture) if job else draw_run(paths, picture)
        if isinstance(drawn, Err):
            return drawn
    if job:
        return Ok(_shown(log, step_plain(paths[0]), step_text(paths[0]), as_json))
    return Ok(_shown(log, run_plain(paths), run_text(paths), as_json))


def _shown(log: LogLines, plain: dict[str, Any], text: str, as_json: bool) -> str:
    if not as_json:
        return f"{text}\n\n{read_text(log)}"
    data = msgspec.json.encode(plain | {"read": read_plain(log)})
    return msgspec.json.format(data, indent=2).decode()
