"""The seeded load that every gateway of a grown site hears: jobs, results, ends, signs, registrations."""

import random
from collections.abc import Iterator

import attrs
import msgspec

from cranberryline.decisions.job_placement import JobPlacement
from cranberryline.gateway.nodes import NodeHeartbeat
from cranberryline.helpers.partition import partition_of
from cranberryline.jobs import Item, ItemResult, ItemState, Job, JobEnded, ResultRecord, Scorer
from cranberryline.jobs.codec import encode_job, encode_records

__all__ = ["PARTS", "Load", "Record"]

PARTS = 8
_GROUP = 4
_BODY_BYTES = 1024
_STEP_SECONDS = 4.0
_FIRST_JOB = 0.5
_FIRST_RESULT, _LAST_RESULT = 0.6, 3.2
# Results that end within a few milliseconds at one gateway go into one call; teams are small.
_BATCH = 2
_SIGN_SECONDS = 0.8
# Signs that change nothing but their number reach nobody; an upstream changes now and then.
_BEAT_SECONDS = 20.0
_SEED = 17


@attrs.frozen(order=False)
class Record:
    """What one append brings, and when."""

    at: float
    topic: str
    part: int
    records: list[bytes]


@attrs.define
class Load:
    """Trainers that ask for a step each four seconds, and the signs of life of a fleet."""

    trainers: int = 3
    items: int = 112
    nodes: int = 26
    upstreams: int = 19
    rng: random.Random = attrs.field(factory=lambda: random.Random(_SEED))

    def job(self, trainer: int, step: int) -> Job:
        """Return a step's job."""
        name = f"job-{trainer}-{step}"
        items = tuple(self._item(name, number) for number in range(self.items))
        groups = self.items // _GROUP
        return Job(name, "host.example", "/p/1", items, 0.0, f"model-{trainer}", step, 1, groups)

    def _item(self, job: str, number: int) -> Item:
        group = f"{job}-g{number // _GROUP}"
        scorer = Scorer(f"{job}-s{number}", "host.example", "/s/1", self.rng.randbytes(40))
        headers = (
            ("Model", job),
            ("Token-Counts", "540,400"),
            ("Prompt-Prefix", f"{group}:300,{number}:240"),
        )
        body = self.rng.randbytes(_BODY_BYTES)
        return Item(f"{job}-i{number}", "/p/x", headers, body, 940, group, scorer, group, 300)

    def job_records(self, trainer: int, step: int) -> list[bytes]:
        """Return the records that keep a job."""
        return encode_records(encode_job(self.job(trainer, step), "writer"))

    def result_records(self, trainer: int, step: int) -> list[bytes]:
        """Return the records of all of a job's results."""
        return encode_records(
            ResultRecord(f"job-{trainer}-{step}", index, self._result())
            for index in range(self.items)
        )

    def _result(self) -> ItemResult:
        events = self.rng.randint(18, 24)
        text = "\n".join(self.rng.randbytes(12).hex() for _ in range(events))
        return ItemResult(ItemState.COMPLETED, text, (1,), self.rng.randbytes(12).hex())

    def sign(self, node: int) -> tuple[str, bytes]:
        """Return the key and the bytes of a node's sign of life."""
        name = f"front-{node}"
        return name, msgspec.msgpack.encode(NodeHeartbeat(name, "levis", f"127.0.0.1:{node + 1}"))

    def registration(self, upstream: int, sequence: int) -> tuple[str, bytes]:
        """Return the key and the bytes of an upstream's registration."""
        row = {
            "service": "engines",
            "address": f"127.0.0.1:{upstream + 1}",
            "zone": "levis",
            "slots": 8,
            "state": "ready",
            "models": [],
            "seq": sequence,
        }
        return f"i-{upstream}", msgspec.json.encode(row)

    def bystander(self) -> str:
        """Return a node that runs no item: what it spends, it spends on the work of others."""
        names = [f"front-{node}" for node in range(self.nodes)]
        for name in names:
            placed = (
                JobPlacement(f"model-{trainer}", self.items, name, names)
                for trainer in range(self.trainers)
            )
            if all(place.start_delay("g") is None for place in placed):
                return name
        return names[0]

    def past(self, jobs: int, ended: bool = True) -> Iterator[Record]:
        """Yield the records of jobs that are over, or else have half of their results."""
        for number in range(jobs):
            trainer, step = number % self.trainers, -1 - number // self.trainers
            results = self.result_records(trainer, step)
            records = [*self.job_records(trainer, step)]
            records += results if ended else results[: len(results) // 2]
            if ended:
                records += encode_records([JobEnded(f"job-{trainer}-{step}")])
            part = partition_of(f"job-{trainer}-{step}", PARTS)
            yield Record(0.0, "jobs", part, records)

    def fleet(self) -> Iterator[Record]:
        """Yield the first sign of each node and the registration of each upstream."""
        for node in range(self.nodes):
            yield from self._keyed("keyed.nodes", *self.sign(node), 0.0, 1.0, 1.0)
        for upstream in range(self.upstreams):
            row = self.registration(upstream, 0)
            yield from self._keyed("keyed.servers", *row, 0.0, 1.0, 1.0)

    def stream(self, seconds: float) -> list[Record]:
        """Return what is appended within that time, in its order."""
        found: list[Record] = []
        for trainer in range(self.trainers):
            for step in range(int(seconds // _STEP_SECONDS)):
                began = _FIRST_JOB + (step + trainer / self.trainers) * _STEP_SECONDS
                found += self._step(trainer, step, began)
        for node in range(self.nodes):
            key, value = self.sign(node)
            offset = _SIGN_SECONDS * node / self.nodes
            found += self._keyed("keyed.nodes", key, value, offset, _SIGN_SECONDS, seconds)
        for upstream in range(self.upstreams):
            key, value = self.registration(upstream, 1)
            offset = _BEAT_SECONDS * upstream / self.upstreams
            found += self._keyed("keyed.servers", key, value, offset, _BEAT_SECONDS, seconds)
        return sorted(found, key=lambda record: record.at)

    def _step(self, trainer: int, step: int, began: float) -> Iterator[Record]:
        name = f"job-{trainer}-{step}"
        part = partition_of(name, PARTS)
        yield Record(began, "jobs", part, self.job_records(trainer, step))
        results = self.result_records(trainer, step)
        for at in range(0, len(results), _BATCH):
            later = self.rng.uniform(_FIRST_RESULT, _LAST_RESULT)
            yield Record(began + later, "jobs", part, results[at : at + _BATCH])
        yield Record(began + _LAST_RESULT + 0.3, "jobs", part, encode_records([JobEnded(name)]))

    def _keyed(
        self, topic: str, key: str, value: bytes, first: float, every: float, until: float
    ) -> Iterator[Record]:
        name = key.encode()
        record = bytes([len(name)]) + name + value
        at = first
        while at < until:
            yield Record(at, topic, 0, [record])
            at += every
