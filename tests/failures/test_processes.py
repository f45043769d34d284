"""Real processes that are killed, suspended or disconnected under load must violate no guarantee.

Each scenario runs trainers and callers over two entries and three upstreams of each service.
"""

from collections.abc import Callable

import pytest

from stand_ins.launcher import Deployment

from .scenarios import VIOLATION_COUNTS, Scenario, run_scenario

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


def _drop_traffic(deployment: Deployment) -> None:
    deployment.silence("*")


def _drop_requests(deployment: Deployment) -> None:
    deployment.silence("*", way="forth")


def _drop_responses(deployment: Deployment) -> None:
    deployment.silence("*", way="back")


SCENARIOS = {
    # The owner of a step is killed between two pulls; the other entry takes over the step.
    "kill_entry_1": Scenario(((2.0, _kill("entry-1")), (3.0, _restart("entry-1")))),
    "kill_entry_2": Scenario(((2.0, _kill("entry-2")), (3.0, _restart("entry-2")))),
    # Side processes are killed while requests are running; only they know which of them have run.
    "kill_sides": Scenario(
        (
            (2.0, _kill(f"side-{ENGINE}", f"side-{PLAIN}")),
            (3.0, _restart(f"side-{ENGINE}", f"side-{PLAIN}")),
        )
    ),
    # An engine and a plain service are killed during responses; the engine loses its weights.
    "kill_upstreams": Scenario(((2.0, _kill(ENGINE, PLAIN)), (3.0, _restart(ENGINE, PLAIN)))),
    # Suspended for longer than the heartbeat timeout: the entry uses other upstreams, then the side
    # process resumes with abandoned requests and outdated commands.
    "freeze_sides": Scenario(
        (
            (1.5, _freeze(f"side-{ENGINE}", f"side-{PLAIN}")),
            (6.5, _thaw(f"side-{ENGINE}", f"side-{PLAIN}")),
        ),
        seconds=9.0,
    ),
    # The owner of a step resumes and still considers itself the owner.
    "freeze_entry": Scenario(((1.5, _freeze("entry-1")), (6.5, _thaw("entry-1"))), seconds=9.0),
    "log_refuses": Scenario(((1.5, _control("log", outage="refuse")),)),
    "log_silent": Scenario(
        ((1.5, _control("log", outage="silent")), (5.0, _control("log", outage="")))
    ),
    "log_loses_answers": Scenario(
        tuple((1.0 + n * 0.4, _control("log", lose_answers=3)) for n in range(8))
    ),
    # A weight swap fails halfway: the engine reports that its weight version is unknown.
    "swaps_fail": Scenario(tuple((0.5 + n, _control(ENGINE, fail_swaps=2)) for n in range(5))),
    # A side process with an outdated lease resumes, and the engine does not check fencing tokens.
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
    # All open connections between cranberryline processes drop traffic in both directions; new
    # connections work.
    "connections_silent": Scenario(((2.0, _drop_traffic),), seconds=9.0, relayed=True),
    # Requests arrive and run, but their responses are lost.
    "answers_silent": Scenario(((2.0, _drop_responses),), seconds=9.0, relayed=True),
    # Responses still arrive, but nothing that the entries send does.
    "requests_silent": Scenario(((2.0, _drop_requests),), seconds=9.0, relayed=True),
    # Combinations of two faults.
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
    "silent_twice": Scenario(
        ((1.5, _drop_traffic), (5.5, _drop_traffic)), seconds=11.0, relayed=True
    ),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_guarantee_is_violated(name: str) -> None:
    """Callers and trainers get no wrong result, and work continues after the fault."""
    figures = run_scenario(SCENARIOS[name])
    assert {count: figures[count] for count in VIOLATION_COUNTS} == dict.fromkeys(
        VIOLATION_COUNTS, 0
    )
    assert figures["steps"]
    assert figures["answers_whole"]
