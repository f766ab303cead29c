"""Call counts of one shard at one owner: rows of all live members and their sums, now or as of a vector. No I/O.

A member's epoch is applied once all its pages have arrived. An update whose base isn't the held epoch is refused, and
the reply names the held epoch; the member then sends changes since that epoch, or all rows. Rows of a member that has
restarted, or that isn't in the membership, are dropped. The last epochs can be undone, so that two owners can be asked
as of the same vector.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from sageweir.cluster.ledger.messages import (
    BUSIEST,
    NUMBER,
    PREFIX,
    TENANT,
    Found,
    QueryReply,
    Question,
    Row,
    RowsUpdate,
    ShardQuery,
    Stamp,
    UpdateReply,
    Vector,
)

MAX_UNDO = 32  # epochs of a member that can be undone
Sum = tuple[int, int, int]
ZERO: Sum = (0, 0, 0)


def _add_sums(a: Sum, b: Sum) -> Sum:
    return a[0] + b[0], a[1] + b[1], a[2] + b[2]


def _sum(row: Row | None, sign: int = 1) -> Sum:
    return ZERO if row is None else (sign * row.established, sign * row.setups, sign * row.busy)


def rank(found: Found) -> tuple[int, int, str]:
    """Sort key of the busiest numbers; the key breaks ties, so that all owners agree on the order."""
    return -found.established, -found.setups, found.key


def merge(question: Question, parts: Iterable[Iterable[Found]]) -> tuple[Found, ...]:
    """Merge the results of several shards."""
    lines = [line for part in parts for line in part]
    if question.kind == BUSIEST:
        return tuple(sorted(lines, key=rank)[: question.limit])
    sums: dict[str, Sum] = {}
    for line in lines:
        sums[line.key] = _add_sums(sums.get(line.key, ZERO), (line.established, line.setups, line.busy))
    return tuple(Found(key, *found) for key, found in sorted(sums.items()))


@dataclass(slots=True)
class MemberRows:
    """Rows held of one boot of one member."""

    boot: int
    epoch: int
    rows: dict[str, Row]
    updated_at: float
    undo: deque[tuple[int, dict[str, Row | None]]] = field(default_factory=lambda: deque(maxlen=MAX_UNDO))

    def back_to(self, epoch: int) -> dict[str, Row | None] | None:
        """Rows that differed as of an epoch, with their values then; None if the epoch is unknown or too old."""
        found: dict[str, Row | None] = {}
        at = self.epoch
        for before, old in reversed(self.undo):
            if at <= epoch:
                break
            found |= old
            at = before
        return found if at == epoch else None


@dataclass(slots=True)
class _PartialUpdate:
    """Pages of one base and epoch received so far."""

    boot: int
    base: int
    epoch: int
    pages: dict[int, dict[str, Row | None]] = field(default_factory=dict)


class ShardCounts:
    """Counts of one range. fresh_ms: a member without an update for so long is reported as missing."""

    def __init__(self, first: int, last: int, fresh_ms: float) -> None:
        self.first, self.last, self.fresh_ms = first, last, fresh_ms
        self.rows_by_member: dict[str, MemberRows] = {}
        self.sums: dict[str, Sum] = {}
        self._keys: SortedList = SortedList()
        self._busiest: SortedList = SortedList()
        self._partial_updates: dict[str, _PartialUpdate] = {}
        self.updated_at = float("-inf")  # time of the last update of any member

    # Updates

    def on_update(self, now: float, update: RowsUpdate, living: Mapping[str, int]) -> UpdateReply:
        """Process one page. living: boots of live members; updates of others are refused."""
        self.prune(living)
        if living.get(update.member) != update.boot:
            return UpdateReply(False, 0)
        self.updated_at = now
        entry = self.rows_by_member.get(update.member)
        held_epoch = entry.epoch if entry is not None else 0
        if entry is not None and update.epoch <= held_epoch:  # duplicate, late, or nothing has changed
            entry.updated_at = now if update.epoch == held_epoch else entry.updated_at
            return UpdateReply(True, held_epoch)
        if update.base and update.base != held_epoch:
            return UpdateReply(False, held_epoch)
        partial_update = self._partial_updates.get(update.member)
        if partial_update is None or (partial_update.boot, partial_update.base, partial_update.epoch) != (
            update.boot,
            update.base,
            update.epoch,
        ):
            if (
                partial_update is not None
                and partial_update.boot == update.boot
                and partial_update.epoch > update.epoch
            ):
                return UpdateReply(False, held_epoch)  # late: pages of a newer epoch have arrived
            partial_update = self._partial_updates[update.member] = _PartialUpdate(
                update.boot, update.base, update.epoch
            )
        partial_update.pages[update.page] = update.rows
        if len(partial_update.pages) < update.pages:
            return UpdateReply(True, held_epoch)
        del self._partial_updates[update.member]
        rows: dict[str, Row | None] = {}
        for page in sorted(partial_update.pages):
            rows |= partial_update.pages[page]
        self._apply(now, update, rows)
        return UpdateReply(True, update.epoch)

    def _apply(self, now: float, update: RowsUpdate, rows: Mapping[str, Row | None]) -> None:
        entry = self.rows_by_member.get(update.member)
        if update.base == 0:
            old = dict(entry.rows) if entry is not None else {}
            deleted: dict[str, Row | None] = dict.fromkeys(old)
            rows = deleted | dict(rows)
        if entry is None:
            entry = self.rows_by_member[update.member] = MemberRows(update.boot, 0, {}, now)
        undo: dict[str, Row | None] = {}
        for key, row in rows.items():
            before = entry.rows.get(key)
            if before == row:
                continue
            undo[key] = before
            if row is None:
                del entry.rows[key]
            else:
                entry.rows[key] = row
            self._add(key, _add_sums(_sum(before, -1), _sum(row)))
        entry.undo.append((entry.epoch, undo))
        entry.epoch, entry.updated_at = update.epoch, now

    def _add(self, key: str, change: Sum) -> None:
        before = self.sums.get(key)
        after = _add_sums(before or ZERO, change)
        if before is None and after == ZERO:
            return  # an empty row
        if before is not None:
            self._busiest.remove((-before[0], -before[1], key))
        else:
            self._keys.add(key)
        if after == ZERO:
            del self.sums[key]
            self._keys.remove(key)
        else:
            self.sums[key] = after
            self._busiest.add((-after[0], -after[1], key))

    def prune(self, living: Mapping[str, int]) -> None:
        """Drop the rows of members that have left or restarted."""
        for name in [name for name, entry in self.rows_by_member.items() if living.get(name) != entry.boot]:
            for key, row in self.rows_by_member.pop(name).rows.items():
                self._add(key, _sum(row, -1))
        for name in [
            name for name, partial_update in self._partial_updates.items() if living.get(name) != partial_update.boot
        ]:
            del self._partial_updates[name]

    # Queries

    def vector(self) -> Vector:
        return {name: Stamp(entry.boot, entry.epoch) for name, entry in sorted(self.rows_by_member.items())}

    def on_query(self, now: float, query: ShardQuery, living: Mapping[str, int]) -> QueryReply:
        """Answer a query; the reply says so if the requested epochs are not available."""
        self.prune(living)
        missing = tuple(
            sorted(
                name
                for name in living
                if name not in self.rows_by_member
                or not 0 <= now - self.rows_by_member[name].updated_at < self.fresh_ms
            )
        )
        if query.question is None:
            return QueryReply(True, (), self.vector(), missing)
        overlay: dict[str, Sum] | None = {}
        vector = self.vector()
        if query.asof is not None:
            overlay, vector = self._overlay(query.asof), dict(query.asof)
        if overlay is None:
            return QueryReply(False, (), self.vector(), missing)
        return QueryReply(True, self._found(query.question, overlay), vector, missing)

    def _overlay(self, asof: Mapping[str, Stamp]) -> dict[str, Sum] | None:
        """Difference between the sums as of a vector and now; None if the vector can't be reconstructed."""
        found: dict[str, Sum] = {}
        if any(name not in self.rows_by_member for name in asof):
            return None
        for name, entry in self.rows_by_member.items():
            stamp = asof.get(name)
            if stamp is None:
                changes = {key: _sum(row, -1) for key, row in entry.rows.items()}
            else:
                reverted = entry.back_to(stamp.epoch) if stamp.boot == entry.boot else None
                if reverted is None:
                    return None
                changes = {key: _add_sums(_sum(row), _sum(entry.rows.get(key), -1)) for key, row in reverted.items()}
            for key, change in changes.items():
                found[key] = _add_sums(found.get(key, ZERO), change)
        return found

    def _sum_at(self, key: str, overlay: Mapping[str, Sum]) -> Sum:
        return _add_sums(self.sums.get(key, ZERO), overlay.get(key, ZERO))

    def _found(self, question: Question, overlay: Mapping[str, Sum]) -> tuple[Found, ...]:
        match question.kind:
            case kind if kind in (NUMBER, TENANT):
                key = f"{'n' if kind == NUMBER else 't'}:{question.subject}"
                return (Found(key, *self._sum_at(key, overlay)),)
            case kind if kind == PREFIX:
                start = f"n:{question.subject}"
                total = ZERO
                for key in self._keys.irange(start, start + "\U0010ffff"):
                    total = _add_sums(total, self._sum_at(key, overlay))
                for key in overlay:
                    if key.startswith(start) and key not in self.sums:
                        total = _add_sums(total, overlay[key])
                return (Found(start, *total),)
        # Busiest: the overlay may push indexed keys down, so take that many more, and all keys in the overlay.
        keys = {key for _, _, key in self._busiest.islice(0, question.limit + len(overlay) + self._tenants())}
        lines = (Found(key, *self._sum_at(key, overlay)) for key in keys | set(overlay) if key.startswith("n:"))
        return tuple(
            sorted((line for line in lines if line.established or line.setups or line.busy), key=rank)[: question.limit]
        )

    def _tenants(self) -> int:
        """Number of tenant keys, which share the index with numbers."""
        return sum(1 for _ in self._keys.irange("t:", "t:\U0010ffff"))
