"""Generation of samples and their exactly-once delivery to trainers."""

from .attribution import CompletionStream, read_completion
from .cursor import Cursor, decode_cursor
from .declaration import read_declaration
from .errors import (
    AttributionError,
    CursorError,
    CursorReason,
    DeclarationError,
    DiscardReason,
    StepRefusal,
)
from .ledger import FinishOutcome, StepLedger
from .model import (
    Batch,
    Completion,
    GroupDeclaration,
    Sample,
    SampleId,
    Segment,
    StepDeclaration,
)

__all__ = [
    "AttributionError",
    "Batch",
    "Completion",
    "CompletionStream",
    "Cursor",
    "CursorError",
    "CursorReason",
    "DeclarationError",
    "DiscardReason",
    "FinishOutcome",
    "GroupDeclaration",
    "Sample",
    "SampleId",
    "Segment",
    "StepDeclaration",
    "StepLedger",
    "StepRefusal",
    "decode_cursor",
    "read_completion",
    "read_declaration",
]
