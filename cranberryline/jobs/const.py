"""Constants of batch jobs."""

from datetime import timedelta

TOPIC_JOBS = "jobs"
# A store's record may have at most 256 KiB; a job is cut into parts of this size.
PART_BYTES = 200 * 1024
# One call may carry 2 MiB; parts that do not fit go in several calls, the last of which completes.
CALL_BYTES = 1800 * 1024
MAX_RESULT_BYTES = 900 * 1024
COMPRESSION_LEVEL = 1
# The longest body that deployments let a caller send; a job takes less of our form than of its body. A
# longer one is refused, and one that grows beyond it while it is decompressed is none.
MAX_JOB_BYTES = 32 * 1024 * 1024
# Some two million tokens, twenty times what an engine's memory holds of all its texts.
MAX_RECORD_BYTES = 8 * 1024 * 1024
MAX_PARTS = MAX_JOB_BYTES // PART_BYTES + 1

APPEND_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(milliseconds=900)
# A caller hears what became of its call within this time for each call to the store that it takes: callers
# leave after little more than a second, and one that left was told neither the outcome nor when to come back.
ACCEPT_PATIENCE = timedelta(milliseconds=950)
# The end of that time, kept for reading whether an append without an answer stands.
SETTLE_TIME = timedelta(milliseconds=200)
# How old what a gateway knows of a job may be when work for it goes out. Platforms allow three seconds from
# the end of a job to its last item at an engine; polls of a quiet partition come a second apart, and 0.6 s
# are left for a store that is slow and for the way to the engine.
KNOWN_WITHIN = timedelta(milliseconds=2400)
REFRESH_TIMEOUT = timedelta(milliseconds=600)
ACCEPT_PAUSE = timedelta(milliseconds=120)
