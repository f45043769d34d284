"""Decide whether the key of a request is accepted."""

import enum
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok, Result

from .model import Workspace, WorkspaceTable

__all__ = ["KeyCheck", "KeyProblem"]


class KeyProblem(enum.StrEnum):
    """Why a request's key is not accepted."""

    MISSING = "key_missing"
    UNKNOWN = "key_unknown"
    UNCONFIRMED = "keys_unconfirmed"  # a newer configuration may have removed keys


class KeyCheck:
    """Accept the keys of the active configuration.

    `age` returns for how long a newer configuration may exist unread, None if none was ever read.
    `max_age` is the longest age at which keys are still accepted, None for no limit.
    """

    def __init__(
        self, age: Callable[[], timedelta | None], max_age: timedelta | None = None
    ) -> None:
        self._age = age
        self.max_age = max_age

    def check(self, table: WorkspaceTable, key: str) -> Result[Workspace, KeyProblem]:
        """Return the workspace of a key as received in a header."""
        if not self._is_confirmed():
            return Err(KeyProblem.UNCONFIRMED)
        if not key:
            return Err(KeyProblem.MISSING)
        workspace = table.find(key)
        return Err(KeyProblem.UNKNOWN) if workspace is None else Ok(workspace)

    def _is_confirmed(self) -> bool:
        if self.max_age is None:
            return True
        age = self._age()
        return age is not None and age <= self.max_age
