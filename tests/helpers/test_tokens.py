"""Bearer tokens: roles hold, and no error or table shows a token."""

from pathlib import Path

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.helpers.tokens import (
    Role,
    TokenRefusal,
    TokenTable,
    load_tokens,
    load_tokens_text,
)

_OPERATOR = "operator-token-0001"
_TRAINER = "trainer-token-00002"
_CALLER = "caller-token-000003"
_ROWS = [
    {"name": "night", "token": _OPERATOR, "role": "operator"},
    {"name": "alpha", "token": _TRAINER, "role": "trainer"},
    {"name": "pickup-app", "token": _CALLER, "role": "caller"},
]


@pytest.fixture
def table() -> TokenTable:
    """Return a table with one token of each role."""
    return load_tokens_text(yaml.safe_dump({"tokens": _ROWS})).unwrap()


def test_each_role_opens_its_own_door(table: TokenTable) -> None:
    """Any known token makes a caller; operators and trainers don't stand in for each other."""
    assert table.check(f"Bearer {_OPERATOR}", Role.OPERATOR).unwrap() == "night"
    assert table.check(f"bearer  {_TRAINER} ", Role.TRAINER).unwrap() == "alpha"
    assert table.check(f"Bearer {_TRAINER}", Role.CALLER).unwrap() == "alpha"
    for token, role in [
        (_TRAINER, Role.OPERATOR),
        (_OPERATOR, Role.TRAINER),
        (_CALLER, Role.OPERATOR),
        (_CALLER, Role.TRAINER),
    ]:
        assert table.check(f"Bearer {token}", role).unwrap_err() is TokenRefusal.WRONG_ROLE


@pytest.mark.parametrize(
    ("header", "refusal"),
    [
        (None, TokenRefusal.MISSING),
        ("", TokenRefusal.MISSING),
        ("Bearer", TokenRefusal.MALFORMED),
        ("Bearer ", TokenRefusal.MALFORMED),
        (f"Basic {_OPERATOR}", TokenRefusal.MALFORMED),
        (_OPERATOR, TokenRefusal.MALFORMED),
        (f"Bearer {_OPERATOR[:-1]}", TokenRefusal.UNKNOWN),
        (f"Bearer {_OPERATOR}1", TokenRefusal.UNKNOWN),
        (f"Bearer {_OPERATOR.upper()}", TokenRefusal.UNKNOWN),
    ],
)
def test_a_bad_header_is_refused(
    table: TokenTable, header: str | None, refusal: TokenRefusal
) -> None:
    """Each kind of bad header has a reason of its own, all with status 401."""
    assert table.check(header, Role.CALLER).unwrap_err() is refusal
    assert refusal.status == 401
    assert TokenRefusal.WRONG_ROLE.status == 403


@given(st.text())
def test_no_header_opens_an_empty_table(header: str) -> None:
    """Without tokens nobody is an operator, a trainer or a named caller."""
    for role in Role:
        assert TokenTable().check(header, role).is_err()


def test_a_table_does_not_show_its_tokens(table: TokenTable) -> None:
    """A table that lands in a log or a traceback tells nothing."""
    assert not any(row["token"] in repr(table) for row in _ROWS)


@pytest.mark.parametrize(
    "rows",
    [
        [],
        "x",
        [_OPERATOR],
        [{"name": "a", "token": "too-short", "role": "caller"}],
        [{"name": "a", "token": f" {_OPERATOR}", "role": "caller"}],
        [{"name": "", "token": _OPERATOR, "role": "caller"}],
        [{"name": "a", "token": _OPERATOR, "role": "root"}],
        [{"name": "a", "token": _OPERATOR, "role": ["caller"]}],
        [{"name": "a", "token": _OPERATOR, "role": "caller", "more": 1}],
        [{"name": "a", "token": _OPERATOR, "role": "caller"}] * 2,
    ],
)
def test_a_bad_file_is_refused_without_showing_tokens(rows: object) -> None:
    """The errors go to the logs of a start that failed."""
    error = load_tokens_text(yaml.safe_dump({"tokens": rows})).unwrap_err()
    assert error.mistakes
    assert _OPERATOR not in str(error)
    assert "too-short" not in str(error)


@pytest.mark.parametrize("text", ["", "tokens: *operator-token-0001", "a: b", "tokens: [", "\x00"])
def test_broken_text_is_refused_without_quoting_it(text: str) -> None:
    """A YAML reader's own message would quote the place of the fault."""
    error = load_tokens_text(text).unwrap_err()
    assert _OPERATOR not in str(error)


def test_tokens_come_from_the_environment_or_a_file(tmp_path: Path) -> None:
    """The environment wins; with neither there are no tokens."""
    path = tmp_path / "tokens.yaml"
    path.write_text(yaml.safe_dump({"tokens": _ROWS[:1]}))
    environ = {"CRANBERRYLINE_TOKENS": yaml.safe_dump({"tokens": _ROWS[1:2]})}
    assert load_tokens(path, {}).unwrap().check(f"Bearer {_OPERATOR}", Role.OPERATOR).is_ok()
    assert load_tokens(path, environ).unwrap().check(f"Bearer {_OPERATOR}", Role.OPERATOR).is_err()
    assert load_tokens(path, environ).unwrap().check(f"Bearer {_TRAINER}", Role.TRAINER).is_ok()
    assert load_tokens(None, {}).unwrap() == TokenTable()
    assert load_tokens(tmp_path / "none", {}).is_err()
    path.write_bytes(b"\xff\xff")
    assert load_tokens(path, {}).is_err()
