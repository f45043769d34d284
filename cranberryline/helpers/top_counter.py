"""Counter with a label of many possible values, of which only the largest are exported."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

__all__ = ["OTHER", "TopCounter"]

OTHER = "other"
DEFAULT_MAX_LABELS = 20


class TopCounter(Collector):
    """Count by a name and an outcome; at most `max_names` names get a time series of their own.

    A free series is given to the largest name without one when the metrics are read. A name keeps
    its series until the process ends, and its count starts when it gets the series, so no series
    ever decreases. All other counts are exported under the name `OTHER`.
    """

    def __init__(
        self, name: str, text: str, label: str, max_names: int = DEFAULT_MAX_LABELS
    ) -> None:
        self._name = name
        self._text = text
        self._label = label
        self._max_names = max_names
        self._own: Counter[tuple[str, str]] = Counter()
        self._other: Counter[str] = Counter()
        self._named: set[str] = set()
        self._unnamed: Counter[str] = Counter()

    def count(self, name: str, outcome: str) -> None:
        """Count one event of a name."""
        if name in self._named:
            self._own[name, outcome] += 1
            return
        self._other[outcome] += 1
        if len(self._named) < self._max_names:
            self._unnamed[name] += 1

    def collect(self) -> Iterator[Metric]:
        """Yield the counter, then give free series to the largest names."""
        family = CounterMetricFamily(self._name, self._text, labels=(self._label, "outcome"))
        for (name, outcome), value in sorted(self._own.items()):
            family.add_metric((name, outcome), value)
        for outcome, value in sorted(self._other.items()):
            family.add_metric((OTHER, outcome), value)
        yield family
        free = self._max_names - len(self._named)
        for name, _ in self._unnamed.most_common(free) if free else ():
            self._named.add(name)
            del self._unnamed[name]
        if len(self._named) == self._max_names:
            self._unnamed.clear()
