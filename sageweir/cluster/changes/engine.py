"""The holder's side: stages begun, watched, halted and returned, as the register says and never before. Pure.

A book is written for each step, and acted on only once a majority has it (`writer.book`). Who takes the duty over reads
the register first and goes on from exactly there: what the gate had seen is lost with the last holder, so that a
stage's least time and calls begin anew, which is safe and costs time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from msgspec import structs

from sageweir.cluster.changes.before import Before
from sageweir.cluster.changes.forms import Spoken
from sageweir.cluster.changes.gate import BESIDE, ELSEWHERE, TRIES, Bounds, Gate, Verdict, Word, less
from sageweir.cluster.changes.messages import (
    BODY_BYTES,
    PROGRAM,
    RULES,
    SHARDS,
    Book,
    News,
    Permit,
    Phase,
    Plan,
    Proven,
    Report,
)
from sageweir.cluster.changes.plan import Fleet, Member, draw_plan, hindrance
from sageweir.cluster.changes.register import Out, Writer, encode

NOTHING = Verdict(Word.WAIT, "nothing is under way")
OVER = (Phase.NONE, Phase.HALTED, Phase.DONE)
TURN_PERMITS, TURN_PART = 10, 0.1  # a turn lasts so many permits; members of a zone that have one at a time
PASTS = 2  # times of soaking that a holder must have watched members before a program begins; `go` ends the wait
FRESH_MS = 10_000.0  # what a member told counts so long


@dataclass(frozen=True, slots=True)
class Terms:
    """permit_ms: of a permit, as a member counts it; drift: bound on how much clocks differ, a part."""

    permit_ms: float = 6000.0
    drift: float = 0.05

    @property
    def over_ms(self) -> float:
        """A permit that was given before is surely over after so long, by the holder's clock."""
        return self.permit_ms * (1 + 2 * self.drift)


@dataclass(slots=True)
class Seen:
    """What a member told last."""

    report: Report
    at: float
    since: float  # it has reported the same `has` since then
    zone: str
    rate: float = 0.0


@dataclass(slots=True)
class Wish:
    """What an operator asks for. begin: kind and digest of a change."""

    begin: tuple[str, str] | None = None
    halt: str = ""
    go: bool = False


