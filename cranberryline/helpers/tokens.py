"""Bearer tokens: who sends a request, and in which role."""

import enum
import hashlib
import hmac
import os
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from ..settings.errors import SettingsError, SettingsMistake

__all__ = [
    "ENV_TOKENS",
    "Identity",
    "Role",
    "TokenRefusal",
    "TokenTable",
    "load_tokens",
    "load_tokens_text",
]

ENV_TOKENS = "CRANBERRYLINE_TOKENS"
CONF_NAME = "name"
CONF_ROLE = "role"
CONF_TOKEN = "token"  # noqa: S105 - a key, not a token
CONF_TOKENS = "tokens"
MIN_TOKEN_CHARS = 16

_SCHEME = "bearer"
_KEYS = frozenset({CONF_NAME, CONF_ROLE, CONF_TOKEN})
_MAX_FILE_BYTES = 1024 * 1024


class Role(enum.StrEnum):
    """What the holder of a token may do."""

    OPERATOR = "operator"
    TRAINER = "trainer"
    CALLER = "caller"


class TokenRefusal(enum.StrEnum):
    """Why a request's token was refused; `status` is the HTTP status to answer."""

    MISSING = "token_missing"
    MALFORMED = "token_malformed"
    UNKNOWN = "token_unknown"
    WRONG_ROLE = "token_wrong_role"

    @property
    def status(self) -> int:
        """Return 403 where the sender is known, 401 otherwise."""
        return 403 if self is TokenRefusal.WRONG_ROLE else 401


@attrs.frozen
class Identity:
    """Whose token it is."""

    name: str
    role: Role


@attrs.frozen
class TokenTable:
    """The known tokens, kept as digests only, so that no dump or log can show one."""

    _identities: tuple[tuple[bytes, Identity], ...] = attrs.field(default=(), repr=False)

    @classmethod
    def of(cls, tokens: Iterable[tuple[str, Identity]]) -> "TokenTable":
        """Build a table from plain tokens."""
        return cls(tuple((_digest(token), identity) for token, identity in tokens))

    def identify(self, header: str | None) -> Result[Identity, TokenRefusal]:
        """Return whose token an Authorization header carries."""
        if not header:
            return Err(TokenRefusal.MISSING)
        scheme, _, token = header.partition(" ")
        token = token.strip()
        if scheme.lower() != _SCHEME or not token:
            return Err(TokenRefusal.MALFORMED)
        found = self._find(_digest(token))
        return Err(TokenRefusal.UNKNOWN) if found is None else Ok(found)

    def check(self, header: str | None, role: Role) -> Result[str, TokenRefusal]:
        """Return the name of the token's holder if it has the role; any token makes a caller."""
        identified = self.identify(header)
        if isinstance(identified, Err):
            return identified
        identity = identified.unwrap()
        if role not in (Role.CALLER, identity.role):
            return Err(TokenRefusal.WRONG_ROLE)
        return Ok(identity.name)

    def _find(self, digest: bytes) -> Identity | None:
        """Compare with every token, each in constant time.

        Stopping at the first difference would tell a guesser by the time taken how much of a token
        is right; digests of equal length, all compared, tell nothing.
        """
        found = None
        for known, identity in self._identities:
            if hmac.compare_digest(known, digest):
                found = identity
        return found


def load_tokens(
    path: str | Path | None, environ: Mapping[str, str] = os.environ
) -> Result[TokenTable, SettingsError]:
    """Read the tokens from the environment, else from the file; with neither, the table is empty."""
    if ENV_TOKENS in environ:
        return load_tokens_text(environ[ENV_TOKENS], f"environment variable {ENV_TOKENS}")
    if path is None:
        return Ok(TokenTable())
    try:
        with Path(path).open("rb") as file:
            text = file.read(_MAX_FILE_BYTES).decode()
    except OSError as exc:
        return _one_mistake(str(path), f"not readable ({exc.strerror})", "a readable file")
    except UnicodeDecodeError:
        return _one_mistake(str(path), "not UTF-8", "YAML in UTF-8")
    return load_tokens_text(text, str(path))


def load_tokens_text(text: str, path: str = "tokens") -> Result[TokenTable, SettingsError]:
    """Check tokens given as text; no mistake shows a token."""
    allowed = "a mapping with one key, tokens: a list of {name, token, role}"
    try:
        raw = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError):
        return _one_mistake(path, "not YAML", allowed)
    if not isinstance(raw, dict) or set(raw) != {CONF_TOKENS}:
        return _one_mistake(path, "another shape", allowed)
    rows = raw[CONF_TOKENS]
    if not isinstance(rows, list) or not rows:
        return _one_mistake(path, "no list of tokens", allowed)
    mistakes = [mistake for i, row in enumerate(rows) for mistake in _check_row(i, row)]
    if mistakes:
        return Err(SettingsError(path, tuple(mistakes)))
    tokens = [row[CONF_TOKEN] for row in rows]
    if len(set(tokens)) != len(tokens):
        return _one_mistake(path, "a token stands twice", "a token of its own for each name")
    identities = [Identity(row[CONF_NAME], Role(row[CONF_ROLE])) for row in rows]
    return Ok(TokenTable.of(zip(tokens, identities, strict=True)))


def _check_row(index: int, row: Any) -> list[SettingsMistake]:
    """Return all mistakes of one row."""
    key = f"{CONF_TOKENS}[{index}]"
    if not isinstance(row, dict):
        return [SettingsMistake(key, f"a {type(row).__name__}", "a mapping {name, token, role}")]
    mistakes = []
    if set(row) - _KEYS:
        mistakes.append(SettingsMistake(key, "unknown keys", "only name, token, role"))
    name = row.get(CONF_NAME)
    if not isinstance(name, str) or not name:
        mistakes.append(SettingsMistake(f"{key}.{CONF_NAME}", "no name", "a text"))
    token = row.get(CONF_TOKEN)
    if not isinstance(token, str) or len(token) < MIN_TOKEN_CHARS or token != token.strip():
        allowed = f"a text of at least {MIN_TOKEN_CHARS} characters without blanks at its ends"
        mistakes.append(SettingsMistake(f"{key}.{CONF_TOKEN}", "value not shown", allowed))
    role = row.get(CONF_ROLE)
    if not isinstance(role, str) or role not in tuple(Role):
        allowed = "one of " + ", ".join(Role)
        mistakes.append(SettingsMistake(f"{key}.{CONF_ROLE}", "no known role", allowed))
    return mistakes


def _digest(token: str) -> bytes:
    """Return a digest of fixed length."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).digest()


def _one_mistake(path: str, value: str, allowed: str) -> Result[Any, SettingsError]:
    """Return an error of one mistake about the whole file."""
    return Err(SettingsError(path, (SettingsMistake(CONF_TOKENS, value, allowed),)))
