"""The command line against an entry that does what it is told."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import yaml
from tornado.netutil import bind_sockets

from cranberryline import __version__
from cranberryline.cli import ExitCode, main

from .fake_entry import FakeEntry, serve_fake_entry

_TOKEN = "operator-token-0001"
_RECORD = {"kind": "service", "name": "redacteurs", "schema": 1, "spec": {"type": "engine"}}
_ENTRY_SETTINGS = {
    "vm_id": "entry-1",
    "data_center": "levis",
    "log": "http://127.0.0.1:9001",
    "vm_list": "http://127.0.0.1:9002",
}


@pytest.fixture
def fake() -> Iterator[FakeEntry]:
    """Serve a fake entry."""
    with serve_fake_entry() as served:
        yield served


@pytest.fixture
def record_file(tmp_path: Path) -> Path:
    """Return a file with one record without `amends`."""
    path = tmp_path / "record.yaml"
    path.write_text(yaml.safe_dump(_RECORD))
    return path


@pytest.fixture(autouse=True)
def environment(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the tester's own variables out."""
    for name in ("CRANBERRYLINE_ENTRY", "CRANBERRYLINE_TOKEN", "CRANBERRYLINE_TOKENS"):
        monkeypatch.delenv(name, raising=False)


def test_version(capsys: pytest.CaptureFixture[str]) -> None:
    """The version is that of the package."""
    assert main(["version"]) == ExitCode.OK
    assert capsys.readouterr().out.startswith(f"cranberryline {__version__} ")


