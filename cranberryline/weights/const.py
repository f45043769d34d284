"""Bounds of weight swaps."""

from datetime import timedelta

# An engine's load report lags by up to a second or two; one that was made before a swap ended
# would look like an engine that serves the wrong version.
REPORT_LAG = timedelta(seconds=3)
MAX_VERSION = 2**53
