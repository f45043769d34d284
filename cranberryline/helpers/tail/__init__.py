"""Follow topics of the store: the newest record of each key, or every record of a partition."""

from cranberryline.helpers.store_health import StoreHealth

from .keyed import KeyedTail
from .partition import PartitionTail, ReadTurns, TimedRead

__all__ = ["KeyedTail", "PartitionTail", "ReadTurns", "StoreHealth", "TimedRead"]
