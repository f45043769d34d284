"""Constants of the trainer's client."""

from datetime import timedelta

# A connection can go silent with an answer on its way; past the pull's own wait and this much the
# call is given up and made again at another entry.
ANSWER_MARGIN = timedelta(seconds=5)
DEFAULT_WAIT = timedelta(seconds=20)
DEFAULT_LIMIT = 64
DECLARE_TIMEOUT = timedelta(seconds=10)
CONNECT_TIMEOUT = timedelta(seconds=3)

BACKOFF_START = timedelta(milliseconds=100)
BACKOFF_MOST = timedelta(seconds=5)

REASON_STEP_UNKNOWN = "step_unknown"
