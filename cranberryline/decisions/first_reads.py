"""Decide how much of the store a node reads at once when it starts.

Load answered: all nodes start at the same moment, and each reads every partition of all jobs from the oldest
record on. All reads share the store's bandwidth. 36 nodes that read 16 partitions in pages of 1 MB may ask
for 600 MB in one moment: at 80 MB a second the last page comes after 7 s, and its reader has left after 3.
What was sent to it is lost, it asks again, and so do all others: the store is busy with answers for which
nobody waits any more, and no node gets to the end for as long as all of them try.

So a node reads `AT_ONCE` partitions beside each other, in pages of `PAGE_KB`: 36 nodes ask for 36 MB, which is
there within half a second, and within one at half of the bandwidth. Nothing is asked for twice, and what all of
them need is read at the store's full pace. A page is twice the largest record.

Partitions of a store that is out in part may answer nothing: a read that takes longer than `TURN` lets the
next partition begin beside it. A turn is twice what a page takes in the moment when all nodes ask.
"""

from datetime import timedelta

__all__ = ["AT_ONCE", "PAGE_KB", "TURN"]

AT_ONCE = 2
PAGE_KB = 512
TURN = timedelta(seconds=1)
