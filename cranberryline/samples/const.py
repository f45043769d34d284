"""Constants of samples: limits and the cursor's format."""

from datetime import timedelta

CURSOR_VERSION = 1
CURSOR_START = ""  # the cursor of a trainer that has received nothing of its step

MAX_GROUPS = 16_384
MAX_SAMPLES_PER_STEP = 65_536
MAX_TOKENS = 1_000_000
MAX_VERSION = 2**53

# A sample and its hedges; a third run of one sample costs an engine slot more than it saves.
MAX_ATTEMPTS = 2

SSE_DONE = "[DONE]"
SSE_DATA = "data:"
# A stream without a line end is not one of ours and would fill the memory.
MAX_SSE_LINE = 1024 * 1024

ATTR_CHOICES = "choices"
ATTR_CONTENT = "content"
ATTR_DELTA = "delta"
ATTR_FINISH_REASON = "finish_reason"
ATTR_MESSAGE = "message"
ATTR_SEGMENTS = "segments"
ATTR_TEXT = "text"
ATTR_TOKENS = "tokens"
ATTR_WEIGHT_VERSION = "weight_version"

# A step whose trainer has not called for this long is dropped; the trainer declares it again.
DEFAULT_QUIET_AFTER = timedelta(minutes=10)
# One that serves a step in place of an owner it can't reach goes on this long without a call.
NOT_OWNER_QUIET_AFTER = timedelta(seconds=30)
MAX_STEPS = 1024

MAX_PULL = 4096
DEFAULT_PULL = 64
MAX_PULL_WAIT = timedelta(seconds=30)
