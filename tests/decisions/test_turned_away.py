"""Upstreams that turned work away rest for a moment."""

from datetime import timedelta

from cranberryline.decisions.turned_away import REST, TurnedAway

NOW = timedelta(seconds=5)


def test_only_the_upstream_that_turned_work_away_rests_and_not_for_long() -> None:
    """Others get work at once; the one that loads is asked again within the load."""
    turned = TurnedAway()
    turned.note("a", NOW)
    assert turned.rests("a", NOW + REST / 2) and not turned.rests("b", NOW)
    assert not turned.rests("a", NOW + REST)


def test_an_upstream_that_is_gone_leaves_nothing_behind() -> None:
    """Upstreams come and go all day: what is kept is what rests now."""
    turned = TurnedAway()
    for number in range(1000):
        turned.note(str(number), NOW + number * REST)
    assert len(turned._until) <= 2
