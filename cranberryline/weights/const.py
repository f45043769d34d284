"""Limits of weight swaps."""

from datetime import timedelta

# An engine's load report is up to two seconds old. A report made before the end of a swap would
# look as if the engine served the wrong version.
REPORT_LAG = timedelta(seconds=3)
# Highest version and fencing token accepted from an engine; JSON numbers are exact up to here.
MAX_VERSION = 2**53
