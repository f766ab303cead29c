"""Shards that split in virtual time: the program's own accounts, senders, shelves, dual reads; faults at points.

Every send, receipt, taking up of a map and cut-over passes a numbered point. Each answer that an owner gives is held
against what the members of its vector had counted then; dual reads must agree; in the end, faults over, every owner has
all members' books and every question is answered whole and right.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from sageweir.cluster.ledger.account import MemberCounts, number_key, tenant_key
from sageweir.cluster.ledger.messages import (
    BUSIEST,
    KINDS,
    NUMBER,
    PREFIX,
    TENANT,
    Found,
    QueryReply,
    Question,
    Row,
    RowsUpdate,
    ShardQuery,
    UpdateReply,
    Vector,
)
from sageweir.cluster.ledger.owner import ShardCounts, merge, rank
from sageweir.cluster.ledger.reading import Comparison, DualRead, Reading, Requests, Verdict, shards_for, target_shards
from sageweir.cluster.ledger.sender import Sender
from sageweir.cluster.ledger.shards import SPACE, Shard, ShardMap, diff_maps, position, single_shard

POINT_KINDS = ("crash before", "crash after", "lost", "doubled", "late", "stopped")
BEAT_MS, WAY_MS, LATE_MS, DOWN_MS, STOP_MS, PAGE_ROWS = 100.0, (1.0, 12.0), 400.0, 700.0, 900.0, 5
NUMBERS, TENANTS = [f"n{i:02d}" for i in range(24)], ["acme", "brio"]


@dataclass(slots=True, eq=False)
class Process:
    """One start of a member."""

    name: str
    boot: int
    account: MemberCounts
    sender: Sender
    shelves: dict[tuple[int, int], ShardCounts] = field(default_factory=dict)
    standing: Counter[str] = field(default_factory=Counter)
    running: bool = True
    stopped: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)


class ShardSimulator:
    """faults: kinds by number of the point. back: the split is turned back; dies: an owner is killed, at that time.

    found: what was wrong; compared: of dual reads, by verdict.
    """

    def __init__(
        self,
        seed: int,
        members: int = 4,
        faults: Mapping[int, str] | None = None,
        back: bool = False,
        dies: tuple[str, float] | None = None,
        shelf: Callable[..., ShardCounts] = ShardCounts,
        sender: Callable[..., Sender] = Sender,
        account: Callable[..., MemberCounts] = MemberCounts,
        dual: Callable[..., DualRead] = DualRead,
        blind: bool = False,
    ) -> None:
        """blind: answers are not held against the truth, so that only dual reads can find a fault."""
        self.blind = blind
        self.draw, self.now, self.count = Random(seed), 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.makers = shelf, sender, account, dual
        self.faults, self.points, self.hit = dict(faults or {}), 0, ""
        self.by_name: Counter[str] = Counter()
        self.names = [f"m{i}" for i in range(members)]
        self.old = single_shard(self.names[:2])
        # A key lies right at the boundary.
        at = sorted(position(number_key(number)) for number in NUMBERS)[len(NUMBERS) // 2]
        self.new = ShardMap((Shard(0, at, (self.names[0], self.names[2])), Shard(at, SPACE, (self.names[-1],))), 1.0)
        self.proven: dict[str, ShardMap] = dict.fromkeys(self.names, self.old)
        self.coming: dict[str, ShardMap | None] = dict.fromkeys(self.names)
        self.before: dict[str, ShardMap | None] = dict.fromkeys(self.names)
        self.back, self.cut, self.quiet = back, False, False
        self.found: list[str] = []
        self.compared: Counter[str] = Counter()
        self.full: Counter[str] = Counter()
        self.disagreed: list[Comparison] = []
        self.truth: dict[tuple[str, int, int], dict[str, Row]] = {}
        self.here: dict[str, Process] = {}
        for name in self.names:
            self.start(name)
        for name in self.names:
            self.after(self.draw.uniform(1000.0, 2500.0), partial(self.take_up, name))
        if dies is not None:
            self.after(dies[1], lambda: self.crash(self.here[dies[0]]))

    # Time

    def after(self, ms: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + ms, self.count, what))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until and not self.found:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = max(self.now, until)

    # Processes

    def start(self, name: str) -> None:
        _, sender, account, _ = self.makers
        boot = self.draw.getrandbits(40)
        own = account(2000.0)
        process = Process(name, boot, own, sender(name, boot, own, 3 * BEAT_MS, 2 * BEAT_MS, PAGE_ROWS))
        self.here[name] = process
        self.truth[name, boot, 0] = {}
        self.coming[name] = None  # a permit dies with its process
        self._targets(process)
        self.after(self.draw.uniform(0.0, BEAT_MS), lambda: self._beat(process))
        if self.now > 0 and not self.cut:
            self.after(self.draw.uniform(100.0, 600.0), partial(self.take_up, name))

    def crash(self, process: Process) -> None:
        if process.running:
            process.running = False
            self.after(DOWN_MS, lambda: self.start(process.name))

    def living(self) -> dict[str, int]:
        return {name: process.boot for name, process in self.here.items() if process.running}

    def when(self, process: Process, what: Callable[[], None]) -> None:
        """Now, or when it goes on, or never."""
        if process.running and process.stopped:
            process.waiting.append(what)
        elif process.running:
            what()

    def point(self, process: Process, what: str) -> str:
        self.points += 1
        self.by_name[what] += 1
        kind = "" if self.quiet else self.faults.get(self.points, "")
        if kind:
            self.hit += f"{kind} at {what} of {process.name}; "
        if kind == "crash before":
            self.crash(process)
        elif kind == "stopped":
            process.stopped = True
            self.after(STOP_MS, lambda: self._go_on(process))
        return kind

    def _go_on(self, process: Process) -> None:
        process.stopped = False
        waiting, process.waiting = process.waiting, []
        for what in waiting:
            self.when(process, what)

    # Maps

    def take_up(self, name: str) -> None:
        process = self.here[name]
        if self.cut or not process.running or process.stopped:
            if not self.cut:
                self.after(200.0, partial(self.take_up, name))
            return
        kind = self.point(process, "take a map up")
        if kind in ("crash before",):
            return
        self.coming[name] = self.new
        self._targets(process)
        if kind == "crash after":
            self.crash(process)

    def cut_over(self) -> None:
        """Proven, or turned back: each member hears of it in its own time."""
        self.cut = True
        for name in self.names:
            self.after(self.draw.uniform(0.0, 500.0), partial(self._cut, name))

    def _cut(self, name: str) -> None:
        process = self.here[name]
        if not process.running or process.stopped:
            self.after(100.0, partial(self._cut, name))
            return
        kind = self.point(process, "cut-over")
        if kind == "crash before":
            self.after(DOWN_MS + 100.0, partial(self._cut, name))
            return
        if not self.back:
            self.before[name], self.proven[name] = self.proven[name], self.new
            self.after(1500.0, partial(self._let_go, name))
        self.coming[name] = None
        self._targets(process)
        if kind == "crash after":
            self.crash(process)

    def _let_go(self, name: str) -> None:
        self.before[name] = None
        self._targets(self.here[name])

    def _targets(self, process: Process) -> None:
        name = process.name
        process.sender.set_targets(target_shards(self.proven[name], self.coming[name], self.before[name]))

    # What members do

    def _beat(self, process: Process) -> None:
        if not process.running:
            return
        self.after(BEAT_MS, lambda: self._beat(process))
        if process.stopped:
            return
        if not self.quiet:
            for _ in range(self.draw.randrange(4)):
                number = self.draw.choice(NUMBERS[: 1 + int(len(NUMBERS) * self.draw.random() ** 2)])
                keys = [number_key(number), tenant_key(self.draw.choice(TENANTS))]
                process.account.on_setup(keys)
                process.standing.update(keys)
                self.after(self.draw.uniform(100.0, 3000.0), partial(process.standing.subtract, keys))
        standing = {key: count for key, count in process.standing.items() if count > 0}
        busy = {number_key(number) for number in NUMBERS if standing.get(number_key(number), 0) > 3}
        epoch = process.account.close_epoch(self.now, standing, busy)
        self.truth[process.name, process.boot, epoch] = process.account.rows
        for owner, update in process.sender.due(self.now):
            self._ask(process, owner, update, partial(self._given, process, owner, update))
        if self.coming[process.name] is not None:
            self._dual(process)

    def _given(self, process: Process, owner: str, update: RowsUpdate, reply: Any) -> None:
        if isinstance(reply, UpdateReply):
            process.sender.on_reply(owner, update, reply)

    def _question(self) -> Question:
        number = self.draw.choice(NUMBERS)
        match self.draw.choice(KINDS):
            case kind if kind == PREFIX:
                return Question(PREFIX, number[: self.draw.randrange(len(number) + 1)])
            case kind if kind == BUSIEST:
                return Question(BUSIEST, "", self.draw.randint(1, self.draw.choice([2, len(NUMBERS) // 2])))
            case kind if kind == TENANT:
                return Question(TENANT, self.draw.choice(TENANTS))
        return Question(NUMBER, number)

    def _dual(self, process: Process) -> None:
        question = self._question()
        for group in diff_maps(self.proven[process.name], self.coming[process.name] or self.old):
            if shards_for(question, group.old):
                dual = self.makers[3](question, group, self.living())
                self._drive(
                    process,
                    dual,
                    dual.start(),
                    lambda dual=dual: dual.compared is not None,  # type: ignore[misc]
                    partial(self._compared, dual),
                )

    def _compared(self, dual: DualRead) -> None:
        compared = dual.compared
        assert compared is not None
        self.compared[compared.verdict.value] += 1
        if compared.verdict is Verdict.AGREE and compared.full:
            self.full[compared.question.kind] += 1
        if compared.verdict is Verdict.DISAGREE:
            self.disagreed.append(compared)

    def _drive(
        self,
        process: Process,
        what: Reading | DualRead,
        out: Requests,
        over: Callable[[], bool],
        then: Callable[[], None],
    ) -> None:
        ended = False

        def answered(number: int, reply: Any) -> None:
            nonlocal ended
            if ended:
                return
            post(what.on_reply(number, reply if isinstance(reply, QueryReply) else None))
            if over() and not ended:
                ended = True
                then()

        def post(out: Requests) -> None:
            for number, to, query in out:
                self._ask(process, to, query, partial(answered, number))

        post(out)

    # Words

    def _ask(self, process: Process, to: str, body: RowsUpdate | ShardQuery, then: Callable[[Any], None]) -> None:
        """A stream: the answer comes on it, or nothing in time. A doubled word is answered twice."""
        kind = self.point(process, f"send {body.failpoint}")
        ways = {"crash before": [], "lost": [], "late": [2 * LATE_MS]}.get(kind, [0.0])
        for extra in [*ways, *ways] if kind == "doubled" else ways:
            self.after(extra + self.draw.uniform(*WAY_MS), partial(self._arrives, process, to, body, then))
        self.after(LATE_MS, lambda: self.when(process, lambda: then(None)))
        if kind == "crash after":
            self.crash(process)

    def _arrives(self, asker: Process, to: str, body: RowsUpdate | ShardQuery, then: Callable[[Any], None]) -> None:
        owner = self.here[to]
        self.when(owner, lambda: self._answer(asker, owner, body, then))

    def _answer(
        self, asker: Process, owner: Process, body: RowsUpdate | ShardQuery, then: Callable[[Any], None]
    ) -> None:
        kind = self.point(owner, f"receive {body.failpoint}")
        if kind in ("crash before", "lost"):
            return
        shelf, living = owner.shelves.get((body.first, body.last)), self.living()
        reply: UpdateReply | QueryReply
        if isinstance(body, RowsUpdate):
            if shelf is None:
                shelf = owner.shelves[body.first, body.last] = self.makers[0](body.first, body.last, 8 * BEAT_MS)
            reply = shelf.on_update(self.now, body, living)
        else:
            reply = shelf.on_query(self.now, body, living) if shelf is not None else QueryReply(False)
            self._hold(owner, body, reply)
        if kind == "crash after":
            self.crash(owner)
        kind = self.point(owner, f"send {reply.failpoint}") if owner.running else "lost"
        ways = {"crash before": [], "lost": [], "late": [2 * LATE_MS]}.get(kind, [0.0])
        for extra in [*ways, *ways] if kind == "doubled" else ways:
            self.after(extra + self.draw.uniform(*WAY_MS), lambda: self.when(asker, lambda: then(reply)))
        if kind == "crash after":
            self.crash(owner)

    # What must hold

    def true(self, question: Question, first: int, last: int, vector: Vector) -> tuple[Found, ...]:
        """What members of a vector had counted then."""
        sums: dict[str, list[int]] = {}
        for name, stamp in vector.items():
            for key, row in self.truth[name, stamp.boot, stamp.epoch].items():
                if first <= position(key) < last:
                    total = sums.setdefault(key, [0, 0, 0])
                    for i, value in enumerate((row.established, row.setups, row.busy)):
                        total[i] += value
        lines = [Found(key, *total) for key, total in sums.items()]
        match question.kind:
            case kind if kind == BUSIEST:
                return tuple(sorted((one for one in lines if one.key.startswith("n:")), key=rank)[: question.limit])
            case kind if kind == PREFIX:
                key, some = (
                    f"n:{question.subject}",
                    [one for one in lines if one.key.startswith(f"n:{question.subject}")],
                )
            case kind:
                key = f"{'n' if kind == NUMBER else 't'}:{question.subject}"
                some = [one for one in lines if one.key == key]
        return (Found(key, sum(o.established for o in some), sum(o.setups for o in some), sum(o.busy for o in some)),)

    def _hold(self, owner: Process, query: ShardQuery, reply: QueryReply) -> None:
        if query.question is None or not reply.known or self.blind:
            return
        try:
            true = self.true(query.question, query.first, query.last, reply.vector)
        except KeyError as error:
            self.found.append(f"at {self.now:.0f}: {owner.name} speaks of {error}, which never was")
            return
        if reply.found != true:
            self.found.append(
                f"at {self.now:.0f}: {owner.name} answers {query.question} with {reply.found}, true is {true}"
            )

    def wrong_in_the_end(self) -> list[str]:
        """Every question by every map in force, asked of the owners' shelves as they are."""
        found = []
        stamps = {name: (process.boot, process.account.epoch) for name, process in self.here.items()}
        for name in self.names:
            for shard in self.proven[name].shards:
                for owner in shard.owners:
                    shelf = self.here[owner].shelves.get((shard.first, shard.last))
                    has = {one: (stamp.boot, stamp.epoch) for one, stamp in shelf.vector().items()} if shelf else {}
                    if has != stamps:
                        found.append(f"{owner} has {has} of {shard.first:x}, members are at {stamps}")
        return found[:3]


