"""A clock with injected faults for the laboratory, used only where deploy/cluster.json names a file of faults."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import orjson

from sageweir.clock import Clock, Timer


class FaultyClock:
    """Wraps another clock: runs at `speed` relative to it, and jumps by each change of `jumped_ms`.

    Both are read from a file whenever it has been replaced: {"speed": 1.0, "jumped_ms": 0.0}. A file that cannot be
    read changes nothing.
    """

    def __init__(self, clock: Clock, path: Path) -> None:
        self._clock, self._path, self._file_version = clock, path, (-1, -1)
        self._last_read_ms = self._value_ms = clock.now()
        self._speed, self._jumped_ms = 1.0, 0.0

    def now(self) -> float:
        read_ms = self._clock.now()
        self._value_ms += (read_ms - self._last_read_ms) * self._speed
        self._last_read_ms = read_ms
        self._reload_if_changed()
        return self._value_ms

    def _reload_if_changed(self) -> None:
        try:
            status = os.stat(self._path)
            if (version := (status.st_mtime_ns, status.st_ino)) == self._file_version:
                return
            raw = orjson.loads(self._path.read_bytes())
            speed, jumped_ms = float(raw["speed"]), float(raw["jumped_ms"])
        except (OSError, ValueError, KeyError, TypeError):
            return
        self._file_version, self._speed = version, max(0.01, speed)
        self._value_ms += jumped_ms - self._jumped_ms
        self._jumped_ms = jumped_ms

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        return self._clock.after(delay_ms / self._speed, callback)

    def soon(self, callback: Callable[[], None]) -> None:
        self._clock.soon(callback)
