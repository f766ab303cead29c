"""A clock that goes wrong as the laboratory says; on only where deploy/cluster.json names a file of faults."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import orjson

from sageweir.clock import Clock, Timer


class FaultyClock:
    """Runs with another clock, at `speed` of its own, and leaps by what `jumped_ms` has grown; both are read from the
    file whenever it has been replaced ({"speed": 1.0, "jumped_ms": 0.0}). A file that can't be read changes nothing.
    """

    def __init__(self, clock: Clock, path: Path) -> None:
        self._clock, self._path, self._seen = clock, path, (-1, -1)
        self._at = self._value = clock.now()
        self._speed, self._jumped = 1.0, 0.0

    def now(self) -> float:
        at = self._clock.now()
        self._value += (at - self._at) * self._speed
        self._at = at
        self._look()
        return self._value

    def _look(self) -> None:
        try:
            status = os.stat(self._path)
            if (seen := (status.st_mtime_ns, status.st_ino)) == self._seen:
                return
            raw = orjson.loads(self._path.read_bytes())
            speed, jumped = float(raw["speed"]), float(raw["jumped_ms"])
        except (OSError, ValueError, KeyError, TypeError):
            return
        self._seen, self._speed = seen, max(0.01, speed)
        self._value += jumped - self._jumped
        self._jumped = jumped

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        return self._clock.after(delay_ms / self._speed, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        self._clock.soon(callback)
