"""Duties in virtual time under random faults: the program's own electors and seekers, and a thing that is acted on.

Every process is an elector (the first of them) and a seeker. Each holder acts again and again; the acts travel like all
else, so that they come late, twice and out of order at the fence, which is the judge.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from sageweir.cluster.leases.candidate import Candidate, Stage
from sageweir.cluster.leases.fence import Fence
from sageweir.cluster.leases.messages import (
    HolderHeartbeat,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    TermsQuery,
    TermsReply,
    Transfer,
)
from sageweir.cluster.leases.voter import Timing, Voter
from sageweir.lab.faults.script import Fault, Links, last_end, partition, steps

DUTY = "cold-warden"
WAY_MS = (1.0, 10.0)  # a datagram's way; a round trip takes 11 ms in the mean
ACT_MS = 50.0  # between a holder's acts
PERIOD_MS = 250.0  # of fault scripts
ACTING = (Stage.HOLDING, Stage.TRANSFERRING)
MakeElector = Callable[..., Voter]
MakeSeeker = Callable[..., Candidate]


@dataclass(slots=True, eq=False)
class Process:
    """A process: its clock, its disk, and what it is."""

    name: str
    seeker: Candidate
    elector: Voter | None
    offset: float
    speed: float
    disk: dict[str, int] = field(default_factory=dict)
    past: list[dict[str, int]] = field(default_factory=list)  # what the disk held earlier
    running: bool = True
    stopped: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)


class DutySimulator:
    """Times are ms. Everything follows from the seed."""

    def __init__(
        self,
        electors: int,
        members: int,
        seed: int,
        timing: Timing,
        elector: MakeElector = Voter,
        seeker: MakeSeeker = Candidate,
    ) -> None:
        self.draw, self.timing = Random(seed), timing
        self.make_elector, self.make_seeker = elector, seeker
        self.names = [f"m{i}" for i in range(members)]
        self.electors = tuple(self.names[:electors])
        self.now, self._count = 0.0, 0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self.links, self.fence = Links(), Fence()
        self.found: list[str] = []
        self.acts = self.refused = self.messages = 0
        self.admitted: list[tuple[float, int, str]] = []  # acts that the fence took: when, term, whose
        self.held: list[tuple[float, float, str, int]] = []  # stretches of holding: from, to, who, term
        self._holding: tuple[str, int] | None = None
        self.lies: set[str] = set()  # processes whose disks take writes and keep nothing
        self.processes = {name: self._make(name, first=True) for name in self.names}

    def _make(self, name: str, first: bool = False, disk: dict[str, int] | None = None) -> Process:
        speed = 1 + self.draw.uniform(-1, 1) * self.timing.drift
        offset = self.draw.uniform(0.0, 1e6)
        boot, now = self.draw.getrandbits(40), offset + speed * self.now
        elector = None
        if name in self.electors:
            origin = 10**9 + int(self.now / 1000)
            elector = self.make_elector(name, self.electors, self.timing, now, boot, disk, 1, origin)
        seeker = self.make_seeker(DUTY, name, boot, self.electors, self.timing, Random(self.draw.getrandbits(40)))
        process = Process(name, seeker, elector, offset, speed, dict(disk or {}))
        seeker.start(now)
        self.after(0.0, lambda: self._tick(process))
        self.after(0.0, lambda: self._act(process))
        self.after(self.draw.uniform(0.0, self.timing.lease_ms / 3), lambda: self._notice(process))
        return process

    # Events

    def after(self, ms: float, what: Callable[[], object]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now + ms, self._count, what))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self._events and self._events[0][0] <= end:
            self.now, _, what = heapq.heappop(self._events)
            what()
            self._look()
        self.now = end

    def clock(self, process: Process) -> float:
        return process.offset + process.speed * self.now

    def _to(self, process: Process, what: Callable[[], list[tuple[str, Any]]]) -> None:
        if not process.running:
            return
        if process.stopped:
            if len(process.waiting) < 200:
                process.waiting.append(lambda: self._to(process, what))
            return
        for to, message in what():
            self._send(process, to, message)

    def _send(self, process: Process, to: str, message: Any) -> None:
        self.messages += 1
        if to == process.name:
            self.after(0.0, lambda: self._arrive(to, message, process.name))
            return
        for late in self.links.of(process.name, to).deliveries(self.draw):
            way = self.draw.uniform(*WAY_MS) + late * PERIOD_MS
            self.after(way, lambda: self._arrive(to, message, process.name))

    def _arrive(self, to: str, message: Any, sender: str) -> None:
        process = self.processes[to]
        self._to(process, lambda: self._handle(process, message, sender))

    def _handle(self, process: Process, message: Any, sender: str) -> list[tuple[str, Any]]:
        now, elector, seeker = self.clock(process), process.elector, process.seeker
        match message:
            case LeaseRequest() if elector is not None:
                say = elector.on_lease_request(now, message)
                if say.granted and not message.pre_vote:
                    self._write(process, elector.persisted_terms().terms)
                return [(message.candidate, say)]
            case LeaseRelease() if elector is not None:
                elector.on_release(now, message)
            case TermsQuery() if elector is not None:
                return [(message.voter, elector.on_terms_query(message))]
            case TermsReply() if elector is not None:
                if (kept := elector.on_terms_reply(now, message)) is not None:
                    self._write(process, kept.terms)
            case LeaseReply():
                return seeker.on_lease_reply(now, message)
            case Transfer():
                return seeker.on_transfer(now, message)
            case HolderHeartbeat():
                seeker.on_heartbeat(now, message.term, message.candidate)
        return []

    def _write(self, process: Process, terms: dict[str, int]) -> None:
        if process.name not in self.lies:
            process.past.append(process.disk)
            process.disk = dict(terms)

    def _tick(self, process: Process) -> None:
        if not process.running or self.processes.get(process.name, process) is not process:
            return
        self.after(self.timing.lease_ms / 60, lambda: self._tick(process))
        if process.stopped:
            return
        now, elector = self.clock(process), process.elector
        if elector is not None:
            self._to(process, lambda: list(elector.terms_queries(now)))
            if (kept := elector.poll(now)) is not None:
                self._write(process, kept.terms)
        self._to(process, lambda: process.seeker.wake(now))

    def _act(self, process: Process) -> None:
        if not process.running or self.processes.get(process.name, process) is not process:
            return
        self.after(ACT_MS, lambda: self._act(process))
        if not process.stopped and (term := process.seeker.held_term(self.clock(process))) is not None:
            # It looked, and is stopped just then now and again: the act goes out late all the same.
            late = self.draw.uniform(0, 3 * self.timing.lease_ms) if self.draw.random() < 0.02 else 0.0
            way = self.draw.uniform(*WAY_MS) + self.links.of(process.name, "").delay * PERIOD_MS + late
            self.after(way, lambda: self._acted(process.name, term))

    def _notice(self, process: Process) -> None:
        """A holder's word to all, at each third of a lease."""
        if not process.running or self.processes.get(process.name, process) is not process:
            return
        self.after(self.timing.lease_ms / 3, lambda: self._notice(process))
        if not process.stopped and (term := process.seeker.held_term(self.clock(process))) is not None:
            for name in self.names:
                if name != process.name:
                    self._send(process, name, HolderHeartbeat(DUTY, term, process.name, process.seeker.boot, 0))

    def _acted(self, name: str, term: int) -> None:
        self.acts += 1
        if self.fence.check(DUTY, term):
            self.refused += 1
            return
        if self.admitted and term < self.admitted[-1][1]:
            self.found.append(f"at {self.now:.0f}: an act of {name} under {term} after {self.admitted[-1]}")
        if any(one[1] == term and one[2] != name for one in self.admitted[-50:]):
            self.found.append(f"at {self.now:.0f}: {name} acts under term {term}, as another did")
        self.admitted.append((self.now, term, name))

    # What must hold

    def _look(self) -> None:
        holders = [
            (p.name, term)
            for p in self.processes.values()
            if p.seeker.stage in ACTING and p.running and (term := p.seeker.held_term(self.clock(p))) is not None
        ]
        if len(holders) > 1:
            self.found.append(f"at {self.now:.0f}: {holders} hold the duty at once")
        holding = holders[0] if holders else None
        if holding != self._holding:
            if holding is not None:
                if self.held and holding[1] <= self.held[-1][3]:
                    self.found.append(f"at {self.now:.0f}: {holding} after term {self.held[-1][3]}")
                self.held.append((self.now, float("inf"), *holding))
            if self._holding is not None:
                i = next(i for i in range(len(self.held) - 1, -1, -1) if self.held[i][2:] == self._holding)
                self.held[i] = (self.held[i][0], self.now, *self._holding)
            self._holding = holding

    def holder(self) -> Process | None:
        return self.processes[self._holding[0]] if self._holding is not None else None

    def hand_over(self, to: str, state: bytes = b"") -> Process:
        """Have the holder hand the duty on; the holder."""
        holder = self.holder()
        assert holder is not None
        self._to(holder, lambda: holder.seeker.transfer(self.clock(holder), to, state))
        return holder

    def until_held(self, ms: float) -> float | None:
        """Run until somebody holds the duty; the time it took, None where nobody does in time."""
        began = self.now
        while self.now - began < ms:
            if self._holding is not None:
                return self.now - began
            self.run(1.0)
        return None

    # Faults

    def play(self, script: list[Fault]) -> None:
        for at, fault, begins in steps(script):
            self.after(at * PERIOD_MS, partial(self._step, fault, begins))

    def _step(self, fault: Fault, begins: bool) -> None:
        if fault.to:
            self.links.step(fault, begins)
            return
        for name in fault.who:
            process = self.processes[name]
            match fault.do:
                case "kill":
                    process.running = False
                case "start" if not process.running:
                    self.start(name, fault.size)
                case "stop":
                    if begins or process.stopped:
                        process.stopped += 1 if begins else -1
                    if not process.stopped:
                        waiting, process.waiting = process.waiting, []
                        for what in waiting:
                            what()
                case "leave":
                    self._to(process, lambda p=process: p.seeker.resign(self.clock(p)))  # type: ignore[misc]
                    self.after(20.0, lambda p=process: setattr(p, "running", False))  # type: ignore[misc]
                case "jump":
                    process.offset += fault.size * PERIOD_MS

    def start(self, name: str, how: float) -> None:
        """Start a process anew; how: its disk as it was (0), as it once was (1), or gone (2)."""
        old = self.processes[name]
        disk: dict[str, int] | None = old.disk
        if how == 1 and old.past:
            disk = self.draw.choice(old.past)
        elif how == 2:
            disk = None
        old.running = False
        self.processes[name] = self._make(name, disk=disk)


