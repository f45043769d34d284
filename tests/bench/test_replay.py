"""What the replay makes of its outcomes, without processes."""

import pytest

from bench.model.loads import Window
from bench.replay_load import ENGINES, LOADS, Load
from bench.replay_model import POLICY, play_model
from bench.replay_report import Outcome, figures, seconds_until_normal
from cranberryline.decisions import Priority

LOAD = Load("test", window=Window(2.0, 4.0), seconds=8.0)


def _calls(latencies: dict[int, float], refused_in: int | None = None) -> list[Outcome]:
    """Return ten calls a second, with the latencies given for some seconds and else 0.1 s."""
    return [
        Outcome(
            "applications-0",
            Priority.APPLICATION,
            second + n / 10,
            latencies.get(second, 0.1),
            "overloaded" if second == refused_in and n < 2 else "",
            10,
        )
        for second in range(8)
        for n in range(10)
    ]


@pytest.mark.parametrize(
    ("calls", "seconds"),
    [
        (_calls({2: 1.0, 3: 1.0}), 0.0),
        (_calls({4: 1.0}), 1.0),
        (_calls({4: 1.0, 6: 1.0}), 3.0),
        (_calls({}, refused_in=5), 2.0),
        (_calls({7: 1.0}), None),
    ],
)
def test_normal_is_counted_from_the_last_second_that_was_not(
    calls: list[Outcome], seconds: float | None
) -> None:
    """A later second that is slow or refuses one in five begins the wait anew."""
    assert seconds_until_normal(LOAD, calls) == seconds


@pytest.mark.parametrize("load", LOADS, ids=lambda load: load.name)
def test_arrivals_are_the_same_for_a_seed_and_near_the_share(load: Load) -> None:
    """Outside of the window the calls ask for about the share of the capacity."""
    arrivals = load.arrivals(1)
    assert arrivals == load.arrivals(1)
    assert arrivals != load.arrivals(2)
    seconds = load.seconds - load.window.end
    tokens = sum(call.tokens for call in arrivals if call.at >= load.window.end)
    capacity = ENGINES * load.engine.tokens_per_second
    assert tokens / seconds / capacity == pytest.approx(load.share + 0.05, abs=0.2)


@pytest.mark.parametrize("load", LOADS, ids=lambda load: load.name)
def test_the_model_ends_every_call_and_never_exceeds_the_engines(load: Load) -> None:
    """The same arrivals give the same figures, one outcome a call, below the engines' speed."""
    arrivals = load.arrivals(1)
    first, second = (play_model(load, 1, POLICY, arrivals) for _ in range(2))
    assert first == second
    assert len(first.calls) == len(arrivals)
    told = figures(load, first.calls, first.attempts)
    # What ends in the window may have begun before it, so a little more may be counted.
    assert told["goodput_in_window_tokens_s"] < 1.1 * ENGINES * load.engine.tokens_per_second
