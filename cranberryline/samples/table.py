"""The steps that an entry works on."""

import asyncio
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.decisions import RolloutSettings

from .const import CURSOR_START, DEFAULT_QUIET_AFTER, MAX_STEPS, NOT_OWNER_QUIET_AFTER
from .errors import CursorError, StepRefusal
from .model import StepDeclaration
from .pacing import TrainerPace
from .ports import RolloutConfig
from .runner import RunnerPorts, StepRunner

__all__ = ["StepTable"]


class StepTable:
    """Keep one runner for each declared step; in-flight work is bounded for each trainer."""

    def __init__(
        self,
        ports: RunnerPorts,
        config: RolloutConfig,
        quiet_after: timedelta = DEFAULT_QUIET_AFTER,
    ) -> None:
        self._ports = ports
        self._config = config
        self._quiet_after = quiet_after
        self._runners: dict[tuple[str, int], StepRunner] = {}
        self._paces: dict[str, TrainerPace] = {}
        self.closed = False

    def declare(
        self, declaration: StepDeclaration, owner: bool, cursor: str = CURSOR_START
    ) -> Result[StepRunner, StepRefusal | CursorError]:
        """Begin a step; declared again it is the same one, and with other groups refused.

        A step that another entry worked on before begins at the trainer's cursor: without it, all
        that the trainer has already would be made once more before its next pull tells.
        """
        if self.closed:
            return Err(StepRefusal.STOPPING)
        self._forget_closed()
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
        runner.touch(self._quiet(owner))
        return Ok(runner)

    def find(self, trainer: str, step: int, owner: bool) -> StepRunner | None:
        """Return a step's runner and note that its trainer called; None when it is not known."""
        runner = self._runners.get((trainer, step))
        if runner is None or runner.closed:
            return None
        runner.touch(self._quiet(owner))
        return runner

    def wake(self) -> None:
        """Let all steps look at the configuration in force again."""
        for runner in self._runners.values():
            runner.wake()

    async def async_close(self) -> None:
        """Stop all steps, and begin none any more.

        Trainers go on calling, by way of entries whose VM list still shows this one. A step that began anew
        would make samples to the end of the stop, and the requests of callers would be cut with them.
        """
        self.closed = True
        runners = list(self._runners.values())
        self._runners.clear()
        await asyncio.gather(*(runner.async_close() for runner in runners))

    def _quiet(self, owner: bool) -> timedelta:
        # An entry that serves a step only because its owner could not be reached makes samples
        # that the owner makes too; it stops soon after the trainer is back at the owner.
        return self._quiet_after if owner else min(NOT_OWNER_QUIET_AFTER, self._quiet_after)

    def _new_runner(self, declaration: StepDeclaration) -> StepRunner:
        trainer, service = declaration.trainer, declaration.service
        return StepRunner(
            declaration,
            self._ports,
            limits=lambda: self._config.limits(trainer, service),
            room=lambda: self._room(trainer, service),
            pace=self._paces.setdefault(trainer, TrainerPace()),
            allowed=lambda: self._allowed(declaration),
            on_freed=lambda: self._wake_trainer(trainer),
            quiet_after=self._quiet_after,
        )

    def _room(self, trainer: str, service: str) -> int:
        limits = self._config.limits(trainer, service)
        if limits is None:
            return 0
        running = sum(r.running for (name, _), r in self._runners.items() if name == trainer)
        return limits.max_in_flight - running

    def _allowed(self, declaration: StepDeclaration) -> list[tuple[int, int]]:
        """Return (group, samples) of a step to start now, by all that its trainer has declared."""
        trainer, service = declaration.trainer, declaration.service
        limits = self._config.limits(trainer, service)
        if limits is None:
            return []
        room = self._room(trainer, service)
        if room <= 0:
            return []
        work = {
            step: runner.work
            for (name, step), runner in self._runners.items()
            if name == trainer and not runner.closed
        }
        settings = RolloutSettings(limits.freshness, limits.staleness_bound)
        return self._paces[trainer].allowed(
            declaration.step,
            work,
            settings,
            limits.newest_version,
            room,
            self._ports.clock.monotonic(),
        )

    def _wake_trainer(self, trainer: str) -> None:
        for (name, _), runner in sorted(self._runners.items()):
            if name == trainer:
                runner.wake()

    def _forget_closed(self) -> None:
        for key in [key for key, runner in self._runners.items() if runner.closed]:
            del self._runners[key]
        trainers = {trainer for trainer, _ in self._runners}
        for trainer in [name for name in self._paces if name not in trainers]:
            del self._paces[trainer]
