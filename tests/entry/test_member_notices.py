"""Notices that inform side processes of the members of their service."""

import pytest

from cranberryline.entry.notices import MAX_LISTED_MEMBERS, MemberNotices
from cranberryline.ports.model import VmEntry, VmList, VmRole, VmState
from cranberryline.transport import encode
from cranberryline.upstreams import Membership


def make_membership(count: int) -> Membership:
    """Return a membership with one service of `count` upstreams."""
    members = Membership()
    rows = tuple(
        VmEntry(
            f"sampler-{n:05}",
            VmRole.UPSTREAM,
            VmState.LIVE,
            "one",
            "tcp://127.0.0.1:1",
            "http://127.0.0.1:2",
            "s",
        )
        for n in range(count)
    )
    members.apply_list(VmList(members.version + 1, rows))
    return members


def test_notice_of_a_small_service_lists_all_ids() -> None:
    """A missing id breaks the order in which side processes take turns without overlap."""
    [(peer, notice)] = MemberNotices(make_membership(6)).take_changed(["sampler-00002"])
    assert peer == "sampler-00002"
    assert notice.ids == tuple(f"sampler-{n:05}" for n in range(6))
    assert notice.count == 6


@pytest.mark.parametrize("count", [MAX_LISTED_MEMBERS + 1, 7300])
def test_notice_of_a_large_service_contains_only_the_count(count: int) -> None:
    """The notice grows with the service, and exceeds the limit for control traffic.

    With the ids of 7,300 upstreams it took 100 KB, and went to each of 28 side processes at each
    change of the list.
    """
    [(_, notice)] = MemberNotices(make_membership(count)).take_changed(["sampler-00002"])
    assert (notice.ids, notice.count) == ((), count)
    assert sum(map(len, encode([notice]))) < 64


def test_unchanged_notice_is_sent_once_per_connection() -> None:
    """A side process gets a notice that it already has, or none after it has reconnected.

    Other services' members change often, which must not cause a notice. The process behind a new
    connection may have been restarted, so it gets the notice again.
    """
    notices = MemberNotices(make_membership(6))
    assert len(notices.take_changed(["sampler-00001", "sampler-00002"])) == 2
    assert notices.take_changed(["sampler-00001", "sampler-00002"]) == []
    notices.forget("sampler-00001")
    assert [peer for peer, _ in notices.take_changed(["sampler-00001", "sampler-00002"])] == [
        "sampler-00001"
    ]
