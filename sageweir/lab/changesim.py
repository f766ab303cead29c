"""Changes in virtual time: the program's own electors, keepers, writers, engines and followers, with one fault at a
numbered point.

Every write, send, receipt and application of a change passes a point. A first play counts them; then the same play is
repeated with one fault at each number in turn, and what must hold is looked at after every event.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any

from sageweir.cluster.changes.engine import INACTIVE, Engine, LeaseTiming
from sageweir.cluster.changes.follower import Action, Apply, Fetch, Follower, MemberState, Persist
from sageweir.cluster.changes.gate import Bounds, Gate
from sageweir.cluster.changes.messages import (
    Announcement,
    Message,
    OutcomeCounts,
    Phase,
    Plan,
    Prepare,
    RecoveryQuery,
    RegisterReply,
    Report,
    RolloutLease,
    RolloutState,
    Write,
)
from sageweir.cluster.changes.plan import FleetStatus, Member
from sageweir.cluster.changes.register import Replica, ReplicaState, Writer, decode, transition_error
from sageweir.cluster.leases.fence import Fence
from sageweir.cluster.leases.voter import Timing
from sageweir.lab.dutysim import DUTY, PERIOD_MS, WAY_MS, DutySimulator, Process
from sageweir.lab.faults.script import partition

KINDS = ("crash before", "crash after", "lost", "doubled", "late", "disk", "stopped")
ZONES = ("z0", "z1")
LEASE = Timing(lease_ms=600.0)
TERMS = LeaseTiming(rollout_lease_ms=900.0)
BOUNDS = Bounds(
    window_ms=100.0,
    least_ms=300.0,
    least_calls=5,
    block_ms=300.0,
    settle_ms=50.0,
    soak_ms=300.0,
    pairs=16,
    longest_ms=60_000.0,
)
BEAT_MS, DOWN_MS = LEASE.lease_ms / 6, 900.0


@dataclass(slots=True)
class Disk:
    """What a process has on its disk, besides electors' terms."""

    kept: ReplicaState = field(default_factory=ReplicaState)
    known: MemberState = field(default_factory=MemberState)
    blobs: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Site:
    """What a process is beside its elector and seeker."""

    keeper: Replica | None
    engine: Engine
    follower: Follower
    fence: Fence
    disk: Disk
    wrote: int = 0
    term: int | None = None
    count: int = 0  # calls so far
    began: float = 0.0
    broken: bool = False  # its disk takes nothing more
    went_on: float = 0.0  # after it was stopped


