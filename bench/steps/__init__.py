"""Compare the decisions about a step's texts on a virtual clock, some 0.4 s of processor time a run.

`script/bench steps --seeds 100` plays trainers that ask for a step each few seconds before engines of
unlike speed, some of which turn several times slower for seconds, with the product's own routing,
estimates and moves. Each policy plays the same seeds; printed is the paired difference with its error.

Left out: the store and its outages, nodes that die, scoring, and what one engine's load does to its pace.
"""

from .main import main

__all__ = ["main"]
