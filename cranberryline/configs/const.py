"""Keys, defaults and limits of configuration records."""

CONFIG_STREAM = "config"  # the stream of the log store that holds the records

ATTR_AMENDS = "amends"  # the revision that a record replaces, 0 if there is none
ATTR_AS_OF = "as_of"  # the last offset that a snapshot includes
ATTR_AUTHOR = "author"
ATTR_CHECKPOINT = "checkpoint"
ATTR_DIGEST = "digest"
ATTR_ENTRIES = "entries"
ATTR_ID = "id"
ATTR_KIND = "kind"
ATTR_NAME = "name"
ATTR_OFFSET = "offset"
ATTR_READS = "reads"  # the schema versions that the writer of a snapshot supports, by kind
ATTR_REVISION = "revision"
ATTR_SCHEMA = "schema"
ATTR_SNAPSHOT = "snapshot"
ATTR_SPEC = "spec"
ATTR_TIME = "time"
ATTR_UNREAD = "unread"  # records in a schema version that the writer does not support

CHECKPOINT_SCHEMA = 1

DEFAULT_CONCURRENCY = 8
DEFAULT_FETCHES_PER_SECOND = 2.0
DEFAULT_FRESHNESS = 0.5  # 0: no idle time; 1: freshest samples
DEFAULT_LEAVE_SECONDS = 3.0
DEFAULT_MAX_IN_FLIGHT = 256
DEFAULT_QUEUE_SECONDS = 2.0
DEFAULT_SHARE = 1.0
DEFAULT_STALENESS_BOUND = 4
DEFAULT_SWAP_FRACTION = 0.25
DEFAULT_TIMEOUT_SECONDS = 60.0

MAX_CONCURRENCY = 4096
MAX_IN_FLIGHT = 1_000_000
MAX_NAME_LENGTH = 63
MAX_RATE = 100_000.0
MAX_SECONDS = 86_400.0
MAX_SHARE = 1000.0
MAX_STALENESS_BOUND = 1_000_000
MAX_TEXT_LENGTH = 200
MAX_VERSION = 2**53

HISTORY_LENGTH = 20  # revisions kept per record name
MAX_RESULTS_KEPT = 1024
MAX_DIGESTS_KEPT = 1024
MAX_UNREAD = 1000  # records kept whose schema version is not supported

# Limits of one message with records for a peer, and of the records kept to answer peers from.
MAX_DELTA_RECORDS = 256
MAX_DELTA_BYTES = 1024 * 1024
RECORDS_KEPT = 1000
