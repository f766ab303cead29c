"""What a member counts itself, by number called and by tenant, closed by epochs. Pure; clocks are monotonic, ms.

An epoch is closed at each beat; rows are what holds at its end, so that a row that comes twice counts once. What
changed from one epoch to another is kept for some epochs; who asks from further back gets all rows.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping

from sageweir.cluster.ledger.messages import KEY_CHARS, ROWS_PAGE, Row
from sageweir.cluster.ledger.shards import position

EPOCHS, KEYS_MAX = 64, 5_000  # more rows in one epoch would keep an owner's loop for over 0.1 s
Rows = dict[str, Row | None]


def number_key(number: str) -> str:
    return f"n:{number}"[:KEY_CHARS]


def tenant_key(tenant: str) -> str:
    return f"t:{tenant}"[:KEY_CHARS]


class Account:
    """window_ms: set-ups count as recent for so long, half of it at least."""

    def __init__(self, window_ms: float = 4000.0, keys_max: int = KEYS_MAX) -> None:
        self.window_ms, self.keys_max = window_ms, keys_max
        self.rows: dict[str, Row] = {}
        self.seq = 0
        self.left_out = 0  # set-ups that were not counted, as there was no room
        self._log: deque[tuple[int, tuple[str, ...]]] = deque(maxlen=EPOCHS)
        self._now: Counter[str] = Counter()
        self._before: Counter[str] = Counter()
        self._turned = float("-inf")

    def took(self, keys: Iterable[str]) -> None:
        """A set-up came, for these keys."""
        for key in keys:
            if key in self._now or len(self._now) < self.keys_max:
                self._now[key] += 1
            else:
                self.left_out += 1

    def close(self, now: float, standing: Mapping[str, int], busy: Collection[str]) -> int:
        """End an epoch with what stands now; its number, which stays where nothing has changed."""
        if not 0 <= now - self._turned < self.window_ms / 2:
            self._before, self._now, self._turned = self._now, Counter(), now
        fresh: dict[str, Row] = {}
        for key in {*standing, *self._now, *self._before, *busy}:
            row = Row(standing.get(key, 0), self._now[key] + self._before[key], int(key in busy))
            if row != Row():
                fresh[key] = row
        if len(fresh) > self.keys_max:
            kept = sorted(fresh, key=lambda key: (fresh[key].standing, fresh[key].tried, key))[-self.keys_max :]
            fresh = {key: fresh[key] for key in kept}
        changed = tuple(sorted(key for key in {*fresh, *self.rows} if fresh.get(key) != self.rows.get(key)))
        if changed:
            self.seq += 1
            self._log.append((self.seq, changed))
            self.rows = fresh
        return self.seq

    def since(self, base: int, first: int, last: int) -> tuple[int, Rows]:
        """Rows of a range that changed after an epoch, and the epoch that they are changes from: 0: they are all."""
        if base and base <= self.seq and (base == self.seq or (self._log and base >= self._log[0][0] - 1)):
            keys = {key for seq, changed in self._log if seq > base for key in changed}
            return base, {key: self.rows.get(key) for key in sorted(keys) if first <= position(key) < last}
        return 0, {key: row for key, row in sorted(self.rows.items()) if first <= position(key) < last}


def pages(rows: Rows, most: int = ROWS_PAGE) -> list[Rows]:
    """In parts that fit a message; one at least."""
    items = list(rows.items())
    return [dict(items[i : i + most]) for i in range(0, len(items), most)] or [{}]
