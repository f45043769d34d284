"""What a trainer allows, learnt from its jobs."""

from cranberryline.weights.lags import TrainerLags


def test_the_newest_job_tells_the_lag_whatever_order_the_jobs_come_in() -> None:
    """A node starts while version 9 is named and reads the jobs of the last minutes.

    Step 9's job allows version 8, step 3's allowed 2. Taken from the job that was read last, the lag
    would be 7: engines with version 3 would pass for useful, and step 9 would wait for nothing.
    """
    lags = TrainerLags()
    for min_version in (8, 2, 5):
        lags.note("m", min_version, 9)
    assert lags.lag("m", 9) == 1


def test_a_job_read_before_the_named_version_is_counted_when_that_is_known() -> None:
    """Jobs and named versions come from two topics, in any order."""
    lags = TrainerLags()
    lags.note("m", 8, 0)
    assert lags.lag("m", 9) == 1


def test_a_version_named_after_the_job_does_not_lengthen_the_lag() -> None:
    """Between a version's name and the step that asks for it nothing has changed for the trainer."""
    lags = TrainerLags()
    lags.note("m", 8, 9)
    assert lags.lag("m", 10) == 1 and lags.lag("other", 10) == 0
