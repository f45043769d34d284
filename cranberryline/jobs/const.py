"""Constants of batch jobs."""

from datetime import timedelta

TOPIC_JOBS = "jobs"
TOPIC_TEXTS = "texts"
# A record of the store has at most 256 KiB; larger jobs are split into parts of this size.
PART_BYTES = 200 * 1024
# A call to the store accepts up to 2 MiB. Parts that exceed it are sent in several calls; the last
# call completes the job.
MAX_CALL_BYTES = 1800 * 1024
MAX_PAGE_BYTES = 900 * 1024
# Items of an ended job that are kept up to this size, four times that of an ordinary job.
KEPT_ITEMS_BYTES = 256 * 1024
COMPRESSION_LEVEL = 1
# The largest request body that deployments accept from a caller; the encoded form of a job is
# smaller than its body. Larger jobs are refused, and decompression stops at this size and rejects
# the job.
MAX_JOB_BYTES = 32 * 1024 * 1024
# About two million tokens: twenty times the texts that fit into the memory of an engine.
MAX_RECORD_BYTES = 8 * 1024 * 1024
# Memory of one object of a submitted job, besides its text.
OBJECT_BYTES = 500
# Memory of what every node keeps of an item, and of a decoded item besides its body.
ITEM_HEAD_BYTES = 200
ITEM_BYTES = 1_000
# Items that a node runs at a time. Those that wait for an upstream ask for one several times a second,
# which took all of the processor with thousands of them.
MAX_RUNNING_ITEMS = 256
MAX_PARTS = MAX_JOB_BYTES // PART_BYTES + 1
MAX_RESULT_PARTS = MAX_RECORD_BYTES // PART_BYTES + 1

APPEND_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(milliseconds=900)
# Time per store call within which a caller gets an answer. Callers disconnect after little more
# than a second, and one that has disconnected learns neither the outcome nor when to retry.
ACCEPT_TIMEOUT = timedelta(milliseconds=950)
# The last part of that time, reserved for reading whether an unacknowledged append took effect.
APPEND_CHECK_TIMEOUT = timedelta(milliseconds=200)
# Maximum age of a node's view of a job when a request of the job is assigned an upstream. Platforms
# allow 3 s from the end of a job until its last item reaches an engine, and establishing a
# connection may take 1.2 s of them. Quiet partitions are polled once a second, so an extra refresh
# is rarely needed.
MAX_VIEW_AGE = timedelta(milliseconds=1600)
REFRESH_TIMEOUT = timedelta(milliseconds=600)
# Delay after a failed read of a partition. With it, 200 waiting items cause about 3 queries a
# second; without it 314, with two peers that refuse immediately.
REFRESH_RETRY_DELAY = timedelta(milliseconds=250)
# Delay before a failed call to the store is retried.
STORE_RETRY_DELAY = timedelta(milliseconds=120)
# How long a complete job is assumed to be still read by its caller, unless the job is ended.
# Callers poll twice a second and end their job when they have what they need; a caller that
# disconnects without ending its job retains its records only this long.
RESULT_READ_PERIOD = timedelta(seconds=30)
# How often marks are rewritten. A starting node also reads the records appended since then.
MARK_INTERVAL = timedelta(seconds=1)
# How often text pieces that no run will resume from are deleted.
TRIM_INTERVAL = timedelta(seconds=10)
MARK_TIMEOUT = timedelta(milliseconds=900)
# How long a starting node retries reading the marks before it reads all partitions from their
# oldest record. Marks have a partition of their own, which may be unavailable while the partitions
# of the jobs are available.
MARKS_READ_TIMEOUT = timedelta(milliseconds=1500)
# How long a run reads stored pieces of its text; after that, generating the text again is faster.
TEXTS_READ_TIMEOUT = timedelta(seconds=1)
