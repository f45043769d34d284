"""Routes by host and longest prefix, and the table in force."""

from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.configs import ServiceType
from cranberryline.routes import (
    EngineService,
    Route,
    RouteBook,
    RouteKind,
    RouteTable,
    ServiceShare,
)

SECOND = timedelta(seconds=1)


def _route(prefix: str, host: str = "h", service: str = "s") -> Route:
    shares = (ServiceShare(service),)
    return Route(prefix, host, prefix, RouteKind.IDEMPOTENT, shares, SECOND, SECOND)


def test_the_longest_prefix_of_the_host_wins() -> None:
    """Another host's longer prefix counts for nothing."""
    table = RouteTable(1, (_route("/a/"), _route("/a/b/"), _route("/a/b/c/", "other")))
    found = table.match("h", "/a/b/c/x")
    assert found is not None and found.prefix == "/a/b/"
    assert table.match("h", "/a") is None
    assert table.match("nobody", "/a/x") is None


@given(st.lists(st.integers(1, 50), min_size=1, max_size=30))
def test_the_version_in_force_never_goes_back(versions: list[int]) -> None:
    """Whatever order tables are read in, the newest so far is in force."""
    book = RouteBook()
    newest = 0
    for version in versions:
        assert book.apply(RouteTable(version)) == (version > newest)
        newest = max(newest, version)
        assert book.table is not None and book.table.version == newest


def test_a_split_follows_the_weights() -> None:
    """Nine of ten requests go to the heavier service."""
    shares = (ServiceShare("a", 90), ServiceShare("b", 10))
    route = Route("r", "h", "/", RouteKind.IDEMPOTENT, shares, SECOND, SECOND)
    rng = Random(1)
    drawn = [route.choose_service(rng) for _ in range(1000)]
    assert 850 < drawn.count("a") < 950


def test_lanes_learn_places_and_types_from_the_book() -> None:
    """What upstreams say of their places goes before what the table says."""
    book = RouteBook()
    book.apply(RouteTable(1, (), {"engines": EngineService(12, ("m",)), "plain": None}))
    assert book.spec("engines").concurrency == 12
    assert book.spec("engines").type is ServiceType.ENGINE
    book.set_slots("engines", 7)
    assert book.spec("engines").concurrency == 7
    assert book.spec("plain").type is ServiceType.PLAIN
    assert book.knows("plain") and not book.knows("nobody")
    assert book.caller("x") is None and book.shares() == {}
