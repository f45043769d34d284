"""Keys, defaults and bounds of the settings."""

from datetime import timedelta
from typing import Final

CONF_TOKENS_FILE: Final = "tokens_file"

DEFAULT_ENTRY_LISTEN: Final = "127.0.0.1:8001"
DEFAULT_ENTRY_PEER: Final = "tcp://127.0.0.1:7001"
DEFAULT_SIDE_LISTEN: Final = "127.0.0.1:8101"
DEFAULT_SIDE_PEER: Final = "tcp://127.0.0.1:7101"
DEFAULT_LOG_LEVEL: Final = "info"
DEFAULT_MAX_BODY_BYTES: Final = 16 * 1024 * 1024
DEFAULT_MAX_HEADER_BYTES: Final = 64 * 1024
DEFAULT_SLOW_SENDER_TIMEOUT: Final = timedelta(seconds=20)
DEFAULT_STALL_TIMEOUT: Final = timedelta(seconds=10)
DEFAULT_LOG_RETENTION: Final = timedelta(hours=1)
DEFAULT_STOP_TIMEOUT: Final = timedelta(seconds=30)

LOG_LEVELS: Final = ("debug", "info", "warning", "error")

MAX_SETTINGS_BYTES: Final = 1024 * 1024
MIN_SECONDS: Final = 0.001
MAX_SECONDS: Final = 3600.0
MIN_BODY_BYTES: Final = 1024
MAX_BODY_BYTES: Final = 1024 * 1024 * 1024
MIN_HEADER_BYTES: Final = 1024
MAX_HEADER_BYTES: Final = 1024 * 1024
MIN_MEMORY_MB: Final = 64
MAX_MEMORY_MB: Final = 1024 * 1024
MIN_DESCRIPTORS: Final = 256
MAX_DESCRIPTORS: Final = 1024 * 1024
MAX_PORT: Final = 65535

ENV_TOKENS_FILE: Final = "CRANBERRYLINE_TOKENS_FILE"
MAX_LOG_RETENTION_SECONDS: Final = 30 * 86_400.0

DEFAULT_PARTITIONS = 8
MAX_SEEDS = 16
MAX_PARTITIONS = 1024
DEFAULT_LEASE = timedelta(seconds=3)
DEFAULT_REGISTRATIONS_MAX_AGE = timedelta(seconds=2)
DEFAULT_KEEP_JOBS = timedelta(seconds=180)
DEFAULT_OPERATOR_CONTROLS = False
DEFAULT_REPORT_LATE = timedelta(seconds=10)

SLOT_SHARING_OFF: Final = "off"
SLOT_SHARING_AUTO: Final = "auto"
SLOT_SHARING_ON: Final = "on"
DEFAULT_SLOT_SHARING: Final = SLOT_SHARING_OFF
