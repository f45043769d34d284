"""The command `report`, from its line to what it prints, and what it is kept away from."""

import io
import json
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from cranberryline.cli import ExitCode, main

from .seeded import as_bytes, line, seeded_log

_PNG = b"\x89PNG"


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    """Return three files of one seeded run, each node's lines in its own."""
    lines = seeded_log(7)
    answered = {"request_id": "r1", "upstream": "e1", "place_ms": 30, "ms": 40, "status": 200}
    lines.append(line("request_answered", 3, **answered))
    for number in range(3):
        path = tmp_path / f"front-{number}.log"
        path.write_bytes(b"".join(as_bytes(lines[number::3])))
    return [str(path) for path in sorted(tmp_path.glob("*.log"))]


def _json(capsys: pytest.CaptureFixture[str], *args: str) -> dict[str, Any]:
    assert main(["report", *args]) == ExitCode.OK
    found: dict[str, Any] = json.loads(capsys.readouterr().out)
    return found


def test_a_run_as_text_names_causes_trainers_and_what_was_left_out(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Six steps of two trainers."""
    assert main(["report", *logs]) == ExitCode.OK
    shown = capsys.readouterr().out
    for part in ("6 steps", "broken runs", "m0", "m1", "skipped: 0 no JSON", "took longest"):
        assert part in shown


def test_a_step_as_text_tells_its_way_and_marks_the_item_that_ended_it(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """The marked item is the one that the head names."""
    assert main(["report", "--job", "job2", *logs]) == ExitCode.OK
    shown = capsys.readouterr().out
    for part in (
        "job job2, trainer m0, step 1",
        "version 2 named",
        "accepted and kept",
        "wanted 3",
    ):
        assert part in shown
    (marked,) = [row for row in shown.splitlines() if row.startswith("*")]
    assert f"last needed item listed: {marked.split()[1]} of" in shown


def test_a_step_as_json_has_all_its_items_and_shares_of_its_time(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """`--json` may stand before the files."""
    told = _json(capsys, "--json", *logs, "--job=job2")
    assert (told["job"], told["step"], told["complete"], len(told["items"])) == (
        "job2",
        1,
        True,
        12,
    )
    assert sum(cause["share"] for cause in told["causes"].values()) == pytest.approx(1, abs=0.001)
    for row in told["items"]:
        assert row["job_seen_at"] <= row["began_at"] <= row["listed_at"] <= row["read_at"]
    assert told["read"]["skipped"] == {"not_json": 0, "bad_fields": 0, "cut_short": 0}


def test_one_trainers_steps(logs: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    """Only its own."""
    told = _json(capsys, *logs, "--model", "m1", "--json")
    assert [step["job"] for step in told["steps"]] == ["job1", "job3", "job5"]


def test_a_plain_request_by_its_id(logs: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    """What came before its upstream's turn, and the rest."""
    told = _json(capsys, *logs, "--request", "r1", "--json")
    assert {name: cause["ms"] for name, cause in told["causes"].items()} == {
        "place": 30,
        "upstream": 10,
    }
    assert [row["message_type"] for row in told["lines"]] == ["request_answered"]


def test_standard_input_is_read_without_files(
    logs: list[str], capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """All gateways' lines through one pipe give what their files give."""
    data = b"".join(Path(path).read_bytes() for path in logs)
    monkeypatch.setattr(sys, "stdin", SimpleNamespace(buffer=io.BytesIO(data)))
    assert _json(capsys, "--json") == _json(capsys, *logs, "--json")


@pytest.mark.parametrize(
    ("args", "code", "words"),
    [
        (["--job", "none"], ExitCode.FAILURE, "no line about job none"),
        (["--model", "none"], ExitCode.FAILURE, "no line about trainer none"),
        (["--request", "none"], ExitCode.FAILURE, "none: no line about this request"),
        (["--job", "job1", "--model", "m1"], ExitCode.USAGE, "at most"),
        (["--request", "r1", "--picture", "x.png"], ExitCode.USAGE, "no --picture"),
        (["--json=maybe"], ExitCode.USAGE, "--json takes no value"),
        (["--job"], ExitCode.USAGE, "lacks its value"),
        (["/none/such.log"], ExitCode.FAILURE, "/none/such.log: cannot be read"),
        (["--picture", "/none/x.png"], ExitCode.FAILURE, "cannot be written"),
    ],
)
def test_what_cannot_be_told_is_an_error_that_says_why(
    logs: list[str],
    capsys: pytest.CaptureFixture[str],
    args: list[str],
    code: ExitCode,
    words: str,
) -> None:
    """Nothing stands on standard output then, so that a script can't take it for a report."""
    assert main(["report", *logs, *args]) == code
    captured = capsys.readouterr()
    assert words in captured.err and not captured.out


@pytest.mark.parametrize("args", [[], ["--job", "job1"], ["--model", "m0"]])
def test_pictures(
    logs: list[str], capsys: pytest.CaptureFixture[str], tmp_path: Path, args: list[str]
) -> None:
    """A waterfall of one step, and all steps over the time of the run; the report is printed too."""
    file = tmp_path / "picture.png"
    assert main(["report", *logs, *args, "--picture", str(file)]) == ExitCode.OK
    assert file.read_bytes().startswith(_PNG) and "lines read" in capsys.readouterr().out


def test_without_the_library_only_the_picture_is_missing(
    logs: list[str], capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Matplotlib is not installed: the picture says how to get it, all else works."""
    for name in ("matplotlib", "matplotlib.figure"):
        monkeypatch.setitem(sys.modules, name, None)
    assert main(["report", *logs, "--picture", "x.png"]) == ExitCode.FAILURE
    assert "pip install matplotlib" in capsys.readouterr().err
    assert main(["report", *logs]) == ExitCode.OK


def test_the_daemons_import_neither_the_reports_nor_the_library() -> None:
    """Their memory is paid for on every VM."""
    program = (
        "import sys, cranberryline.cli, cranberryline.gateway.app, cranberryline.entry.app,"
        " cranberryline.side.app\n"
        "print([name for name in sys.modules if name.split('.')[0] == 'matplotlib'"
        " or name.startswith('cranberryline.reports')])"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True, timeout=60
    )
    assert done.stdout.strip() == "[]"