@pytest.mark.parametrize(
    ("line", "code", "words"),
    [
        (["--help"], ExitCode.OK, ["entry", "side", "config", "status", "version", "Exit codes"]),
        (["config", "--help"], ExitCode.OK, ["publish", "get", "list", "history"]),
        (["config", "publish", "-h"], ExitCode.OK, ["FILE", "--entry", "amends"]),
        ([], ExitCode.USAGE, ["COMMAND"]),
        (["config"], ExitCode.USAGE, ["publish"]),
        (["bogus"], ExitCode.USAGE, ["bogus"]),
        (["entry"], ExitCode.USAGE, ["settings"]),
        (["version", "--more"], ExitCode.USAGE, ["--more"]),
        (["status", "--entry"], ExitCode.USAGE, ["lacks its value"]),
        (["status", "--entry=ftp://x"], ExitCode.USAGE, ["http://"]),
        (["status", "--token-file=/nonexistent/token"], ExitCode.USAGE, ["token_file"]),
    ],
)
def test_usage_and_help(
    line: list[str], code: ExitCode, words: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Help is no failure, wrong usage says what is wrong; neither reads like fire's insides."""
    assert main(line) == code
    captured = capsys.readouterr()
    for word in words:
        assert word in captured.out + captured.err
    assert "FIRE" not in captured.out + captured.err


def test_a_misspelt_flag_publishes_nothing(fake: FakeEntry, record_file: Path) -> None:
    """An operator misspells a flag after the file's name.

    The library that reads the line calls the command first and complains of the flag after that:
    the operator would be told of an error while the record is in force.
    """
    line = ["config", "publish", str(record_file), "--entry", fake.url, "--tokn-file=x"]
    assert main(line) == ExitCode.USAGE
    assert fake.paths == []


def test_publish_takes_the_current_revision_and_says_so(
    fake: FakeEntry, record_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Without `amends` the revision that the entry tells is amended."""
    fake.records.append({**_RECORD, "revision": 12})
    assert main(["config", "publish", str(record_file), "--entry", fake.url]) == ExitCode.OK
    assert fake.posted == [{**_RECORD, "amends": 12}]
    out = capsys.readouterr().out
    assert "taken from the entry: 12" in out
    assert "in force as revision 41" in out


def test_publish_keeps_a_given_revision(fake: FakeEntry, tmp_path: Path) -> None:
    """With `amends` in the file nothing is asked, so that a conflict stays one."""
    path = tmp_path / "record.yaml"
    path.write_text(yaml.safe_dump({**_RECORD, "amends": 5}))
    assert main(["config", "publish", str(path), "--entry", fake.url]) == ExitCode.OK
    assert fake.posted[0]["amends"] == 5
    assert len(fake.paths) == 1


def test_publish_sends_many_in_order_and_stops_at_a_refusal(
    fake: FakeEntry, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The second record meets a conflict: the first is in force, the third was not sent."""
    rows = [{**_RECORD, "name": name, "amends": 0} for name in ("one", "two", "three")]
    path = tmp_path / "records.yaml"
    path.write_text(yaml.safe_dump(rows[:1]) + "---\n" + yaml.safe_dump(rows[1:]))
    fake.answers = [
        (201, {"revision": 3}),
        (409, {"reason": "conflict", "title": "Amended meanwhile", "detail": "Get it again."}),
    ]
    assert main(["config", "publish", str(path), "--entry", fake.url]) == ExitCode.CONFLICT
    assert [row["name"] for row in fake.posted] == ["one", "two"]
    captured = capsys.readouterr()
    assert "service/one: in force as revision 3" in captured.out
    assert "service/two: not accepted" in captured.err
    assert "409 conflict: Amended meanwhile. Get it again." in captured.err


def test_two_records_of_one_name_amend_each_other(fake: FakeEntry, tmp_path: Path) -> None:
    """The second in a file amends the first."""
    path = tmp_path / "records.yaml"
    path.write_text(yaml.safe_dump([_RECORD, _RECORD]))
    assert main(["config", "publish", str(path), "--entry", fake.url]) == ExitCode.OK
    assert [row["amends"] for row in fake.posted] == [0, 41]


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        ((422, {"reason": "unknown_schema", "title": "Unknown schema"}), ExitCode.FAILURE),
        ((401, {"reason": "token_missing", "title": "No token"}), ExitCode.FAILURE),
        ((503, {"reason": "log_unavailable", "title": "Out", "ran": "no"}), ExitCode.UNAVAILABLE),
        ((504, {"reason": "log_unknown", "title": "?", "ran": "unknown"}), ExitCode.UNKNOWN),
        ((302, {}), ExitCode.FAILURE),
        (None, ExitCode.UNKNOWN),
    ],
)
def test_each_refusal_has_its_exit_code(
    fake: FakeEntry, tmp_path: Path, answer: tuple[int, dict[str, Any]] | None, code: ExitCode
) -> None:
    """A lost answer is unknown, since the record may be in force all the same."""
    path = tmp_path / "record.yaml"
    path.write_text(yaml.safe_dump({**_RECORD, "amends": 0}))
    fake.answers = [answer] * 3
    assert main(["config", "publish", str(path), "--entry", fake.url]) == code


