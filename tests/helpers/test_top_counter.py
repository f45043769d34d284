"""A counter with a bounded number of labels."""

from prometheus_client.core import CollectorRegistry

from cranberryline.helpers.top_counter import OTHER, TopCounter


def _series(registry: CollectorRegistry) -> dict[str, float]:
    (family,) = registry.collect()
    return {sample.labels["workspace"]: sample.value for sample in family.samples}


def test_only_the_largest_names_get_a_series_and_none_decreases() -> None:
    """A thousand names, of which two are large, give two series and one for all others."""
    registry, counter = CollectorRegistry(), TopCounter("requests", "Requests.", "workspace", 2)
    registry.register(counter)
    assert not _series(registry)
    counted, before = 0, {OTHER: 0.0}
    for _ in range(3):
        for number in range(1000):
            for _ in range(50 if number in (7, 600) else 1):
                counter.count(f"w{number}", "answered")
                counted += 1
        series = _series(registry)
        assert sum(series.values()) == counted
        assert all(series[name] >= value for name, value in before.items())
        before = series
    assert set(before) == {"w7", "w600", OTHER}
