"""How many bytes of responses that have not ended a process holds."""

import pytest

from cranberryline.ports import UpstreamCut
from cranberryline.ports.response_memory import ResponseMemory


def test_a_response_is_cut_at_its_own_limit() -> None:
    """Guards against collecting a response without an end."""
    response = ResponseMemory(100, 1000, 10).open()
    response.add(100)
    with pytest.raises(UpstreamCut):
        response.add(1)


def test_small_responses_go_on_while_large_ones_fill_the_memory() -> None:
    """Guards against failing callers of sound upstreams by a few responses without an end."""
    memory = ResponseMemory(100, 150, 10)
    first, second, small = memory.open(), memory.open(), memory.open()
    first.add(90)
    with pytest.raises(UpstreamCut):
        second.add(70)
    small.add(10)
    with pytest.raises(UpstreamCut):
        small.add(1)


def test_the_memory_of_a_response_that_ended_is_free_once() -> None:
    """Guards against a limit that shrinks or grows with each response that is closed twice."""
    memory = ResponseMemory(100, 150, 10)
    for _ in range(5):
        response = memory.open()
        response.add(90)
        response.release()
        response.release()
    assert memory.total_bytes == 0