def draw_faults(seed: int, names: list[str], electors: int, periods: float) -> list[Fault]:
    """A script by chance that ends within so many periods; disks are kept, old or gone at each start."""
    draw, script = Random(seed), list[Fault]()
    for _ in range(draw.randint(1, 6)):
        at = draw.uniform(0.0, periods * 0.7)
        lasts = draw.uniform(1.0, periods - at)
        one, some = draw.choice(names), tuple(draw.sample(names, draw.randint(1, len(names) - 1)))
        rest = tuple(name for name in names if name not in some)
        match draw.choice(
            [
                "restart",
                "restart",
                "all",
                "stop",
                "stop",
                "partition",
                "one way",
                "lose",
                "mess",
                "slow",
                "leave",
                "jump",
            ]
        ):
            case "restart":
                back = Fault(at + min(lasts, 20), "start", (one,), size=draw.choice([0, 1, 2]))
                script += [Fault(at, "kill", (one,)), back]
            case "all":
                script.append(Fault(at, "kill", tuple(names)))
                script += [
                    Fault(at + draw.uniform(0, 8), "start", (name,), size=draw.choice([0, 0, 1])) for name in names
                ]
            case "stop":
                script.append(Fault(at, "stop", some, lasts=lasts))
            case "partition":
                script += partition(at, lasts, [some, rest])
            case "one way":
                script.append(Fault(at, "cut", some, rest, lasts))
            case "lose":
                script.append(Fault(at, "lose", tuple(names), tuple(names), lasts, draw.uniform(0.1, 0.5)))
            case "mess":
                script += [
                    Fault(at, "reorder", tuple(names), tuple(names), lasts, 0.4),
                    Fault(at, "double", tuple(names), tuple(names), lasts, 0.4),
                ]
            case "slow":
                script.append(Fault(at, "delay", some, tuple(names), lasts, draw.uniform(0.5, 16.0)))
            case "leave":
                script += [Fault(at, "leave", (one,)), Fault(at + min(lasts, 10), "start", (one,))]
            case "jump":
                script.append(Fault(at, "jump", some, size=draw.choice([-1, 1]) * draw.uniform(1, 14_400)))
    return sorted(script, key=lambda fault: fault.at)


def play_duties(
    seed: int, electors: int = 3, members: int = 5, elector: MakeElector = Voter, seeker: MakeSeeker = Candidate
) -> dict[str, Any]:
    """One fleet under one script: violations, whether the duty is held in the end, and counts."""
    sim = DutySimulator(electors, members, seed, Timing(), elector, seeker)
    sim.run(4000.0)
    script = draw_faults(seed, sim.names, electors, 60.0)
    sim.play(script)
    sim.run((last_end(script) + 1) * PERIOD_MS)
    for name in sim.names:  # whoever is down comes back, so that there is a majority
        if not sim.processes[name].running:
            sim.start(name, 0)
    back = sim.until_held(12 * sim.timing.lease_ms)
    if back is not None:
        sim.run(2 * sim.timing.lease_ms)
    return {
        "found": sim.found[:3],
        "back_ms": back,
        "acts": sim.acts,
        "refused": sim.refused,
        "held": len(sim.held),
        "script": script,
    }
