"""Counters, gauges and histograms of one process, with a reason on everything not delivered."""

from collections.abc import Iterator

from prometheus_client import CONTENT_TYPE_LATEST, disable_created_metrics, generate_latest
from prometheus_client.core import CollectorRegistry, CounterMetricFamily, Metric
from prometheus_client.metrics import Counter, Gauge, Histogram
from prometheus_client.process_collector import ProcessCollector
from prometheus_client.registry import Collector

from .logging import dropped_lines
from .problem import ProblemHandler
from .top_counter import TopCounter

__all__ = ["Metrics", "MetricsHandler"]

_NAMESPACE = "cranberryline"
_LABEL_REASON = "reason"
# From a loopback answer to the longest sample that a trainer would still wait for.
_LATENCY_BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0)

_AGE_BUCKETS = (0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0, 5.0, 10.0)

# The time of each counter's first use doubles the page and tells nothing here.
disable_created_metrics()


class _LogLines(Collector):
    """Tell how many log lines were dropped; they are counted where no registry is at hand."""

    def collect(self) -> Iterator[Metric]:
        """Yield the one counter."""
        name, text = f"{_NAMESPACE}_log_lines_dropped", "Log lines that nobody took in time."
        yield CounterMetricFamily(name, text, value=dropped_lines())


class Metrics:
    """All metrics of one process, in a registry of its own so that tests do not share them."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.registry.register(_LogLines())
        self.requests = self._counter("requests", "Requests taken in.", "kind")
        self.answers = self._counter("answers", "Answers handed over whole.", "kind")
        self.refusals = self._counter("refusals", "Requests refused.", _LABEL_REASON)
        self.queue_refusals = self._counter(
            "queue_refusals", "Requests refused on arrival or overdue in a queue.", _LABEL_REASON
        )
        self.capacity = Gauge(
            "capacity",
            "Measured tokens per second of a service's slots, 0 if unknown.",
            ("service",),
            namespace=_NAMESPACE,
            registry=self.registry,
        )
        self.failures = self._counter(
            "failures", "Requests that ended after they may have run.", _LABEL_REASON
        )
        self.retries = self._counter("retries", "Attempts made again.", _LABEL_REASON)
        self.drops = self._counter("drops", "Frames, notices or samples dropped.", _LABEL_REASON)
        self.discards = self._counter("discards", "Samples discarded.", _LABEL_REASON)
        self.bad_frames = self._counter(
            "bad_frames", "Frames from a peer that could not be read.", _LABEL_REASON
        )
        self.samples = self._counter("samples", "Samples handed to trainers.", "trainer")
        self.orders = self._counter("weight_orders", "Orders to load weights.", "outcome")
        self.crashes = self._counter(
            "broken_runs", "Runs that broke off, by what a look at their upstream told.", "outcome"
        )
        self.holds = self._counter(
            "request_holds", "Changes of requests held for crashing upstreams.", "change"
        )
        self.held = self._gauge("requests_held", "Requests held for crashing upstreams.")
        self.relayed = self._counter(
            "store_calls_relayed", "Calls to the store made through a peer.", "outcome"
        )
        self.reads_paced = Counter(
            "store_reads_paced",
            "Polls of the store that waited for this process's part of its limit.",
            namespace=_NAMESPACE,
            registry=self.registry,
        )
        self.registrations_age = Histogram(
            "registrations_age_seconds",
            "For how long a change of the registrations may have stood unread at each send.",
            namespace=_NAMESPACE,
            buckets=_AGE_BUCKETS,
            registry=self.registry,
        )
        self.usage_reports = self._counter(
            "usage_reports", "Reports of use that were sent.", "outcome"
        )
        self.item_cuts = self._counter(
            "item_run_cuts", "Requests for texts that this gateway cut.", "cause"
        )
        self.slot_events = self._counter(
            "slot_events", "What came of the exchanges with keepers of slots.", "event"
        )
        self.slot_wait = Histogram(
            "slot_wait_seconds",
            "Time that texts waited for the slot that they were granted.",
            namespace=_NAMESPACE,
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.memory_held = self._gauge(
            "memory_held_bytes", "Bytes that are held for callers and others."
        )
        self.stops = self._counter("stops", "Planned stops, by how they ended.", "outcome")
        self.in_flight = self._gauge("in_flight", "Requests taken in and not yet answered.")
        self.queued = self._gauge("queued", "Requests that wait for a place.")
        self.peers = self._gauge("peers", "Peers connected.")
        self.config_offset = self._gauge("config_offset", "Log offset of the fold in force.")
        self.workspace_requests = TopCounter(
            f"{_NAMESPACE}_workspace_requests",
            "Requests of the largest workspaces, and of all others together.",
            "workspace",
        )
        self.registry.register(self.workspace_requests)
        self.latency = Histogram(
            "request_seconds",
            "Time from taking a request in to the end of its answer.",
            ("kind",),
            namespace=_NAMESPACE,
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )

    def _counter(self, name: str, text: str, label: str) -> Counter:
        """Register a counter with one label."""
        return Counter(name, text, (label,), namespace=_NAMESPACE, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        """Register a gauge."""
        return Gauge(name, text, namespace=_NAMESPACE, registry=self.registry)

    def refuse(self, reason: str) -> None:
        """Count a refusal."""
        self.refusals.labels(reason).inc()

    def refuse_queueing(self, reason: str) -> None:
        """Count a request that admission refused or that waited in a queue for too long."""
        self.queue_refusals.labels(reason).inc()

    def fail(self, reason: str) -> None:
        """Count a request that ended in failure after it may have run."""
        self.failures.labels(reason).inc()

    def retry(self, reason: str) -> None:
        """Count an attempt made again."""
        self.retries.labels(reason).inc()

    def drop(self, reason: str) -> None:
        """Count something dropped."""
        self.drops.labels(reason).inc()

    def crash(self, outcome: str) -> None:
        """Count a look at an upstream whose run broke off, or a request blamed for what was found."""
        self.crashes.labels(outcome).inc()

    def hold(self, change: str) -> None:
        """Count a change of a held request."""
        self.holds.labels(change).inc()

    def discard(self, reason: str) -> None:
        """Count a sample discarded."""
        self.discards.labels(reason).inc()

    def bad_frame(self, reason: str) -> None:
        """Count a frame that could not be read."""
        self.bad_frames.labels(reason).inc()

    def value(self, name: str, **labels: str) -> float:
        """Return a metric's value by its full name, 0 when nothing was counted."""
        return self.registry.get_sample_value(name, labels) or 0.0


class MetricsHandler(ProblemHandler):
    """Serve the metrics as text."""

    def initialize(self, metrics: Metrics) -> None:
        """Take the metrics of the process."""
        self._metrics = metrics

    def get(self) -> None:
        """Write all metrics."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self._metrics.registry))
