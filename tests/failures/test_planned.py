"""Planned shutdowns and the removal of upstreams under load, as seen by callers and upstreams."""

import asyncio
import random
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from stand_ins.demo import async_load, figures_of
from stand_ins.deployment import load_plan
from stand_ins.launcher import Deployment, call, launched
from stand_ins.process import Process, wait_for

from .scenarios import VIOLATION_COUNTS

SERVICE = "pickup-app"
# The default of `leave_seconds`, which the records of the launcher's services do not set.
LEAVE_SECONDS = 3.0
VM_LIST_DELAY_S = 0.5
# Not a divisor of the 1 s after which the shutdown begins, so that the balancer keeps sending
# requests for a while to an entry that is already shutting down.
BALANCER_CHECK_S = 0.9


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    """Run a deployment of two entries and three upstreams of each service."""
    with launched(load_plan("giat-sach").shrunk(3, entries=2)) as deployment:
        yield deployment
        deployment.kill_all()


class Balancer:
    """Sends requests to the entries whose /ready responds 200, like a load balancer."""

    def __init__(self, deployment: Deployment) -> None:
        self.statuses: list[int] = []
        self.connection_errors: list[str] = []
        self._deployment = deployment
        self._ready_urls = list(deployment.entries)
        self._stop = threading.Event()

    @contextmanager
    def load(self, callers: int = 6) -> Iterator[None]:
        """Run callers that send requests continuously until the `with` block ends."""
        threads = [threading.Thread(target=self._check_readiness)]
        threads += [threading.Thread(target=self._send_requests, args=(n,)) for n in range(callers)]
        for thread in threads:
            thread.start()
        yield
        self._stop.set()
        for thread in threads:
            thread.join()

    def _check_readiness(self) -> None:
        while not self._stop.wait(BALANCER_CHECK_S):
            self._ready_urls = [url for url in self._deployment.entries if _is_ready(url)]

    def _send_requests(self, caller: int) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            ready, index = self._ready_urls, caller + number
            url = f"{ready[index % len(ready)]}/services/{SERVICE}/bookings/{caller}-{number}"
            try:
                response = call(url, {"create": number}, method="POST" if index % 4 > 1 else "PUT")
            except OSError as exc:
                self.connection_errors.append(repr(exc))
                continue
            self.statuses.append(response.status)


def _busiest(deployment: Deployment) -> str:
    """Return the upstream with the most requests; stopping an idle one would test nothing."""
    return max(deployment.upstreams(SERVICE), key=lambda name: len(deployment.journal(name)))


def _is_ready(url: str) -> bool:
    try:
        return call(url + "/ready", timeout_s=1.0).status == 200
    except OSError:
        return False


def test_planned_shutdown_of_an_entry_fails_no_request(deployment: Deployment) -> None:
    """An entry gets SIGTERM under load; no connection is broken and no request is rejected.

    The readiness check fails first, the port is closed only after the load balancer has noticed,
    and the process exits 0 once its last response has been sent.
    """
    for name in deployment.upstreams(SERVICE):
        deployment.control(name, latency_s=0.3)
    balancer = Balancer(deployment)
    with balancer.load():
        time.sleep(1.0)
        deployment.process("entry-1").terminate()
        assert deployment.process("entry-1").wait(15.0) == 0
        time.sleep(0.5)
    assert balancer.connection_errors == []
    assert set(balancer.statuses) == {200}


def test_a_stopping_side_process_cuts_no_request(deployment: Deployment) -> None:
    """A side process gets SIGTERM under load; no connection is broken and no request is rejected.

    It reports its queued requests as not run, so that the entries retry them at other upstreams.
    """
    for name in deployment.upstreams(SERVICE):
        deployment.control(name, latency_s=0.3)
    balancer = Balancer(deployment)
    with balancer.load(callers=24):
        time.sleep(1.0)
        side = deployment.process(f"side-{_busiest(deployment)}")
        side.terminate()
        assert side.wait(15.0) == 0
        time.sleep(1.0)
    assert balancer.connection_errors == []
    assert set(balancer.statuses) == {200}