class ChangeSimulator(DutySimulator):
    """faults: kinds by number of the point; worse: members that run the change fail so many of their calls;
    cut: the first member that runs it is cut off from all for eight leases, and serves.
    """

    def __init__(
        self,
        seed: int,
        members: int = 6,
        electors: int = 3,
        faults: Mapping[int, str] | None = None,
        worse: float = 0.0,
        cut: bool = False,
        trial: bool = False,
        keeper: Callable[..., Replica] = Replica,
        writer: Callable[..., Writer] = Writer,
        engine: Callable[..., Engine] = Engine,
        follower: Callable[..., Follower] = Follower,
    ) -> None:
        self.faults, self.worse, self.points = dict(faults or {}), worse, 0
        self.bounds = replace(BOUNDS, least_ms=4000.0) if worse else BOUNDS
        if trial:
            self.bounds = replace(BOUNDS, soak_ms=2 * 2 * (BOUNDS.block_ms + BOUNDS.settle_ms))  # of two pairs
        self.by_name: Counter[str] = Counter()
        self.makers = keeper, writer, engine, follower
        self.disks: dict[str, Disk] = {}
        self.sites: dict[Process, Site] = {}
        self.books: dict[int, RolloutState] = {}  # committed, by step
        self.halted: dict[int, float] = {}  # when a change was first committed as ended
        self.most: dict[int, int] = {}  # the furthest stage of each change
        self.plans: dict[str, Plan] = {}
        self.past: dict[str, tuple[int, int]] = {}  # each member's floor and proven number on its disk
        self.hit = ""
        self.cut, self.cut_off = cut, ""
        super().__init__(electors, members, seed, LEASE)
        self.play_draw = Random(seed * 31 + 7)

    # Processes

    def _make(self, name: str, first: bool = False, disk: dict[str, int] | None = None) -> Process:
        process = super()._make(name, first, disk)
        mine = self.disks.setdefault(name, Disk())
        make_keeper, make_writer, make_engine, make_follower = self.makers
        boot, now = process.seeker.boot, self.clock(process)
        writer = make_writer(name, self.electors, self.timing.lease_ms, self.draw.getrandbits(40))
        draw = Random(self.draw.getrandbits(40))
        engine = make_engine(name, writer, TERMS, self.bounds, self._gate, draw, self.plans)
        keeper = (
            make_keeper(name, self.electors, self.timing.lease_ms, now, boot, mine.kept)
            if name in self.electors
            else None
        )
        follower = make_follower(frozenset({"rules"}), mine.known)
        site = self.sites[process] = Site(keeper, engine, follower, Fence(), mine, began=now)
        follower.contents = dict.fromkeys(mine.blobs, "rules")
        self.after(0.0, lambda: self._do(process, site.follower.start()))
        self.after(self.draw.uniform(0, BEAT_MS), lambda: self._beat(process))
        return process

    def _gate(self, now: float) -> Gate:
        return Gate(self.bounds, ["plain"], [0.1], [1.0], 192.0, now)

    def zone(self, name: str) -> str:
        return ZONES[self.names.index(name) % len(ZONES)]

    # Points

    def point(self, process: Process, what: str) -> str:
        """One more; the fault that is due here, else nothing. A crash before is done here."""
        self.points += 1
        self.by_name[what] += 1
        kind = self.faults.get(self.points, "")
        if not kind:
            return ""
        self.hit += f"{kind} at {what}; "
        match kind:
            case "crash before":
                self.crash(process)
            case "stopped":
                process.stopped += 1
                self.after(2.5 * self.timing.lease_ms, lambda: self._let_go(process))
            case "disk":
                self.sites[process].broken = True
                self.after(2.5 * self.timing.lease_ms, lambda: setattr(self.sites[process], "broken", False))
        return kind

    def _let_go(self, process: Process) -> None:
        process.stopped -= 1
        self.sites[process].went_on = self.now
        waiting, process.waiting = process.waiting, []
        for what in waiting:
            what()

    def crash(self, process: Process) -> None:
        if process.running:
            process.running = False
            self.after(DOWN_MS, lambda: self.start(process.name, 0))

    def _send(self, process: Process, to: str, message: Any) -> None:
        if not isinstance(message, (Prepare, Write, RegisterReply, RecoveryQuery, _Word)):
            super()._send(process, to, message)
            return
        what = self.point(process, f"send {_kind(message)}")
        if what in ("crash before", "lost"):
            return
        super()._send(process, to, message)
        if what == "doubled":
            super()._send(process, to, message)
        elif what == "late":
            late = self.draw.uniform(1.1, 2.0) * TERMS.rollout_lease_ms
            self.after(late, lambda: self._arrive(to, message, process.name))
        elif what == "crash after":
            self.crash(process)

    # Messages

    def _handle(self, process: Process, message: Any, sender: str) -> list[tuple[str, Any]]:
        site = self.sites[process]
        keeper, now = site.keeper, self.clock(process)
        if isinstance(message, (Prepare, Write, RegisterReply, RecoveryQuery, _Word)) and self.point(
            process, f"receive {_kind(message)}"
        ) in ("crash before", "lost"):
            return []
        match message:
            case Prepare() if keeper is not None:
                return self._answer(process, site, message.holder, keeper.on_prepare(now, message))
            case Write() if keeper is not None:
                site.disk.blobs.update(message.blobs)
                return self._answer(process, site, message.holder, keeper.on_write(now, message))
            case RecoveryQuery() if keeper is not None:
                return [(message.replica, keeper.on_recovery_query(message))]
            case RegisterReply():
                if keeper is not None:
                    keeper.on_recovery_reply(now, message)
                if process.seeker.held_term(now) is None:
                    return []
                return list(site.engine.writer.on_reply(now, message))
            case _Word():
                return self._word(process, site, message, sender, now)
        return super()._handle(process, message, sender)

    def _answer(self, process: Process, site: Site, to: str, held: RegisterReply) -> list[tuple[str, Any]]:
        assert site.keeper is not None
        if held.ok:
            what = self.point(process, "keeper's disk")
            if what == "crash before" or site.broken:
                return []
            site.disk.kept = site.keeper.persisted_state()
            if what == "crash after":
                self.crash(process)
                return []
        return [(to, held)]

    def _word(self, process: Process, site: Site, word: _Word, sender: str, now: float) -> list[tuple[str, Any]]:
        if isinstance(word.body, Report):  # a want; the holder answers under its term
            term = process.seeker.held_term(now)
            if term is None:
                return []
            permit = site.engine.on_report(now, sender, self.zone(sender), word.body)
            if permit is None or process.seeker.held_term(now) != term:
                return []
            return [(sender, _Word(term, word.asked_at, permit))]
        if site.fence.check(DUTY, word.term):
            return []
        if isinstance(word.body, RolloutLease):
            self._do(process, site.follower.on_lease(now, word.asked_at, word.body))
        elif isinstance(word.body, Announcement):
            process.seeker.on_heartbeat(now, word.term, sender)
            self._do(process, site.follower.on_announcement(now, word.body))
        return []

    def _do(self, process: Process, acts: Iterable[Action]) -> None:
        site = self.sites[process]
        for act in acts:
            if not process.running:
                return
            match act:
                case Fetch(kind, digest):
                    self.after(self.draw.uniform(*WAY_MS), partial(self._fetched, process, kind, digest))
                case Persist(known):
                    what = self.point(process, "member's disk")
                    if what == "crash before":
                        return
                    if site.broken:
                        self._do(process, site.follower.on_persist_failed(self.clock(process), "no room"))
                        continue
                    site.disk.known = known
                    if what == "crash after":
                        self.crash(process)
                        return
                    self.after(
                        1.0, lambda: self._do_if(process, lambda: site.follower.on_persisted(self.clock(process)))
                    )
                case Apply():
                    if act.leased and self.cut and not self.cut_off:
                        self._cut(process.name)
                    if self.point(process, "apply") == "crash after":
                        self.crash(process)

    def _cut(self, name: str) -> None:
        self.cut_off = name
        for fault in partition(0, 8 * self.timing.lease_ms / PERIOD_MS, [[name], [n for n in self.names if n != name]]):
            self.links.step(fault, True)
            self.after(8 * self.timing.lease_ms, partial(self.links.step, fault, False))

    def _do_if(self, process: Process, what: Callable[[], list[Action]]) -> None:
        if process.running and not process.stopped:
            self._do(process, what())
        elif process.running:
            process.waiting.append(lambda: self._do_if(process, what))

    def _fetched(self, process: Process, kind: str, digest: str) -> None:
        site = self.sites[process]
        site.disk.blobs.add(digest)
        self._do_if(process, lambda: site.follower.on_content(self.clock(process), kind, digest))

    # Time

    def _act(self, process: Process) -> None:
        pass  # what holders do here is in their beats

    def _notice(self, process: Process) -> None:
        pass

    def _tick(self, process: Process) -> None:
        super()._tick(process)
        site = self.sites.get(process)
        if site is not None and site.keeper is not None and process.running and not process.stopped:
            for to, message in site.keeper.poll(self.clock(process)):
                self._send(process, to, message)

    def _beat(self, process: Process) -> None:
        if not process.running or self.processes.get(process.name, process) is not process:
            return
        self.after(BEAT_MS, lambda: self._beat(process))
        if process.stopped:
            return
        site, now = self.sites[process], self.clock(process)
        self._do(process, site.follower.tick(now))
        term = process.seeker.held_term(now)
        if term != site.term:
            site.term = term
            if term is None:
                site.engine.on_lease_lost()
            else:
                for to, message in site.engine.on_lease_acquired(now, term):
                    self._send(process, to, message)
        if term is not None:
            self._hold(process, site, term, now)
        follower = site.follower
        site.count += 3
        failed = round(site.count * self.worse) if follower.running_number else 0
        rows = (OutcomeCounts(site.count, site.count - failed, 0, 0, failed, site.count),)
        report = Report(
            process.seeker.boot,
            follower.running_number,
            follower.latest_number,
            follower.persisted.floor,
            int(now - site.began),
            rows,
            1000,
            0,
            follower.reason,
        )
        holder = self.holder()
        if holder is not None:
            self._send(process, holder.name, _Word(0, now, report))

    def _hold(self, process: Process, site: Site, term: int, now: float) -> None:
        fleet = FleetStatus(True, tuple(Member(name, self.zone(name)) for name in self.names), 4)
        out, book = site.engine.tick(now, fleet)
        for to, message in out:
            self._send(process, to, message)
        if book is not None:
            try:
                out = site.engine.write(now, book)
            except ValueError as error:
                self.found.append(f"at {self.now:.0f}: {process.name} would write: {error}")
                return
            for to, message in out:
                self._send(process, to, message)
        news = site.engine.announcement()
        if news is not None and process.running and process.seeker.held_term(now) == term:
            for name in self.names:
                self._send(process, name, _Word(term, now, news))

    # What must hold

    def _look(self) -> None:
        super()._look()
        for process, site in self.sites.items():
            if self.processes.get(process.name) is not process or not process.running:
                continue
            self._look_at(process, site)

    def _look_at(self, process: Process, site: Site) -> None:
        writer = site.engine.writer
        # What a holder goes by has to be on a majority of disks. The first book that it reads may not be yet.
        if writer.ready and process.seeker.held_term(self.clock(process)) is not None:
            book = writer.state
            if book.step not in self.books:
                self._committed(book)
            elif self.books[book.step] != book:
                self.found.append(f"at {self.now:.0f}: two books have step {book.step}")
        running = site.follower.active
        if running is not None:
            number = running.lease.number
            idle = process.stopped or self.now - site.went_on < 2 * BEAT_MS
            if not idle and self.clock(process) > running.expires_at + 2 * BEAT_MS:
                self.found.append(f"at {self.now:.0f}: {process.name} runs {number} past its permit")
            plans = [plan for plan in self.plans.values() if plan.number == number]
            stage = self.most.get(number, -1)
            if not any(process.name in plan.members_through(stage) for plan in plans):
                self.found.append(f"at {self.now:.0f}: {process.name} runs {number}, its stage is {stage}")
            ended = self.halted.get(number)
            stopped = 2.5 * self.timing.lease_ms if "stopped" in self.faults.values() else 0.0
            late = 1.2 * TERMS.rollout_lease_ms + 2.5 * BEAT_MS + stopped  # a stopped process runs nothing
            if ended is not None and not process.stopped and self.now - ended > late:
                self.found.append(f"at {self.now:.0f}: {process.name} still runs {number}, halted at {ended:.0f}")
        known = site.disk.known
        if site.follower.writing is None and site.follower.persisted != known:
            self.found.append(
                f"at {self.now:.0f}: {process.name} knows {site.follower.persisted}, on its disk is {known}"
            )
        here = known.floor, known.baseline("rules").number
        past = self.past.get(process.name, (0, 0))
        if here[0] < past[0] or here[1] < past[1]:
            self.found.append(f"at {self.now:.0f}: {process.name}'s disk went back from {past} to {here}")
        self.past[process.name] = here
        if here[1] and not any(one.baseline("rules").number == here[1] for one in self.books.values()):
            self.found.append(f"at {self.now:.0f}: {process.name} has {here[1]} as proven, no book says so")

    def _committed(self, book: RolloutState) -> None:
        if book.step:
            have = sum(decode(self.disks[name].kept.entry.body).step >= book.step for name in self.electors)
            if have <= len(self.electors) // 2:
                self.found.append(f"at {self.now:.0f}: step {book.step} counts and is on {have} disks")
            steps = sorted(self.books)
            if steps and (why := transition_error(self.books[steps[-1]], book)):
                self.found.append(f"at {self.now:.0f}: {why}")
        plan = self.plans.get(book.plan)
        if book.phase in (Phase.ROLLING_BACK, Phase.HALTED) and plan is not None and book.step - 1 in self.books:
            for process, site in self.sites.items():
                # Those that are stopped run nothing, and look at their permit first when they go on.
                here = self.processes.get(process.name) is process and process.running and not process.stopped
                after_stop = self.now - site.went_on < 2 * BEAT_MS
                last = self.books[book.step - 1]
                returned = last.phase is Phase.ROLLING_BACK and process.name not in plan.members_through(book.stage)
                if here and not after_stop and returned and site.follower.running_number == book.number:
                    self.found.append(f"at {self.now:.0f}: {process.name} counts as returned and runs {book.number}")
        self.books[book.step] = book
        if book.number and book.floor < book.number:
            self.most[book.number] = max(self.most.get(book.number, -1), book.stage)
        if book.floor == book.number and book.baseline(book.kind).number != book.number:
            self.halted.setdefault(book.number, self.now)

    # Plays

    def propose(self, digest: str) -> str:
        """At the holder, as an operator does."""
        holder = self.holder()
        if holder is None:
            return "nobody holds the duty"
        engine = self.sites[holder].engine
        fleet = FleetStatus(True, tuple(Member(name, self.zone(name)) for name in self.names), 4)
        why, plan = engine.propose(self.clock(holder), "rules", digest, fleet)
        if plan is not None:
            self.sites[holder].disk.blobs |= {digest, f"plan-{plan.number}-{holder.name}"}
            engine.start_rollout(f"plan-{plan.number}-{holder.name}", plan, "rules", digest)
        return why

    def latest(self) -> RolloutState:
        return self.books[max(self.books)] if self.books else RolloutState()

    def until(self, so: Callable[[], bool], ms: float) -> bool:
        end = self.now + ms
        while self.now < end:
            if so():
                return True
            self.run(10.0)
        return so()

    def agreed(self) -> bool:
        """The latest book is over, and each member has what is proven and nothing else."""
        book = self.latest()
        if book.phase not in INACTIVE or book.phase is Phase.NONE:
            return False
        for name in self.names:
            process = self.processes[name]
            if not process.running or process.stopped:
                return False
            follower = self.sites[process].follower
            if (
                follower.persisted.floor < book.floor
                or follower.active is not None
                or follower.persisted.baseline("rules") != book.baseline("rules")
            ):
                return False
        return True


