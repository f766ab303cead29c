"""Counts the outcomes of this process's calls by class and tenant, for members' reports and the gate."""

from __future__ import annotations

import resource
from collections import OrderedDict
from collections.abc import Callable

from dahliabridge import interface as api
from sageweir.attempts import Request
from sageweir.cluster.changes.messages import OutcomeCounts
from sageweir.counters import RequestResult

MAX_ROWS = 16
MAX_OPEN = 20_000


class Counts:
    """Counts of one class or tenant since the start."""

    __slots__ = ("attempts", "delay_ms", "failed", "late", "refused", "served", "taken")

    def __init__(self) -> None:
        self.taken = self.served = self.late = self.refused = self.failed = self.attempts = 0
        self.delay_ms = 0.0

    def row(self) -> OutcomeCounts:
        return OutcomeCounts(
            self.taken, self.served, self.late, self.refused, self.failed, self.attempts, int(self.delay_ms)
        )


class Tally:
    """Observer of the exchange's calls.

    now: ms; on_attempt: called with the call of each attempt and the version of the rules that decided it.
    """

    def __init__(
        self,
        settings: api.Settings,
        now: Callable[[], float],
        on_attempt: Callable[[str, int], None],
        on_setup: Callable[[Request], None] | None = None,
    ) -> None:
        """on_setup: called with each new set-up."""
        self.now, self._attempt_callback, self._setup_callback = now, on_attempt, on_setup
        self.objectives_ms = {service.name: service.objective_ms for service in settings.classes}
        self.names = [service.name for service in settings.classes] + [
            f"tenant {tenant.name}" for tenant in settings.tenants
        ]
        self.names = self.names[:MAX_ROWS]
        self.late_worths = [service.late_worth for service in settings.classes] + [0.0] * len(settings.tenants)
        self.weights = [1.0] * len(settings.classes) + [0.0] * len(settings.tenants)
        del self.late_worths[MAX_ROWS:], self.weights[MAX_ROWS:]
        self.rows = {name: Counts() for name in self.names}
        self.open_calls: OrderedDict[str, tuple[float, Request]] = OrderedDict()

    def _counts_of(self, request: Request) -> list[Counts]:
        names = (request.service_class, f"tenant {request.tenant}")
        return [self.rows[name] for name in names if name in self.rows]

    def on_request(self, request: Request) -> None:
        self.open_calls[request.call] = self.now(), request
        if len(self.open_calls) > MAX_OPEN:  # guards against calls that never settle, as their callers are gone
            self.open_calls.popitem(last=False)
        for counts in self._counts_of(request):
            counts.taken += 1
        if self._setup_callback is not None:
            self._setup_callback(request)

    def on_attempt(self, call: str, server: str, rules: int) -> None:
        entry = self.open_calls.get(call)
        self._attempt_callback(call, rules)
        for counts in self._counts_of(entry[1]) if entry is not None else ():
            counts.attempts += 1

    def on_final_answer(self, request: Request, how: RequestResult) -> None:
        started_at, _ = self.open_calls.pop(request.call, (self.now(), request))
        elapsed_ms = self.now() - started_at
        for counts in self._counts_of(request):
            if how is RequestResult.DECLINED:
                counts.refused += 1
            elif how is RequestResult.ABORTED:
                counts.failed += 1
            else:
                counts.delay_ms += elapsed_ms
                if elapsed_ms <= self.objectives_ms.get(request.service_class, 0.0):
                    counts.served += 1
                else:
                    counts.late += 1

    def report(self) -> tuple[OutcomeCounts, ...]:
        return tuple(self.rows[name].row() for name in self.names)


def memory_kb() -> int:
    """Peak resident memory of this process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
