"""Tests of a step whose owning entry fails, with real processes."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from datetime import timedelta

import pytest

from cranberryline.client import Group, ReceivedSample, TrainerClient
from cranberryline.decisions import rendezvous
from stand_ins.books import Received, TrainerBook, audit_samples
from stand_ins.deployment import load_plan
from stand_ins.launcher import Deployment, launched

GROUPS, SIZE, MAX_TOKENS = 6, 4, 40
WAIT = timedelta(seconds=2)
BUDGET = timedelta(seconds=30)
STEP_LIMIT_S = 90


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    """Run a deployment with two upstreams of each kind behind two entries."""
    with launched(load_plan("giat-sach").shrunk(2)) as deployment:
        yield deployment


def prompt(group: int) -> str:
    """Return the prompt of a group."""
    return f"Garment {group}: what to do with the stain?"


async def async_train(
    deployment: Deployment, trainer: str, faults: list[Callable[[], None]]
) -> list[ReceivedSample]:
    """Pull one step, and inject the next fault after each of the first batches."""
    plan = deployment.plan
    service = plan.spec_of("trainer", trainer)["service"]
    version = plan.spec_of("weights", service)["version"]
    client = TrainerClient(deployment.entries, trainer, deployment.tokens[trainer])
    groups = [Group(prompt(group), SIZE, MAX_TOKENS) for group in range(GROUPS)]
    assert (await client.async_declare(1, service, groups, version)).is_ok()
    samples: list[ReceivedSample] = []
    async with asyncio.timeout(STEP_LIMIT_S):
        while not client.position.done:
            batch = (await client.async_pull(4, WAIT, BUDGET)).unwrap()
            samples += batch
            if batch and faults:
                faults.pop(0)()
    client.close()
    return samples


def book_of(deployment: Deployment, trainer: str, samples: list[ReceivedSample]) -> TrainerBook:
    """Return the record of received samples, to be compared with the engines' journals."""
    spec = deployment.plan.spec_of("trainer", trainer)
    version = deployment.plan.spec_of("weights", spec["service"])["version"]
    book = TrainerBook(trainer, spec["staleness_bound"])
    book.received = [
        Received(
            step=1,
            group=sample.group,
            index=sample.index,
            prompt=prompt(sample.group),
            text=sample.text,
            segments=tuple((s.weight_version, s.tokens) for s in sample.segments),
            score=sample.score,
            trainer_version=version,
        )
        for sample in samples
    ]
    return book


def test_owner_killed_between_delivery_and_the_next_pull(deployment: Deployment) -> None:
    """The trainer receives a batch; then the entry that owns its step is killed.

    The log is unavailable for the whole step, so no state can be stored there. Then a side process
    is killed while samples are running. The trainer continues at the other entry, which has only
    the cursor of the trainer: each sample must be received once, as the engines generated it.
    """
    trainer = deployment.plan.names_of("trainer")[0]
    deployment.control("log", outage="refuse")
    owner = deployment.process(owner_of(trainer))
    engine = deployment.upstreams(deployment.plan.of_type("engine").name)[0]
    side = deployment.process(f"side-{engine}")
    faults = [owner.kill, side.kill]
    samples = asyncio.run(async_train(deployment, trainer, faults))
    assert faults == []
    assert_complete_and_correct(deployment, trainer, samples)


def test_owner_suspended_and_resumed_later(deployment: Deployment) -> None:
    """The owner is suspended (SIGSTOP) after a batch and resumed two batches later.

    Its kernel still accepts connections, so calls to it wait for their timeouts while the other
    entry serves the trainer. The resumed owner then gets a cursor that it did not return, and still
    has samples that the trainer has received from the other entry.
    """
    trainer = deployment.plan.names_of("trainer")[0]
    owner = deployment.process(owner_of(trainer))
    faults = [owner.freeze, lambda: None, owner.thaw]
    try:
        samples = asyncio.run(async_train(deployment, trainer, faults))
    finally:
        owner.thaw()
    assert faults == []
    assert_complete_and_correct(deployment, trainer, samples)


def owner_of(trainer: str) -> str:
    """Return the entry that owns a trainer's steps."""
    return rendezvous.rank(trainer, {"entry-1", "entry-2"})[0]


def assert_complete_and_correct(
    deployment: Deployment, trainer: str, samples: list[ReceivedSample]
) -> None:
    """Check that each sample was received once, as the engines generated it, and not stale."""
    counts = Counter((sample.group, sample.index) for sample in samples)
    assert counts == {(group, index): 1 for group in range(GROUPS) for index in range(SIZE)}
    book = book_of(deployment, trainer, samples)
    assert book.over_bound == 0
    assert set(audit_samples(deployment, book).values()) == {0}
