"""One entry on a majority of electors' disks, written by whoever holds the duty. Pure; clocks are monotonic, ms.

Single-decree Paxos for each entry, under the duty's terms as ballots (Lamport 2001; a new holder's claim is its first
phase, done once a term): a holder first claims a majority, which then takes nothing from lower terms, takes up the
newest entry found there, writes it again under its own term, and only then writes its own. An entry counts when a
majority has it on its disks.

What a keeper wrote before a restart is never trusted to be all: it stays out until no round can be open in which its
earlier answers count, and then until it has asked the others, as electors do. Its disk counts only where no majority of
others remembers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from sageweir.cluster.changes.messages import Book, Claim, Held, Message, Phase, Put, Recount

Out = list[tuple[str, Message]]
ROUNDS = 6  # a lease: how long one round's answers count
AGAIN = 4  # a lease: how long a keeper that remembers alone waits for others


def encode(book: Book) -> bytes:
    return msgspec.msgpack.encode(book)


def decode(body: bytes) -> Book:
    """An empty register is an empty book. Raises ValueError."""
    try:
        return msgspec.msgpack.decode(body, type=Book) if body else Book()
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def after(old: Book, new: Book) -> str:
    """Why a book can't follow another, else nothing: numbers never go back, and what has ended stays so."""
    if new.step <= old.step:
        return f"step {new.step} after {old.step}"
    if new.number < old.number or new.floor < old.floor or new.floor > new.number:
        return f"change {new.number} (ended {new.floor}) after {old.number} ({old.floor})"
    if (
        new.number == old.number
        and new.floor == old.floor == new.number
        and new.number
        and (
            new.stage > old.stage
            or (old.phase, new.phase)
            not in ((Phase.BACK, Phase.BACK), (Phase.BACK, Phase.HALTED), (old.phase, old.phase))
        )
    ):
        return f"change {new.number} has ended as {old.phase.value}"
    for one in old.proven:
        if new.of(one.kind).number < one.number:
            return f"{one.kind}: proven {new.of(one.kind).number} after {one.number}"
    return ""


@dataclass(frozen=True, slots=True)
class Entry:
    """What a keeper holds. turn: of entries within a term."""

    term: int = 0
    turn: int = 0
    body: bytes = b""

    @property
    def rank(self) -> tuple[int, int]:
        return self.term, self.turn


@dataclass(frozen=True, slots=True)
class Kept:
    """All that must be on a keeper's disk before its answer goes out."""

    promised: int = 0
    entry: Entry = Entry()


class Keeper:
    """One elector's part. Each answer must wait until `kept()` is written, and what a Put names by content is there."""

    def __init__(
        self, name: str, keepers: tuple[str, ...], lease_ms: float, now: float, boot: int, disk: Kept | None = None
    ) -> None:
        """boot: drawn anew at each start; disk: what was found there."""
        self.name, self.keepers, self.lease_ms, self.boot = name, keepers, lease_ms, boot
        self.promised, self.entry = (disk.promised, disk.entry) if disk is not None else (0, Entry())
        self._clock, self.time, self.out_until = now, 0.0, lease_ms
        self.intact = False
        self.heard: dict[str, Held] = {}

    @property
    def majority(self) -> int:
        return len(self.keepers) // 2 + 1

    def kept(self) -> Kept:
        return Kept(self.promised, self.entry)

    def _at(self, now: float) -> float:
        """Own time, which stands still where the clock leaps, as an elector's does."""
        passed, self._clock = now - self._clock, now
        if 0 < passed <= self.lease_ms / 8:
            self.time += passed
        return self.time

    def install(self, keepers: tuple[str, ...]) -> None:
        self.keepers = keepers

    def claim(self, now: float, claim: Claim) -> Held:
        """A new holder: promise, and tell what is here."""
        self._at(now)
        ok = self.intact and claim.term >= self.promised
        if ok:
            self.promised = claim.term
        return self._held(claim.number, ok)

    def put(self, now: float, put: Put) -> Held:
        """Write, unless a later holder was promised, or a later entry is here."""
        self._at(now)
        ok = self.intact and put.term >= self.promised and (put.term, put.turn) >= self.entry.rank
        if ok:
            self.promised, self.entry = put.term, Entry(put.term, put.turn, put.body)
        return self._held(put.number, ok)

    def _held(self, number: int, ok: bool) -> Held:
        return Held(self.name, number, ok, self.promised, *self.entry.rank, self.entry.body, self.intact)

    # After a start

    def look(self, now: float) -> Out:
        """Questions to the others, again and again as long as it is not intact."""
        if self.intact or self._at(now) < self.out_until:
            return []
        self._enough()
        return [] if self.intact else [(one, Recount(self.name, self.boot)) for one in self.keepers if one != self.name]

    def recounted(self, recount: Recount) -> Held:
        """For one that has started."""
        return self._held(recount.number, False)

    def recount(self, now: float, held: Held) -> None:
        """Another's answer."""
        asked = held.number == self.boot and held.keeper in self.keepers and held.keeper != self.name
        if not self.intact and asked and self._at(now) >= self.out_until:
            self.heard[held.keeper] = held
            self._enough()

    def _enough(self) -> None:
        intact = [held for held in self.heard.values() if held.intact]
        patient = self.time < self.out_until + self.lease_ms / AGAIN
        if len(intact) >= self.majority or (len(self.heard) + 1 >= self.majority and not patient):
            for held in self.heard.values():
                self.promised = max(self.promised, held.promised)
                self.entry = max(self.entry, Entry(held.term, held.turn, held.body), key=lambda entry: entry.rank)
            self.intact = True
            self.heard.clear()


