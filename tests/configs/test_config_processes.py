"""Tests of configuration relay with real processes, process failures and log outages.

Four entries, one of which does not read the log, and two side processes run. The offsets in their
metrics are polled several times a second, and must never decrease while a process runs.
"""

import threading
import time
import urllib.request
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from cranberryline.configs.push import TAILER_KEY
from cranberryline.decisions import rendezvous
from stand_ins.deployment import load_plan
from stand_ins.launcher import Deployment, call, launched
from stand_ins.process import wait_for

BOUND_S = 4.0
SERVICE = "care-models"
ENTRIES = [f"entry-{number}" for number in range(1, 5)]
METRIC = "cranberryline_config_offset "
POLL_INTERVAL_S = 0.1


class Offsets:
    """Polls the configuration offset of each process in a thread."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.names = [n for n in deployment.urls if n.startswith(("entry-", "side-"))]
        self.seen: dict[tuple[str, int], list[int]] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def read(self, name: str) -> int | None:
        """Return the offset that a process reports, or None if it does not respond."""
        try:
            url = self.deployment.urls[name] + "/metrics"
            with urllib.request.urlopen(url, timeout=0.3) as got:
                lines = got.read().decode().splitlines()
        except OSError:
            return None
        found = [line for line in lines if line.startswith(METRIC)]
        return int(float(found[0].rpartition(" ")[2])) if found else None

    def wait_until_all_have(self, offset: int, names: list[str] | None = None) -> float:
        """Wait until all named processes have an offset; return the duration in seconds.

        Fail after `BOUND_S` seconds.
        """
        start = time.monotonic()
        for name in names or self.names:
            left = BOUND_S - (time.monotonic() - start)
            wait_for(lambda name=name: (self.read(name) or 0) >= offset, f"{name} has it", left)
        return time.monotonic() - start

    def check_none_decreased(self) -> None:
        """Check that no polled offset decreased.

        Wait for the first poll, since a short test could end before it.
        """
        wait_for(lambda: self.seen, "an offset was seen", BOUND_S)
        for key, history in list(self.seen.items()):
            offsets = list(history)
            assert offsets == sorted(offsets), key

    def _run(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_S):
            for name in self.names:
                pid = self.deployment.process(name).pid
                offset = self.read(name)
                if offset is not None and self.deployment.process(name).pid == pid:
                    self.seen.setdefault((name, pid), []).append(offset)

    @contextmanager
    def polling(self) -> Iterator["Offsets"]:
        """Poll while the `with` block runs."""
        self._thread.start()
        try:
            yield self
        finally:
            self._stop.set()
            self._thread.join()


@pytest.fixture
def offsets() -> Iterator[Offsets]:
    """Return the polled offsets of a deployment whose example records are published."""
    plan = load_plan("giat-sach").shrunk(1, entries=len(ENTRIES))
    with launched(plan) as deployment:
        try:
            with Offsets(deployment).polling() as polled:
                yield polled
        finally:
            deployment.kill_all()


def tailers() -> list[str]:
    """Return the entries by rank; the last one does not read the log."""
    return rendezvous.rank(TAILER_KEY, ENTRIES)


def publish_weights(offsets: Offsets, version: int, amends: int, entry: str) -> int:
    """Publish weights through an entry; return the revision."""
    record = {
        "kind": "weights",
        "name": SERVICE,
        "schema": 1,
        "amends": amends,
        "spec": {"version": version},
    }
    answer = offsets.deployment.publish(record, ENTRIES.index(entry))
    assert answer.status == 200, answer.data
    return answer.data["revision"]


def weights_revision(offsets: Offsets) -> int:
    """Publish an amendment of the weights in the example, and return its revision."""
    record = {"kind": "weights", "name": SERVICE, "schema": 1, "spec": {"version": 2}}
    answer = offsets.deployment.publish(record)
    if answer.status == 200:
        return answer.data["revision"]
    answer = offsets.deployment.publish({**record, "amends": answer.data["current_revision"]})
    assert answer.status == 200, answer.data
    return answer.data["revision"]


def test_accepted_record_reaches_all_processes_despite_tailer_and_log_failure(
    offsets: Offsets,
) -> None:
    """A tailer is killed, the log fails right after acceptance, and an entry starts without it.

    Each accepted record must be in force on every live process within 4 s. Two tailers remain
    after the first is killed; the entry that accepted a record pushes it; an entry that starts
    during the log outage requests the records from its peers.
    """
    first, *_, last = tailers()
    deployment = offsets.deployment
    revision = weights_revision(offsets)
    offsets.wait_until_all_have(revision)
    deployment.process(first).kill()
    live = [name for name in offsets.names if name != first]
    revision = publish_weights(offsets, 3, revision, last)
    offsets.wait_until_all_have(revision, live)
    revision = publish_weights(offsets, 4, revision, last)
    deployment.control("log", outage="refuse")
    deployment.process(last).kill()
    offsets.wait_until_all_have(revision, [name for name in live if name != last])
    deployment.process(first).start()
    wait_for(lambda: offsets.read(first) is not None, "the entry answers")
    offsets.wait_until_all_have(revision, [first])
    offsets.check_none_decreased()


def test_frozen_tailers_catch_up_without_decreasing_offset(offsets: Offsets) -> None:
    """All three tailers are frozen for 6 s while records are published through the fourth entry.

    The other processes must have the records within 4 s. The frozen processes resume with an
    outdated fold, and must have the records within 4 s; no offset may decrease.
    """
    *frozen, last = tailers()
    deployment = offsets.deployment
    revision = weights_revision(offsets)
    offsets.wait_until_all_have(revision)
    live = [name for name in offsets.names if name not in frozen]
    for name in frozen:
        deployment.process(name).freeze()
    for version in (3, 4, 5):
        revision = publish_weights(offsets, version, revision, last)
        offsets.wait_until_all_have(revision, live)
        time.sleep(1.0)
    time.sleep(2.0)
    for name in frozen:
        deployment.process(name).thaw()
    offsets.wait_until_all_have(revision)
    offsets.check_none_decreased()


def test_concurrent_amendments_through_two_entries(offsets: Offsets) -> None:
    """Two amendments of the same revision are published concurrently, ten times.

    Each time one must be accepted, and the other must get 409 with the accepted revision.
    """
    revision = weights_revision(offsets)
    deployment = offsets.deployment
    with ThreadPoolExecutor(2) as pool:
        for version in range(3, 13):
            record = {"kind": "weights", "name": SERVICE, "schema": 1, "amends": revision}
            posts = [
                pool.submit(deployment.publish, {**record, "spec": {"version": version * 2 + n}}, n)
                for n in range(2)
            ]
            answers = sorted((post.result() for post in posts), key=lambda answer: answer.status)
            assert [answer.status for answer in answers] == [200, 409]
            revision = answers[0].data["revision"]
            assert answers[1].data["current_revision"] == revision
    offsets.wait_until_all_have(revision)
    offsets.check_none_decreased()


def test_invalid_records_of_another_tool_do_not_block_later_records(offsets: Offsets) -> None:
    """A tool appends records that messages cannot encode, then an operator publishes a record.

    The record of the operator must be in force on every process within 4 s.
    """
    revision = weights_revision(offsets)
    log = offsets.deployment.urls["log"] + "/streams/config/records"
    invalid = [[], "king", {"x": 10**30}, {"kind": "weights"}, {"x": "y" * 2_000_000}]
    rows = [{"id": f"odd-{number}", "data": data} for number, data in enumerate(invalid)]
    assert call(log, {"records": rows}).status == 200
    revision = publish_weights(offsets, 3, revision, tailers()[-1])
    offsets.wait_until_all_have(revision)
    offsets.check_none_decreased()
