"""Constants of the platform's clients."""

from datetime import timedelta

DEFAULT_CALL_TIMEOUT = timedelta(seconds=5)
DEFAULT_CONNECT_TIMEOUT = timedelta(milliseconds=1200)

CHUNK_BYTES = 64 * 1024
# In which a collected answer is written to its caller, whose unread bytes are counted from then on.
HAND_OVER_S = 0.1
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 1024 * 1024 * 1024
# An answer of the store has at most 1 MiB of records, and one record more.
MAX_SHORT_BYTES = 8 * 1024 * 1024
MAX_JSON_BYTES = 64 * 1024 * 1024
# An engine's report or its answer to an order; it has some bytes for each model.
MAX_REPORT_BYTES = 1024 * 1024
# Responses that are collected whole; a gateway has some 100 MiB for them.
MAX_COLLECTED_BYTES = 32 * 1024 * 1024
MAX_ALL_COLLECTED_BYTES = 64 * 1024 * 1024
SMALL_RESPONSE_BYTES = 1024 * 1024
# Bytes of late answers to other requests that are passed over.
MAX_STRAY_BYTES = 1024 * 1024
# Interim answers and chunks of one answer; each costs as much time as thousands of its bytes.
MAX_INTERIM_ANSWERS = 16
MAX_SHORT_CHUNKS = 64 * 1024
MAX_QUEUED_CHUNKS = 4
MAX_KEPT_STREAMS = 16
MAX_KEPT = timedelta(seconds=10)

HEADER_RETRY_AFTER = "Retry-After"

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_CONFLICT = 409
STATUS_TOO_MANY = 429

ERROR_STALE_FENCE = "stale_fence"
