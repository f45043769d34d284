"""A small deployment as real processes: start, faults by signal, stop."""

import threading
from collections.abc import Iterator

import attrs
import pytest

from stand_ins.deployment import load_plan
from stand_ins.launcher import Deployment, call, launched
from stand_ins.process import wait_for


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    """Run one upstream of each kind behind one entry."""
    with launched(load_plan("giat-sach").shrunk(1, entries=1, relayed=True)) as deployment:
        yield deployment


def _book(deployment: Deployment, number: int) -> int:
    url = f"{deployment.entries[0]}/services/pickup-app/bookings/{number}"
    return call(url).status


def test_journal_outlives_a_killed_service(deployment: Deployment) -> None:
    """Runs before and after a kill stand in one journal, numbered on.

    The service runs a request, is killed without warning and started anew. Its books must still
    know the first run, or a request run twice across the kill would look like one.
    """
    assert _book(deployment, 1) == 200
    deployment.process("pickup-app-1").kill()
    deployment.restart("pickup-app-1")
    assert _book(deployment, 2) == 200
    runs = [(row["run"], row["path"]) for row in deployment.journal("pickup-app-1")]
    assert runs == [(1, "/bookings/1"), (2, "/bookings/2")]


def test_controls_refuse_unknown_names(deployment: Deployment) -> None:
    """A misspelt control is an error, not a fault that silently never happens."""
    deployment.control("pickup-app-1", latency_s=0.001)
    with pytest.raises(Exception, match="unknown control"):
        deployment.control("pickup-app-1", latency=1)


def test_frozen_process_goes_on_after_a_thaw(deployment: Deployment) -> None:
    """A frozen stand-in answers nothing until it is thawed."""
    process = deployment.process("log")
    process.freeze()
    with pytest.raises(OSError):
        call(deployment.urls["log"] + "/_journal", timeout_s=0.2)
    process.thaw()
    assert deployment.live_journal("log")["refused"] == 0


def test_silenced_connection_stays_open_and_a_new_one_works(deployment: Deployment) -> None:
    """The caller waits on the silent connection, and is served again over a new one.

    The relay swallows what passes on the connections that are open now, and closes none of them.
    The entry must notice by its own heartbeat, dial anew, and serve from then on.
    """
    assert _book(deployment, 3) == 200
    made = deployment.live_journal("relay")["made"]
    deployment.silence("pickup-app-1")
    silent = [link for link in deployment.live_journal("relay")["open"] if link["silent"]]
    assert [link["name"] for link in silent] == ["pickup-app-1"]
    wait_for(lambda: _book(deployment, 4) == 200, "no new connection", 40.0)
    assert deployment.live_journal("relay")["made"] > made


def test_publication_waits_until_every_entry_has_the_records() -> None:
    """The first calls of a test get 404 from an entry that was paused as the records came.

    A test that waits for calls of both entries at one upstream then timed out.
    """
    plan = load_plan("giat-sach").shrunk(1, entries=2)
    service = tuple(record for record in plan.records if record["name"] == "pickup-app")
    with launched(attrs.evolve(plan, records=service), publish=False) as deployment:
        paused = deployment.process("entry-2")
        paused.freeze()
        paused_until = threading.Timer(2.0, paused.thaw)
        paused_until.start()
        deployment.publish_all()
        assert not paused_until.is_alive()
        statuses = [
            call(f"{url}/services/pickup-app/bookings/1").status for url in deployment.entries
        ]
    assert statuses == [200, 200]
