"""Real processes, killed, frozen and cut off under load; the stand-ins' own books must balance.

Each scenario runs trainers and callers over two entries and three upstreams of each service.
"""

from collections.abc import Callable

import pytest

from stand_ins.launcher import Deployment

from .scenarios import BROKEN_COUNTS, Scenario, play

ENGINE = "care-models-1"
PLAIN = "pickup-app-1"


def _kill(*names: str) -> Callable[[Deployment], None]:
    def fault(deployment: Deployment) -> None:
        for name in names:
            deployment.process(name).kill()

    return fault


def _restart(*names: str) -> Callable[[Deployment], None]:
    def fault(deployment: Deployment) -> None:
        for name in names:
            deployment.process(name).start()

    return fault


def _freeze(*names: str) -> Callable[[Deployment], None]:
    def fault(deployment: Deployment) -> None:
        for name in names:
            deployment.process(name).freeze()

    return fault


def _thaw(*names: str) -> Callable[[Deployment], None]:
    def fault(deployment: Deployment) -> None:
        for name in names:
            deployment.process(name).thaw()

    return fault


def _control(name: str, **values: object) -> Callable[[Deployment], None]:
    return lambda deployment: deployment.control(name, **values)


def _silence(deployment: Deployment) -> None:
    deployment.silence("*")


def _silence_forth(deployment: Deployment) -> None:
    deployment.silence("*", way="forth")


def _silence_back(deployment: Deployment) -> None:
    deployment.silence("*", way="back")


SCENARIOS = {
    # Whoever owns a step dies between two pulls; the other entry takes the step over.
    "kill_entry_1": Scenario(((2.0, _kill("entry-1")), (3.0, _restart("entry-1")))),
    "kill_entry_2": Scenario(((2.0, _kill("entry-2")), (3.0, _restart("entry-2")))),
    # The only process that could vouch for what it held dies with requests running.
    "kill_sides": Scenario(
        (
            (2.0, _kill(f"side-{ENGINE}", f"side-{PLAIN}")),
            (3.0, _restart(f"side-{ENGINE}", f"side-{PLAIN}")),
        )
    ),
    # Engine and plain service die in the middle of answers; the engine forgets its weights.
    "kill_upstreams": Scenario(((2.0, _kill(ENGINE, PLAIN)), (3.0, _restart(ENGINE, PLAIN)))),
    # Longer than the bound on silence: the entry goes elsewhere, then the side process wakes up
    # with requests that were given up and orders that are old.
    "freeze_sides": Scenario(
        (
            (1.5, _freeze(f"side-{ENGINE}", f"side-{PLAIN}")),
            (6.5, _thaw(f"side-{ENGINE}", f"side-{PLAIN}")),
        ),
        seconds=9.0,
    ),
    # The owner of a step wakes up and still believes that the step is its own.
    "freeze_entry": Scenario(((1.5, _freeze("entry-1")), (6.5, _thaw("entry-1"))), seconds=9.0),
    "log_refuses": Scenario(((1.5, _control("log", outage="refuse")),)),
    "log_silent": Scenario(
        ((1.5, _control("log", outage="silent")), (5.0, _control("log", outage="")))
    ),
    "log_loses_answers": Scenario(
        tuple((1.0 + n * 0.4, _control("log", lose_answers=3)) for n in range(8))
    ),
    # A swap fails half way: the engine serves it does not know what, and says so.
    "swaps_fail": Scenario(tuple((0.5 + n, _control(ENGINE, fail_swaps=2)) for n in range(5))),
    # Old authority meets an engine that takes any order.
    "no_fence_and_freeze": Scenario(
        (
            (0.0, _control(ENGINE, check_fence=False)),
            (1.5, _freeze(f"side-{ENGINE}")),
            (6.5, _thaw(f"side-{ENGINE}")),
        ),
        seconds=9.0,
    ),
    "answers_cut": Scenario(
        (
            (1.0, _control(PLAIN, cut_bodies=10)),
            (1.5, _control("pickup-app-2", cut_bodies=10, cut_chunked=True)),
            (2.0, _control(ENGINE, cut_streams=10)),
        )
    ),
    # Every open connection between our processes goes silent; new ones work.
    "connections_silent": Scenario(((2.0, _silence),), seconds=9.0, relayed=True),
    # Requests arrive and run, and their answers are lost on the way back.
    "answers_silent": Scenario(((2.0, _silence_back),), seconds=9.0, relayed=True),
    # Answers still come, and nothing that the entries send arrives any more.
    "requests_silent": Scenario(((2.0, _silence_forth),), seconds=9.0, relayed=True),
    # In pairs.
    "kill_entry_without_log": Scenario(
        (
            (1.5, _control("log", outage="refuse")),
            (2.0, _kill("entry-1")),
            (3.5, _control("log", outage="")),
            (4.0, _restart("entry-1")),
        )
    ),
    "kill_side_and_freeze_entry": Scenario(
        (
            (1.5, _freeze("entry-2")),
            (2.0, _kill(f"side-{PLAIN}")),
            (3.0, _restart(f"side-{PLAIN}")),
            (6.0, _thaw("entry-2")),
        ),
        seconds=9.0,
    ),
    "silent_twice": Scenario(((1.5, _silence), (5.5, _silence)), seconds=11.0, relayed=True),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_promises_hold(name: str) -> None:
    """Callers and trainers are told nothing false, and the work goes on after the fault."""
    figures = play(SCENARIOS[name])
    assert {count: figures[count] for count in BROKEN_COUNTS} == dict.fromkeys(BROKEN_COUNTS, 0)
    assert figures["steps"]
    assert figures["answers_whole"]
