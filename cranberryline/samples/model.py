"""Data of samples: identities, declarations, segments and batches."""

import hashlib
from datetime import timedelta
from itertools import accumulate

import attrs

__all__ = [
    "Batch",
    "Completion",
    "GroupDeclaration",
    "Pull",
    "Sample",
    "SampleId",
    "Segment",
    "StepDeclaration",
    "sample_name",
]


@attrs.frozen(order=True)
class SampleId:
    """The identity of a sample within its step."""

    group: int
    index: int


@attrs.frozen
class Segment:
    """A run of tokens that one weight version made."""

    weight_version: int
    tokens: int


@attrs.frozen
class Completion:
    """An engine's whole answer; `upstream` names the one that made it."""

    text: str
    segments: tuple[Segment, ...]
    upstream: str = ""

    @property
    def oldest_version(self) -> int:
        """Return the oldest weight version that made a token of it."""
        return min(segment.weight_version for segment in self.segments)


@attrs.frozen
class Sample:
    """A finished sample."""

    id: SampleId
    completion: Completion
    score: float


@attrs.frozen
class GroupDeclaration:
    """A prompt and how many samples of it the trainer wants."""

    prompt: str
    n: int
    max_tokens: int


@attrs.frozen
class StepDeclaration:
    """What a trainer wants for one step; it settles the identity of each sample beforehand."""

    trainer: str
    step: int
    service: str
    groups: tuple[GroupDeclaration, ...]
    _starts: tuple[int, ...] = attrs.field(init=False, eq=False, repr=False)
    digest: bytes = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Compute the positions of the groups and the digest that cursors carry."""
        starts = tuple(accumulate((group.n for group in self.groups), initial=0))
        object.__setattr__(self, "_starts", starts)
        object.__setattr__(self, "digest", self._digest())

    @property
    def size(self) -> int:
        """Return the number of samples."""
        return self._starts[-1]

    def position(self, sample_id: SampleId) -> int:
        """Return the place of an identity among all of its step."""
        if not 0 <= sample_id.group < len(self.groups):
            raise ValueError(f"no group {sample_id.group}")
        if not 0 <= sample_id.index < self.groups[sample_id.group].n:
            raise ValueError(f"no index {sample_id.index} in group {sample_id.group}")
        return self._starts[sample_id.group] + sample_id.index

    def ids(self) -> list[SampleId]:
        """Return all identities in the order of their positions."""
        return [
            SampleId(number, index)
            for number, group in enumerate(self.groups)
            for index in range(group.n)
        ]

    def _digest(self) -> bytes:
        digest = hashlib.sha256()
        for part in (self.trainer, str(self.step), self.service):
            digest.update(f"{len(part)}:{part}".encode())
        for group in self.groups:
            digest.update(f"{group.n},{group.max_tokens},{len(group.prompt)}:".encode())
            digest.update(group.prompt.encode())
        return digest.digest()[:8]


@attrs.frozen
class Batch:
    """Samples handed over at `cursor`; a trainer that takes them moves to `next_cursor`."""

    cursor: str
    next_cursor: str
    samples: tuple[Sample, ...]
    done: bool


def sample_name(declaration: StepDeclaration, sample_id: SampleId) -> str:
    """Return a sample's identity as one text, for logs, scorers and trainers."""
    place = f"{sample_id.group}/{sample_id.index}"
    return f"{declaration.trainer}/{declaration.step}/{place}"


@attrs.frozen
class Pull:
    """A trainer's pull: where it stands, at which version, and how long it waits."""

    cursor: str
    version: int
    limit: int
    wait: timedelta
