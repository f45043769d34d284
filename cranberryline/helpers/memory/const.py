"""Constants of the memory account."""

from datetime import timedelta
from typing import Final

MEGABYTE: Final = 1_000_000
# The smallest machine that a process has to live on.
DEFAULT_MACHINE_BYTES: Final = 160 * MEGABYTE
# What a process uses for itself, where the kernel does not tell.
DEFAULT_OWN_BYTES: Final = 48 * MEGABYTE

# Shares of the machine's memory or, for the others, of what is left for holdings.
HEADROOM_SHARE: Final = 0.15
SMALL_SHARE: Final = 1 / 6
BODIES_SHARE: Final = 2 / 3
MIN_TOTAL_BYTES: Final = 8 * MEGABYTE

# Holdings up to this size may use the room that is kept for small requests.
SMALL_BYTES: Final = 80 * 1024
# Growth by at least this much is also checked against the memory that the process really uses.
CHECKED_BYTES: Final = 256 * 1024
RESIDENT_MAX_AGE: Final = timedelta(milliseconds=20)

# A client that has moved nothing for this long is evicted if others need the room.
EVICTABLE_AFTER: Final = timedelta(seconds=1)
# So is one that moves, but would need longer than this for what is left.
MAX_DRAIN: Final = timedelta(seconds=10)

# Objects of one open connection, and of one request whose body is being read.
CONNECTION_BYTES: Final = 8 * 1024
REQUEST_BYTES: Final = 16 * 1024
DEFAULT_DESCRIPTORS: Final = 1_638
# Descriptors of files, the store, peers and upstreams.
OWN_DESCRIPTORS: Final = 200

RETRY_AFTER: Final = timedelta(seconds=1)
