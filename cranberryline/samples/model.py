"""Data classes for samples: identities, declarations, segments and batches."""

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
    """Consecutive tokens generated with one weight version."""

    weight_version: int
    tokens: int


@attrs.frozen
class Completion:
    """A complete engine response; `upstream` is the name of the upstream that generated it."""

    text: str
    segments: tuple[Segment, ...]
    upstream: str = ""

    @property
    def oldest_version(self) -> int:
        """Return the oldest weight version of all tokens."""
        return min(segment.weight_version for segment in self.segments)


@attrs.frozen
class Sample:
    """A finished and scored sample."""

    id: SampleId
    completion: Completion
    score: float


@attrs.frozen
class GroupDeclaration:
    """A prompt, the number of samples to generate from it, and their maximum length in tokens."""

    prompt: str
    n: int
    max_tokens: int


@attrs.frozen
class StepDeclaration:
    """The samples that a trainer requests for a step, which fixes the identity of each sample."""

    trainer: str
    step: int
    service: str
    groups: tuple[GroupDeclaration, ...]
    _group_offsets: tuple[int, ...] = attrs.field(init=False, eq=False, repr=False)
    digest: bytes = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Compute the offset of each group and the digest that cursors contain."""
        offsets = tuple(accumulate((group.n for group in self.groups), initial=0))
        object.__setattr__(self, "_group_offsets", offsets)
        object.__setattr__(self, "digest", self._digest())

    @property
    def size(self) -> int:
        """Return the number of samples in the step."""
        return self._group_offsets[-1]

    def position(self, sample_id: SampleId) -> int:
        """Return the index of a sample among all samples of the step.

        Raises ValueError if the step has no such sample.
        """
        if not 0 <= sample_id.group < len(self.groups):
            raise ValueError(f"the step has no group {sample_id.group}")
        if not 0 <= sample_id.index < self.groups[sample_id.group].n:
            raise ValueError(f"the step has no index {sample_id.index} in group {sample_id.group}")
        return self._group_offsets[sample_id.group] + sample_id.index

    def ids(self) -> list[SampleId]:
        """Return the identities of all samples, ordered by position."""
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
    """Samples for a trainer at `cursor`; a trainer that accepts them continues at `next_cursor`."""

    cursor: str
    next_cursor: str
    samples: tuple[Sample, ...]
    done: bool


def sample_name(declaration: StepDeclaration, sample_id: SampleId) -> str:
    """Return the identity of a sample as a string, for logs, scorers and trainers."""
    suffix = f"{sample_id.group}/{sample_id.index}"
    return f"{declaration.trainer}/{declaration.step}/{suffix}"


@attrs.frozen
class Pull:
    """A trainer's request for up to `limit` samples, which waits at most `wait` for the first one.

    `version` is the weight version of the trainer.
    """

    cursor: str
    version: int
    limit: int
    wait: timedelta
