"""One shard's books at one owner: every living member's rows, summed; read as they are, or as of a vector. Pure.

A member's rows count as of one of its epochs, whole: pages that have not all come count for nothing. Changes that don't
follow what is here are refused with what is here, and the member sends from there, or all. Of a member that has started
anew, or is not in the view, nothing counts. The last epochs can be undone, so that two owners can be asked the same.
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
    Ask,
    Found,
    Give,
    Got,
    Question,
    Reply,
    Row,
    Stamp,
    Vector,
)

UNDO = 32  # epochs of a member
Sum = tuple[int, int, int]
ZERO: Sum = (0, 0, 0)


def _plus(a: Sum, b: Sum) -> Sum:
    return a[0] + b[0], a[1] + b[1], a[2] + b[2]


def _sum(row: Row | None, sign: int = 1) -> Sum:
    return ZERO if row is None else (sign * row.standing, sign * row.tried, sign * row.busy)


def rank(found: Found) -> tuple[int, int, str]:
    """The order of the busiest; ties fall alike everywhere."""
    return -found.standing, -found.tried, found.key


def merge(question: Question, parts: Iterable[Iterable[Found]]) -> tuple[Found, ...]:
    """One result of several shards'."""
    lines = [line for part in parts for line in part]
    if question.kind == BUSIEST:
        return tuple(sorted(lines, key=rank)[: question.most])
    sums: dict[str, Sum] = {}
    for line in lines:
        sums[line.key] = _plus(sums.get(line.key, ZERO), (line.standing, line.tried, line.busy))
    return tuple(Found(key, *found) for key, found in sorted(sums.items()))


@dataclass(slots=True)
class Book:
    """What is here of one start of one member."""

    boot: int
    seq: int
    rows: dict[str, Row]
    heard: float
    undo: deque[tuple[int, dict[str, Row | None]]] = field(default_factory=lambda: deque(maxlen=UNDO))

    def back_to(self, seq: int) -> dict[str, Row | None] | None:
        """Rows that differ from now as of an epoch; None where that can't be told."""
        found: dict[str, Row | None] = {}
        at = self.seq
        for before, old in reversed(self.undo):
            if at <= seq:
                break
            found |= old
            at = before
        return found if at == seq else None


@dataclass(slots=True)
class _Coming:
    """Pages of one base and epoch that have come so far."""

    boot: int
    base: int
    seq: int
    pages: dict[int, dict[str, Row | None]] = field(default_factory=dict)