@dataclass(slots=True)
class Engine:
    """make_gate: of a change that begins now; writer: the register. draw: of plans and blocks."""

    name: str
    writer: Writer
    terms: Terms
    bounds: Bounds
    make_gate: Callable[[float], Gate]
    draw: Random
    plans: dict[str, Plan] = field(default_factory=dict)  # by content's name
    gate: Gate | None = None
    seen: dict[str, Seen] = field(default_factory=dict)
    wish: Wish = field(default_factory=Wish)
    verdict: Verdict = NOTHING
    began: float = 0.0  # when the present book was taken up
    stepped: int = -1  # of the book that was taken up
    memory: int = 0  # the highest number that members told of
    missing: str = ""  # a plan that is not here
    holding: bool = False
    before: Before = field(default_factory=Before)
    spoken: Spoken = field(default_factory=Spoken)
    compares: int = 0  # dual reads of each kind of question that must agree before shards are cut over
    turns: dict[str, float] = field(default_factory=dict)  # members that may start another program: since when
    _next_plan: str = ""
    _held_up: float | None = None  # since when members that have not changed over, or can't read it, hold it up
    _agreed: dict[tuple[str, int], tuple[int, ...]] = field(default_factory=dict)  # when the present book came

    # The duty

    def took(self, now: float, term: int) -> Out:
        self.gate, self.stepped, self.holding, self.wish = None, -1, True, Wish()
        self.seen.clear()
        self.spoken = Spoken()
        return self.writer.took(now, term)

    def lost(self) -> None:
        self.writer.lost()
        self.gate, self.holding = None, False

    @property
    def book(self) -> Book:
        return self.writer.book

    @property
    def plan(self) -> Plan | None:
        return self.plans.get(self.book.plan)

    @property
    def known(self) -> bool:
        """The register has been read under this term."""
        return self.holding and (self.writer.ready or self.stepped >= 0)

    # Members

    def asked(self, now: float, name: str, zone: str, report: Report, left: bool = False) -> Permit | None:
        """A member's report, and whether it may have the change; None: nothing is said. left: an earlier process of
        that name took leave.
        """
        last = self.seen.get(name)
        crashed = last is not None and last.report.boot != report.boot and not left
        if last is not None and self.known and self.book.kind == PROGRAM and last.report.has != report.has:
            crashed = False  # another program took its place, as it was to
        rate = last.rate if last is not None else 0.0
        if last is not None and last.report.boot == report.boot and report.rows and report.up_ms > last.report.up_ms:
            taken = sum(row.taken for row in report.rows) - sum(row.taken for row in last.report.rows)
            rate += 0.1 * (1000.0 * max(0, taken) / (report.up_ms - last.report.up_ms) - rate)
        same = last is not None and last.report.has == report.has and not crashed
        self.seen[name] = Seen(report, now, last.since if same and last is not None else now, zone, rate)
        self.memory = max(self.memory, report.number, report.floor)
        if not self.known:
            return None
        book, plan = self.book, self.plan
        allowed = self.allowed()
        if self.gate is not None and plan is not None:
            self.gate.reported(now, name, zone, report, crashed, book.number, self.group(name, zone), self.counted(now))
        elif book.phase in OVER and last is not None and not report.has and not last.report.has:
            rows = less(report, last.report)
            if rows is not None:
                self.before.add(name, rows, max(0, report.up_ms - last.report.up_ms))
        if book.phase in OVER:
            # Guards against a word to stop what has just been proven, which the member has not heard of yet.
            ended = report.has and report.has != book.of(book.kind).number
            return Permit(book.floor, book.kind, book.digest, 0) if ended else None
        if plan is None and book.phase is not Phase.BACK:
            return None  # a new holder that has to fetch the plan first: it knows nothing against what members run
        if book.kind == PROGRAM and not self._turn(now, name, zone, report.has):
            return None
        new = plan is not None and self.newcomers and name not in plan.allowed(len(plan.stages))
        may = (name in allowed or new) and not report.why
        if not may and not report.has and name not in (plan.allowed(book.stage) if plan is not None else ()):
            return None
        return Permit(book.number, book.kind, book.digest, int(self.terms.permit_ms) if may else 0)

    def group(self, name: str, zone: str) -> str:
        """Whose calls a member's are, in a switchback."""
        book, plan = self.book, self.plan
        if plan is None or zone not in self._zones(plan, book):
            return ELSEWHERE
        return TRIES if name in plan.allowed(book.stage) else BESIDE

    def counted(self, now: float) -> bool:
        """Whether calls that end now belong to the switchback's block."""
        return self.book.phase is Phase.DOUBT and now - self.began >= self._settling()

    def _settling(self) -> float:
        return max(self.bounds.settle_ms, self.terms.over_ms if not self.book.on else 0.0)

    def _turn(self, now: float, name: str, zone: str, has: int) -> bool:
        """Of a program: whether a member may be told anything now. Few of a zone start another one at a time, and where
        it goes back only those of the stage that returns, and later ones.
        """
        book, plan = self.book, self.plan
        target = 0 if book.phase is Phase.BACK else book.number
        if plan is not None and book.phase is Phase.BACK and name in plan.allowed(book.stage - 1):
            return False
        if has == target or (target and name not in self.allowed()):
            self.turns.pop(name, None)
            return True
        lasts = TURN_PERMITS * self.terms.permit_ms
        self.turns = {
            one: at
            for one, at in self.turns.items()
            if now - at < lasts and one in self.seen and self.seen[one].report.has != target
        }
        if name in self.turns:
            return True
        here = sum(seen.zone == zone for seen in self.seen.values())
        if sum(self.seen[one].zone == zone for one in self.turns) >= max(1, int(TURN_PART * here)):
            return False
        self.turns[name] = now
        return True

    def _untaken(self) -> str:
        """Of a program: members of the stages so far that don't run it yet."""
        plan, book = self.plan, self.book
        if book.kind != PROGRAM or plan is None:
            return ""
        names = sorted(
            name for name in plan.allowed(book.stage) if name in self.seen and self.seen[name].report.has != book.number
        )
        return f"{', '.join(names[:4])} of {len(names)} have not changed over yet" if names else ""

    def allowed(self) -> frozenset[str]:
        """Members that may run the change now."""
        book, plan = self.book, self.plan
        if plan is None or book.phase not in (Phase.RUN, Phase.DOUBT) or not book.on:
            return frozenset()
        return plan.allowed(book.stage)

    @property
    def newcomers(self) -> bool:
        """Whether members that the plan does not know may have it: shards, once all of the plan may. A new owner that
        has no word of theirs can't agree with an old one that has.
        """
        book, plan = self.book, self.plan
        return (
            book.kind == SHARDS and book.phase is Phase.RUN and plan is not None and book.stage + 1 >= len(plan.stages)
        )

    @staticmethod
    def _zones(plan: Plan, book: Book) -> set[str]:
        return {zone for zone, _ in zip(plan.zones, range(book.stage + 1), strict=False)}

    def news(self) -> News | None:
        """What all are told at each beat, once the register is known."""
        book = self.book
        return (
            News(book.floor, book.proven, book.number, book.phase, book.why, self.spoken.form) if self.known else None
        )

    # Operators

    def propose(self, now: float, kind: str, digest: str, fleet: Fleet) -> tuple[str, Plan | None]:
        """Why a change can't begin now, else its plan, which must be kept by content before `begin` is called."""
        if not self.known or not self.writer.ready:
            return "the register has not been read yet, or is being written", None
        if self.book.phase not in OVER:
            return f"change {self.book.number} is under way ({self.book.phase.value})", None
        if self.wish.begin is not None:
            return "another was proposed just now", None
        if self.book.of(kind).digest == digest:
            return "it is in force already", None
        self._listen(fleet)
        if why := self.spoken.hinders(kind):
            return why, None
        rates = {name: seen.rate for name, seen in self.seen.items()}
        members = [Member(one.name, one.zone, rates.get(one.name, 0.0)) for one in fleet.members]
        try:
            return "", draw_plan(max(self.book.number, self.memory) + 1, members, self.draw)
        except ValueError as error:
            return str(error), None

    def begin(self, plan_digest: str, plan: Plan, kind: str, digest: str) -> None:
        """The plan and the content are here: the first stage may begin when nothing hinders it."""
        self.plans[plan_digest] = plan
        self.wish = Wish((kind, digest))
        self._next_plan = plan_digest

    # Time

    def wake(self, now: float, fleet: Fleet) -> tuple[Out, Book | None]:
        """What is to be sent, and the book that is to be written next, if any (`write`)."""
        if not self.holding:
            return [], None
        out = self.writer.wake(now)
        if not self.writer.ready:
            return out, None
        self._listen(fleet)
        if self.stepped != self.book.step:
            self._taken_up(now)
        if self.gate is not None:
            self.gate.look(now)
        return out, self._decide(now, fleet)

    def _listen(self, fleet: Fleet) -> None:
        """Which forms of messages members read; only those of the view count."""
        told = {name: seen.report.forms for name, seen in self.seen.items()}
        self.spoken.look([one.name for one in fleet.members], told, self.book.phase in OVER)

    def write(self, now: float, book: Book) -> Out:
        """Have a book written. Raises ValueError where it can't follow."""
        blobs = tuple(name for name in (book.plan, book.digest) if name and book.phase not in OVER)
        return self.writer.write(now, book, blobs)

    def _taken_up(self, now: float) -> None:
        """A book is in force from now on."""
        before, self.stepped, book = self.stepped, self.book.step, self.book
        self._agreed = {(name, seen.report.boot): seen.report.agreed for name, seen in self.seen.items()}
        fresh = before < 0
        self.began = now
        self.turns.clear()
        self.wish.go, self._held_up = False, None
        if book.phase in OVER:
            if self.gate is not None and book.phase is Phase.DONE:
                self.before.clear()
            self.gate = None
            self.wish.halt = ""
        elif self.gate is None:
            self.gate = self.make_gate(now)
            self.gate.last = {name: seen.report for name, seen in self.seen.items()}
            self.gate.usual = self.before.usual(self.gate.late_worths, self.gate.weights)
            if book.kind == PROGRAM:
                self.gate.switchable = False  # off and on at once: strong evidence halts
        elif book.phase is Phase.RUN:
            self.gate.begin(now)
        if fresh and self.gate is not None:
            self.gate.drop_block()
        self.missing = book.plan if book.plan and book.phase not in OVER and book.plan not in self.plans else ""

    def _step(self, why: str, **change: Any) -> Book:
        """The next book. The reason is cut to what fits."""
        book = structs.replace(self.book, step=self.book.step + 1, why=why[:150], **change)
        while len(encode(book)) > BODY_BYTES and book.why:
            book = structs.replace(book, why=book.why[: len(book.why) // 2])
        return book

    def _decide(self, now: float, fleet: Fleet) -> Book | None:
        book = self.book
        match book.phase:
            case Phase.NONE | Phase.HALTED | Phase.DONE:
                return self._may_begin(now, fleet)
            case Phase.BACK:
                return self._back(now)
            case _ if self.plan is None:
                self.missing = book.plan
                return None
            case _ if self.wish.halt:
                return self._halt(f"by the operator: {self.wish.halt}")
            case Phase.RUN:
                return self._run(now, fleet)
            case Phase.DOUBT:
                return self._doubt(now)
        return None

    def _may_begin(self, now: float, fleet: Fleet) -> Book | None:
        if self.wish.begin is None:
            return None
        if why := hindrance(fleet):
            self.verdict = Verdict(Word.WAIT, why)
            return None
        kind, digest = self.wish.begin
        past, wanted = self.before.known_ms([one.name for one in fleet.members]), PASTS * self.bounds.soak_ms
        if kind == PROGRAM and past < wanted and not self.wish.go:
            # It can't be switched off and on: what members differ by anyhow must be known beforehand.
            self.verdict = Verdict(Word.WAIT, f"{past:.0f} of {wanted:.0f} ms of what members do without it")
            return None
        plan = self.plans[self._next_plan]
        self.wish = Wish()
        if plan.number <= max(self.book.number, self.memory):
            self.verdict = Verdict(Word.WAIT, f"number {plan.number} is taken")
            return None
        return self._step(
            "proposed",
            number=plan.number,
            floor=max(self.book.floor, plan.number - 1),
            kind=kind,
            digest=digest,
            plan=self._next_plan,
            stage=0,
            phase=Phase.RUN,
            block=0,
            on=True,
        )

    def _halt(self, why: str) -> Book:
        self.verdict = Verdict(Word.HALT, why)
        return self._step(why, phase=Phase.BACK, floor=self.book.number)

    def _refusal(self) -> str:
        """A member of the stages so far that says that it can't take the change up."""
        allowed = self.plan.allowed(self.book.stage) if self.plan is not None else frozenset()
        return next(
            (f"{name}: {seen.report.why}" for name, seen in self.seen.items() if name in allowed and seen.report.why),
            "",
        )

    def _run(self, now: float, fleet: Fleet) -> Book | None:
        book, plan, gate = self.book, self.plan, self.gate
        assert plan is not None and gate is not None
        if why := self._refusal():
            return self._halt(why)
        self.verdict = gate.side_by_side(now)
        why = self._untaken() or self.spoken.hinders(book.kind)
        # Guards against halting a stage that has soaked for long because somebody started anew, or joined, just now.
        self._held_up = (now if self._held_up is None else self._held_up) if why else None
        if self._held_up is not None and self.verdict.word is Word.GO:
            if now - self._held_up > self.bounds.longest_ms:
                return self._halt(why)
            self.verdict = Verdict(Word.WAIT, why)
        match self.verdict.word:
            case Word.HALT:
                return self._halt(self.verdict.why)
            case Word.DOUBT:
                return self._switch(self.verdict.why)
            case Word.GO if self._wants_trial():
                gate.trial = True
                return self._switch(f"on trial, without a doubt: {self.verdict.why}")
            case Word.GO if book.stage + 1 < len(plan.stages):
                # All but those kept apart have it: what shows late shows while there is something to compare with.
                last = book.stage + 1 == len(plan.stages) - plan.last_stages
                if last and plan.apart and self._soaks(now, gate):
                    return None
                if why := hindrance(fleet):
                    self.verdict = Verdict(Word.WAIT, why)
                    return None
                return self._step(self.verdict.why, stage=book.stage + 1)
            case Word.GO:
                if not plan.apart and self._soaks(now, gate):
                    return None
                if why := self._uncompared():
                    if now - self.began > self.bounds.longest_ms:
                        return self._halt(why)
                    self.verdict = Verdict(Word.WAIT, why)
                    return None
                proven = [one for one in book.proven if one.kind != book.kind]
                proven.append(Proven(book.kind, book.number, book.digest))
                return self._step(
                    self.verdict.why,
                    phase=Phase.DONE,
                    floor=book.number,
                    proven=tuple(sorted(proven, key=lambda one: one.kind)),
                )
        if self.wish.go and book.stage + 1 < len(plan.stages) and not hindrance(fleet):
            return self._step("by the operator", stage=book.stage + 1)
        return None

    def _switch(self, why: str) -> Book:
        """Off first or on first, by chance; blocks are counted in pairs."""
        block = self.book.block
        return self._step(why, phase=Phase.DOUBT, block=block - block % 2 + 2, on=self.draw.random() < 0.5)

    def _wants_trial(self) -> bool:
        """Old and new share servers: what takes from its neighbours shows where about half of a zone has it."""
        book, plan, gate = self.book, self.plan, self.gate
        if book.kind != RULES or plan is None or gate is None or gate.tried or not self.bounds.tried:
            return False
        first = [
            len(names)
            for names, zone in zip(plan.stages, plan.zones, strict=True)
            if zone == plan.zones[0] and names[0] not in plan.apart
        ]
        whole = sum(first) + sum(
            len(names)
            for names, zone in zip(plan.stages, plan.zones, strict=True)
            if zone == plan.zones[0] and names[0] in plan.apart
        )
        parts = [sum(first[: stage + 1]) / whole for stage in range(len(first))]
        return max(range(len(first)), key=lambda i: parts[i] * (1 - parts[i])) <= book.stage < len(first)

    def _uncompared(self) -> str:
        """Why shards can't be cut over yet: too few dual reads of some kind have agreed since all have the change."""
        if self.book.kind != SHARDS or not self.compares:
            return ""
        agreed = [0] * 4
        for name, seen in self.seen.items():
            before = self._agreed.get((name, seen.report.boot), ())
            for i, count in enumerate(seen.report.agreed):
                agreed[i] += max(0, count - (before[i] if i < len(before) else 0))
        if min(agreed) >= self.compares:
            return ""
        return f"dual reads agreed so far, by kind of question: {agreed}, {self.compares} of each are wanted"

    def _soaks(self, now: float, gate: Gate) -> bool:
        """Whether it is to be watched for longer; an operator's `go` ends that."""
        soaked = now - gate.began
        bounds, enough = self.bounds, gate.busy >= self.bounds.busy_windows
        if soaked >= max(gate.soak_ms, 0 if enough else 2 * bounds.soak_ms) or self.wish.go:
            return False
        why = f"{soaked:.0f} of {gate.soak_ms:.0f} ms of soaking"
        if soaked >= gate.soak_ms:
            why = f"{gate.busy} of {bounds.busy_windows} windows under a burst, {soaked:.0f} ms of soaking"
        self.verdict = Verdict(Word.WAIT, why)
        return True

    def _doubt(self, now: float) -> Book | None:
        book, gate = self.book, self.gate
        assert gate is not None
        if why := self._refusal():
            return self._halt(why)
        if (halt := gate.halting()) is not None:
            return self._halt(halt.why)
        if now - self.began < self.bounds.block_ms + self._settling():
            return None
        first = book.block % 2 == 0
        gate.end_block(book.on, first)
        self.verdict = gate.switched() if not first else self.verdict
        if not first:
            if self.verdict.word is Word.HALT:
                return self._halt(self.verdict.why)
            if self.verdict.word is Word.CLEAR:
                gate.tried = gate.tried or self._wants_trial()
                gate.clear(now)
                return self._step(self.verdict.why, phase=Phase.RUN, on=True)
        on = not book.on if first else self.draw.random() < 0.5
        return self._step(self.verdict.why if not first else book.why, block=book.block + 1, on=on)

    def _back(self, now: float) -> Book | None:
        """Newest members first: a stage's members have all said that they are back, or their permits are over."""
        book, plan = self.book, self.plan
        if plan is None and now - self.began < self.terms.over_ms:
            self.missing = book.plan
            return None
        names: Sequence[str] = plan.stages[book.stage] if plan is not None and book.stage >= 0 else ()
        # A program is there until its starter has acted, whatever its permit says.
        over = now - self.began >= (self.bounds.longest_ms if book.kind == PROGRAM else self.terms.over_ms)
        if not over and not all(self._is_back(name) for name in names):
            return None
        if plan is not None and book.stage > 0:
            return self._step(book.why, stage=book.stage - 1)
        return self._step(book.why, stage=-1, phase=Phase.HALTED)

    def _is_back(self, name: str) -> bool:
        seen = self.seen.get(name)
        if seen is None or seen.at <= self.began:
            return False
        return seen.report.has == 0 and seen.report.floor >= self.book.floor

    def fleet_trouble(self, now: float) -> tuple[str, ...]:
        """Members whose last report says that most of their calls fail; by totals, a blunt look."""
        found = []
        for name, seen in self.seen.items():
            ended = sum(row.served + row.late + row.refused + row.failed for row in seen.report.rows)
            failed = sum(row.failed for row in seen.report.rows)
            if now - seen.at < FRESH_MS and ended >= 20 and failed > 0.5 * ended:
                found.append(name)
        return tuple(found)

    def show(self) -> Mapping[str, Any]:
        """For operators."""
        book, plan = self.book, self.plan
        stage = plan.stages[book.stage] if plan is not None and 0 <= book.stage < len(plan.stages) else ()
        return {
            "known": self.known,
            "number": book.number,
            "floor": book.floor,
            "kind": book.kind,
            "digest": book.digest,
            "phase": book.phase.value,
            "stage": book.stage,
            "stages": len(plan.stages) if plan is not None else 0,
            "members_of_stage": list(stage),
            "zone": plan.zones[book.stage] if stage and plan is not None else "",
            "on": book.on,
            "block": book.block,
            "step": book.step,
            "why": book.why,
            "verdict": self.verdict.word.value,
            "verdict_why": self.verdict.why,
            "form": self.spoken.form,
            "forms": self.spoken.why,
            "have_it": sorted(n for n, s in self.seen.items() if s.report.has),
            "proven": {one.kind: [one.number, one.digest] for one in book.proven},
            "gate": self.gate.show() if self.gate is not None else None,
        }
