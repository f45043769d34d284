"""Test that SwapState never goes back to an older record and always recovers from failures."""

from datetime import timedelta
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cranberryline.weights import SwapOrder, SwapProblem, SwapState

LAG = timedelta(seconds=3)
T0 = timedelta(seconds=100)


@pytest.fixture
def state() -> SwapState:
    """Return a state whose target is version 7, requested by the record at offset 10."""
    state = SwapState(LAG)
    state.set_target(7, 10)
    return state


def complete_swap(state: SwapState) -> SwapState:
    """Complete the needed order successfully at T0."""
    order = state.needed_order()
    assert order is not None
    state.begin(order)
    assert state.on_loaded(order, order.version, T0)
    return state


def test_older_record_never_lowers_the_target(state: SwapState) -> None:
    """A newer record sets a lower version; an older record with a newer version is ignored."""
    assert not state.set_target(9, 9)
    assert state.target == SwapOrder(7, 10)
    assert state.set_target(6, 11)
    assert state.target == SwapOrder(6, 11)


def test_failed_swap_leaves_the_version_unknown_and_is_ordered_again(state: SwapState) -> None:
    """The engine fails in the middle of a swap.

    The version that it serves is unknown, and the order is needed again.
    """
    complete_swap(state)
    state.set_target(8, 12)
    order = state.needed_order()
    state.begin(order)
    state.on_failed(order, T0)
    assert state.serving is None
    assert state.needed_order() == SwapOrder(8, 12)


def test_engine_that_serves_another_version_than_ordered_is_ordered_again(
    state: SwapState,
) -> None:
    """The engine responds with another version: the swap is counted as a problem, not as done."""
    order = state.needed_order()
    state.begin(order)
    assert not state.on_loaded(order, 5, T0)
    assert (state.serving, state.needed_order()) == (5, order)
    assert state.problem_counts[SwapProblem.OTHER_VERSION] == 1


def test_report_made_before_the_swap_does_not_cause_a_second_swap(state: SwapState) -> None:
    """A load report is delayed and still shows the old version just after the swap."""
    complete_swap(state)
    state.on_report(6, 0, T0 + timedelta(seconds=1))
    assert state.needed_order() is None


def test_engine_that_restarted_with_older_weights_is_ordered_again(state: SwapState) -> None:
    """The engine crashes, restarts with the weights of its image and reports them."""
    complete_swap(state)
    state.on_report(7, 10, T0 + LAG)
    assert state.verified
    state.on_report(1, 0, T0 + 3 * LAG)
    assert state.needed_order() == SwapOrder(7, 10)
    assert not state.verified


def test_restarted_side_process_does_not_order_the_version_already_served() -> None:
    """A restarted side process reads the engine's report before its first order."""
    state = SwapState(LAG)
    state.on_report(7, 10, T0)
    state.set_target(7, 10)
    assert state.needed_order() is None


def test_nothing_is_ordered_below_the_fencing_token_of_the_engine() -> None:
    """Before its restart, the side process sent an order for a record that it has not read again yet.

    Nothing is ordered for the older record; the newer record is ordered once it has been read.
    """
    state = SwapState(LAG)
    state.on_report(8, 12, T0)
    state.set_target(7, 10)
    assert state.needed_order() is None
    state.set_target(9, 14)
    assert state.needed_order() == SwapOrder(9, 14)


def test_stale_fence_stops_orders_until_a_newer_record(state: SwapState) -> None:
    """The engine rejects the fencing token; sending the order again could never succeed."""
    order = state.needed_order()
    state.begin(order)
    state.on_stale_fence(order, T0)
    assert state.needed_order() is None
    state.set_target(8, 12)
    assert state.needed_order() == SwapOrder(8, 12)


@pytest.mark.parametrize(("version", "fence"), [("7", 0), (True, 0), (-1, 0), (7, -1), (7, None)])
def test_invalid_report_is_ignored(state: SwapState, version: Any, fence: Any) -> None:
    """A report with a wrong type or a value out of range is rejected and counted."""
    complete_swap(state)
    state.on_report(version, fence, T0 + LAG)
    assert (state.serving, state.needed_order()) == (7, None)
    assert state.problem_counts[SwapProblem.BAD_REPORT] == 1


