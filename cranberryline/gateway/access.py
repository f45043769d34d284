"""Which routes a caller may use."""

from datetime import timedelta

from result import Ok, Result
from tornado.httputil import HTTPHeaders

from cranberryline.routes import RouteTable
from cranberryline.workspaces import KeyProblem

from .handler import GatewayContext

__all__ = ["async_wait_for_routes", "identify"]

_STARTUP_TIMEOUT = timedelta(milliseconds=400)
_STARTUP_POLL_INTERVAL = timedelta(milliseconds=10)


async def async_wait_for_routes(ctx: GatewayContext, started_at: timedelta) -> RouteTable | None:
    """Return the active routes, or None if they are not loaded or confirmed in time.

    Shortly after startup, waits for the routes and the quarantine. All gateways may have been
    started at once, and a refused caller retries only after several times the time that
    loading the routes takes.
    """
    give_up_at = started_at + _STARTUP_TIMEOUT
    while ctx.routes.table is None or not ctx.quarantine_ready():
        if ctx.clock.monotonic() >= give_up_at:
            break
        await ctx.clock.async_sleep(_STARTUP_POLL_INTERVAL)
    if not await ctx.confirmation.async_confirm(started_at):
        return None
    return ctx.routes.table


def identify(
    ctx: GatewayContext, table: RouteTable, headers: HTTPHeaders
) -> Result[str | None, KeyProblem]:
    """Return the name of the workspace that the caller's key belongs to, None if there are none."""
    if table.workspaces is None:
        return Ok(None)
    found = ctx.key_check.check(table.workspaces, ctx.edge.credential(headers))
    return found.map(lambda workspace: workspace.name)
