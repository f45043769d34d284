"""Logs: one JSON line an event, no secrets, and no wait for a reader that has stopped."""

import io
import json
import logging
import os
import time
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import eliot
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.logging import (
    BurstLimiter,
    Level,
    LineWriter,
    dropped_lines,
    get_logger,
    once_per_burst,
    set_level,
    set_up_logging,
)


@pytest.fixture
def events() -> Iterator[list[dict[str, Any]]]:
    """Collect what is logged."""
    found: list[dict[str, Any]] = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)
    set_level(Level.INFO)


def _mine(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the events of this module; eliot hands over earlier ones to a first destination."""
    return [event for event in events if event.get("logger") == "here"]


def test_an_event_carries_its_fields_and_hides_secrets(events: list[dict[str, Any]]) -> None:
    """Whoever logs a header by mistake does not log the token in it."""
    get_logger("here").warning("refused", request_id=7, Authorization="Bearer x", token="x")
    (event,) = _mine(events)
    assert event["message_type"] == "refused"
    assert event["level"] == "warning"
    assert event["request_id"] == 7
    assert event["Authorization"] == event["token"] == "(hidden)"


def test_events_below_the_level_are_left_out(events: list[dict[str, Any]]) -> None:
    """The level holds for every logger."""
    logger = get_logger("here")
    logger.debug("one")
    set_level(Level.DEBUG)
    logger.debug("two")
    set_level(Level.ERROR)
    logger.warning("three")
    logger.error("four")
    assert [event["message_type"] for event in _mine(events)] == ["two", "four"]


def test_a_burst_is_told_once_and_counted(events: list[dict[str, Any]], clock: FakeClock) -> None:
    """The next line after the window says how many were left out; other events are not held back."""
    logger = once_per_burst("here", clock, timedelta(seconds=10))
    for _ in range(5):
        logger.warning("cut", peer="a")
    logger.warning("other")
    clock.advance(timedelta(seconds=10))
    logger.warning("cut", peer="b")
    found = [(event["message_type"], event.get("suppressed")) for event in _mine(events)]
    assert found == [("cut", None), ("other", None), ("cut", 4)]


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 7)), max_size=60))
def test_a_limiter_tells_or_counts_each_event(steps: list[tuple[str, int]]) -> None:
    """Admitted and suppressed add up, and no two of a key are admitted within the window."""
    clock = FakeClock()
    window = timedelta(seconds=5)
    limiter = BurstLimiter(clock, window)
    told = dict.fromkeys("abc", 0)
    open_count = dict.fromkeys("abc", 0)
    last: dict[str, timedelta] = {}
    for key, wait in steps:
        clock.advance(timedelta(seconds=wait))
        suppressed = limiter.admit(key)
        if suppressed is None:
            open_count[key] += 1
            continue
        assert suppressed == open_count[key]
        assert key not in last or clock.monotonic() - last[key] >= window
        told[key] += suppressed + 1
        open_count[key] = 0
        last[key] = clock.monotonic()
    for key in "abc":
        assert told[key] + open_count[key] == sum(1 for name, _ in steps if name == key)


def test_lines_are_written_whole_and_in_order() -> None:
    """Closing waits for what is queued."""
    file = io.BytesIO()
    writer = LineWriter(file)
    destination = eliot.FileDestination(file=writer)
    for i in range(100):
        destination({"number": i})
    writer.close()
    assert [json.loads(line)["number"] for line in file.getvalue().splitlines()] == list(range(100))
    writer.write(b"late\n")
    assert writer.dropped == 1


def test_a_reader_that_has_stopped_blocks_no_writer() -> None:
    """Whatever reads the logs stops reading; the pipe fills up after some 64 KiB.

    A direct write would block the event loop, and every caller with it, until the reader returns.
    The thread blocks instead; lines beyond the bound are dropped and counted.
    """
    read_end, write_end = os.pipe()
    line = b"x" * 1023 + b"\n"
    with os.fdopen(write_end, "wb", buffering=0) as file:
        writer = LineWriter(file, max_lines=50)
        started = time.monotonic()
        for _ in range(1000):
            writer.write(line)
        writer.close(timeout=0.2)
        assert time.monotonic() - started < 5
        assert writer.dropped > 0
        os.close(read_end)
        writer.close(timeout=5)


def test_a_broken_file_costs_only_lines() -> None:
    """The reader is gone for good."""
    read_end, write_end = os.pipe()
    os.close(read_end)
    with os.fdopen(write_end, "wb", buffering=0) as file:
        writer = LineWriter(file)
        writer.write(b"one\n")
        writer.close()
        writer.write(b"two\n")
        assert writer.dropped == 2


def test_what_libraries_log_is_json_too() -> None:
    """A library's fault in a burst is one line with its traceback, and no text among JSON lines."""
    file = io.BytesIO()
    writer = set_up_logging("info", file, vm_id="entry-1")
    try:
        for i in range(3):
            try:
                raise ValueError(f"broken {i}")
            except ValueError:
                logging.getLogger("tornado.application").exception("Uncaught %d", i)
        logging.getLogger("tornado.general").info("not asked for")
    finally:
        writer.close()
        logging.basicConfig(handlers=[], force=True)
        eliot.remove_destination(next(d for d in _destinations() if d.file is writer))
    found = [json.loads(line) for line in file.getvalue().splitlines()]
    (event,) = [event for event in found if event["message_type"] == "library_log"]
    assert (event["logger"], event["level"], event["text"]) == (
        "tornado.application",
        "error",
        "Uncaught 0",
    )
    assert "ValueError: broken 0" in event["traceback"]
    assert event["vm_id"] == "entry-1"
    assert dropped_lines() == 0


def _destinations() -> list[Any]:
    """Return the destinations that write to files."""
    found = eliot.Logger._destinations._destinations
    return [destination for destination in found if isinstance(destination, eliot.FileDestination)]
