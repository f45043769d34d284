"""Reading logs: nothing is lost unsaid."""

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.reports.errors import ReportProblem
from cranberryline.reports.model import LogLines
from cranberryline.reports.reader import read_files, read_stream

from .seeded import START, accepted, as_bytes, item, line, seeded_log


def _read(lines: list[bytes], request: str = "") -> LogLines:
    log = LogLines()
    read_stream(lines, log, request)
    return log


def _taken(log: LogLines) -> int:
    kinds = (log.accepted, log.ended, log.cancelled, log.items, log.reads, log.refused)
    return sum(map(len, kinds)) + len(log.versions)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
_NAMES = st.sampled_from(["item_ended", "job_accepted", "groups_read", "version_named", "other"])
_FIELDS = st.sampled_from(["timestamp", "request_id", "job", "text_ms", "groups", "model", "items"])


@given(st.lists(st.binary(max_size=60) | st.builds(lambda text: b"{" + text, st.binary())))
def test_every_line_of_whatever_bytes_is_counted(garbage: list[bytes]) -> None:
    """A file of any bytes is read to its end, and each line that isn't empty stands in one count."""
    lines = b"\n".join(garbage).splitlines(keepends=True)
    log = _read(lines)
    assert log.lines == sum(bool(text.strip()) for text in lines)
    assert log.lines == _taken(log) + log.other + log.skipped.total


@given(st.lists(st.tuples(_NAMES, st.dictionaries(_FIELDS, _JSON))))
def test_lines_with_any_fields_are_taken_or_counted(made: list[tuple[str, dict[str, Any]]]) -> None:
    """Fields are missing, of another type or out of any range: the line is counted, the rest read."""
    lines = as_bytes([{"message_type": name, **fields} for name, fields in made])
    log = _read([*lines, *as_bytes([accepted("job", 1)])])
    assert log.lines == len(lines) + 1 == _taken(log) + log.other + log.skipped.total
    assert log.accepted[-1].request_id == "job"


def test_bad_lines_are_told_apart() -> None:
    """No JSON, a known line with a field of another type, a list, and a line cut by a full disk."""
    lines = as_bytes([item("job", "i0", 1), item("job", "i1", 1, text_ms="slow")])
    log = _read([*lines, b"Traceback (most recent call last):\n", b"[1]\n", b"\n", lines[0][:-30]])
    assert (log.skipped.not_json, log.skipped.bad_fields, log.skipped.cut_short) == (2, 1, 1)
    assert (log.lines, len(log.items)) == (5, 1)


def test_a_last_line_that_only_lacks_its_end_is_read() -> None:
    """A file whose last line is whole but for the line feed loses nothing."""
    assert len(_read([as_bytes([item("job", "i0", 1)])[0].rstrip()]).items) == 1


def test_what_a_collector_puts_before_a_line_is_left_out() -> None:
    """Time and host stand before the object, as collectors of logs write them."""
    prefixed = [b"  -15.6813 front-1 " + text for text in as_bytes(seeded_log(1))]
    assert _taken(_read(prefixed)) == _taken(_read(as_bytes(seeded_log(1)))) == len(prefixed)


def test_lines_of_an_earlier_release_are_read() -> None:
    """They have no group and no parts of the time."""
    old = line("item_ended", 1, request_id="i", job="j", waited_ms=3, text_ms=40, score_ms=5)
    (read,) = _read(as_bytes([old])).items
    assert (read.group, read.place_ms, read.timestamp) == ("", 0, START + 1)


def test_lines_of_a_request_are_kept_with_all_their_fields() -> None:
    """Also those that a report of steps has no use for, which don't count as useless then."""
    answered = line("request_answered", 1, request_id="r1", status=200, ms=3)
    log = _read(as_bytes([answered, accepted("job", 2)]), "r1")
    assert ([*log.of_request], log.other) == ([answered], 0)
    assert _read(as_bytes([answered])).other == 1


def test_a_file_that_cannot_be_read_ends_the_report(tmp_path: Path) -> None:
    """A step's lines lie in several files: told from the others, it would look as if it had waited."""
    good = tmp_path / "a.log"
    good.write_bytes(b"".join(as_bytes(seeded_log(1))))
    error = read_files([str(good), str(tmp_path / "none.log")]).unwrap_err()
    assert error.problem is ReportProblem.BAD_FILE and "none.log" in error.message
    assert len(read_files([str(good)]).unwrap().accepted) == 6


@pytest.mark.parametrize("content", [b"", b"\n\n", b"no log at all\n"])
def test_files_without_a_line_of_ours_are_an_error(tmp_path: Path, content: bytes) -> None:
    """An empty report would say that nothing happened."""
    path = tmp_path / "a.log"
    path.write_bytes(content)
    assert read_files([str(path)]).unwrap_err().problem is ReportProblem.NO_LINES