class Stage(Enum):
    """What the holder's side is about."""

    OFF = "off"
    CLAIMING = "claiming"
    WRITING = "writing"  # the first time: what was found
    READY = "ready"


@dataclass(slots=True)
class _Round:
    number: int
    began: float
    yes: dict[str, Held] = field(default_factory=dict)


class Writer:
    """The holder's side. Only while the duty is held may it be told of time and answers (`lost` else)."""

    def __init__(self, name: str, keepers: tuple[str, ...], lease_ms: float, number: int) -> None:
        """number: where numbers of rounds begin, drawn anew at each start."""
        self.name, self.keepers, self.lease_ms = name, keepers, lease_ms
        self.stage, self.term, self.turn = Stage.OFF, 0, 0
        self.book = Book()  # what a majority has
        self.above = 0  # a higher term that a keeper has promised
        self.wrong = ""  # the register can't be read
        self._body = b""
        self._blobs: tuple[str, ...] = ()
        self._wanted: Book | None = None
        self._round: _Round | None = None
        self._number = number

    @property
    def majority(self) -> int:
        return len(self.keepers) // 2 + 1

    @property
    def ready(self) -> bool:
        """A book can be written now."""
        return self.stage is Stage.READY and self._wanted is None and not self.wrong

    def took(self, now: float, term: int) -> Out:
        """The duty is held under that term: read what is there."""
        self.stage, self.term, self.turn, self.above, self.wrong = Stage.CLAIMING, term, 0, 0, ""
        self._wanted = self._round = None
        return self._ask(now)

    def lost(self) -> None:
        self.stage, self._wanted, self._round = Stage.OFF, None, None

    def install(self, keepers: tuple[str, ...]) -> None:
        """Another list of keepers; what is asked is asked anew of these."""
        self.keepers, self._round = keepers, None

    def write(self, now: float, book: Book, blobs: tuple[str, ...]) -> Out:
        """Write the next book; `book` is it once a majority has it. Raises ValueError where it can't follow."""
        if not self.ready:
            raise ValueError("the register is not ready")
        if why := after(self.book, book):
            raise ValueError(why)
        self._wanted, self._body, self._blobs = book, encode(book), blobs
        self.turn += 1
        return self._ask(now)

    def wake(self, now: float) -> Out:
        """Time has passed: an open round that brought no majority is asked again, under another number."""
        if self.stage is Stage.OFF or (self.stage is Stage.READY and self._wanted is None):
            return []
        if self._round is not None and 0 <= now - self._round.began < self.lease_ms / ROUNDS:
            return []
        return self._ask(now)

    def _ask(self, now: float) -> Out:
        self._number += 1
        self._round = _Round(self._number, now)
        ask: Message
        if self.stage is Stage.CLAIMING:
            ask = Claim(self.term, self.name, self._number)
        else:
            ask = Put(self.term, self.turn, self._body, self.name, self._number, self._blobs)
        return [(one, ask) for one in self.keepers]

    def heard(self, now: float, held: Held) -> Out:
        """A keeper's answer."""
        # Guards against answers that a keeper has forgotten since: only those of one short round count together.
        current = self._round
        if current is None or held.number != current.number or held.keeper not in self.keepers:
            return []
        if not 0 <= now - current.began < self.lease_ms / ROUNDS:
            return []
        if not held.ok:
            self.above = max(self.above, held.promised if held.promised > self.term else 0)
            return []
        current.yes[held.keeper] = held
        if len(current.yes) < self.majority:
            return []
        self._round = None
        if self.stage is Stage.CLAIMING:
            newest = max(current.yes.values(), key=lambda one: (one.term, one.turn))
            try:
                self.book = decode(newest.body)
            except ValueError as error:
                self.wrong = f"the register can't be read: {error}"
                self.stage = Stage.OFF
                return []
            if not newest.body:
                self.stage = Stage.READY
                return []
            # Guards against an entry of an earlier term that only some have: from here on a majority has it.
            self.stage, self._body, self._blobs, self.turn = Stage.WRITING, newest.body, (), 1
            return self._ask(now)
        if self._wanted is not None:
            self.book, self._wanted = self._wanted, None
        self.stage = Stage.READY
        return []
