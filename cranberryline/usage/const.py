"""Constants of reports of use."""

from datetime import timedelta

TOPIC_COUNTS = "usage_counts"
TOPIC_REPORTS = "usage_reports"
APPEND_TIMEOUT = timedelta(milliseconds=900)
# Counts are stored this long after the first one, so a killed VM loses less than a second of them.
MIN_STORE_DELAY = timedelta(milliseconds=250)
MAX_STORE_DELAY = timedelta(milliseconds=800)
# Added to the delay for each live node, so that appends grow more slowly than the number of nodes.
STORE_DELAY_PER_NODE = timedelta(milliseconds=1)
STORE_RETRY_DELAY = timedelta(milliseconds=250)
# Share of the time limit of a report that is left for counts to arrive. A request is counted when
# it ends, and its count is stored up to `MAX_STORE_DELAY` later.
SETTLE_SHARE = 0.4
# Windows that ended this many time limits ago are not reported any more.
HORIZON_LIMITS = 2
SEND_TIMEOUT = timedelta(milliseconds=1500)
CONNECT_TIMEOUT = timedelta(milliseconds=300)
FIRST_RETRY_DELAY = timedelta(milliseconds=200)
MAX_RETRY_DELAY = timedelta(seconds=1)
CHECK_INTERVAL = timedelta(milliseconds=200)
# Count records are deleted once this many later windows have been decided.
KEPT_WINDOWS = 12
