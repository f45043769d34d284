"""The steps that an entry is running."""

import asyncio
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.decisions import RolloutSettings

from .const import CURSOR_START, DEFAULT_IDLE_TIMEOUT, MAX_STEPS, NON_OWNER_IDLE_TIMEOUT
from .errors import CursorError, StepRefusal
from .model import StepDeclaration
from .pacing import TrainerEstimates
from .ports import RolloutConfig
from .runner import RunnerPorts, StepRunner

__all__ = ["StepTable"]


class StepTable:
    """Manages one runner per declared step, and limits the samples in flight per trainer."""

    def __init__(
        self,
        ports: RunnerPorts,
        config: RolloutConfig,
        idle_timeout: timedelta = DEFAULT_IDLE_TIMEOUT,
    ) -> None:
        self._ports = ports
        self._config = config
        self._idle_timeout = idle_timeout
        self._runners: dict[tuple[str, int], StepRunner] = {}
        self._estimates: dict[str, TrainerEstimates] = {}
        self.closed = False

    def declare(
        self, declaration: StepDeclaration, owner: bool, cursor: str = CURSOR_START
    ) -> Result[StepRunner, StepRefusal | CursorError]:
        """Start a step, or return its runner if the same declaration was made before.

        A different declaration of the same step is rejected. `owner` says whether this entry owns
        the trainer. `cursor` is the cursor of a trainer that continues a step of another entry;
        without it, samples that the trainer has already received would be generated again until its
        next pull.
        """
        if self.closed:
            return Err(StepRefusal.STOPPING)
        self._remove_closed()
        key = (declaration.trainer, declaration.step)
        runner = self._runners.get(key)
        if runner is None:
            if len(self._runners) >= MAX_STEPS:
                return Err(StepRefusal.TOO_MANY_STEPS)
            runner = self._new_runner(declaration)
            resumed = runner.resume(cursor)
            if isinstance(resumed, Err):
                return resumed
            self._runners[key] = runner
            runner.start()
        elif runner.declaration != declaration:
            return Err(StepRefusal.STEP_DIFFERS)
        runner.touch(self._idle_timeout_for(owner))
        return Ok(runner)

    def find(self, trainer: str, step: int, owner: bool) -> StepRunner | None:
        """Return the runner of a step and reset its idle timeout; None if the step is unknown."""
        runner = self._runners.get((trainer, step))
        if runner is None or runner.closed:
            return None
        runner.touch(self._idle_timeout_for(owner))
        return runner

    def wake(self) -> None:
        """Make all steps apply the current configuration."""
        for runner in self._runners.values():
            runner.wake()

    async def async_close(self) -> None:
        """Stop all steps and reject new ones.

        Trainers continue to call through entries whose VM list still contains this one. A new step
        would generate samples until the end of the shutdown, which would then cut off the requests
        of callers too.
        """
        self.closed = True
        runners = list(self._runners.values())
        self._runners.clear()
        await asyncio.gather(*(runner.async_close() for runner in runners))

    def _idle_timeout_for(self, owner: bool) -> timedelta:
        # An entry that serves a step because the owner was unreachable generates the same samples
        # as the owner, so it stops soon after the trainer returns to the owner.
        return self._idle_timeout if owner else min(NON_OWNER_IDLE_TIMEOUT, self._idle_timeout)

    def _new_runner(self, declaration: StepDeclaration) -> StepRunner:
        trainer, service = declaration.trainer, declaration.service
        return StepRunner(
            declaration,
            self._ports,
            limits=lambda: self._config.limits(trainer, service),
            free_slots=lambda: self._free_slots(trainer, service),
            estimates=self._estimates.setdefault(trainer, TrainerEstimates()),
            samples_to_start=lambda: self._samples_to_start(declaration),
            on_slot_freed=lambda: self._wake_trainer(trainer),
            idle_timeout=self._idle_timeout,
        )

    def _free_slots(self, trainer: str, service: str) -> int:
        limits = self._config.limits(trainer, service)
        if limits is None:
            return 0
        running = sum(
            runner.running for (name, _), runner in self._runners.items() if name == trainer
        )
        return limits.max_in_flight - running

    def _samples_to_start(self, declaration: StepDeclaration) -> list[tuple[int, int]]:
        """Return (group, number of samples) of a step to start now.

        All steps that the trainer has declared are taken into account.
        """
        trainer, service = declaration.trainer, declaration.service
        limits = self._config.limits(trainer, service)
        if limits is None:
            return []
        free_slots = self._free_slots(trainer, service)
        if free_slots <= 0:
            return []
        backlogs = {
            step: runner.backlog
            for (name, step), runner in self._runners.items()
            if name == trainer and not runner.closed
        }
        settings = RolloutSettings(limits.freshness, limits.staleness_bound)
        return self._estimates[trainer].samples_to_start(
            declaration.step,
            backlogs,
            settings,
            limits.newest_version,
            free_slots,
            self._ports.clock.monotonic(),
        )

    def _wake_trainer(self, trainer: str) -> None:
        for (name, _), runner in sorted(self._runners.items()):
            if name == trainer:
                runner.wake()

    def _remove_closed(self) -> None:
        for key in [key for key, runner in self._runners.items() if runner.closed]:
            del self._runners[key]
        trainers = {trainer for trainer, _ in self._runners}
        for trainer in [name for name in self._estimates if name not in trainers]:
            del self._estimates[trainer]
