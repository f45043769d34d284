"""Read a settings file and check all of it, so that one look shows every mistake."""

import difflib
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import attrs
import yaml
from result import Err, Ok, Result

from .const import CONF_TOKENS_FILE, ENV_TOKENS_FILE, MAX_SETTINGS_BYTES
from .errors import SettingsError, SettingsMistake
from .model import ATTR_KEY, ATTR_KIND

__all__ = ["load_settings", "load_settings_text"]

_T = TypeVar("_T")
_SHOWN_CHARS = 60
_WHOLE_FILE = "(file)"


class _Loader(yaml.SafeLoader):
    """Refuse a key that is written twice.

    YAML takes the last one silently: an operator who edits the first would see no effect.
    """

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Build the mapping, or raise on a key that stands twice."""
        seen: set[str] = set()
        for key_node, _ in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                continue
            if key_node.value in seen:
                problem = f"key {key_node.value!r} stands twice"
                raise yaml.MarkedYAMLError(problem=problem, problem_mark=key_node.start_mark)
            seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def load_settings(
    path: str | Path, cls: type[_T], environ: Mapping[str, str] = os.environ
) -> Result[_T, SettingsError]:
    """Read and check the settings file of a role."""
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_SETTINGS_BYTES + 1)
    except OSError as exc:
        return _whole_file(str(path), f"not readable ({exc.strerror})", "a readable file")
    if len(raw) > MAX_SETTINGS_BYTES:
        return _whole_file(str(path), "too long", f"up to {MAX_SETTINGS_BYTES} bytes")
    try:
        text = raw.decode()
    except UnicodeDecodeError as exc:
        return _whole_file(str(path), f"not UTF-8 at byte {exc.start}", "YAML in UTF-8")
    return load_settings_text(text, cls, str(path), environ)


def load_settings_text(
    text: str, cls: type[_T], path: str = "settings", environ: Mapping[str, str] = os.environ
) -> Result[_T, SettingsError]:
    """Check settings given as text; the error names every mistake."""
    try:
        raw = yaml.load(text, Loader=_Loader)  # noqa: S506 - a SafeLoader
    except (yaml.YAMLError, RecursionError, ValueError) as exc:
        return _whole_file(path, f"not YAML ({_where(exc)})", "a YAML mapping of keys to values")
    if not isinstance(raw, dict):
        return _whole_file(path, f"a {type(raw).__name__}", "a YAML mapping of keys to values")
    fields = {_key(field): field for field in attrs.fields(cls)}
    if ENV_TOKENS_FILE in environ and CONF_TOKENS_FILE in fields:
        raw[CONF_TOKENS_FILE] = environ[ENV_TOKENS_FILE]
    mistakes = _check_keys(raw, tuple(fields))
    values: dict[str, Any] = {}
    for key, field in fields.items():
        parsed = _check_value(key, field, raw)
        if isinstance(parsed, Err):
            mistakes.append(parsed.unwrap_err())
        else:
            values[field.name] = parsed.unwrap()
    if mistakes:
        return Err(SettingsError(path, tuple(mistakes)))
    return Ok(cls(**values))


def _check_keys(raw: dict[Any, Any], known: tuple[str, ...]) -> list[SettingsMistake]:
    """Return a mistake for each key that no setting has."""
    mistakes = []
    for key in raw:
        if key in known:
            continue
        near = difflib.get_close_matches(str(key), known, n=1)
        allowed = f"did you mean {near[0]}?" if near else "one of " + ", ".join(known)
        mistakes.append(SettingsMistake(_cut(str(key)), "unknown key", allowed))
    return mistakes


def _check_value(
    key: str, field: "attrs.Attribute[Any]", raw: dict[Any, Any]
) -> Result[Any, SettingsMistake]:
    """Return the typed value of one setting, its default, or the mistake."""
    kind = field.metadata[ATTR_KIND]
    if key not in raw:
        if field.default is attrs.NOTHING:
            return Err(SettingsMistake(key, "missing", kind.allowed))
        return Ok(field.default)
    if raw[key] is None and field.default is None:
        return Ok(None)
    parsed = kind.parse(raw[key])
    if isinstance(parsed, Err):
        return Err(SettingsMistake(key, _shown(raw[key]), parsed.unwrap_err()))
    return parsed


def _key(field: "attrs.Attribute[Any]") -> str:
    """Return the key under which a setting stands in the file."""
    return field.metadata[ATTR_KEY] or field.name


def _shown(value: Any) -> str:
    """Return the value as an operator may see it.

    A URL with credentials is a mistake whose message would carry them into the logs of a start.
    """
    if "@" in str(value):
        return "value not shown"
    return _cut(repr(value))


def _cut(text: str) -> str:
    """Return the text, cut to a length that a line can carry."""
    return text if len(text) <= _SHOWN_CHARS else text[:_SHOWN_CHARS] + "..."


def _where(exc: Exception) -> str:
    """Say what the YAML reader found and where, without quoting the file."""
    if isinstance(exc, yaml.MarkedYAMLError) and exc.problem_mark is not None:
        mark = exc.problem_mark
        return f"{exc.problem} in line {mark.line + 1}, column {mark.column + 1}"
    return type(exc).__name__


def _whole_file(path: str, value: str, allowed: str) -> Result[Any, SettingsError]:
    """Return an error about the file as a whole."""
    return Err(SettingsError(path, (SettingsMistake(_WHOLE_FILE, value, allowed),)))
