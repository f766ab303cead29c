"""Counters of requests and attempts since the start of the process, and their text form for operators; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

PREFIX = "edge_node"


class RequestResult(Enum):
    """Result of a request; the values are names of counters."""

    SUCCEEDED = "succeeded"
    DECLINED = "declined"
    ABORTED = "aborted"


class Counters:
    """Counts each request once, by class and result, and each attempt once; classes not in the settings are ignored."""

    def __init__(self, classes: Iterable[str]) -> None:
        names = list(classes)
        # Only classes in the settings have entries, so callers with invented class names can not make the table grow.
        self.results = {result: dict.fromkeys(names, 0) for result in RequestResult}
        self.forwards = 0

    def count_result(self, service_class: str, result: RequestResult) -> None:
        """Count a request that got its final answer."""
        if service_class in self.results[result]:
            self.results[result][service_class] += 1

    def count_forward(self) -> None:
        """Count an attempt that was completely written to a clearing server."""
        self.forwards += 1


def format_counters(counters: Counters, outstanding: int, discovered: int, ejected: int) -> str:
    """Format all counters, one line each, followed by the line that ends the list."""
    lines = [
        f"{result.value}.{name}={count}" for result, table in counters.results.items() for name, count in table.items()
    ]
    lines += [
        f"forwards={counters.forwards}",
        f"outstanding={outstanding}",
        f"discovered={discovered}",
        f"ejected={ejected}",
    ]
    return "\n".join([*(f"{PREFIX}.{line}" for line in lines), "EOT"])
