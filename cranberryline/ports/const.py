"""Constants of the platform's clients."""

from datetime import timedelta

DEFAULT_CALL_TIMEOUT = timedelta(seconds=5)
DEFAULT_CONNECT_TIMEOUT = timedelta(milliseconds=1200)

CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 1024 * 1024 * 1024
# An answer of the store has at most 1 MiB of records, and one record more.
MAX_SHORT_BYTES = 8 * 1024 * 1024
MAX_JSON_BYTES = 64 * 1024 * 1024
MAX_QUEUED_CHUNKS = 4
MAX_KEPT_STREAMS = 16
MAX_KEPT = timedelta(seconds=10)

HEADER_RETRY_AFTER = "Retry-After"

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_CONFLICT = 409
STATUS_TOO_MANY = 429

ERROR_STALE_FENCE = "stale_fence"
