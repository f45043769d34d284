"""Times and limits of slot sharing."""

from datetime import timedelta

__all__ = [
    "ACQUIRE_TIMEOUT",
    "ENGINES_PER_SHARD",
    "EXCHANGE_GAP",
    "FAILED_LONGEST",
    "FAILED_SHORTEST",
    "FORGET_AFTER",
    "KEEPER_PAUSE",
    "KEEPER_PASSED_OVER",
    "MAX_GATEWAYS",
    "MAX_NAMES",
    "MAX_NAME_LENGTH",
    "MAX_OPEN_EXCHANGES",
    "MAX_ROWS",
    "MAX_WAIT",
    "MOVE_INTERVAL",
    "POLL_GAP",
    "REFRESH_INTERVAL",
    "REJECTED_FOR",
    "REPLY_ALLOWANCE",
    "ROW_GAP",
    "SERVED_FOR",
]

# Keeper: how long a gateway, a rejection or a failure counts, and how long it is the keeper of a
# service after an exchange.
FORGET_AFTER = timedelta(milliseconds=1200)
MAX_WAIT = timedelta(milliseconds=100)
REJECTED_FOR = timedelta(milliseconds=250)
FAILED_SHORTEST = timedelta(milliseconds=500)
FAILED_LONGEST = timedelta(seconds=4)
MOVE_INTERVAL = timedelta(milliseconds=250)
SERVED_FOR = timedelta(seconds=5)

# Gateway: how often it tells the keeper, and how long it waits for it.
REFRESH_INTERVAL = timedelta(milliseconds=300)
EXCHANGE_GAP = timedelta(milliseconds=5)
# A few times what a keeper needs for a row, so that no gateway takes all of its time.
ROW_GAP = timedelta(microseconds=50)
POLL_GAP = timedelta(milliseconds=50)  # after an answer without a grant
REPLY_ALLOWANCE = timedelta(milliseconds=200)
KEEPER_PASSED_OVER = timedelta(seconds=2)
KEEPER_PAUSE = timedelta(seconds=1)
ACQUIRE_TIMEOUT = timedelta(seconds=3)
MAX_OPEN_EXCHANGES = 4

ENGINES_PER_SHARD = 64

# Limits of a message and of what a keeper remembers.
MAX_ROWS = 2000
MAX_NAMES = 256
MAX_NAME_LENGTH = 256
MAX_GATEWAYS = 4096
