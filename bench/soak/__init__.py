"""Run gateways for a while under faults drawn from a seed, and count every broken promise.

The gateways are processes of their own; store, samplers and callers live in this process and keep books
that the product never sees. `script/bench soak --seconds 60 --seed 7` prints one JSON line and exits
with 1 if a promise was broken.
"""

from .main import main

__all__ = ["main"]
