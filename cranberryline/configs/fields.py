"""Validate the fields of a mapping and collect all validation errors, not only the first."""

import math
import re
from collections.abc import Callable
from typing import Any

import attrs

from .const import MAX_NAME_LENGTH, MAX_TEXT_LENGTH
from .errors import Mistake

__all__ = ["Field", "choice", "fraction", "name_field", "integer", "number", "text", "read_fields"]

NAME_PATTERN = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}")
NAME_ALLOWED = (
    f"a name of letters, digits, '.', '_' and '-', at most {MAX_NAME_LENGTH} characters, "
    "starting with a letter or digit"
)
MAX_SHOWN_LENGTH = 120  # characters of a value that an error message shows
REQUIRED = object()  # default of a field that has none


@attrs.frozen
class Field:
    """A field: a description of what is allowed, the test for it, and the default if optional."""

    allowed: str
    test: Callable[[Any], bool]
    default: Any = REQUIRED


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def number(low: float, high: float, default: Any = REQUIRED, above: bool = False) -> Field:
    """Allow a finite number in a range; `above` excludes the lower bound."""

    def test(value: Any) -> bool:
        return _is_number(value) and low <= value <= high and not (above and value == low)

    allowed = (
        f"a number above {low:g} and up to {high:g}" if above else f"a number {low:g}..{high:g}"
    )
    return Field(allowed, test, default)


def fraction(default: Any = REQUIRED, above: bool = False) -> Field:
    """Allow a number from 0 to 1; `above` excludes 0."""
    return number(0, 1, default, above)


def integer(low: int, high: int, default: Any = REQUIRED) -> Field:
    """Allow an integer in a range."""

    def test(value: Any) -> bool:
        return isinstance(value, int) and not isinstance(value, bool) and low <= value <= high

    return Field(f"an integer {low}..{high}", test, default)


def text(default: Any = REQUIRED) -> Field:
    """Allow a string of printable characters; it may be empty only if that is the default."""
    low = 0 if default == "" else 1

    def test(value: Any) -> bool:
        is_text = isinstance(value, str) and value.isprintable()
        return is_text and low <= len(value) <= MAX_TEXT_LENGTH

    return Field(f"a string of {low}..{MAX_TEXT_LENGTH} printable characters", test, default)


def name_field() -> Field:
    """Allow the name of a record."""
    return Field(
        NAME_ALLOWED, lambda value: isinstance(value, str) and bool(NAME_PATTERN.fullmatch(value))
    )


def choice(values: list[str], default: Any = REQUIRED) -> Field:
    """Allow one of the given strings."""
    return Field(
        "one of " + ", ".join(values),
        lambda value: isinstance(value, str) and value in values,
        default,
    )


def abbreviate_value(value: Any) -> Any:
    """Return a value as an error message shows it: shortened, and encodable as JSON."""
    if value is None or isinstance(value, bool | int):
        return value
    if isinstance(value, float):
        return value if math.isfinite(value) else repr(value)
    if not isinstance(value, str):
        return f"a {type(value).__name__}"
    return value if len(value) <= MAX_SHOWN_LENGTH else value[:MAX_SHOWN_LENGTH] + "..."


def read_fields(
    data: Any, fields: dict[str, Field], prefix: str = ""
) -> tuple[dict[str, Any], list[Mistake]]:
    """Validate a mapping; return the valid fields, with defaults, and all validation errors.

    `prefix` is put before each key in the errors, such as `queue.` for a nested mapping.
    """
    if not isinstance(data, dict):
        return {}, [Mistake(prefix.rstrip(".") or "spec", abbreviate_value(data), "a mapping")]
    values: dict[str, Any] = {}
    mistakes = [
        Mistake(
            f"{prefix}{abbreviate_value(key)}",
            abbreviate_value(data[key]),
            "one of the keys " + ", ".join(fields),
        )
        for key in data
        if key not in fields
    ]
    for key, field in fields.items():
        if key not in data:
            if field.default is REQUIRED:
                mistakes.append(Mistake(f"{prefix}{key}", None, f"{field.allowed} (required)"))
            else:
                values[key] = field.default
            continue
        if field.test(data[key]):
            values[key] = data[key]
        else:
            mistakes.append(Mistake(f"{prefix}{key}", abbreviate_value(data[key]), field.allowed))
    return values, mistakes
