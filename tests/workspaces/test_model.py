"""The table of workspaces: lookup by key, mistakes, access."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.workspaces import Workspace, WorkspaceTable, key_digest, may_access

A = Workspace("a", frozenset({key_digest(b"key-a1"), key_digest(b"key-a2")}), 1)
B = Workspace("b", frozenset({key_digest(b"key-b")}))


def test_a_key_leads_to_its_workspace() -> None:
    """Each key of a workspace leads to it, and nothing else does."""
    table = WorkspaceTable.checked([A, B]).unwrap()
    assert [table.find(key) for key in ("key-a1", "key-a2", "key-b")] == [A, A, B]
    for key in ("", "key-a", "key-a1 ", "KEY-A1", "key-a1,key-a2", "k" * 8192, "\x00", "\u20ac"):
        assert table.find(key) is None


@given(st.text())
def test_no_text_raises(key: str) -> None:
    """A header of any characters is an unknown key."""
    assert WorkspaceTable.checked([A, B]).unwrap().find(key) is None


@pytest.mark.parametrize(
    ("listed", "mistake"),
    [
        ([A, A], "workspace a: listed twice"),
        ([A, Workspace("c", A.keys)], "workspace c: has a key of workspace a"),
        ([Workspace("c", frozenset({key_digest(b"")}))], "workspace c: empty key"),
        ([Workspace("")], "workspace 0: its name must be 1 to 200 printable ASCII characters"),
        (
            [Workspace("a\r\nX: y")],
            "workspace 0: its name must be 1 to 200 printable ASCII characters",
        ),
    ],
)
def test_each_mistake_is_one_line_without_a_key(listed: list[Workspace], mistake: str) -> None:
    """An operator reads what is wrong and where; no key or digest is in the line."""
    mistakes = WorkspaceTable.checked(listed).unwrap_err()
    assert mistake in mistakes
    assert all("\n" not in line and "key-" not in line for line in mistakes)


def test_keys_are_not_in_the_representation() -> None:
    """A workspace that is logged or raised in an error shows no digest."""
    assert "keys" not in repr(A)
    assert WorkspaceTable.checked([A, Workspace("empty")]).unwrap().without_keys() == ["empty"]


def test_access_is_limited_to_the_owner() -> None:
    """What was created without a workspace is accessible to all."""
    assert may_access("a", "a") and may_access("a", "") and may_access(None, "a")
    assert not may_access("b", "a") and not may_access("", "a")
