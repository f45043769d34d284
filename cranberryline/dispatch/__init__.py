"""Admission, queueing, attempts and retries of requests, up to one final result for each."""

from .attempt import CallerDisconnected
from .direct import DirectUpstream, DirectUpstreams
from .dispatch import Dispatcher, ServiceCatalog
from .errors import Ran, Refusal, RefusalReason
from .hedged import AttemptSink, HedgedRequest
from .model import CallerClass, CallerRequest, CollectingSink, ResponseSink
from .scheduler import ServiceScheduler
from .table import UpstreamTable
from .upstreams import Upstream

__all__ = [
    "AttemptSink",
    "CallerClass",
    "CallerDisconnected",
    "CallerRequest",
    "CollectingSink",
    "DirectUpstream",
    "DirectUpstreams",
    "Dispatcher",
    "HedgedRequest",
    "Ran",
    "Refusal",
    "RefusalReason",
    "ResponseSink",
    "ServiceCatalog",
    "ServiceScheduler",
    "Upstream",
    "UpstreamTable",
]
