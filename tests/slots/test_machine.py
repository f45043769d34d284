"""A state machine over gateways whose texts come and go while machines and links fail."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.slots import SlotGrant
from cranberryline.slots.const import ACQUIRE_TIMEOUT

from ..virtual_time import VirtualLoop
from .site import SERVICE, Site, engine, need, random_delays

NODES = ("a", "b", "c", "d")
LONGEST_WAIT = ACQUIRE_TIMEOUT.total_seconds() + 0.05
# A keeper that was passed over is asked again, and what it knew before is forgotten.
SETTLED = 5.0

nodes = st.sampled_from(NODES)


class SlotMachine(RuleBasedStateMachine):
    """Four gateways, three engines with five slots in all."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.loop = self.runner.get_loop()
        self.starts = itertools.count(2)
        self.disturbed = False
        self.waiting: dict[asyncio.Task[SlotGrant | None], tuple[str, float]] = {}
        self.seen: set[tuple[str, str, int]] = set()
        self.do(self._start)

    def do(self, action: Callable[[], Any]) -> None:
        """Run an action, and let a turn's work follow it."""

        async def async_do() -> None:
            action()
            await asyncio.sleep(0)

        self.runner.run(async_do())

    def _start(self) -> None:
        engines = [engine("e1", slots=1), engine("e2", slots=2), engine("e3", slots=2)]
        self.site = Site(NODES, engines)
        self.site.network.delay = random_delays(7, longest=0.02)

    def teardown(self) -> None:
        """Whatever happened, the gateways agree again and use exactly the slots there are."""
        try:
            self.runner.run(self._async_settle())
            self.runner.run(self.site.async_close())
        finally:
            self.runner.close()

    @rule(node=nodes, count=st.integers(1, 4))
    def acquire(self, node: str, count: int) -> None:
        """Texts of a gateway need slots."""
        if node in self.site.gateways:
            self.do(lambda: [self._acquire(node) for _ in range(count)])

    @rule(data=st.data(), end=st.sampled_from([RunEnd.DONE, RunEnd.UNUSED]))
    def release(self, data: st.DataObject, end: RunEnd) -> None:
        """Complete a text."""
        if self.site.held:
            grant = data.draw(st.sampled_from(list(self.site.held)))
            self.do(lambda: self.site.release(grant, end))

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Stop wanting a text that waits."""
        if self.waiting:
            self.do(data.draw(st.sampled_from(list(self.waiting))).cancel)

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.05, 0.3, 1.5]))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.runner.run(asyncio.sleep(seconds))

    @rule(node=nodes)
    def kill(self, node: str) -> None:
        """Kill a gateway with its texts; the others still take it for live."""
        if node not in self.site.gateways or len(self.site.gateways) == 1:
            return
        self.disturbed |= node == self.runner.run(self._async_keeper())
        if node in self.site.network.frozen:
            self.do(lambda: self.site.network.thaw(node))
        self.runner.run(self.site.async_kill(node))

    @rule(node=nodes)
    def restart(self, node: str) -> None:
        """Start a gateway again under its id."""
        if node not in self.site.gateways:
            self.disturbed = True
            self.do(lambda: self.site.start(node, str(next(self.starts))))

    @rule(node=nodes)
    def forget(self, node: str) -> None:
        """Let the others learn that a gateway is gone."""
        if node not in self.site.gateways:
            self.do(lambda: self.site.peers.pop(node, None))

    @rule(node=nodes)
    def freeze(self, node: str) -> None:
        """Nothing gets in or out of a gateway for a while."""
        if node in self.site.gateways:
            self.disturbed = True
            self.do(lambda: self.site.network.freeze(node))

    @rule()
    def thaw(self) -> None:
        """All gateways go on."""
        self.do(self._thaw)

    @rule(first=nodes, second=nodes)
    def cut(self, first: str, second: str) -> None:
        """Cut a link, which loses all."""
        if first != second:
            self.disturbed = True
            self.site.network.cut.add(frozenset((first, second)))

    @rule()
    def heal(self) -> None:
        """All links are good."""
        self.site.network.cut.clear()

    @rule(third=st.booleans())
    def lose(self, third: bool) -> None:
        """Each third message is lost, or none is."""
        counter = itertools.count()
        self.disturbed |= third
        self.site.network.lose = lambda: third and next(counter) % 3 == 2

    @rule(second=st.booleans())
    def repeat(self, second: bool) -> None:
        """Each second exchange comes again later, or none does."""
        counter = itertools.count()
        self.site.network.repeat = lambda: second and next(counter) % 2 == 1

    @precondition(lambda self: not self.disturbed)
    @invariant()
    def no_engine_over_its_slots(self) -> None:
        """While one keeper serves all, no engine is given more texts than it has slots."""
        assert not self.site.overcommitted()

    @invariant()
    def no_text_waits_for_ever(self) -> None:
        """Each need is answered within its time."""
        now = self.loop.time()
        assert all(now - since <= LONGEST_WAIT for _, since in self.waiting.values())

    def _acquire(self, node: str) -> None:
        gateway = self.site.gateways[node]
        task = asyncio.create_task(self.site.async_acquire(gateway, need(node)))
        self.waiting[task] = (node, self.loop.time())
        task.add_done_callback(self._acquired)

    def _acquired(self, task: asyncio.Task[SlotGrant | None]) -> None:
        node, _ = self.waiting.pop(task)
        if task.cancelled() or task.result() is None:
            return
        grant = task.result()
        ticket = (node, id(grant.holder), grant.ticket)
        assert ticket not in self.seen
        self.seen.add(ticket)

    def _thaw(self) -> None:
        for node in list(self.site.network.frozen):
            self.site.network.thaw(node)

    async def _async_keeper(self) -> str:
        return self.site.keeper().node if set(self.site.peers) <= set(self.site.gateways) else ""

    async def _async_settle(self) -> None:
        """Undo all faults, and compare what the keeper knows with what texts use."""
        self._thaw()
        self.site.network.cut.clear()
        self.site.network.lose = self.site.network.repeat = lambda: False
        for node in set(self.site.peers) - set(self.site.gateways):
            del self.site.peers[node]
        await asyncio.sleep(SETTLED)
        assert not self.waiting
        assert self._known() == self.site.used()
        for grant in list(self.site.held):
            self.site.release(grant)
        await asyncio.sleep(0.1)
        for node in self.site.gateways:
            for _ in range(3):
                self._acquire(node)
        await asyncio.sleep(0.5)
        assert sum(self.site.used().values()) == min(3 * len(self.site.gateways), 5)
        assert not self.site.overcommitted()
        for _ in range(4):
            for grant in list(self.site.held):
                self.site.release(grant)
            await asyncio.sleep(0.2)
        assert not self.waiting and not self._known()

    def _known(self) -> dict[str, int]:
        described = self.site.keeper().keeper.describe().get(SERVICE, {"engines": {}})
        return {name: row["held"] for name, row in described["engines"].items() if row["held"]}


TestSlotMachine = SlotMachine.TestCase
TestSlotMachine.settings = settings(max_examples=60, stateful_step_count=40)
