"""A step across the death of its owner, with real processes and the log out throughout."""

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
    """Run two upstreams of each kind behind two entries."""
    with launched(load_plan("giat-sach").shrunk(2)) as deployment:
        yield deployment


def prompt(group: int) -> str:
    """Return a group's prompt."""
    return f"Garment {group}: what to do with the stain?"


async def async_train(
    deployment: Deployment, trainer: str, faults: list[Callable[[], None]]
) -> list[ReceivedSample]:
    """Take one step, and bring about the next failure after each of the first batches."""
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
    """Return the trainer's book, for the audit against the engines' journals."""
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
    """The trainer gets a batch; then the entry that owns its step is killed without warning.

    The log is out from before the step to its end, so nothing can have been noted there. Next a
    side process dies with samples in the making. The trainer goes on at the other entry, which
    knows nothing but the cursor it is shown: each sample comes once, as the engines made it.
    """
    trainer = deployment.plan.names_of("trainer")[0]
    deployment.control("log", outage="refuse")
    owner = deployment.process(owner_of(trainer))
    engine = deployment.upstreams(deployment.plan.of_type("engine").name)[0]
    side = deployment.process(f"side-{engine}")
    faults = [owner.kill, side.kill]
    samples = asyncio.run(async_train(deployment, trainer, faults))
    assert faults == []
    assert_whole_and_true(deployment, trainer, samples)


def test_owner_stopped_and_going_on_later(deployment: Deployment) -> None:
    """The owner is stopped (SIGSTOP) after a batch, and goes on two batches later, unaware.

    Its kernel still takes connections, so calls to it wait for their time-outs. The other entry
    serves the trainer meanwhile; then the owner is asked again, with a cursor that it never gave
    out, while it still holds samples that the trainer got from the other.
    """
    trainer = deployment.plan.names_of("trainer")[0]
    owner = deployment.process(owner_of(trainer))
    faults = [owner.freeze, lambda: None, owner.thaw]
    try:
        samples = asyncio.run(async_train(deployment, trainer, faults))
    finally:
        owner.thaw()
    assert faults == []
    assert_whole_and_true(deployment, trainer, samples)


def owner_of(trainer: str) -> str:
    """Return the entry that owns a trainer's steps."""
    return rendezvous.rank(trainer, {"entry-1", "entry-2"})[0]


def assert_whole_and_true(
    deployment: Deployment, trainer: str, samples: list[ReceivedSample]
) -> None:
    """Check that each sample came once, as the engines made it, and was fresh."""
    counts = Counter((sample.group, sample.index) for sample in samples)
    assert counts == {(group, index): 1 for group in range(GROUPS) for index in range(SIZE)}
    book = book_of(deployment, trainer, samples)
    assert book.over_bound == 0
    assert set(audit_samples(deployment, book).values()) == {0}
