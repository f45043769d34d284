"""Names that the users' platform gives to its headers, paths, topics and fields."""

HEADER_REQUEST_ID = "Attempt-Id"
HEADER_TIME_LEFT = "Deadline-Ms"
HEADER_INSTANCE = "Target-Instance"
HEADER_SIGNATURE = "Response-Seal"
HEADER_NOT_RUN = "Not-Run"
HEADER_VERSIONS = "Weight-Versions"
HEADER_LAST_EVENT = "Last-Event-Id"
HEADER_WAIT = "Wait-Ms"
HEADER_PREFIX = "Prompt-Prefix"
HEADER_LENGTH = "Length-Hint"
HEADER_HOST = "Host"
HEADER_KEY = "Api-Key"
HEADER_WORKSPACE = "Tenant"
HEADER_HOLDER = "Duty-Holder"
HEADER_FENCE = "Fencing-Token"
HEADER_PRIORITY = "Request-Priority"
EVENT_VERSION_FIELD = "weight-versions"

PATH_JOBS = "/api/lots/"
PATH_ITEMS = "/api/items/"
PATH_REPORT = "/api/report"
PATH_ORDER = "/api/order"
PATH_APPEND = "/api/log-append"
PATH_READ = "/api/log-read"
PATH_NEWEST = "/api/log-newest"
PATH_TRIM = "/api/log-trim"
PATH_USAGE = "/usage"

TOPIC_OPERATOR = "keyed.op"
TOPIC_SERVERS = "keyed.servers"
TOPIC_NODES = "keyed.nodes"
TOPIC_MARKS = "keyed.job_marks"
TOPIC_QUARANTINE = "keyed.quarantine"
TOPIC_SLOTS = "keyed.slots"
TOPIC_CONTROLS = "keyed.controls"
KEY_CONFIG = "config"
KEY_VERSION_PREFIX = "version/"

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_AT_OTHER_END = 412
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
STATUS_TOO_MANY = 429
STATUS_TOO_FULL = 507
STATUS_ACCEPTED = 202
