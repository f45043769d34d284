"""The platform's messages: read as they are told, and nonsense told as such."""

import base64
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from cranberryline.jobs.model import Item, ItemResult, ItemState, Job
from cranberryline.jobs.ports import ItemBodyRead, JobEnd, JobRead, PlainCall
from cranberryline.jobs.service import JobPage
from cranberryline.platform.adapter import UsersPlatform
from cranberryline.platform.edge import PlatformEdge
from cranberryline.platform.ports import NamedVersion
from cranberryline.ports.store import KeyedRecord
from cranberryline.routes import RouteKind, RouteTable

from .conftest import config, job

EDGE = PlatformEdge()
PLATFORM = UsersPlatform("127.0.0.1:9")


def test_the_operators_configuration_becomes_a_table() -> None:
    """Kinds, bounds, splits and limits are there under the product's names."""
    raw = config(7, routes=[{**config()["routes"][0], "name": "s", "path_prefix": "/split/"}])
    raw["routes"][-1]["split"] = [{"service": "a", "weight": 9}, {"service": "b"}]
    raw["limits"] = {"header_bytes": 100, "idle_timeout_ms": 2500}
    read = PLATFORM.read_operator(KeyedRecord("config", msgspec.json.encode(raw)))
    table = read.unwrap()
    assert isinstance(table, RouteTable) and table.version == 7
    found = table.match("files.example", "/jobs/x")
    assert found is not None and found.kind is RouteKind.JOB
    assert found.max_wait == timedelta(seconds=40) and found.max_attempts == 3
    split = table.match("files.example", "/split/x")
    assert split is not None and [share.weight for share in split.services] == [9, 1]
    assert table.limits.idle_timeout == timedelta(seconds=2.5)
    assert table.services["engines"] is not None and table.services["files"] is None


def test_named_versions_and_foreign_keys() -> None:
    """A version is read; a key that is none of ours says nothing; a dropped one too."""
    value = msgspec.json.encode({"model": "m", "version": 4})
    assert PLATFORM.read_operator(KeyedRecord("version/m", value)) == Ok(NamedVersion("m", 4))
    assert PLATFORM.read_operator(KeyedRecord("something", b"x")) == Ok(None)
    assert PLATFORM.read_operator(KeyedRecord("config", b"")) == Ok(None)


@given(st.binary(max_size=60), st.sampled_from(["config", "version/m"]))
def test_nonsense_from_the_store_is_told_as_such(value: bytes, key: str) -> None:
    """Whatever bytes stand there, reading never raises."""
    read = PLATFORM.read_operator(KeyedRecord(key, value))
    assert isinstance(read, Ok | Err)
    assert isinstance(PLATFORM.read_registration(KeyedRecord("i-1", value)), Ok | Err)
    PLATFORM.log.unpack_keyed(value)


@given(st.text(min_size=1, max_size=40), st.binary(max_size=60))
def test_a_keyed_record_comes_back(key: str, value: bytes) -> None:
    """Key and value are what was put in."""
    assert PLATFORM.log.unpack_keyed(PLATFORM.log.pack_keyed(key, value)) == KeyedRecord(key, value)


def test_calls_about_jobs_are_told_from_requests() -> None:
    """Paths, query and headers name the call."""
    assert EDGE.read_call("GET", "/api/lots/j", {"after": "3"}, {"Wait-Ms": "1000"}) == Ok(
        JobRead("j", 3, timedelta(seconds=1))
    )
    assert EDGE.read_call("DELETE", "/api/lots/j", {}, {}) == Ok(JobEnd("j"))
    assert EDGE.read_call("GET", "/api/items/j", {"id": "i"}, {}) == Ok(ItemBodyRead("j", "i"))
    plain = EDGE.read_call("GET", "/x", {}, {"Attempt-Id": "r", "Deadline-Ms": "70"})
    assert plain == Ok(PlainCall("r", timedelta(milliseconds=70)))