class Shelf:
    """All books of one range. fresh_ms: a member that was not heard for so long counts as missing."""

    def __init__(self, first: int, last: int, fresh_ms: float) -> None:
        self.first, self.last, self.fresh_ms = first, last, fresh_ms
        self.books: dict[str, Book] = {}
        self.sums: dict[str, Sum] = {}
        self._keys: SortedList = SortedList()
        self._busiest: SortedList = SortedList()
        self._coming: dict[str, _Coming] = {}
        self.heard = float("-inf")  # of anybody

    # Members' rows

    def give(self, now: float, give: Give, living: Mapping[str, int]) -> Got:
        """A page. living: members' boots by the view; of others nothing is taken."""
        self.prune(living)
        if living.get(give.member) != give.boot:
            return Got(False, 0)
        self.heard = now
        book = self.books.get(give.member)
        have = book.seq if book is not None else 0
        if book is not None and give.seq <= have:  # doubled, late, or nothing has changed
            book.heard = now if give.seq == have else book.heard
            return Got(True, have)
        if give.base and give.base != have:
            return Got(False, have)
        coming = self._coming.get(give.member)
        if coming is None or (coming.boot, coming.base, coming.seq) != (give.boot, give.base, give.seq):
            if coming is not None and coming.boot == give.boot and coming.seq > give.seq:
                return Got(False, have)  # late: a newer epoch is on its way
            coming = self._coming[give.member] = _Coming(give.boot, give.base, give.seq)
        coming.pages[give.page] = give.rows
        if len(coming.pages) < give.pages:
            return Got(True, have)
        del self._coming[give.member]
        rows: dict[str, Row | None] = {}
        for page in sorted(coming.pages):
            rows |= coming.pages[page]
        self._apply(now, give, rows)
        return Got(True, give.seq)

    def _apply(self, now: float, give: Give, rows: Mapping[str, Row | None]) -> None:
        book = self.books.get(give.member)
        if give.base == 0:
            old = dict(book.rows) if book is not None else {}
            gone: dict[str, Row | None] = dict.fromkeys(old)
            rows = gone | dict(rows)
        if book is None:
            book = self.books[give.member] = Book(give.boot, 0, {}, now)
        undo: dict[str, Row | None] = {}
        for key, row in rows.items():
            before = book.rows.get(key)
            if before == row:
                continue
            undo[key] = before
            if row is None:
                del book.rows[key]
            else:
                book.rows[key] = row
            self._add(key, _plus(_sum(before, -1), _sum(row)))
        book.undo.append((book.seq, undo))
        book.seq, book.heard = give.seq, now

    def _add(self, key: str, change: Sum) -> None:
        before = self.sums.get(key)
        after = _plus(before or ZERO, change)
        if before is None and after == ZERO:
            return  # a row of nothing
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
        """Nothing counts of those that are gone, or have started anew."""
        for name in [name for name, book in self.books.items() if living.get(name) != book.boot]:
            for key, row in self.books.pop(name).rows.items():
                self._add(key, _sum(row, -1))
        for name in [name for name, coming in self._coming.items() if living.get(name) != coming.boot]:
            del self._coming[name]

    # Questions

    def vector(self) -> Vector:
        return {name: Stamp(book.boot, book.seq) for name, book in sorted(self.books.items())}

    def ask(self, now: float, ask: Ask, living: Mapping[str, int]) -> Reply:
        """Answer, or say that it can't be told."""
        self.prune(living)
        missing = tuple(
            sorted(
                name
                for name in living
                if name not in self.books or not 0 <= now - self.books[name].heard < self.fresh_ms
            )
        )
        if ask.question is None:
            return Reply(True, (), self.vector(), missing)
        overlay: dict[str, Sum] | None = {}
        vector = self.vector()
        if ask.asof is not None:
            overlay, vector = self._overlay(ask.asof), dict(ask.asof)
        if overlay is None:
            return Reply(False, (), self.vector(), missing)
        return Reply(True, self._found(ask.question, overlay), vector, missing)

    def _overlay(self, asof: Mapping[str, Stamp]) -> dict[str, Sum] | None:
        """What the sums as of a vector differ by from now."""
        found: dict[str, Sum] = {}
        if any(name not in self.books for name in asof):
            return None
        for name, book in self.books.items():
            stamp = asof.get(name)
            if stamp is None:
                changes = {key: _sum(row, -1) for key, row in book.rows.items()}
            else:
                back = book.back_to(stamp.seq) if stamp.boot == book.boot else None
                if back is None:
                    return None
                changes = {key: _plus(_sum(row), _sum(book.rows.get(key), -1)) for key, row in back.items()}
            for key, change in changes.items():
                found[key] = _plus(found.get(key, ZERO), change)
        return found

    def _at(self, key: str, overlay: Mapping[str, Sum]) -> Sum:
        return _plus(self.sums.get(key, ZERO), overlay.get(key, ZERO))

    def _found(self, question: Question, overlay: Mapping[str, Sum]) -> tuple[Found, ...]:
        match question.kind:
            case kind if kind in (NUMBER, TENANT):
                key = f"{'n' if kind == NUMBER else 't'}:{question.what}"
                return (Found(key, *self._at(key, overlay)),)
            case kind if kind == PREFIX:
                start = f"n:{question.what}"
                total = ZERO
                for key in self._keys.irange(start, start + "\U0010ffff"):
                    total = _plus(total, self._at(key, overlay))
                for key in overlay:
                    if key.startswith(start) and key not in self.sums:
                        total = _plus(total, overlay[key])
                return (Found(start, *total),)
        # The busiest: as many of the index as may be pushed down by the overlay, and all that it touches.
        keys = {key for _, _, key in self._busiest.islice(0, question.most + len(overlay) + self._tenants())}
        lines = (Found(key, *self._at(key, overlay)) for key in keys | set(overlay) if key.startswith("n:"))
        return tuple(
            sorted((line for line in lines if line.standing or line.tried or line.busy), key=rank)[: question.most]
        )

    def _tenants(self) -> int:
        """How many keys of tenants may stand among the busiest."""
        return sum(1 for _ in self._keys.irange("t:", "t:\U0010ffff"))