def test_drain_notice_takes_precedence_over_an_outdated_vm_list(deployment: Deployment) -> None:
    """A draining upstream gets no new requests although the VM list still shows it as live.

    The side process waits for a long request while it drains. The list is published again with the
    VM as live. The drain notice must take precedence, since the side process would only reject
    requests sent to it.
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
        time.sleep(VM_LIST_DELAY_S + 1.5)
        after = len(deployment.journal(name))
    assert after == before
    assert balancer.connection_errors == []
    assert set(balancer.statuses) == {200}


def test_leaving_upstream_gets_no_new_requests(deployment: Deployment) -> None:
    """An upstream gets no new requests `leave_seconds` after the VM list shows it as `leaving`."""
    balancer = Balancer(deployment)
    with balancer.load():
        time.sleep(1.0)
        name = _busiest(deployment)
        deployment.set_vm_state(name, "leaving")
        time.sleep(LEAVE_SECONDS)
        before = len(deployment.journal(name))
        deployment.set_vm_state(name, "live")
        time.sleep(VM_LIST_DELAY_S + 1.5)
        after = len(deployment.journal(name))
    assert after == before
    assert balancer.connection_errors == []
    assert set(balancer.statuses) == {200}


def test_restarted_side_process_gets_requests_again(deployment: Deployment) -> None:
    """A VM whose side process was restarted is used again without an operator's action."""
    name = f"side-{SERVICE}-1"
    deployment.process(name).terminate()
    deployment.process(name).wait(15.0)
    deployment.restart(name)
    before = len(deployment.journal(f"{SERVICE}-1"))
    balancer = Balancer(deployment)
    with balancer.load():
        wait_for(lambda: len(deployment.journal(f"{SERVICE}-1")) > before, "no work came back")
    assert balancer.connection_errors == []


def test_trainers_do_not_delay_the_shutdown_of_an_entry(deployment: Deployment) -> None:
    """An entry exits 0 within its timeout while trainers keep calling, and no sample is lost.

    Each entry owns the steps of some trainers. Their calls keep arriving over open connections and
    forwarded by the other entry, whose VM list still shows the owner. If these calls started new
    steps at the entry that is shutting down, it would always have samples in flight.
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
    assert {count: figures[count] for count in VIOLATION_COUNTS} == dict.fromkeys(
        VIOLATION_COUNTS, 0
    )


def test_callers_that_begin_at_once_and_fit_are_not_refused(deployment: Deployment) -> None:
    """Callers that would wait for less than a fifth of the allowed time are refused.

    60 callers share 48 slots of 0.3 s each, without any stop. The estimate of their wait must not
    rest on the first request that ends, nor on slots that are free again.
    """
    for name in deployment.upstreams(SERVICE):
        deployment.control(name, latency_s=0.3)
    balancer = Balancer(deployment)
    with balancer.load(callers=60):
        time.sleep(4.0)
    assert balancer.connection_errors == []
    assert set(balancer.statuses) == {200}


@pytest.mark.parametrize("seed", [6, 7])
def test_a_stopping_side_process_beside_a_stalled_one_cuts_no_request(
    deployment: Deployment, seed: int
) -> None:
    """Callers are refused when a side process stops while another one gets no processor time.

    The requests that a stall holds up end together, which must not make the service look slow.
    """
    rng = random.Random(seed)
    for name in deployment.upstreams(SERVICE):
        deployment.control(name, latency_s=0.3)
    balancer = Balancer(deployment)
    with balancer.load(callers=24):
        time.sleep(1.0)
        busiest = _busiest(deployment)
        stopping = deployment.process(f"side-{busiest}")
        other = next(name for name in deployment.upstreams(SERVICE) if name != busiest)
        stalled = deployment.process(f"side-{other}")
        before, first = 0.4 + rng.uniform(-0.1, 0.1), rng.uniform(0.3, 0.6)
        after, second = rng.uniform(0.2, 0.7), rng.uniform(0.3, 0.6)
        with ThreadPoolExecutor(2) as pool:
            pool.submit(_stall, stalled, 0.0, first)
            pool.submit(_stall, stalled, before + after, second)
            time.sleep(before)
            stopping.terminate()
            assert stopping.wait(15.0) == 0
        time.sleep(1.0)
    assert balancer.connection_errors == []
    assert set(balancer.statuses) == {200}


def _stall(process: Process, begin_s: float, seconds: float) -> None:
    """Pause a process for a while, as if it got no processor time."""
    time.sleep(begin_s)
    process.freeze()
    time.sleep(seconds)
    process.thaw()
