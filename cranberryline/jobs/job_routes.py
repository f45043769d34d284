"""The routes of a job's requests, and whether one that is missing here has ended."""

from cranberryline.routes import Route

from .item_context import ItemContext
from .state import JobState

__all__ = ["JobRoutes"]


class JobRoutes:
    """Looks up the routes of one job's items and scoring requests."""

    def __init__(self, context: ItemContext, state: JobState) -> None:
        self._context = context
        self._state = state

    def match(self, host: str, path: str) -> Route | None:
        """Return the active route of a request, or None if this node knows none."""
        table = self._context.routes.table
        return None if table is None else table.match(host, path)

    async def async_has_ended(self, host: str, path: str) -> bool:
        """Return whether a route that is missing here has ended.

        The job may have been accepted by a newer configuration than the active one, so a missing route
        counts as ended only if it is missing in one that was read after the job.
        """
        if not await self._context.async_have_routes_since(self._state.seen_at):
            self._context.metrics.retry("route_unknown")
            return False
        return self.match(host, path) is None

    def is_expired(self, route: Route) -> bool:
        """Return whether the time is over within which the route lets items be run."""
        if route.max_wait is None:
            return False
        age = self._context.clock.now().timestamp() - self._state.job.submitted
        return age > route.max_wait.total_seconds()
