"""Call counts of one member, by called number and by tenant, in epochs. No I/O; times are monotonic milliseconds.

An epoch is closed at each interval. A row holds absolute values at the end of its epoch, so applying it twice has no
effect. Changed keys of the last epochs are logged; an owner whose epoch is older than that gets all rows.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping

from sageweir.cluster.ledger.messages import MAX_KEY_CHARS, MAX_PAGE_ROWS, Row
from sageweir.cluster.ledger.shards import position

MAX_EPOCHS = 64  # epochs of logged changes
MAX_KEYS = 5_000  # more rows in one epoch would block an owner's event loop for over 0.1 s
Rows = dict[str, Row | None]


def number_key(number: str) -> str:
    return f"n:{number}"[:MAX_KEY_CHARS]


def tenant_key(tenant: str) -> str:
    return f"t:{tenant}"[:MAX_KEY_CHARS]


class MemberCounts:
    """Counts of this member. window_ms: a set-up counts as recent for at least half and at most all of this time."""

    def __init__(self, window_ms: float = 4000.0, max_keys: int = MAX_KEYS) -> None:
        self.window_ms, self.max_keys = window_ms, max_keys
        self.rows: dict[str, Row] = {}
        self.epoch = 0
        self.left_out = 0  # set-ups not counted because max_keys was reached
        self._changes: deque[tuple[int, tuple[str, ...]]] = deque(maxlen=MAX_EPOCHS)
        self._current_setups: Counter[str] = Counter()
        self._previous_setups: Counter[str] = Counter()
        self._rotated_at = float("-inf")

    def on_setup(self, keys: Iterable[str]) -> None:
        """Count a set-up for these keys."""
        for key in keys:
            if key in self._current_setups or len(self._current_setups) < self.max_keys:
                self._current_setups[key] += 1
            else:
                self.left_out += 1

    def close_epoch(self, now: float, established: Mapping[str, int], busy: Collection[str]) -> int:
        """Close the epoch with the current counts. Returns its number, which only increases if a row has changed."""
        if not 0 <= now - self._rotated_at < self.window_ms / 2:
            self._previous_setups, self._current_setups, self._rotated_at = self._current_setups, Counter(), now
        fresh: dict[str, Row] = {}
        for key in {*established, *self._current_setups, *self._previous_setups, *busy}:
            row = Row(established.get(key, 0), self._current_setups[key] + self._previous_setups[key], int(key in busy))
            if row != Row():
                fresh[key] = row
        if len(fresh) > self.max_keys:
            kept = sorted(fresh, key=lambda key: (fresh[key].established, fresh[key].setups, key))[-self.max_keys :]
            fresh = {key: fresh[key] for key in kept}
        changed = tuple(sorted(key for key in {*fresh, *self.rows} if fresh.get(key) != self.rows.get(key)))
        if changed:
            self.epoch += 1
            self._changes.append((self.epoch, changed))
            self.rows = fresh
        return self.epoch

    def since(self, base: int, first: int, last: int) -> tuple[int, Rows]:
        """Rows of a range that changed after epoch `base`, with that epoch; or all rows, with 0, if it is too old."""
        if base and base <= self.epoch and (base == self.epoch or (self._changes and base >= self._changes[0][0] - 1)):
            keys = {key for epoch, changed in self._changes if epoch > base for key in changed}
            return base, {key: self.rows.get(key) for key in sorted(keys) if first <= position(key) < last}
        return 0, {key: row for key, row in sorted(self.rows.items()) if first <= position(key) < last}


def pages(rows: Rows, limit: int = MAX_PAGE_ROWS) -> list[Rows]:
    """Split rows into pages that fit a message; at least one page."""
    items = list(rows.items())
    return [dict(items[i : i + limit]) for i in range(0, len(items), limit)] or [{}]
