"""Admission, queueing, attempts and retries of requests, up to one final result for each."""

from .attempt import CallerLeft
from .direct import DirectUpstream, DirectUpstreams
from .dispatch import Dispatcher, ServiceBook
from .errors import Ran, Refusal, RefusalReason
from .lane import ServiceLane
from .model import AnswerSink, CallerClass, CallerRequest, CollectingSink
from .repeated import AttemptSink, RepeatedRequest
from .upstreams import PeerTable, Upstream

__all__ = [
    "AnswerSink",
    "AttemptSink",
    "CallerClass",
    "CallerLeft",
    "CallerRequest",
    "CollectingSink",
    "DirectUpstream",
    "DirectUpstreams",
    "Dispatcher",
    "PeerTable",
    "Ran",
    "Refusal",
    "RefusalReason",
    "RepeatedRequest",
    "ServiceBook",
    "ServiceLane",
    "Upstream",
]
