"""HTTP handler through which operators see, set and take back controls."""

from datetime import UTC, datetime
from http import HTTPStatus
from typing import Any

from result import Err, Result

from cranberryline.controls import (
    BadControl,
    ControlKind,
    ControlRow,
    Controls,
    ControlWriter,
    check_name,
    control_key,
    parse_control,
)
from cranberryline.controls.const import MAX_CONTROLS
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.problem import ProblemHandler, write_problem
from cranberryline.ports.store import StoreError

__all__ = ["PATH_CONTROLS", "ControlsHandler"]

PATH_CONTROLS = r"/controls(?:/([^/]*)/([^/]*))?"


class ControlsHandler(ProblemHandler):
    """List controls, set one and take one back, addressed by kind and name."""

    def initialize(
        self, controls: Controls, writer: ControlWriter, clock: Clock, node: str
    ) -> None:
        """Set the dependencies; called by tornado for each request."""
        self._controls = controls
        self._writer = writer
        self._clock = clock
        self._node = node

    def get(self, kind: str | None, name: str | None) -> None:
        """Respond with all controls, or with one; 404 if that one is not set."""
        rows = self._controls.rows()
        if kind is not None:
            rows = [row for row in rows if (row.kind, row.name) == (kind, name)]
            if not rows:
                self._write_unknown()
                return
        self.finish({"controls": [_as_dict(row) for row in rows]})

    async def put(self, kind: str | None, name: str | None) -> None:
        """Set a control at all gateways, in place of the one of the same kind and name.

        Responds 400 if the input is invalid, 409 if too many are set, and 503 if the store did not
        confirm the control.
        """
        checked = check_name(kind or "", name or "")
        if isinstance(checked, Err):
            self._write_bad(checked.unwrap_err())
            return
        control = checked.unwrap()
        parsed = parse_control(
            control[0],
            self.request.body,
            self._node,
            self.request.remote_ip or "",
            self._clock.now().timestamp(),
        )
        if isinstance(parsed, Err):
            self._write_bad(parsed.unwrap_err())
            return
        if len(self._controls) >= MAX_CONTROLS and control_key(*control) not in self._controls:
            title = f"{MAX_CONTROLS} controls are set; take back those that are not needed"
            write_problem(self, HTTPStatus.CONFLICT, "too_many_controls", title)
            return
        written = await self._writer.async_set(*control, parsed.unwrap())
        self._finish_written(control, written)

    async def delete(self, kind: str | None, name: str | None) -> None:
        """Take a control back at all gateways.

        Responds 404 if it is not set, and 503 if the store did not confirm that.
        """
        checked = check_name(kind or "", name or "")
        if isinstance(checked, Err):
            self._write_bad(checked.unwrap_err())
            return
        control = checked.unwrap()
        if not await self._writer.async_sync():
            self._write_unconfirmed()
        elif control_key(*control) not in self._controls:
            self._write_unknown()
        else:
            by = self.request.remote_ip or ""
            written = await self._writer.async_clear(*control, by)
            self._finish_written(control, written)

    def _finish_written(
        self, control: tuple[ControlKind, str], written: Result[None, StoreError]
    ) -> None:
        if isinstance(written, Err):
            self._write_unconfirmed()
            return
        self.finish({"kind": control[0].value, "name": control[1], "confirmed": True})

    def _write_bad(self, problem: BadControl) -> None:
        title, field = "the control is invalid", problem.field
        status = HTTPStatus.BAD_REQUEST
        write_problem(self, status, "bad_control", title, detail=str(problem), field=field)

    def _write_unknown(self) -> None:
        write_problem(self, HTTPStatus.NOT_FOUND, "unknown_control", "no such control is set")

    def _write_unconfirmed(self) -> None:
        title = "the store did not confirm the change; it may be in force, or be later"
        status = HTTPStatus.SERVICE_UNAVAILABLE
        write_problem(self, status, "store_unavailable", title, ran="unknown")


def _as_dict(row: ControlRow) -> dict[str, Any]:
    """Return the JSON object of a control; times are in UTC, on the clock of `set_at`."""
    shown: dict[str, Any] = {"kind": row.kind.value, "name": row.name}
    if not row.kind.is_cordon:
        shown |= {"weight": row.record.weight, "cap": row.record.cap}
    return shown | {
        "by": row.record.by,
        "set_at": row.record.node,
        "since": _as_text(row.record.at),
        "until": None if row.record.until is None else _as_text(row.record.until),
        "reason": row.record.reason,
        "in_force": not row.why_not,
        "why_not": row.why_not,
        "ignored_for": row.ignored_for,
    }


def _as_text(unix_time: float) -> str:
    return datetime.fromtimestamp(unix_time, UTC).isoformat(timespec="seconds")
