"""What the configuration and the trainers require of the versions that engines serve."""

from collections.abc import Callable

from cranberryline.jobs import JobState
from cranberryline.routes import ActiveRoutes
from cranberryline.weights.lags import TrainerLags

__all__ = ["VersionNeeds"]


class VersionNeeds:
    """Answers the questions of the version scheduler.

    `requested` returns the version of a model that its trainer has requested.
    """

    def __init__(self, routes: ActiveRoutes, requested: Callable[[str], int]) -> None:
        self._routes = routes
        self._requested = requested
        self._lags = TrainerLags()

    def models(self, service: str) -> tuple[str, ...]:
        """Return the models of a service."""
        table = self._routes.table
        engine = None if table is None else table.services.get(service)
        return () if engine is None else engine.models

    def allowed_lag(self, model: str) -> int:
        """Return how many versions behind the requested one the model's trainer accepts."""
        return self._lags.allowed_lag(model, self._requested(model))

    def finish_runs(self, service: str) -> bool:
        """Return whether a route of the service requires single-version texts."""
        table = self._routes.table
        routes = () if table is None else table.routes
        return any(
            route.single_version and any(share.service == service for share in route.services)
            for route in routes
        )

    def record_job(self, state: JobState) -> None:
        """Learn from a new job how old the versions are that its trainer accepts."""
        job = state.head
        if job.min_version is not None and not state.listed and not state.ended:
            self._lags.record_job(job.model, job.min_version, self._requested(job.model))
