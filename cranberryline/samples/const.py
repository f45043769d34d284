"""Limits, timeouts and field names for samples."""

from datetime import timedelta

CURSOR_FORMAT_VERSION = 1
CURSOR_START = ""  # cursor of a trainer that has received no samples of the step

MAX_GROUPS = 16_384
MAX_SAMPLES_PER_STEP = 65_536
MAX_TOKENS_PER_SAMPLE = 1_000_000
MAX_WEIGHT_VERSION = 2**53

# Concurrent attempts per sample, including hedges; a third costs more engine time than it saves.
MAX_ATTEMPTS = 2

SSE_DONE = "[DONE]"
SSE_DATA = "data:"
# Bounds the memory used for a stream that has no line breaks, which no supported engine sends.
MAX_SSE_LINE_CHARS = 1024 * 1024

ATTR_CHOICES = "choices"
ATTR_CONTENT = "content"
ATTR_DELTA = "delta"
ATTR_FINISH_REASON = "finish_reason"
ATTR_MESSAGE = "message"
ATTR_SEGMENTS = "segments"
ATTR_TEXT = "text"
ATTR_TOKENS = "tokens"
ATTR_WEIGHT_VERSION = "weight_version"

# A step is dropped after this time without a call from its trainer, which can declare it again.
DEFAULT_IDLE_TIMEOUT = timedelta(minutes=10)
# Idle timeout at an entry that serves a step only because it could not reach the owner.
NON_OWNER_IDLE_TIMEOUT = timedelta(seconds=30)
MAX_STEPS = 1024  # per entry

MAX_PULL_SAMPLES = 4096
DEFAULT_PULL_SAMPLES = 64
MAX_PULL_WAIT = timedelta(seconds=30)