@dataclass(frozen=True, slots=True)
class _Word:
    """What passes between holder and members, as letters of a duty do."""

    term: int
    asked_at: float  # by the member's clock; echoed
    body: Report | RolloutLease | Announcement


def _kind(message: Message | _Word) -> str:
    return message.body.failpoint if isinstance(message, _Word) else message.failpoint


@dataclass(frozen=True, slots=True)
class Played:
    """points: passed; found: violations, and what did not come true in time."""

    points: int
    found: tuple[str, ...]
    hit: str
    ended: str
    by_name: dict[str, int]


def play(
    seed: int,
    faults: Mapping[int, str] | None = None,
    worse: float = 0.0,
    cut: bool = False,
    trial: bool = False,
    **makers: Any,
) -> Played:
    """Propose one change, wait until it is done or turned back, then another; faults at one point, or none. trial:
    either is switched off and on on the way.
    """
    sim = ChangeSimulator(seed, faults=faults, worse=worse, cut=cut, trial=trial, **makers)
    found: list[str] = []

    def wait(what: str, so: Callable[[], bool], leases: float) -> None:
        if not sim.found and not found and not sim.until(so, leases * sim.timing.lease_ms):
            found.append(f"{what}: not within {leases:g} leases; latest {sim.latest()}; hit {sim.hit}")

    def propose(digest: str) -> bool:
        return sim.latest().digest == digest or (sim.holder() is not None and not sim.propose(digest))

    def begun(digest: str) -> bool:
        return propose(digest) and sim.latest().digest == digest

    for digest in ("first", "second"):
        wait(f"{digest} begun", partial(begun, digest), 60)
        wait(f"{digest} ended", sim.agreed, 160)
    return Played(sim.points, tuple(sim.found[:3] + found), sim.hit, sim.latest().phase.value, dict(sim.by_name))


def numbers(points: int, every: int, first: int = 1) -> range:
    """Numbers of points to be tried: all, or one of so many."""
    return range(first, points + 1, every)


def play_pair(args: tuple[int, dict[int, str]]) -> tuple[dict[int, str], Played]:
    """(seed, faults): two or more in one play, for a pool of processes."""
    seed, faults = args
    return faults, play(seed, faults)


def play_point(args: tuple[int, int, str, bool]) -> tuple[int, str, Played]:
    """(seed, number, kind, trial): for a pool of processes."""
    seed, number, kind, trial = args
    return number, kind, play(seed, {number: kind}, trial=trial)