class SwapMachine(RuleBasedStateMachine):
    """Mix records, orders, failures, restarts of engine and side process, and delayed reports."""

    @initialize(checks_fence=st.booleans())
    def start(self, checks_fence: bool) -> None:
        """Start with an engine that serves version 0."""
        self.checks_fence = checks_fence
        self.now = T0
        self.state = SwapState(LAG)
        self.record = (1, 1)
        self.offset = 1
        self.engine: int | None = 0
        self.engine_fence = 0
        self.engine_highest_order = 0
        self.order: SwapOrder | None = None
        self.old_orders: list[SwapOrder] = []
        self.reports = [(T0, self.engine, 0)]

    @rule(version=st.integers(0, 4), folded=st.booleans())
    def publish(self, version: int, folded: bool) -> None:
        """Publish a weights record that the side process reads now or later."""
        self.offset += 1
        self.record = (version, self.offset)
        if folded:
            self.state.set_target(*self.record)

    @rule()
    def fold(self) -> None:
        """Read the newest record."""
        self.state.set_target(*self.record)

    @rule(back=st.integers(0, 3), version=st.integers(0, 4))
    def handle_superseded_record(self, back: int, version: int) -> None:
        """Read a record that is not newer than the target."""
        if self.state.target is not None and self.state.target.fence > back:
            self.state.set_target(version, self.state.target.fence - back)

    @precondition(lambda self: self.order is None)
    @rule()
    def begin(self) -> None:
        """Send the needed order."""
        order = self.state.needed_order()
        if order is not None and self.state.begin(order):
            assert order.fence >= self.engine_fence or order.fence >= self.state.highest_fence
            self.order = order

    @precondition(lambda self: self.order is not None)
    @rule(outcome=st.sampled_from(["loaded", "half", "lost", "busy", "other"]))
    def end(self, outcome: str) -> None:
        """Let the engine execute the order, with or without a response."""
        order, self.order = self.order, None
        self.now += timedelta(seconds=1)
        if self.checks_fence and order.fence < self.engine_fence:
            self.state.on_stale_fence(order, self.now)
            return
        self.engine_fence = max(self.engine_fence, order.fence)
        if outcome == "busy":
            self.state.on_not_started(order, None, self.now)
            return
        self.engine = {"half": None, "other": 9}.get(outcome, order.version)
        if outcome in ("half", "lost"):
            self.state.on_failed(order, self.now)
        else:
            self.state.on_loaded(order, self.engine, self.now)
        self.old_orders.append(order)

    @rule(index=st.integers(0, 50))
    def answer_again(self, index: int) -> None:
        """Receive the response to an earlier order a second time."""
        if self.old_orders and self.order is None:
            old = self.old_orders[index % len(self.old_orders)]
            before = self.state.serving
            self.state.on_loaded(old, old.version, self.now)
            assert self.state.serving == before

    @rule()
    def restart_engine(self) -> None:
        """Restart the engine: it serves version 0 and has lost its fencing token."""
        self.engine, self.engine_fence = 0, 0

    @rule()
    def restart_side(self) -> None:
        """Restart the side process: it reads the engine's report before anything else."""
        self.state, self.order = SwapState(LAG), None
        self.state.on_report(self.engine, self.engine_fence, self.now)

    @rule(seconds=st.integers(1, 5))
    def report(self, seconds: int) -> None:
        """Let time pass and receive an up-to-date load report."""
        self.now += timedelta(seconds=seconds)
        self.state.on_report(self.engine, self.engine_fence, self.now)

    @precondition(lambda self: self.order is None)
    @rule()
    def settle(self) -> None:
        """Once the newest record is read and failures stop, the engine ends up serving its version."""
        self.state.set_target(*self.record)
        for _ in range(4):
            self.now += 2 * LAG
            self.state.on_report(self.engine, self.engine_fence, self.now)
            order = self.state.needed_order()
            if order is None:
                break
            assert self.state.begin(order)
            self.engine, self.engine_fence = order.version, max(self.engine_fence, order.fence)
            self.state.on_loaded(order, order.version, self.now)
        assert self.engine == self.record[0]
        assert self.state.verified or self.state.serving == self.record[0]

    @invariant()
    def target_never_goes_back(self) -> None:
        """Check that the target's fencing token never decreases while the side process runs."""
        target = getattr(self, "state", None) and self.state.target
        if target is None:
            self.last_fence = 0
            return
        assert target.fence >= getattr(self, "last_fence", 0)
        self.last_fence = target.fence

    @invariant()
    def one_order_at_a_time(self) -> None:
        """Check that no other order is needed while one is in flight."""
        if getattr(self, "order", None) is not None:
            assert self.state.needed_order() is None


TestSwapMachine = SwapMachine.TestCase
TestSwapMachine.settings = settings(max_examples=200, stateful_step_count=40)