@dataclass(frozen=True, slots=True)
class Played:
    """points: passed; found: violations, and what did not come true; disagreed: dual reads; by_name: points."""

    points: int
    found: tuple[str, ...]
    disagreed: int
    hit: str
    compared: dict[str, int]
    by_name: dict[str, int]


def play(
    seed: int,
    faults: Mapping[int, str] | None = None,
    back: bool = False,
    dies: tuple[str, float] | None = None,
    members: int = 4,
    **makers: Any,
) -> Played:
    """Filled, split, compared, cut over or turned back; then quiet, and all must be there."""
    sim = ShardSimulator(seed, members, faults, back, dies, **makers)
    sim.run(5000.0)
    enough = 3
    while not sim.found and not sim.disagreed and sim.now < 40_000.0 and min(sim.full[kind] for kind in KINDS) < enough:
        sim.run(sim.now + 250.0)
    found = list(sim.found)
    if not found and not sim.disagreed and min(sim.full[kind] for kind in KINDS) < enough:
        found.append(f"no cut-over: dual reads {dict(sim.full)}, {dict(sim.compared)}")
    if not found and not sim.disagreed:
        sim.cut_over()
        sim.run(sim.now + 6000.0)
        sim.quiet = True
        sim.run(sim.now + 6000.0)
        found = list(sim.found) or sim.wrong_in_the_end()
        reading = Reading(Question(PREFIX, ""), shards_for(Question(PREFIX, ""), sim.proven["m0"].shards))
        sim._drive(sim.here["m0"], reading, reading.start(), lambda: False, lambda: None)
        sim.run(sim.now + 2000.0)
        answer = reading.answer()
        if not found and (answer is None or not answer.complete):
            found.append(f"the last question is answered with {answer}")
        elif not found and answer is not None:
            parts = [
                sim.true(reading.question, shard.first, shard.last, answer.vectors[shard.first])
                for shard in sim.proven["m0"].shards
            ]
            if answer.found != merge(reading.question, parts):
                found.append(f"the last answer is {answer.found}, true is {merge(reading.question, parts)}")
    return Played(sim.points, tuple(found[:3]), len(sim.disagreed), sim.hit, dict(sim.compared), dict(sim.by_name))


def play_faults(args: tuple[int, dict[int, str], bool]) -> tuple[int, dict[int, str], Played]:
    """(seed, faults, back): several at once, for a pool of processes."""
    seed, faults, back = args
    return seed, faults, play(seed, faults, back)


def play_point(args: tuple[int, int, str, bool]) -> tuple[int, str, Played]:
    """(seed, number, kind, back): for a pool of processes."""
    seed, number, kind, back = args
    return number, kind, play(seed, {number: kind}, back)
