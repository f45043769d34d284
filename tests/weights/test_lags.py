"""Test the allowed lag that is computed from a trainer's jobs."""

from cranberryline.weights.lags import TrainerLags


def test_newest_job_sets_the_lag_in_whatever_order_jobs_are_read() -> None:
    """A node starts while version 9 is requested and reads the jobs of the last minutes.

    The job of step 9 allows version 8, that of step 3 allowed version 2. Computed from an older job,
    the lag would be up to 7: engines with version 3 would count as usable, no load would be ordered
    for step 9, and it would wait in vain.
    """
    lags = TrainerLags()
    for min_version in (8, 2, 5):
        lags.record_job("m", min_version, 9)
    assert lags.allowed_lag("m", 9) == 1


def test_job_read_before_the_requested_version_counts_once_the_version_is_known() -> None:
    """Jobs and requested versions are read from two topics, in any order."""
    lags = TrainerLags()
    lags.record_job("m", 8, 0)
    assert lags.allowed_lag("m", 9) == 1


def test_version_requested_after_the_job_does_not_increase_the_lag() -> None:
    """A version is requested before the job of its step is read; until then the lag stays the same."""
    lags = TrainerLags()
    lags.record_job("m", 8, 9)
    assert lags.allowed_lag("m", 10) == 1 and lags.allowed_lag("other", 10) == 0
