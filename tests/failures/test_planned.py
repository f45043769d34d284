"""Planned stops and leaving upstreams under load, as callers and upstreams see them."""

import asyncio
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from stand_ins.demo import async_load, figures_of
from stand_ins.deployment import load_plan
from stand_ins.launcher import Deployment, call, launched
from stand_ins.process import wait_for

from .scenarios import BROKEN_COUNTS

SERVICE = "pickup-app"
# The launcher's services have no `leave_seconds` of their own; this is the default.
LEAVE_SECONDS = 3.0
LIST_LAG_S = 0.5
# Out of step with the second after which the faults come, so that there is a time in which the
# balancer still sends callers to an entry that has begun to stop.
BALANCER_CHECK_S = 0.9


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    """Run three upstreams of each kind behind two entries."""
    with launched(load_plan("giat-sach").shrunk(3, entries=2)) as deployment:
        yield deployment
        deployment.kill_all()


class Balancer:
    """Send callers to the entries whose /ready answers, as the platform's balancer does."""

    def __init__(self, deployment: Deployment) -> None:
        self.statuses: list[int] = []
        self.broken: list[str] = []
        self._deployment = deployment
        self._ready = list(deployment.entries)
        self._stop = threading.Event()

    @contextmanager
    def load(self, callers: int = 6) -> Iterator[None]:
        """Keep callers asking for the length of a `with` block."""
        threads = [threading.Thread(target=self._check)]
        threads += [threading.Thread(target=self._ask, args=(n,)) for n in range(callers)]
        for thread in threads:
            thread.start()
        yield
        self._stop.set()
        for thread in threads:
            thread.join()

    def _check(self) -> None:
        while not self._stop.wait(BALANCER_CHECK_S):
            self._ready = [url for url in self._deployment.entries if _is_ready(url)]

    def _ask(self, caller: int) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            ready, turn = self._ready, caller + number
            url = f"{ready[turn % len(ready)]}/services/{SERVICE}/bookings/{caller}-{number}"
            try:
                answer = call(url, {"create": number}, method="POST" if turn % 4 > 1 else "PUT")
            except OSError as exc:
                self.broken.append(repr(exc))
                continue
            self.statuses.append(answer.status)


def _busiest(deployment: Deployment) -> str:
    """Return the upstream that most of the load goes to: stopping an idle one proves nothing."""
    return max(deployment.upstreams(SERVICE), key=lambda name: len(deployment.journal(name)))


def _is_ready(url: str) -> bool:
    try:
        return call(url + "/ready", timeout_s=1.0).status == 200
    except OSError:
        return False


def test_a_stopping_entry_cuts_no_request(deployment: Deployment) -> None:
    """Callers see no cut, no refusal: the balancer is given time, and what runs is finished.

    SIGTERM under load; readiness fails first, the port closes only after the balancer has looked,
    and the process exits 0 once its last answer has left.
    """
    for name in deployment.upstreams(SERVICE):
        deployment.control(name, latency_s=0.3)
    balancer = Balancer(deployment)
    with balancer.load():
        time.sleep(1.0)
        deployment.process("entry-1").terminate()
        assert deployment.process("entry-1").wait(15.0) == 0
        time.sleep(0.5)
    assert balancer.broken == []
    assert set(balancer.statuses) == {200}


def test_a_stopping_side_process_cuts_no_request(deployment: Deployment) -> None:
    """Callers see no cut, no refusal: what was queued is vouched for and runs elsewhere."""
    for name in deployment.upstreams(SERVICE):
        deployment.control(name, latency_s=0.3)
    balancer = Balancer(deployment)
    with balancer.load(callers=24):
        time.sleep(1.0)
        side = deployment.process(f"side-{_busiest(deployment)}")
        side.terminate()
        assert side.wait(15.0) == 0
        time.sleep(1.0)
    assert balancer.broken == []
    assert set(balancer.statuses) == {200}


def test_a_drain_notice_holds_against_a_late_list(deployment: Deployment) -> None:
    """No work reaches a draining upstream, though the VM list goes on calling it live.

    The side process waits for a long run while it drains. The list is published again with the VM
    as live: the notice must win, for work sent there would only come back refused.
    """
    balancer = Balancer(deployment)
    with balancer.load():
        time.sleep(1.0)
        name = _busiest(deployment)
        deployment.control(name, latency_s=4.0)
        time.sleep(0.3)
        deployment.process(f"side-{name}").terminate()
        deployment.control(name, latency_s=0.002)
        time.sleep(0.3)
        before = len(deployment.journal(name))
        deployment.set_vms()
        time.sleep(LIST_LAG_S + 1.5)
        after = len(deployment.journal(name))
    assert after == before
    assert balancer.broken == []
    assert set(balancer.statuses) == {200}


def test_a_leaving_upstream_gets_no_new_work(deployment: Deployment) -> None:
    """Within the configured seconds after the list says `leaving`, nothing new reaches it."""
    balancer = Balancer(deployment)
    with balancer.load():
        time.sleep(1.0)
        name = _busiest(deployment)
        deployment.set_vm_state(name, "leaving")
        time.sleep(LEAVE_SECONDS)
        before = len(deployment.journal(name))
        deployment.set_vm_state(name, "live")
        time.sleep(LIST_LAG_S + 1.5)
        after = len(deployment.journal(name))
    assert after == before
    assert balancer.broken == []
    assert set(balancer.statuses) == {200}


def test_a_restarted_side_process_gets_work_again(deployment: Deployment) -> None:
    """The same VM with a new side process is used again, without any operator."""
    name = f"side-{SERVICE}-1"
    deployment.process(name).terminate()
    deployment.process(name).wait(15.0)
    deployment.restart(name)
    before = len(deployment.journal(f"{SERVICE}-1"))
    balancer = Balancer(deployment)
    with balancer.load():
        wait_for(lambda: len(deployment.journal(f"{SERVICE}-1")) > before, "no work came back")
    assert balancer.broken == []


def test_a_stopping_entry_is_not_held_up_by_trainers(deployment: Deployment) -> None:
    """The entry exits 0 within its bound while trainers go on, and they lose nothing.

    Each entry owns the steps of some trainers. Their calls keep coming, over connections that were
    open already and by way of the other entry, which goes by a VM list that still shows the owner.
    If they began steps anew on the one that stops, there would always be samples in flight.
    """
    with ThreadPoolExecutor(1) as pool:
        load = pool.submit(lambda: asyncio.run(async_load(deployment, 12.0)))
        time.sleep(2.0)
        entries = [deployment.process(name) for name in ("entry-1", "entry-2")]
        entries[0].terminate()
        assert entries[0].wait(20.0) == 0
        deployment.restart("entry-1")
        entries[1].terminate()
        assert entries[1].wait(20.0) == 0
        deployment.restart("entry-2")
        figures = figures_of(deployment, load.result())
    assert {count: figures[count] for count in BROKEN_COUNTS} == dict.fromkeys(BROKEN_COUNTS, 0)
