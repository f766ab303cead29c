"""One clock for the whole program: milliseconds of Unix time, and timers on it."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A timer that can be called off."""

    def cancel(self) -> None: ...


class Clock(Protocol):
    """What the program may ask of time."""

    def now(self) -> float: ...

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer: ...

    def soon(self, callback: Callable[[], None]) -> None: ...


class SystemClock:
    """The system's Unix clock, with the event loop's timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        return time.time() * 1000

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        return self._loop.call_later(max(0.0, delay_ms) / 1000, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        """Run once all that the loop has read in this turn is taken."""
        self._loop.call_soon(callback)


class MonotonicClock(SystemClock):
    """Milliseconds since some moment in the past, which no setting of the system's clock moves; loop timers."""

    def now(self) -> float:
        return self._loop.time() * 1000


class _SetTimer:
    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class SetClock:
    """A clock that stands still until it is moved; for tests, where no verdict may hang on real time."""

    def __init__(self, now_ms: float = 1_000_000.0, soon: Callable[[Callable[[], None]], object] | None = None) -> None:
        self._now, self._count, self._soon = now_ms, 0, soon
        self._timers: list[tuple[float, int, _SetTimer]] = []

    def now(self) -> float:
        return self._now

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        self._count += 1
        timer = _SetTimer(callback)
        heapq.heappush(self._timers, (self._now + max(0.0, delay_ms), self._count, timer))
        return timer

    def soon(self, callback: Callable[[], None]) -> None:
        if self._soon is not None:
            self._soon(callback)
        else:
            self.after(0.0, callback)

    def next_due(self, end: float) -> float | None:
        """When the next timer up to that time is due."""
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers and self._timers[0][0] <= end else None

    def move_to(self, at: float) -> None:
        """Set the time and run what is due, in order."""
        while (due := self.next_due(at)) is not None:
            self._now = max(self._now, due)
            callback = heapq.heappop(self._timers)[2].callback
            if callback is not None:
                callback()
        self._now = max(self._now, at)

    def advance(self, ms: float) -> None:
        self.move_to(self._now + ms)
