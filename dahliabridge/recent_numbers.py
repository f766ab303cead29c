"""A time for each of the numbers called last, bounded in count and in bytes: callers choose numbers. Pure."""

from __future__ import annotations

from collections.abc import ItemsView
from hashlib import blake2b

MAX_KEY_CHARS = 64  # a longer number is remembered by its digest


class RecentNumbers:
    """Times by number; at the bound, the number that was set first is forgotten."""

    def __init__(self, max_numbers: int) -> None:
        self._max_numbers = max_numbers
        self._times: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._times)

    def items(self) -> ItemsView[str, float]:
        """Numbers, or the digests of long ones, with their times."""
        return self._times.items()

    def set(self, number: str, at: float) -> None:
        """Remember a time for a number; it counts as the latest one."""
        key = _key(number)
        self._times.pop(key, None)
        self._times[key] = at
        if len(self._times) > self._max_numbers:
            del self._times[next(iter(self._times))]

    def get(self, number: str, default: float) -> float:
        """The time of a number, or the default where none is remembered."""
        return self._times.get(_key(number), default)

    def forget_before(self, at: float) -> None:
        """Forget the numbers with earlier times."""
        self._times = {key: time for key, time in self._times.items() if time > at}


def _key(number: str) -> str:
    if len(number) <= MAX_KEY_CHARS:
        return number
    return blake2b(number.encode("utf-8", "surrogatepass"), digest_size=16).hexdigest()
