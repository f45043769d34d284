"""What an entry tells side processes of the members of their service."""

import pytest

from cranberryline.entry.notices import MAX_LISTED_MEMBERS, MemberNotices
from cranberryline.ports.model import VmEntry, VmList, VmRole, VmState
from cranberryline.transport import encode
from cranberryline.upstreams import Membership


def membership(count: int) -> Membership:
    """Return a member list with one service of that many upstreams."""
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


def test_a_small_service_is_listed() -> None:
    """Side processes of a small service take turns that never meet, so they need all ids."""
    [(peer, notice)] = MemberNotices(membership(6)).due(["sampler-00002"])
    assert peer == "sampler-00002"
    assert notice.ids == tuple(f"sampler-{n:05}" for n in range(6))
    assert notice.count == 6


@pytest.mark.parametrize("count", [MAX_LISTED_MEMBERS + 1, 7300])
def test_the_notice_of_a_large_service_does_not_grow(count: int) -> None:
    """With all 7,300 ids a notice was 100 KB, to each of 28 side processes at each change."""
    [(_, notice)] = MemberNotices(membership(count)).due(["sampler-00002"])
    assert (notice.ids, notice.count) == ((), count)
    assert sum(map(len, encode([notice]))) < 64


def test_a_notice_is_sent_once_to_each_connection() -> None:
    """A change of another service's members is nothing to tell; a new connection is told."""
    notices = MemberNotices(membership(6))
    assert len(notices.due(["sampler-00001", "sampler-00002"])) == 2
    assert notices.due(["sampler-00001", "sampler-00002"]) == []
    notices.forget("sampler-00001")
    assert [peer for peer, _ in notices.due(["sampler-00001", "sampler-00002"])] == [
        "sampler-00001"
    ]
