"""Controls that operators set and take back while gateways run, shared through the store."""

from .controls import ControlRow, Controls
from .records import (
    BadControl,
    ControlKind,
    ControlRecord,
    check_name,
    control_key,
    parse_control,
)
from .writer import ControlWriter

__all__ = [
    "BadControl",
    "ControlKind",
    "ControlRecord",
    "ControlRow",
    "ControlWriter",
    "Controls",
    "check_name",
    "control_key",
    "parse_control",
]
