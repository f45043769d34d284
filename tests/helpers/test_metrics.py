"""Counters by reason."""

from cranberryline.helpers.metrics import Metrics


def test_each_kind_counts_by_reason() -> None:
    """Refusals, failures, retries, drops, discards and bad frames each have a counter of reasons."""
    metrics = Metrics()
    for count, name in [
        (metrics.refuse, "refusals"),
        (metrics.fail, "failures"),
        (metrics.retry, "retries"),
        (metrics.drop, "drops"),
        (metrics.discard, "discards"),
        (metrics.bad_frame, "bad_frames"),
    ]:
        count("a")
        count("a")
        count("b")
        full = f"cranberryline_{name}_total"
        assert metrics.value(full, reason="a") == 2
        assert metrics.value(full, reason="b") == 1
        assert metrics.value(full, reason="c") == 0


def test_two_processes_in_one_test_count_apart() -> None:
    """Each has its own registry."""
    first, second = Metrics(), Metrics()
    first.refuse("a")
    assert second.value("cranberryline_refusals_total", reason="a") == 0
