"""Workspaces of one configuration and the digests of their keys."""

import hashlib
import re
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs
from result import Err, Ok, Result

__all__ = ["Workspace", "WorkspaceTable", "key_digest", "may_access"]

# A name is sent to upstreams as the value of a header.
_NAME = re.compile(r"[!-~](?:[ -~]{0,198}[!-~])?")


def key_digest(key: bytes) -> bytes:
    """Return the form in which keys are held and compared; keys themselves are not kept."""
    return hashlib.sha256(key).digest()


def may_access(caller: str | None, owner: str) -> bool:
    """Return whether a caller of one workspace may access what another one owns.

    `caller` is None where the configuration has no workspaces. `owner` is empty for what was
    created without a workspace, which all callers may access.
    """
    return caller is None or not owner or caller == owner


@attrs.frozen
class Workspace:
    """A workspace, and the digests of the keys that its callers may use.

    `priority` replaces the priority of the route unless it is None; 0 is the most urgent.
    """

    name: str
    keys: frozenset[bytes] = attrs.field(default=frozenset(), repr=False)
    priority: int | None = None


class WorkspaceTable:
    """The workspaces of one configuration; it is never changed, only replaced as a whole."""

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._by_name: Mapping[str, Workspace] = {each.name: each for each in workspaces}
        self._by_key: Mapping[bytes, Workspace] = {
            key: each for each in self._by_name.values() for key in each.keys
        }

    @staticmethod
    def checked(workspaces: Iterable[Workspace]) -> Result["WorkspaceTable", list[str]]:
        """Return the table, or one line for each mistake; no line contains a key or its digest."""
        listed = list(workspaces)
        mistakes = [
            f"workspace {number}: its name must be 1 to 200 printable ASCII characters"
            for number, each in enumerate(listed)
            if not _NAME.fullmatch(each.name)
        ]
        names = Counter(each.name for each in listed)
        mistakes += [f"workspace {name}: listed twice" for name in names if names[name] > 1]
        empty = key_digest(b"")
        mistakes += [f"workspace {each.name}: empty key" for each in listed if empty in each.keys]
        owners: dict[bytes, str] = {}
        for each in listed:
            for key in each.keys:
                owner = owners.setdefault(key, each.name)
                if owner != each.name:
                    mistakes.append(f"workspace {each.name}: has a key of workspace {owner}")
        return Err(mistakes) if mistakes else Ok(WorkspaceTable(listed))

    def __len__(self) -> int:
        return len(self._by_name)

    def find(self, key: str) -> Workspace | None:
        """Return the workspace of a key as received in a header, None if no workspace has it.

        The lookup may take a different time for each digest. A caller cannot choose digests, so
        that time tells nothing about a key.
        """
        try:
            return self._by_key.get(key_digest(key.encode("latin-1")))
        except UnicodeEncodeError:
            return None

    def get(self, name: str) -> Workspace | None:
        """Return a workspace by its name."""
        return self._by_name.get(name)

    def without_keys(self) -> list[str]:
        """Return the names of the workspaces that no caller can use, in order."""
        return sorted(each.name for each in self._by_name.values() if not each.keys)
