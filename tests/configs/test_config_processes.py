"""Configuration over real processes: killed and frozen tailers, a failing log, starters, races.

Four entries, so that one does not tail the log, and two side processes; offsets are read from each
process's own metrics, several times a second, and must never go down in one life of a process.
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
SAMPLE_S = 0.1


class Offsets:
    """Watch the offset in force on each process, from a thread."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.names = [n for n in deployment.urls if n.startswith(("entry-", "side-"))]
        self.seen: dict[tuple[str, int], list[int]] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def read(self, name: str) -> int | None:
        """Return the offset that a process reports, or None when it does not answer."""
        try:
            url = self.deployment.urls[name] + "/metrics"
            with urllib.request.urlopen(url, timeout=0.3) as got:
                lines = got.read().decode().splitlines()
        except OSError:
            return None
        found = [line for line in lines if line.startswith(METRIC)]
        return int(float(found[0].rpartition(" ")[2])) if found else None

    def until_all_have(self, offset: int, names: list[str] | None = None) -> float:
        """Wait until all named processes have an offset; return how long it took, or fail."""
        start = time.monotonic()
        for name in names or self.names:
            left = BOUND_S - (time.monotonic() - start)
            wait_for(lambda name=name: (self.read(name) or 0) >= offset, f"{name} has it", left)
        return time.monotonic() - start

    def check_none_went_back(self) -> None:
        """Check every sequence that was seen; a test that is quick ends before the first look."""
        wait_for(lambda: self.seen, "an offset was seen", BOUND_S)
        for key, growing in list(self.seen.items()):
            offsets = list(growing)
            assert offsets == sorted(offsets), key

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_S):
            for name in self.names:
                pid = self.deployment.process(name).pid
                offset = self.read(name)
                if offset is not None and self.deployment.process(name).pid == pid:
                    self.seen.setdefault((name, pid), []).append(offset)

    @contextmanager
    def watching(self) -> Iterator["Offsets"]:
        """Watch for the length of a `with` block."""
        self._thread.start()
        try:
            yield self
        finally:
            self._stop.set()
            self._thread.join()


@pytest.fixture
def offsets() -> Iterator[Offsets]:
    """Return a watched deployment, its records published."""
    plan = load_plan("giat-sach").shrunk(1, entries=len(ENTRIES))
    with launched(plan) as deployment:
        try:
            with Offsets(deployment).watching() as watched:
                yield watched
        finally:
            deployment.kill_all()


def tailers() -> list[str]:
    """Return the entries that read the log, first in rank first, then the one that does not."""
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
    """Publish a first amendment on whatever the example has, and return its revision."""
    record = {"kind": "weights", "name": SERVICE, "schema": 1, "spec": {"version": 2}}
    answer = offsets.deployment.publish(record)
    if answer.status == 200:
        return answer.data["revision"]
    answer = offsets.deployment.publish({**record, "amends": answer.data["current_revision"]})
    assert answer.status == 200, answer.data
    return answer.data["revision"]


def test_accepted_is_everywhere_though_tailer_and_log_fail(offsets: Offsets) -> None:
    """Accepted records, with a tailer killed, the log failing at once, and a start without it.

    What is seen: each accepted record is in force on every live process within 4 s. A killed
    tailer leaves two; what was accepted is pushed by the entry that took it; an entry that starts
    while the log is out asks its peers.
    """
    first, *_, last = tailers()
    deployment = offsets.deployment
    revision = weights_revision(offsets)
    offsets.until_all_have(revision)
    deployment.process(first).kill()
    live = [name for name in offsets.names if name != first]
    revision = publish_weights(offsets, 3, revision, last)
    offsets.until_all_have(revision, live)
    revision = publish_weights(offsets, 4, revision, last)
    deployment.control("log", outage="refuse")
    deployment.process(last).kill()
    offsets.until_all_have(revision, [name for name in live if name != last])
    deployment.process(first).start()
    wait_for(lambda: offsets.read(first) is not None, "the entry answers")
    offsets.until_all_have(revision, [first])
    offsets.check_none_went_back()


def test_frozen_tailers_come_back_without_going_back(offsets: Offsets) -> None:
    """All three tailers are frozen for 6 s while records are published through the fourth entry.

    What is seen: the others have them within 4 s; the frozen ones, which wake up with old
    knowledge, have them within 4 s of waking, and no offset goes down.
    """
    *frozen, last = tailers()
    deployment = offsets.deployment
    revision = weights_revision(offsets)
    offsets.until_all_have(revision)
    live = [name for name in offsets.names if name not in frozen]
    for name in frozen:
        deployment.process(name).freeze()
    for version in (3, 4, 5):
        revision = publish_weights(offsets, version, revision, last)
        offsets.until_all_have(revision, live)
        time.sleep(1.0)
    time.sleep(2.0)
    for name in frozen:
        deployment.process(name).thaw()
    offsets.until_all_have(revision)
    offsets.check_none_went_back()


def test_two_operators_amend_one_record_through_two_entries(offsets: Offsets) -> None:
    """Both amend the same revision in the same instant, ten times over.

    What is seen: one is accepted and the other gets 409 with the winner's revision, each time.
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
    offsets.until_all_have(revision)
    offsets.check_none_went_back()


def test_another_tools_odd_records_hold_nothing_up(offsets: Offsets) -> None:
    """A tool appends to the stream what our messages cannot carry; then an operator publishes.

    What is seen: the operator's record is in force on every process within 4 s.
    """
    revision = weights_revision(offsets)
    log = offsets.deployment.urls["log"] + "/streams/config/records"
    odd = [[], "king", {"x": 10**30}, {"kind": "weights"}, {"x": "y" * 2_000_000}]
    rows = [{"id": f"odd-{number}", "data": data} for number, data in enumerate(odd)]
    assert call(log, {"records": rows}).status == 200
    revision = publish_weights(offsets, 3, revision, tailers()[-1])
    offsets.until_all_have(revision)
    offsets.check_none_went_back()
