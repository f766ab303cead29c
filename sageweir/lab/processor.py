"""A clearing server's processor, emulated in the time it is handed: one line, set-up cost, warm-up. Pure.

Also the checker of the cold-server rule: work sent within any window against the budget of that moment.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Model:
    """work_ms: a set-up's work on a warm processor; queue_ms: a longer wait turns a set-up away, at `reject` of
    the work; cold_from, cold_ms: part of its capacity after a start, and when it is warm."""

    work_ms: float = 5.0
    queue_ms: float = 2000.0
    reject: float = 0.2
    cold_from: float = 0.29
    cold_ms: float = 14_000.0

    def warmth(self, age_ms: float) -> float:
        """Present part of the capacity, 0 to 1."""
        if self.cold_ms <= 0:
            return 1.0
        return min(1.0, self.cold_from + (1 - self.cold_from) * max(0.0, age_ms) / self.cold_ms)


@dataclass(slots=True)
class Processor:
    """One line: set-ups wait for those before them."""

    model: Model
    started_ms: float
    free_ms: float = 0.0
    taken: int = 0
    turned_away: int = 0

    def set_up(self, now_ms: float) -> float | None:
        """When the set-up is done, ms; None where it is turned away."""
        speed = self.model.warmth(now_ms - self.started_ms)
        begin = max(self.free_ms, now_ms)
        if begin - now_ms > self.model.queue_ms:
            self.free_ms = begin + self.model.reject * self.model.work_ms / speed
            self.turned_away += 1
            return None
        self.free_ms = begin + self.model.work_ms / speed
        self.taken += 1
        return self.free_ms


@dataclass(slots=True)
class ColdRule:
    """Worst ratio of work sent to budget in any window that ends at a set-up; over 1 the server falls over.

    The budget of a window: fall_multiple x capacity at its end x fall_ms, all in ms of a warm processor's work.
    """

    model: Model
    started_ms: float
    fall_multiple: float
    fall_ms: float
    worst: float = 0.0
    worst_at_ms: float = 0.0
    _window: deque[float] = field(default_factory=deque)

    def sent(self, at_ms: float) -> None:
        """A set-up arrived."""
        age = at_ms - self.started_ms
        if age >= self.model.cold_ms:
            return
        self._window.append(at_ms)
        while self._window[0] <= at_ms - self.fall_ms:
            self._window.popleft()
        budget = self.fall_multiple * self.model.warmth(age) * self.fall_ms
        ratio = len(self._window) * self.model.work_ms / budget
        if ratio > self.worst:
            self.worst, self.worst_at_ms = ratio, at_ms


def last_before(times: list[float], end: float) -> float | None:
    """The latest of sorted times that is before `end`."""
    at = bisect_left(times, end)
    return times[at - 1] if at else None
