"""Constants of requests: limits, and the stream and record fields of claims."""

from datetime import timedelta

CLAIM_STREAM_PREFIX = "claims."  # followed by the service name

ATTR_BODY = "body"
ATTR_BUDGET_MS = "budget_ms"
ATTR_CLAIM_ID = "claim_id"
ATTR_DIGEST = "digest"
ATTR_FINGERPRINT = "fingerprint"
ATTR_HEADERS = "headers"
ATTR_KEY = "key"
ATTR_KIND = "kind"
ATTR_SIDE_INCARNATION = "side_incarnation"
ATTR_STATUS = "status"

KIND_ABANDON = "abandon"
KIND_CLAIM = "claim"
KIND_OUTCOME = "outcome"

# Larger answer bodies are not stored in the log; their digest is.
MAX_RECORDED_BODY_BYTES = 16 * 1024
MAX_KEY_LENGTH = 512  # characters; applies to scoped keys, claim ids and incarnations

# How long an idempotency key is remembered. The log's retention applies if it is shorter.
DEFAULT_CLAIM_WINDOW = timedelta(hours=1)
# A claim older than its budget plus this margin is reported as `unknown` instead of `in_progress`.
IN_PROGRESS_MARGIN = timedelta(seconds=5)

# Ended request ids kept per connection. For an evicted id the side process can no longer tell
# whether the request ran.
MAX_ENDED_IDS = 4096
