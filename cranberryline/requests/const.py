"""Constants of requests: limits, record fields and the claims' stream."""

from datetime import timedelta

STREAM_CLAIMS = "claims."  # followed by the service's name

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

# An answer up to this size is kept on the log; of a larger one only the digest.
MAX_RECORDED_BODY = 16 * 1024
MAX_KEY_LENGTH = 512

# How long a key is remembered. Must be below the log's retention, or the retention counts.
DEFAULT_CLAIM_WINDOW = timedelta(hours=1)
# A claim older than its own budget and this is told as unknown, no longer as in progress.
CLAIM_MARGIN = timedelta(seconds=5)

# Ended ids remembered for each connection; ids below the forgotten ones are never vouched for.
MAX_ENDED_IDS = 4096
