"""Acceptance of keys by the age of the configuration."""

from datetime import timedelta

from result import Err

from cranberryline.workspaces import KeyCheck, KeyProblem, Workspace, WorkspaceTable, key_digest

TABLE = WorkspaceTable.checked([Workspace("a", frozenset({key_digest(b"key")}))]).unwrap()


def test_a_key_that_may_have_been_removed_is_not_accepted_under_a_strict_limit() -> None:
    """The configuration has not been confirmed for longer than the limit."""
    age: timedelta | None = None
    check = KeyCheck(lambda: age, timedelta(seconds=5))
    assert check.check(TABLE, "key") == Err(KeyProblem.UNCONFIRMED)
    age = timedelta(seconds=5)
    assert check.check(TABLE, "key").unwrap().name == "a"
    age = timedelta(seconds=5.1)
    assert check.check(TABLE, "key") == Err(KeyProblem.UNCONFIRMED)


def test_without_a_limit_the_known_configuration_applies() -> None:
    """A VM that is cut off from the store serves by what it knows."""
    check = KeyCheck(lambda: timedelta(hours=1))
    assert check.check(TABLE, "key").is_ok()
    assert check.check(TABLE, "") == Err(KeyProblem.MISSING)
    assert check.check(TABLE, "other") == Err(KeyProblem.UNKNOWN)
