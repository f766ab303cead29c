"""One member that wants a duty, holds it, renews it, and hands it on. Pure; the clock is monotonic, ms, handed in.

A holder counts its lease from before it asked. It looks again after every wait (`holds`), as it may have been stopped:
what it does after its lease is void even if it does not know yet, and fences refuse it once they saw a later term.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from sageweir.cluster.duties.elector import Timing
from sageweir.cluster.duties.messages import Ask, Free, Hand, Message, Say

NEVER = float("-inf")
FIRST = 0.01  # parts of a lease: candidates are spread over so much when a lease runs out
PATIENCE = (0.36, 0.44)  # since the holder's last word to all, which comes at each third
Out = tuple[str, Message]  # to whom, what


class Stage(Enum):
    """Where a seeker stands with one duty."""

    IDLE = "idle"  # waits, or does not want it
    SOUNDING = "sounding"  # asks whether it would be granted
    ASKING = "asking"
    HOLDING = "holding"
    HANDING = "handing on"  # the state is on its way to the next


@dataclass(slots=True)
class Round:
    """Answers to one question to all electors."""

    number: int
    asked_at: float
    yes: set[str] = field(default_factory=set)
    no: set[str] = field(default_factory=set)
    waits: list[float] = field(default_factory=list)  # that those told who said no


class Seeker:
    """One duty. Each method gives what is to be sent; due() says when to call wake()."""

    def __init__(
        self,
        duty: str,
        name: str,
        boot: int,
        electors: tuple[str, ...],
        timing: Timing,
        draw: Random,
        version: int = 1,
        wants: bool = True,
    ) -> None:
        self.duty, self.name, self.boot, self.electors = duty, name, boot, electors
        self.timing, self.draw, self.version, self.wants = timing, draw, version, wants
        self.stage, self.term, self.until, self.seen = Stage.IDLE, 0, NEVER, 0
        self.holder = ""  # who holds it, as electors last said
        self.state = b""  # what was handed over along with the duty
        self.why = "started"
        self.round: Round | None = None
        self.next = ""
        self.failures = self.eager = 0  # tries in vain; quick tries that are left, after the duty was handed to it
        self.freed = (0, "", 0)  # the term that was handed to it, whose it was, and that one's boot
        self.taken = 0  # the latest term that was handed to it, or was to be
        self._last = NEVER  # the latest time seen
        self._at = 0.0  # when to do the next thing
        self._number = draw.getrandbits(32)

    @property
    def majority(self) -> int:
        return len(self.electors) // 2 + 1

    def holds(self, now: float) -> int | None:
        """The term under which it may act at this moment; None: it may not."""
        self._look(now)
        acting = self.stage in (Stage.HOLDING, Stage.HANDING)
        return self.term if acting and now < self.until else None

    def _look(self, now: float) -> None:
        """To be called first in all that is told the time."""
        if now < self._last:
            # A clock that goes back tells nothing any more: the lease counts as over, and so does what was asked.
            self.until, self.round = NEVER, None
            self._at = min(self._at, now + self.timing.lease_ms / 4)
        self._last = now

    def due(self) -> float:
        """When wake() is wanted."""
        return self._at

    def start(self, now: float) -> None:
        self._at = now + self.draw.uniform(0.0, self.timing.lease_ms / 4)

    def wake(self, now: float) -> list[Out]:
        """Time has passed."""
        self._look(now)
        if now < self._at:
            return []
        if self.stage in (Stage.HOLDING, Stage.HANDING):
            if now >= self.until:
                return self._lost(now, "its lease ran out")
            if self.stage is Stage.HANDING:
                return self._let_go(now, "")  # the next one never took the state: free for all
            return self._renew(now)
        if self.stage is Stage.IDLE:
            return self._question(now, dry=True) if self.wants else self._later(now, self.timing.lease_ms)
        return self._gave_up(now)

    def said(self, now: float, say: Say) -> list[Out]:
        """An elector's answer."""
        self._look(now)
        if say.duty != self.duty or say.elector not in self.electors:
            return []
        self.seen = max(self.seen, say.seen)
        if say.holder:
            self.holder = say.holder
        if self.round is None or say.number != self.round.number or say.term != self.term:
            return []
        if self.stage in (Stage.HOLDING, Stage.HANDING) and now >= self.until:
            return self._lost(now, "its lease ran out")  # for good: a late answer brings no term back
        if say.elector in self.round.yes or say.elector in self.round.no:
            return []
        (self.round.yes if say.granted else self.round.no).add(say.elector)
        if not say.granted:
            self.round.waits.append(say.wait_ms)
        if len(self.round.yes) >= self.majority:
            return self._won(now, self.round)
        if len(self.round.no) > len(self.electors) - self.majority and self.stage is not Stage.HOLDING:
            return self._gave_up(now)
        return []

    def install(self, now: float, electors: tuple[str, ...], version: int) -> list[Out]:
        """Another list of electors is in force. A lease that is held goes on; what was asked is asked anew."""
        self._look(now)
        if version <= self.version:
            return []
        out = self._gave_up(now) if self.stage in (Stage.SOUNDING, Stage.ASKING) else []
        self.electors, self.version, self.round = electors, version, None
        if self.stage is Stage.HOLDING:
            self._at = now
        return out

    def noticed(self, now: float, term: int, holder: str) -> None:
        """The holder has told that it holds the duty: no need to ask electors for a while."""
        self._look(now)
        if self.stage is Stage.IDLE:
            self.holder, self.seen = holder, max(self.seen, term)
            self._at = max(self._at, now + self.draw.uniform(*PATIENCE) * self.timing.lease_ms)

    def above(self, now: float, term: int) -> list[Out]:
        """Something that is acted on has seen a higher term: what is held is worth nothing, the next is to be above."""
        self.seen = max(self.seen, term)
        acting = self.stage in (Stage.HOLDING, Stage.HANDING) and term > self.term
        return self._lost(now, f"term {term} was seen") if acting else []

    # Asking

    def _question(self, now: float, dry: bool) -> list[Out]:
        self.term = self.seen + 1 if dry else self.term
        self.stage = Stage.SOUNDING if dry else Stage.ASKING
        if not dry:
            # Guards against asking for a term again that was given up: what frees it may arrive later.
            self.seen = max(self.seen, self.term)
        # Answers may be late, or never come; the more tries were in vain the longer they are waited for.
        return self._ask(now, dry, self.timing.lease_ms / 4 * 2.0 ** min(0, self.failures - 2))

    def _ask(self, now: float, dry: bool, patience: float) -> list[Out]:
        self._number += 1
        self.round = Round(self._number, now)
        self._at = now + patience
        ask = Ask(self.duty, self.term, self.name, self.boot, self._number, self.version, dry, *self.freed)
        return [(one, ask) for one in self.electors]

    def _renew(self, now: float) -> list[Out]:
        return self._ask(now, False, min(self.timing.lease_ms / 6, max(1.0, self.until - now)))

    def _won(self, now: float, won: Round) -> list[Out]:
        if self.stage is Stage.SOUNDING:
            return self._question(now, dry=False)
        if self.stage is Stage.ASKING:
            handed = f"handed on by {self.freed[1]}, " if self.freed[1] and self.eager else ""
            self.why, self.freed = f"{handed}granted by {', '.join(sorted(won.yes))}", (0, "", 0)
        self.round, self.failures = None, 0
        self.until = max(self.until, won.asked_at + self.timing.held)
        if now >= self.until:
            return self._lost(now, "the grants came too late")
        self.stage, self.holder, self.seen = Stage.HOLDING, self.name, max(self.seen, self.term)
        self._at = min(now + self.timing.lease_ms / 3, self.until)
        return []

    def _gave_up(self, now: float) -> list[Out]:
        """No majority: what was granted is given back, and the next try is later, by chance."""
        asked, waits = self.stage is Stage.ASKING, self._free_in(self.round)
        self.stage, self.round = Stage.IDLE, None
        self.failures = min(5, self.failures + 1) if asked or not waits else 0
        if self.eager:
            # The holder's word to the electors may come after this one's question.
            self.eager -= 1
            self._at = now + self.timing.lease_ms / 60
            return self._free("") if asked else []
        # Where another holds it, soon after that one's lease would end; else later the more tries were in vain.
        spread = FIRST * 2**self.failures * self.timing.lease_ms
        self._at = now + (0.0 if asked else waits) + self.draw.uniform(0.1, 1.0) * spread
        return self._free("") if asked else []

    def _free_in(self, asked: Round | None) -> float:
        """When a majority may be bound to nobody, by what was told; ms."""
        waits = sorted([0.0] * len(asked.yes) + asked.waits) if asked is not None else []
        return waits[min(self.majority, len(waits)) - 1] if waits else 0.0

    def _later(self, now: float, after: float) -> list[Out]:
        self._at = now + after
        return []

    def _free(self, to: str) -> list[Out]:
        free = Free(self.duty, self.term, self.name, self.boot, to)
        return [(one, free) for one in self.electors]

    def _lost(self, now: float, why: str) -> list[Out]:
        self.stage, self.round, self.until, self.why, self.state = Stage.IDLE, None, NEVER, why, b""
        return self._later(now, self.draw.uniform(0.1, 0.5) * self.timing.lease_ms) or self._free("")

    # Handing on

    def hand_over(self, now: float, to: str, state: bytes) -> list[Out]:
        """Hand the duty to another member; nothing where it is not held."""
        if self.holds(now) is None or self.stage is not Stage.HOLDING or to == self.name:
            return []
        self.stage, self.next, self.round = Stage.HANDING, to, None
        self._at = min(self.until, now + self.timing.lease_ms / 4)
        return [(to, Hand(self.duty, self.term, self.name, self.boot, state))]

    def rest(self, now: float, to: str, state: bytes) -> list[Out]:
        """Hold the duty no longer, and don't ask for it: it goes to that member, or, if to nobody, is free for all."""
        self.wants = False
        if self.holds(now) is None:
            return []
        return self.hand_over(now, to, state) if to else self._let_go(now, "")

    def resign(self, now: float) -> list[Out]:
        """Give the duty up, as this process ends."""
        return self.rest(now, "", b"")

    def _let_go(self, now: float, to: str) -> list[Out]:
        """From here on it does not act; then electors are told, and the next one."""
        term = self.term
        self.stage, self.until, self.round, self.why = Stage.IDLE, NEVER, None, f"handed to {to}" if to else "given up"
        self._at = now + self.timing.lease_ms / 2
        out = self._free(to)
        return [*out, (to, Hand(self.duty, term, self.name, self.boot, go=True))] if to else out

    def handed(self, now: float, hand: Hand) -> list[Out]:
        """A word of another holder, or of the next one."""
        self._look(now)
        if hand.duty != self.duty:
            return []
        if hand.back:
            mine = self.stage is Stage.HANDING and hand.term == self.term and hand.seeker == self.next
            return self._let_go(now, self.next) if mine else []
        # Guards against words that come late. Terms that were only asked for, by whomever, may be higher.
        if self.stage in (Stage.HOLDING, Stage.HANDING) or not self.wants or hand.term < self.taken:
            return []
        self.taken, self.seen = hand.term, max(self.seen, hand.term)
        if not hand.go:
            self.state = hand.state
            return [(hand.seeker, Hand(self.duty, hand.term, self.name, self.boot, back=True))]
        self.term, self.eager, self.freed = self.seen + 1, 3, (hand.term, hand.seeker, hand.boot)
        return self._question(now, dry=False)