def test_a_lost_answer_is_asked_for_again_under_the_same_id(
    fake: FakeEntry, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The record takes effect, its answer is lost, and the entry then cannot tell for a while.

    Under another id the second attempt would be a second record: a conflict with the operator's own
    first one, or a change over somebody else's. Two records never share an id.
    """
    path = tmp_path / "records.yaml"
    path.write_text(yaml.safe_dump([{**_RECORD, "amends": 0}, {**_RECORD, "amends": 7}]))
    unknown = {"reason": "log_unavailable", "title": "Not confirmed", "ran": "unknown"}
    fake.answers = [None, (503, unknown), (200, {"revision": 7}), (200, {"revision": 8})]
    assert main(["config", "publish", str(path), "--entry", fake.url]) == ExitCode.OK
    assert fake.ids[0] == fake.ids[1] == fake.ids[2] != fake.ids[3]
    assert "in force as revision 7" in capsys.readouterr().out


def test_a_refusal_is_not_asked_for_again(fake: FakeEntry, tmp_path: Path) -> None:
    """What was not run is told at once."""
    path = tmp_path / "record.yaml"
    path.write_text(yaml.safe_dump({**_RECORD, "amends": 0}))
    fake.answers = [(503, {"reason": "log_unavailable", "ran": "no"})]
    assert main(["config", "publish", str(path), "--entry", fake.url]) == ExitCode.UNAVAILABLE
    assert len(fake.ids) == 1


def test_a_row_of_the_history_is_a_new_record(fake: FakeEntry, tmp_path: Path) -> None:
    """An operator copies an old row to bring its spec back; its id must not come along."""
    path = tmp_path / "record.yaml"
    path.write_text(yaml.safe_dump({**_RECORD, "amends": 9, "id": "old", "revision": 3}))
    assert main(["config", "publish", str(path), "--entry", fake.url]) == ExitCode.OK
    assert fake.ids != ["old"]


def test_an_entry_that_is_not_there(record_file: Path) -> None:
    """Nothing listens at the address, so nothing was published."""
    sockets = bind_sockets(0, "127.0.0.1")
    port = sockets[0].getsockname()[1]
    sockets[0].close()
    line = ["config", "publish", str(record_file), "--entry", f"http://127.0.0.1:{port}"]
    assert main(line) == ExitCode.UNAVAILABLE


def test_the_token_comes_from_a_file_or_the_environment(
    fake: FakeEntry, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A file that is named wins; the token never stands on the command line."""
    monkeypatch.setenv("CRANBERRYLINE_TOKEN", "from-environment")
    monkeypatch.setenv("CRANBERRYLINE_ENTRY", fake.url)
    path = tmp_path / "token"
    path.write_text(_TOKEN + "\n")
    assert main(["status"]) == ExitCode.OK
    assert main(["status", "--token-file", str(path)]) == ExitCode.OK
    assert fake.authorizations == ["Bearer from-environment", f"Bearer {_TOKEN}"]


def test_get_prints_what_can_be_published(
    fake: FakeEntry, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Get, edit, publish: the copy amends the revision that was read."""
    fake.records.append({**_RECORD, "revision": 12, "amends": 3, "id": "x", "author": "night"})
    assert main(["config", "get", "service", "redacteurs", "--entry", fake.url]) == ExitCode.OK
    path = tmp_path / "copy.yaml"
    path.write_text(capsys.readouterr().out)
    assert main(["config", "publish", str(path), "--entry", fake.url]) == ExitCode.OK
    assert fake.posted == [{**_RECORD, "amends": 12}]
    assert main(["config", "get", "service", "none", "--entry", fake.url]) == ExitCode.FAILURE


def test_names_that_look_like_numbers_stay_text(fake: FakeEntry) -> None:
    """The line is read as text: 007 is a name, and not the number 7."""
    assert main(["config", "history", "trainer", "007", "--entry", fake.url]) == ExitCode.OK
    assert main(["config", "history", "trainer", "a/b?c", f"--entry={fake.url}"]) == ExitCode.OK
    assert fake.paths == [
        "/config/records/trainer/007/history",
        "/config/records/trainer/a%2Fb%3Fc/history",
    ]


def test_list_prints_a_line_for_each_record(
    fake: FakeEntry, capsys: pytest.CaptureFixture[str]
) -> None:
    """Sorted by kind and name, under a heading."""
    for name in ("b", "a"):
        fake.records.append({**_RECORD, "name": name, "revision": 12, "time": "2026-01-01"})
    assert main(["config", "list", "--entry", fake.url]) == ExitCode.OK
    lines = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert lines[0] == ["REVISION", "KIND", "NAME", "SCHEMA", "TIME"]
    assert [line[2] for line in lines[1:]] == ["a", "b"]


@pytest.mark.parametrize(
    ("content", "words"),
    [
        ("", ["no record"]),
        ("a: [", ["not YAML"]),
        ("[3]", ["record 1: a int"]),
        (
            "kind: service\nspec: 3\nmore: 1",
            ["name is missing", "schema is missing", "more", "spec is 3"],
        ),
        ("{kind: a, name: b, schema: x, spec: {}, amends: -1}", ["schema is 'x'", "amends is -1"]),
    ],
)
def test_a_bad_file_of_records_is_told_whole(
    content: str, words: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Nothing is sent while the file has a mistake."""
    path = tmp_path / "record.yaml"
    path.write_text(content)
    assert main(["config", "publish", str(path), "--entry", "http://127.0.0.1:1"]) == ExitCode.USAGE
    err = capsys.readouterr().err
    for word in words:
        assert word in err
    assert main(["config", "publish", str(tmp_path / "none")]) == ExitCode.USAGE


def test_check_settings(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """The role is told by the keys or by the flag; the tokens are checked too."""
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump(_ENTRY_SETTINGS))
    assert main(["check-settings", str(path)]) == ExitCode.OK
    assert "valid settings of role entry" in capsys.readouterr().out
    assert main(["check-settings", str(path), "--role=side"]) == ExitCode.USAGE
    assert "upstream: missing" in capsys.readouterr().err
    assert main(["check-settings", str(path), "--role=other"]) == ExitCode.USAGE
    tokens = tmp_path / "tokens.yaml"
    tokens.write_text("tokens: []")
    path.write_text(yaml.safe_dump({**_ENTRY_SETTINGS, "tokens_file": str(tokens)}))
    assert main(["check-settings", str(path)]) == ExitCode.USAGE
    path.write_text("service: a\nvm_id: 3\n")
    capsys.readouterr()
    assert main(["check-settings", str(path)]) == ExitCode.USAGE
    assert "upstream: missing" in capsys.readouterr().err


@pytest.mark.parametrize("role", ["entry", "side"])
def test_a_role_does_not_start_on_bad_settings(role: str, tmp_path: Path) -> None:
    """Every mistake is told before anything listens."""
    path = tmp_path / "bad.yaml"
    path.write_text("vm_id: 3")
    assert main([role, "--settings", str(path)]) == ExitCode.USAGE


_HELD = "0123456789abcdef" * 2


def test_holds_are_listed_and_released(fake: FakeEntry, capsys: pytest.CaptureFixture[str]) -> None:
    """An operator sees what a gateway holds, names it and is told that it is released."""
    row = {"fingerprint": _HELD, "held": True, "path": "/files/x", "upstreams": ["a", "b", "c"]}
    fake.answers.append((200, {"requests": [row]}))
    assert main(["holds", "list", "--gateway", fake.url]) == ExitCode.OK
    assert yaml.safe_load(capsys.readouterr().out) == [row]
    assert main(["holds", "release", _HELD, "--gateway", fake.url]) == ExitCode.OK
    assert "released" in capsys.readouterr().out
    assert fake.paths == ["/holds", f"/holds/{_HELD}"]


@pytest.mark.parametrize(
    ("status", "body", "code"),
    [
        (404, {"reason": "unknown_request", "title": "no upstream"}, ExitCode.FAILURE),
        (503, {"reason": "store_unavailable", "ran": "unknown"}, ExitCode.UNKNOWN),
    ],
)
def test_a_release_that_is_not_done_is_told(
    fake: FakeEntry, status: int, body: dict[str, str], code: ExitCode
) -> None:
    """A request that nobody holds, and a store that has not heard of the release."""
    fake.answers.append((status, body))
    assert main(["holds", "release", _HELD, "--gateway", fake.url]) == code


@pytest.mark.parametrize("line", [["list"], ["release", _HELD], ["list", "--gateway", ""]])
def test_holds_need_a_gateway(line: list[str]) -> None:
    """There is no address that would be right by default."""
    assert main(["holds", *line]) == ExitCode.USAGE
