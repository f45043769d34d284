"""Constants of batch jobs."""

from datetime import timedelta

TOPIC_JOBS = "jobs"
# A store's record may have at most 256 KiB; a job is cut into parts of this size.
PART_BYTES = 200 * 1024
# One call may carry 2 MiB; parts that do not fit go in several calls, the last of which completes.
CALL_BYTES = 1800 * 1024
MAX_RESULT_BYTES = 900 * 1024
COMPRESSION_LEVEL = 1

APPEND_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(milliseconds=900)
# How long a refused append is tried again before the caller hears of it: within the time in which
# a refused caller would have come back at another node.
ACCEPT_PATIENCE = timedelta(milliseconds=900)
ACCEPT_PAUSE = timedelta(milliseconds=120)
