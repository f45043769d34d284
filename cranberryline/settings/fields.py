"""Kinds of settings values: each turns what YAML gave into a typed value, or says what it takes."""

import abc
import ipaddress
import math
import re
from datetime import timedelta
from typing import Any
from urllib.parse import urlsplit

from result import Err, Ok, Result

from .const import MAX_PORT, MAX_SECONDS, MIN_SECONDS

__all__ = [
    "Address",
    "Addresses",
    "Choice",
    "FieldKind",
    "Milliseconds",
    "Identifier",
    "PeerAddress",
    "Rate",
    "Seconds",
    "Size",
    "Switch",
    "Text",
    "Url",
]

_MAX_PORT_DIGITS = len(str(MAX_PORT))
_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class FieldKind(abc.ABC):
    """One kind of value."""

    @property
    @abc.abstractmethod
    def allowed(self) -> str:
        """Return what is allowed, for a person to read."""

    @abc.abstractmethod
    def parse(self, raw: Any) -> Result[Any, str]:
        """Return the typed value; an Err repeats what is allowed."""


class Text(FieldKind):
    """Any text that is not empty."""

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return "a text that is not empty"

    def parse(self, raw: Any) -> Result[str, str]:
        """Return the text as it is."""
        if not isinstance(raw, str) or not raw.strip():
            return Err(self.allowed)
        return Ok(raw)


class Identifier(FieldKind):
    """A name that is safe in paths, labels and logs."""

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return "1 to 63 letters, digits, dots, dashes or underscores, a letter or digit first"

    def parse(self, raw: Any) -> Result[str, str]:
        """Return the name."""
        if not isinstance(raw, str) or not _IDENTIFIER.fullmatch(raw):
            return Err(self.allowed)
        return Ok(raw)


class Choice(FieldKind):
    """One of a few words."""

    def __init__(self, *words: str) -> None:
        self._words = words

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return "one of " + ", ".join(self._words)

    def parse(self, raw: Any) -> Result[str, str]:
        """Return the word."""
        if not isinstance(raw, str) or raw not in self._words:
            return Err(self.allowed)
        return Ok(raw)


class Address(FieldKind):
    """An IP number and a port, "127.0.0.1:8001"."""

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return f'an IP number and a port from 1 to {MAX_PORT}, such as "127.0.0.1:8001"'

    def parse(self, raw: Any) -> Result[str, str]:
        """Return the address as written."""
        if not isinstance(raw, str) or not _is_ip_and_port(raw):
            return Err(self.allowed)
        return Ok(raw)


class Addresses(FieldKind):
    """A list of addresses, each once."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._each = Address()

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return f"a list of up to {self._most} different addresses, each {self._each.allowed}"

    def parse(self, raw: Any) -> Result[tuple[str, ...], str]:
        """Return the addresses as written."""
        if not isinstance(raw, list) or len(raw) > self._most:
            return Err(self.allowed)
        if any(self._each.parse(address).is_err() for address in raw) or len(set(raw)) < len(raw):
            return Err(self.allowed)
        return Ok(tuple(raw))


class PeerAddress(FieldKind):
    """An address for peers, "tcp://127.0.0.1:7001"."""

    _scheme = "tcp://"

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return 'tcp:// with an IP number and a port, such as "tcp://127.0.0.1:7001"'

    def parse(self, raw: Any) -> Result[str, str]:
        """Return the address as written."""
        if not isinstance(raw, str) or not raw.startswith(self._scheme):
            return Err(self.allowed)
        if not _is_ip_and_port(raw.removeprefix(self._scheme)):
            return Err(self.allowed)
        return Ok(raw)


class Url(FieldKind):
    """The base URL of a service, without credentials, query or fragment."""

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return (
            "an http:// or https:// URL with a host, without credentials, query or fragment, "
            'such as "http://127.0.0.1:9001"'
        )

    def parse(self, raw: Any) -> Result[str, str]:
        """Return the URL without a slash at its end."""
        if not isinstance(raw, str) or not _is_base_url(raw):
            return Err(self.allowed)
        return Ok(raw.rstrip("/"))


class Seconds(FieldKind):
    """A number of seconds."""

    def __init__(self, maximum: float = MAX_SECONDS) -> None:
        self._maximum = maximum

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return f"a number of seconds from {MIN_SECONDS:g} to {self._maximum:g}"

    def parse(self, raw: Any) -> Result[timedelta, str]:
        """Return the duration."""
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            return Err(self.allowed)
        if not MIN_SECONDS <= raw <= self._maximum:
            return Err(self.allowed)
        return Ok(timedelta(seconds=raw))


class Milliseconds(FieldKind):
    """A duration written as a number of milliseconds, read as a timedelta."""

    def __init__(self, maximum: float = MAX_SECONDS) -> None:
        self._seconds = Seconds(maximum)

    @property
    def allowed(self) -> str:
        """Say what may stand here."""
        return f"a number of milliseconds, as seconds {self._seconds.allowed}"

    def parse(self, raw: Any) -> Result[timedelta, str]:
        """Check a number of milliseconds."""
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            return Err(self.allowed)
        return self._seconds.parse(raw / 1000)


class Size(FieldKind):
    """A whole number of bytes between two bounds."""

    def __init__(self, minimum: int, maximum: int) -> None:
        self._minimum = minimum
        self._maximum = maximum

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return f"a whole number of bytes from {self._minimum} to {self._maximum}"

    def parse(self, raw: Any) -> Result[int, str]:
        """Return the number."""
        if isinstance(raw, bool) or not isinstance(raw, int):
            return Err(self.allowed)
        if not self._minimum <= raw <= self._maximum:
            return Err(self.allowed)
        return Ok(raw)


class Switch(FieldKind):
    """Something that is on or off."""

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return "true or false"

    def parse(self, raw: Any) -> Result[bool, str]:
        """Return the value."""
        return Ok(raw) if isinstance(raw, bool) else Err(self.allowed)


class Rate(FieldKind):
    """A number of calls per second above 0."""

    @property
    def allowed(self) -> str:
        """Return what is allowed."""
        return "a number per second above 0"

    def parse(self, raw: Any) -> Result[float, str]:
        """Return the rate."""
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            return Err(self.allowed)
        return Ok(float(raw)) if 0 < raw < math.inf else Err(self.allowed)


def _is_ip_and_port(text: str) -> bool:
    """Tell whether the text is an IP number and a port."""
    host, colon, port = text.rpartition(":")
    # Longer texts are not made a number: past some thousand digits that raises.
    if not colon or not port.isascii() or not port.isdigit() or len(port) > _MAX_PORT_DIGITS:
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    if host.startswith("[") and host.endswith("]"):
        return _is_ip(host[1:-1], version=6)
    return _is_ip(host, version=4)


def _is_ip(text: str, version: int) -> bool:
    """Tell whether the text is an IP number of that version."""
    try:
        return ipaddress.ip_address(text).version == version
    except ValueError:
        return False


def _is_base_url(text: str) -> bool:
    """Tell whether the text is a base URL as described by Url."""
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        return False
    if any(char.isspace() for char in text) or "?" in text or "#" in text:
        return False
    return "@" not in parts.netloc
