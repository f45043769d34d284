"""Run one example deployment until interrupted."""

import signal
import threading

from .deployment import EXAMPLES, load_plan
from .launcher import Deployment, launched

__all__ = ["run"]


def run(example: str) -> int:
    """Start an example, say how to try it, and stay until SIGINT or SIGTERM."""
    if example not in EXAMPLES:
        print(f"no example {example!r}; there are: {', '.join(EXAMPLES)}")
        return 2
    stop = threading.Event()
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, lambda *_: stop.set())
    print(f"Starting {example} ...", flush=True)
    with launched(load_plan(example)) as deployment:
        _tell(deployment)
        stop.wait()
        print("Stopping ...", flush=True)
    return 0


def _tell(deployment: Deployment) -> None:
    """Print the addresses and two lines to try."""
    for name, url in deployment.urls.items():
        print(f"  {name:<22} {url}")
    plain = deployment.plan.of_type("plain").name
    engine = deployment.plan.of_type("engine").name
    first, second = deployment.entries[0], deployment.entries[-1]
    body = f'{{"model": "{engine}", "prompt": "Describe the hall.", "max_tokens": 60}}'
    print(f"\nTokens, settings and logs are in {deployment.folder}\n\nTry:")
    print(f"  curl -s '{first}/services/{plain}/records/7?full=1'")
    print(f"  curl -s {second}/v1/completions -H 'Content-Type: application/json' -d '{body}'")
    print("\nInterrupt with Ctrl-C.", flush=True)
