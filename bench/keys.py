"""Measure what the check of a key costs a request, by the number of workspaces."""

import argparse
import timeit

from cranberryline.platform.edge import PlatformEdge
from cranberryline.workspaces import KeyCheck, Workspace, WorkspaceTable, key_digest

__all__ = ["main"]

_CALLS = 20_000
_BODY_HEADERS = tuple((f"Header-{number}", "value") for number in range(8))


def main(argv: list[str]) -> int:
    """Print microseconds a request for the check, and for the headers that are passed on."""
    argparse.ArgumentParser(prog="script/bench keys", description=__doc__).parse_args(argv)
    check, edge = KeyCheck(lambda: None), PlatformEdge()
    headers = (*_BODY_HEADERS, ("Api-Key", "key-7"))
    print(f"{'workspaces':>10}{'known':>8}{'unknown':>9}{'headers':>9}")
    for count in (1, 80, 10_000):
        table = WorkspaceTable(
            Workspace(f"w{number}", frozenset({key_digest(f"key-{number}".encode())}))
            for number in range(count)
        )
        costs = [
            timeit.timeit(work, number=_CALLS) / _CALLS * 1e6
            for work in (
                lambda table=table: check.check(table, "key-0"),
                lambda table=table: check.check(table, "another"),
                lambda: edge.caller_headers(headers, "w7"),
            )
        ]
        print(f"{count:>10}{costs[0]:8.2f}{costs[1]:9.2f}{costs[2]:9.2f}")
    return 0
