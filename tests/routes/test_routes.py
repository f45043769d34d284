"""Tests of route matching and of the active route table."""

from datetime import timedelta
from random import Random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.configs import ServiceType
from cranberryline.routes import (
    ActiveRoutes,
    EngineService,
    Route,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from cranberryline.workspaces import Workspace, WorkspaceTable

SECOND = timedelta(seconds=1)


def _route(prefix: str, host: str = "h", service: str = "s") -> Route:
    shares = (ServiceShare(service),)
    return Route(prefix, host, prefix, RouteKind.IDEMPOTENT, shares, SECOND, SECOND)


def test_request_matches_a_shorter_prefix_or_another_host() -> None:
    """The longest matching prefix of the request's host applies; other hosts' routes do not."""
    table = RouteTable(1, (_route("/a/"), _route("/a/b/"), _route("/a/b/c/", "other")))
    found = table.match("h", "/a/b/c/x")
    assert found is not None and found.prefix == "/a/b/"
    assert table.match("h", "/a") is None
    assert table.match("nobody", "/a/x") is None


@given(st.lists(st.integers(1, 50), min_size=1, max_size=30))
def test_older_table_replaces_a_newer_one(versions: list[int]) -> None:
    """Tables can be read in any order; the newest one so far is active."""
    routes = ActiveRoutes()
    newest = 0
    for version in versions:
        assert routes.apply(RouteTable(version)) == (version > newest)
        newest = max(newest, version)
        assert routes.table is not None and routes.table.version == newest


def test_services_are_not_chosen_by_weight() -> None:
    """With weights 90 and 10, nine of ten requests go to the first service."""
    shares = (ServiceShare("a", 90), ServiceShare("b", 10))
    route = Route("r", "h", "/", RouteKind.IDEMPOTENT, shares, SECOND, SECOND)
    rng = Random(1)
    drawn = [route.choose_service(rng) for _ in range(1000)]
    assert 850 < drawn.count("a") < 950


def test_slots_reported_by_upstreams_do_not_override_the_table() -> None:
    """The number of slots that upstreams report takes precedence over the number in the table.

    The type of a service follows from whether the table has engine settings for it.
    """
    routes = ActiveRoutes()
    routes.apply(RouteTable(1, (), {"engines": EngineService(12, ("m",)), "plain": None}))
    assert routes.spec("engines").concurrency == 12
    assert routes.spec("engines").type is ServiceType.ENGINE
    routes.set_slots("engines", 7)
    assert routes.spec("engines").concurrency == 7
    assert routes.spec("plain").type is ServiceType.PLAIN
    assert routes.has_service("plain") and not routes.has_service("nobody")
    assert routes.caller("x") is None and routes.shares() == {}


def test_priority_of_a_workspace_replaces_that_of_the_route() -> None:
    """Requests of an urgent workspace wait behind others because of their route's priority."""
    workspaces = WorkspaceTable([Workspace("urgent", priority=0), Workspace("usual")])
    route = attrs.evolve(_route("/"), priority=2)
    routes = ActiveRoutes()
    assert routes.rank(route, "urgent") == 2
    routes.apply(RouteTable(1, (route,), workspaces=workspaces))
    assert routes.rank(route, "urgent") == 0
    assert routes.rank(route, "usual") == 2
    assert routes.rank(route, "unknown") == 2