def test_calls_that_make_no_sense_are_refused_with_a_reason() -> None:
    """Wrong numbers, methods and missing ids."""
    wrong = [
        ("GET", "/api/lots/j", {"after": "x"}, {}),
        ("PUT", "/api/lots/j", {}, {}),
        ("GET", "/api/items/j", {}, {}),
        ("GET", "/x", {}, {"Deadline-Ms": "soon"}),
    ]
    assert all(isinstance(EDGE.read_call(*call), Err) for call in wrong)


def test_a_job_is_read_with_its_groups_scorers_and_shared_prompts() -> None:
    """Bodies are decoded; the first part of a prompt is what others share."""
    body = msgspec.json.encode(job(2))
    made = EDGE.read_job("j", "h", "/jobs/1", body, 5.0).unwrap()
    assert (made.id, made.model, made.min_version, made.submitted) == ("j", "m0", 1, 5.0)
    first = made.items[0]
    assert (first.body, first.group, first.prefix, first.prefix_tokens) == (
        b"prompt",
        "g0",
        "aa",
        10,
    )
    assert first.scorer is not None and first.scorer.body == b"how good"
    assert isinstance(EDGE.read_job("", "h", "/jobs/1", body, 5.0), Err)


@given(st.binary(max_size=80))
def test_bytes_that_are_no_job_never_raise(body: bytes) -> None:
    """They are refused with a reason."""
    assert isinstance(EDGE.read_job("j", "h", "/p", body, 0.0), Err)


def test_a_page_has_the_platforms_names() -> None:
    """A dead item has neither versions nor score."""
    items = [Item(name, "/p", (), b"") for name in ("a", "b")]
    done = ItemResult(ItemState.COMPLETED, "x\ny", (6, 7), "seal")
    page = JobPage(3, 2, ((items[0], done), (items[1], ItemResult(ItemState.DEAD))))
    assert msgspec.json.decode(EDGE.write_page(page)) == {
        "total": 3,
        "next_token": 2,
        "results": [
            {"id": "a", "state": "completed", "text": "x\ny", "versions": [6, 7], "score": "seal"},
            {"id": "b", "state": "dead", "text": ""},
        ],
    }


def test_headers_of_items_scores_and_resumption() -> None:
    """An item runs under its own id and the job's host, and goes on after an event."""
    item = Item("i", "/p", (("Model", "m"),), base64.b64decode("eA=="))
    made = Job("j", "h", "/p", (item,), 0.0)
    headers = dict(EDGE.item_headers(made, item, 4))
    assert headers == {"Model": "m", "Attempt-Id": "i", "Host": "h", "Last-Event-Id": "4"}
    assert "Last-Event-Id" not in dict(EDGE.item_headers(made, item, None))
    resumed = EDGE.resume_headers((("last-event-id", "1"), ("A", "b")), 9)
    assert resumed == (("A", "b"), ("Last-Event-Id", "9"))
    head = EDGE.answer_head((("response-seal", "s"), ("weight-versions", "3")))
    assert (head.signature, head.version) == ("s", 3)


@pytest.mark.parametrize(
    ("told", "tokens"),
    [("186", 186), ("0", 0), ("-5", 0), ("12.5", 0), ("many", 0), ("9" * 40, 0), (None, 0)],
)
def test_the_length_that_a_caller_tells_is_read_and_passed_on(
    told: str | None, tokens: int
) -> None:
    """What is no number counts as not told; the header goes to the engine as it came."""
    headers = {} if told is None else {"Length-Hint": told}
    row = {"id": "i", "path": "/jobs/a", "headers": headers, "body": "", "tokens": 10}
    body = msgspec.json.encode({"items": [row]})
    job = EDGE.read_job("j1", "h", "/jobs/1", body, 0.0).unwrap()
    assert job.items[0].told_tokens == tokens
    sent = dict(EDGE.item_headers(job, job.items[0], None))
    assert sent.get("Length-Hint") == told
