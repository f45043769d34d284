"""Fields and bounds of controls."""

from datetime import timedelta
from typing import Final

ATTR_BY: Final = "by"
ATTR_CAP: Final = "cap"
ATTR_END: Final = "ends_in_seconds"
ATTR_KIND: Final = "kind"
ATTR_NAME: Final = "name"
ATTR_REASON: Final = "reason"
ATTR_WEIGHT: Final = "weight"

DEFAULT_WEIGHT: Final = 1.0
MIN_WEIGHT: Final = 0.1
MAX_WEIGHT: Final = 100.0
MIN_CAP: Final = 1
MAX_CAP: Final = 100_000
MIN_LIFETIME: Final = timedelta(seconds=1)
MAX_LIFETIME: Final = timedelta(days=1)

# In bytes of UTF-8; the store limits a key to 255 bytes.
MAX_NAME_BYTES: Final = 160
MAX_REASON_BYTES: Final = 400
MAX_CONTROLS: Final = 1000
# Unix time in seconds; later ones can't be shown as a date everywhere.
MAX_UNIX_TIME: Final = 2.0**32
