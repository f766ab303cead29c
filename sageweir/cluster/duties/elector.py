"""One elector: to whom it has promised which duty, and until when. Pure; the clock is monotonic, ms, handed in.

It binds itself to one seeker a duty at a time, and to terms that only grow. Any two majorities share an elector, so
that no two seekers hold a duty at once, and a later holder's term is higher.

What it promised before a restart is never trusted to be known: it stays out until every lease that it may have granted
is over, and then until it has asked the others for their terms. Its disk counts only where nobody's memory outlived it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sageweir.cluster.duties.messages import JUMP, Ask, Free, Memory, Recall, Say

ANY = ""  # stands for all duties that are not known
QUEUE, TURN = 16, 0.02  # seekers that are kept apart, and by what part of a lease
SOON = 1 / 16  # of a lease: when to ask again where a promise may yet be given back
BOUND = 7 / 8  # of a lease: what an elector is bound for; the rest is for the election after a crash


@dataclass(frozen=True, slots=True)
class Timing:
    """lease_ms: of all duties: how long one is held by nobody after a crash, at most, with the election after it.

    drift: bound on how much faster or slower a clock runs, as a part of its speed. gap: part of a lease; where more has
    passed between two events of an elector its clock has leapt, or it was stopped.
    """

    lease_ms: float = 3000.0
    drift: float = 0.05
    gap: float = 1 / 8

    @property
    def held(self) -> float:
        """How long a holder may act, by its own clock, from before it asked; the slowest clock then shows no more time
        than the fastest elector's is bound.
        """
        return self.bound * (1 - self.drift) / (1 + self.drift)

    @property
    def bound(self) -> float:
        """How long an elector is bound, by its own clock, from after it granted."""
        return self.lease_ms * BOUND


@dataclass(slots=True)
class Promise:
    """Of one duty."""

    term: int = 0
    seeker: str = ""
    boot: int = 0
    until: float = 0.0  # bound so long
    next: str = ""  # kept for whom, after it was handed on
    renewed: bool = False  # else it may be of one that has no majority, and will give it back
    queue: dict[str, float] = field(default_factory=dict)  # who asked in vain meanwhile, in order, and when last


@dataclass(slots=True)
class Kept:
    """Terms that must be on the disk before the answer goes out."""

    terms: dict[str, int] = field(default_factory=dict)


class Elector:
    """Messages in, answers out. Each answer to an Ask that granted must wait until `kept` is written."""

    def __init__(
        self,
        name: str,
        electors: tuple[str, ...],
        timing: Timing,
        now: float,
        boot: int,
        disk: Mapping[str, int] | None = None,
        version: int = 1,
        origin: int = 0,
    ) -> None:
        """boot: drawn anew at each start; disk: terms found there, which may be old, None where nothing can be read.

        origin: seconds of Unix time at the start, or 0. It only ever raises terms, where nobody remembers them.
        """
        self.origin = origin
        self.boot, self.time, self._clock = boot, 0.0, now
        self.name, self.electors, self.timing, self.version = name, electors, timing, version
        self.promises: dict[str, Promise] = {duty: Promise(term) for duty, term in (disk or {}).items()}
        self.out_until = timing.bound  # every lease granted before this start is over then
        self.intact = False
        self.heard: dict[str, Memory] = {}
        self.accepted: tuple[int, frozenset[str]] | None = None  # the next version, and its list

    @property
    def majority(self) -> int:
        return len(self.electors) // 2 + 1

    def _at(self, now: float) -> float:
        """This elector's own time, which stands still where its clock went too far from one event to the next.

        Guards against a clock that leaps ahead, beyond all bounds of drift: what it promised must not seem over by any
        part of that. After a stop it is bound for longer than need be, which is safe. look() must come more often.
        """
        passed, self._clock = now - self._clock, now
        if 0 < passed <= self.timing.gap * self.timing.lease_ms:
            self.time += passed
        return self.time

    # After a start

    def recall(self, now: float) -> list[tuple[str, Recall]]:
        """Questions to the others; to be asked again as long as it is not intact."""
        # Guards against a grant from before this start that wins together with one that another gives after it told
        # what it remembers: nobody is asked before no such grant can count any more.
        if self.intact or self._at(now) < self.out_until:
            return []
        return [(one, Recall(self.name, self.boot)) for one in self.electors if one != self.name]

    def recalled(self, message: Recall) -> Memory:
        """What it remembers, for one that has started."""
        return Memory(self.name, message.number, self.intact, {d: p.term for d, p in self.promises.items()})

    def remember(self, now: float, memory: Memory) -> Kept | None:
        """Another's answer; what is to be written, once this elector may take part."""
        # Guards against an answer to an earlier start, which is older than what was promised since.
        asked = memory.number == self.boot and memory.elector in self.electors and memory.elector != self.name
        if not self.intact and asked and self._at(now) >= self.out_until:
            self.heard[memory.elector] = memory
        return self.look(now)

    def look(self, now: float) -> Kept | None:
        """Whether it may take part now; ask again later if not."""
        if self._at(now) < self.out_until or self.intact or not self._knows_enough():
            return None
        self.intact = True
        self.heard.clear()
        return Kept({duty: promise.term for duty, promise in self.promises.items()})

    def _knows_enough(self) -> bool:
        intact = [memory for memory in self.heard.values() if memory.intact]
        if len(intact) >= self.majority:
            # Any term that a majority granted is remembered by one of these: this elector alone is missing there.
            self._raise(intact, 0)
            return True
        patient = self.time < self.out_until + self.timing.lease_ms / 4  # the others may answer yet
        if len(self.heard) + 1 >= self.majority and not patient:
            # Guards against disks that went back in time while no memory outlived them: far above all that is left, and
            # above all terms of earlier days, as far as the machine knows what day it is.
            self._raise(list(self.heard.values()), JUMP, self.origin * JUMP)
            return True
        return False

    def _raise(self, memories: list[Memory], by: int, least: int = 0) -> None:
        for memory in memories:
            for duty, term in memory.terms.items():
                promise = self.promises.setdefault(duty, Promise())
                promise.term = max(promise.term, term)
        if by:
            self.promises.setdefault(ANY, Promise())
            for promise in self.promises.values():
                promise.term = max(promise.term + by, least)

    def _of(self, duty: str) -> Promise:
        """A duty that nobody here remembers begins where all others were raised to."""
        if duty not in self.promises:
            self.promises[duty] = Promise(self.promises[ANY].term if ANY in self.promises else 0)
        return self.promises[duty]

    # In service

    def ask(self, now: float, ask: Ask) -> Say:
        """Grant, or say why not. Where it grants, its terms are to be written first."""
        now = self._at(now)
        promise = self._of(ask.duty)
        if ask.freed_by and (promise.term, promise.seeker, promise.boot) == (ask.freed, ask.freed_by, ask.freed_boot):
            promise.until, promise.next = min(promise.until, now), ""  # its own word may come later, or never
        mine = promise.seeker == ask.seeker and promise.boot == ask.boot
        bound = promise.seeker != "" and now < promise.until
        fits = ask.term > promise.term or (mine and ask.term == promise.term and bound and not promise.next)
        kept_for = bound and promise.next == ask.seeker
        granted = (
            self.intact
            and ask.version >= self.version
            and fits
            and (not bound or mine or kept_for)
            and not (mine and promise.next and bound)
        )
        if granted and not ask.dry:
            promise.renewed = mine and ask.term == promise.term
            promise.term, promise.seeker, promise.boot, promise.next = ask.term, ask.seeker, ask.boot, ""
            promise.until = now + self.timing.bound
            promise.queue.clear()
        wait = self._queued(now, promise, ask.seeker) if bound and not mine else 0.0
        if not self.intact:
            wait = max(wait, self.out_until - now, 0.0)
        return Say(
            ask.duty,
            ask.term,
            self.name,
            ask.number,
            granted,
            promise.term,
            wait,
            promise.next or promise.seeker if bound else "",
            self.version,
        )

    def _queued(self, now: float, promise: Promise, seeker: str) -> float:
        """How long one should wait: to the end of the promise, and a little for each that asked before it."""
        lease, queue = self.timing.lease_ms, promise.queue
        for name in [name for name, at in queue.items() if now - at > 1.5 * lease]:
            del queue[name]
        if len(queue) < QUEUE:
            queue.setdefault(seeker, now)
        if seeker in queue:
            queue[seeker] = now
        turn = next((i for i, name in enumerate(queue) if name == seeker), QUEUE)
        left = max(0.0, promise.until - now)
        return (left if promise.renewed else min(left, SOON * lease)) + turn * TURN * lease

    def free(self, now: float, free: Free) -> None:
        """A term comes back; where it is handed on the duty is kept a moment for whom it goes to."""
        now = self._at(now)
        promise = self.promises.get(free.duty)
        if promise is None or (promise.term, promise.seeker, promise.boot) != (free.term, free.seeker, free.boot):
            return
        if free.next and now < promise.until:
            promise.next = free.next
            promise.until = min(promise.until, now + self.timing.lease_ms / 4)
        else:
            promise.until = min(promise.until, now)

    def terms(self) -> Kept:
        """What the disk must hold before a grant is told."""
        return Kept({duty: promise.term for duty, promise in self.promises.items()})

    # The list of electors

    def propose(self, electors: tuple[str, ...], version: int) -> str:
        """Another list, one more or one fewer, is to follow the one in force; why it can't, else nothing.

        The first of a version is accepted and no other: so one list at most is accepted by a majority, which makes it
        the next one. What it accepted must be written before it is told.
        """
        if not self.intact:
            return "it has not yet heard what the others remember"
        if version != self.version + 1:
            return f"version {self.version} is in force here"
        if len(set(electors) ^ set(self.electors)) != 1 or len(electors) < 2:
            return "it is not one elector more or fewer"
        if self.accepted is not None and self.accepted != (version, frozenset(electors)):
            return "another list of that version was accepted"
        self.accepted = (version, frozenset(electors))
        return ""

    def install(self, electors: tuple[str, ...], version: int) -> bool:
        """A list that a majority of the one before it has accepted. False where it is in force, or an older one."""
        if version <= self.version:
            return False
        self.electors, self.version, self.accepted = electors, version, None
        return True
