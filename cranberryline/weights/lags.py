"""Number of versions by which each trainer allows samples to be behind."""

import attrs

__all__ = ["TrainerLags"]


@attrs.frozen
class _NewestJob:
    """Oldest version that the job allows, and the version requested when it was read."""

    min_version: int
    requested_version: int


class TrainerLags:
    """Compute the allowed lag of each model from its trainer's newest job.

    After a process start, all jobs of the last minutes are read again in any order, and the current
    requested version is newer than it was at the time of the older jobs. So only the job with the
    highest minimum version counts. An older job would give too large a lag: engines too old for the
    current step would count as usable, and the step would wait for a version that is never ordered.
    """

    def __init__(self) -> None:
        self._newest: dict[str, _NewestJob] = {}

    def record_job(self, model: str, min_version: int, requested_version: int) -> None:
        """Record a job that allows `min_version` and newer.

        `requested_version` is the model's requested version when the job was read, 0 if unknown.
        """
        known = self._newest.get(model)
        if known is None or min_version >= known.min_version:
            self._newest[model] = _NewestJob(min_version, requested_version)

    def allowed_lag(self, model: str, requested_version: int) -> int:
        """Return the allowed lag in versions, 0 if no job has been recorded yet.

        `requested_version` is used if it was unknown when the newest job was recorded.
        """
        newest = self._newest.get(model)
        if newest is None:
            return 0
        return max(0, (newest.requested_version or requested_version) - newest.min_version)
