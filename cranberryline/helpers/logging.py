"""Logs as JSON lines through eliot, written so that a slow reader cannot stop the process.

Events about one request, sample or record carry its id as `request_id`, `sample_id`, `record_id`.
"""

import collections
import enum
import logging
import sys
import threading
import traceback
from datetime import timedelta
from typing import Any, BinaryIO

import eliot

from .clock import Clock, SystemClock

__all__ = [
    "BurstLimiter",
    "Level",
    "LimitedLogger",
    "LineWriter",
    "Logger",
    "dropped_lines",
    "get_logger",
    "once_per_burst",
    "set_level",
    "set_up_logging",
]

_DEFAULT_BURST_WINDOW = timedelta(minutes=1)
_MAX_BURST_KEYS = 1024
_MAX_WAITING_LINES = 10_000
_CLOSE_SECONDS = 1.0
_MAX_LIBRARY_TEXT = 4000
_HIDDEN = "(hidden)"
_SECRET_FIELDS = frozenset({"authorization", "cookie", "password", "secret", "token"})


class Level(enum.IntEnum):
    """How much an event matters."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class _Threshold:
    """The lowest level that is logged, for the whole process."""

    level: Level = Level.INFO


class Logger:
    """Log events of one module."""

    def __init__(self, name: str) -> None:
        self._name = name

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event that only someone who looks for a fault wants to see."""
        self.log(Level.DEBUG, event, **fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of ordinary running."""
        self.log(Level.INFO, event, **fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log something unexpected that the system deals with by itself."""
        self.log(Level.WARNING, event, **fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log something that the system could not deal with."""
        self.log(Level.ERROR, event, **fields)

    def log(self, level: Level, event: str, /, **fields: Any) -> None:
        """Log an event, with the fields that could hold a secret hidden."""
        if level < _Threshold.level:
            return
        shown = {
            key: _HIDDEN if key.lower() in _SECRET_FIELDS else value
            for key, value in fields.items()
        }
        shown["level"] = level.name.lower()
        shown["logger"] = self._name
        eliot.log_message(event, **shown)


class BurstLimiter:
    """Admit the first event of a burst, then one each window, and count those between.

    Without it a cut connection under load writes a line for each request, which costs more than
    the requests and buries the one line that says why. The counters still count every event.
    """

    def __init__(self, clock: Clock, window: timedelta = _DEFAULT_BURST_WINDOW) -> None:
        self._clock = clock
        self._window = window
        self._admitted: collections.OrderedDict[str, timedelta] = collections.OrderedDict()
        self._suppressed: collections.Counter[str] = collections.Counter()

    def admit(self, key: str) -> int | None:
        """Return how many were suppressed since the last admitted one, or None to suppress."""
        now = self._clock.monotonic()
        last = self._admitted.get(key)
        if last is not None and now - last < self._window:
            self._suppressed[key] += 1
            return None
        self._admitted[key] = now
        self._admitted.move_to_end(key)
        if len(self._admitted) > _MAX_BURST_KEYS:
            oldest, _ = self._admitted.popitem(last=False)
            self._suppressed.pop(oldest, None)
        return self._suppressed.pop(key, 0)


class LimitedLogger(Logger):
    """A logger that logs an event once per burst, with how many it left out as `suppressed`."""

    def __init__(self, name: str, limiter: BurstLimiter) -> None:
        super().__init__(name)
        self._limiter = limiter

    def log(self, level: Level, event: str, /, **fields: Any) -> None:
        """Log the event unless its burst has been told."""
        if level < _Threshold.level:
            return
        suppressed = self._limiter.admit(event)
        if suppressed is None:
            return
        if suppressed:
            fields["suppressed"] = suppressed
        super().log(level, event, **fields)


class LineWriter:
    """Write lines from a thread, so that the event loop never waits for a reader.

    A pipe whose reader has stopped takes some 64 KiB and then blocks the writer: every caller of
    this process would stall for a log. The queue is bounded and counts what it drops, so a stalled
    reader costs lines and a bounded amount of memory, never an answer.
    """

    def __init__(self, file: BinaryIO, max_lines: int = _MAX_WAITING_LINES) -> None:
        self._file = file
        self._max_lines = max_lines
        self._lines: collections.deque[bytes] = collections.deque()
        self._changed = threading.Condition()
        self._closed = False
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    def write(self, line: bytes) -> None:
        """Queue a line, or drop it when the queue is full or closed."""
        if not line:
            return
        with self._changed:
            if self._closed or len(self._lines) >= self._max_lines:
                self.dropped += 1
                return
            self._lines.append(line)
            self._changed.notify()

    def flush(self) -> None:
        """Do nothing: the thread flushes what it has written."""

    def close(self, timeout: float = _CLOSE_SECONDS) -> None:
        """Take no more lines and wait, for a bounded time, till those queued are written."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._thread.join(timeout)

    def _run(self) -> None:
        """Write what is queued until closed or the file fails."""
        while lines := self._take():
            try:
                self._file.write(b"".join(lines))
                self._file.flush()
            except (OSError, ValueError):
                self._fail(len(lines))
                return

    def _take(self) -> list[bytes]:
        """Wait for lines and take them all; an empty list says that there will be no more."""
        with self._changed:
            while not self._lines and not self._closed:
                self._changed.wait()
            lines = list(self._lines)
            self._lines.clear()
            return lines

    def _fail(self, count: int) -> None:
        """Count what a failed file lost, and take no more."""
        with self._changed:
            self._closed = True
            self.dropped += count + len(self._lines)
            self._lines.clear()


class _LibraryHandler(logging.Handler):
    """Pass on what libraries log, so that all of it is JSON lines and bursts are told once."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._limiter = BurstLimiter(clock)

    def emit(self, record: logging.LogRecord) -> None:
        """Log a library's record; the traceback comes along as text."""
        suppressed = self._limiter.admit(f"{record.name} {record.msg}")
        if suppressed is None:
            return
        fields: dict[str, Any] = {"text": record.getMessage()[:_MAX_LIBRARY_TEXT]}
        if suppressed:
            fields["suppressed"] = suppressed
        if record.exc_info and record.exc_info[0] is not None:
            trace = "".join(traceback.format_exception(*record.exc_info))
            fields["traceback"] = trace[-_MAX_LIBRARY_TEXT:]
        level = max((lev for lev in Level if lev <= record.levelno), default=Level.DEBUG)
        Logger(record.name).log(level, "library_log", **fields)


class _Output:
    """Where the lines of this process go."""

    writer: LineWriter | None = None


def dropped_lines() -> int:
    """Return how many lines of this process were dropped."""
    return 0 if _Output.writer is None else _Output.writer.dropped


def get_logger(name: str) -> Logger:
    """Return the logger of a module."""
    return Logger(name)


def once_per_burst(
    name: str, clock: Clock, window: timedelta = _DEFAULT_BURST_WINDOW
) -> LimitedLogger:
    """Return a logger for events that come in bursts; keep it as long as the bursts last."""
    return LimitedLogger(name, BurstLimiter(clock, window))


def set_level(level: Level) -> None:
    """Set the lowest level that is logged."""
    _Threshold.level = level


def set_up_logging(level: str = "info", file: BinaryIO | None = None, **fields: Any) -> LineWriter:
    """Send logs to standard output as JSON lines, each with the given fields.

    The caller closes the writer as its last act, or loses the lines that still wait.
    """
    writer = _Output.writer = LineWriter(file or sys.stdout.buffer)
    set_level(Level[level.upper()])
    eliot.add_global_fields(**fields)
    eliot.add_destinations(eliot.FileDestination(file=writer))
    logging.basicConfig(
        level=logging.WARNING, handlers=[_LibraryHandler(SystemClock())], force=True
    )
    return writer
