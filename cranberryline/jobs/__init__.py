"""Batch jobs: accepted once, stored durably, run by any node, listed identically by all."""

from .book import JobBook
from .codec import decode_record, encode_job, encode_records
from .marks import PartitionMark
from .model import Item, ItemResult, ItemState, Job, JobEnded, JobPart, ResultRecord, Scorer
from .state import JobState

__all__ = [
    "Item",
    "ItemResult",
    "ItemState",
    "Job",
    "JobBook",
    "JobEnded",
    "JobPart",
    "JobState",
    "PartitionMark",
    "ResultRecord",
    "Scorer",
    "decode_record",
    "encode_job",
    "encode_records",
]
