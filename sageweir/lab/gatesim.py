"""The gate in a fleet: changes to an equal version, and to worse ones, in virtual time by the program's own engine.

Members see little and uneven traffic; zones have bursts, dead servers and slow hours of their own, and members may be
hit by chance for minutes. The register is one that writes at once: what it does under faults is played elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import numpy as np
from msgspec import structs
from numpy.typing import NDArray

from sageweir.cluster.changes.engine import INACTIVE, Engine, LeaseTiming, MemberStatus
from sageweir.cluster.changes.forms import OWN
from sageweir.cluster.changes.gate import CANARY, CONTROL, OTHER_ZONES, Bounds, CallSums, Decision, Gate, Verdict
from sageweir.cluster.changes.messages import (
    RULES,
    OutcomeCounts,
    Phase,
    Report,
    RolloutState,
)
from sageweir.cluster.changes.plan import FleetStatus, Member
from sageweir.cluster.changes.register import Out, Writer, WriterMode, transition_error

BEAT_MS = 4000.0
NAMES = ("plain", "dear", "tenant t", "tenant u")
MIX = np.array([0.9, 0.1])
TENANTS = np.array([0.7, 0.3])
LIMIT_KB = 192 * 1024
BOUNDS = Bounds(window_ms=BEAT_MS, block_ms=12_000.0, settle_ms=BEAT_MS)
TERMS = LeaseTiming(rollout_lease_ms=8000.0)
HORIZON_MS, BEFORE_MS, LATE_WORTH = 9_000_000.0, 600_000.0, 0.1
Floats = NDArray[np.float64]


class Instant(Writer):
    """A register that a majority has at once."""

    def on_lease_acquired(self, now: float, term: int) -> Out:
        super().on_lease_acquired(now, term)
        self.mode = WriterMode.READY
        return []

    def write(self, now: float, book: RolloutState, blobs: tuple[str, ...]) -> Out:
        if why := transition_error(self.state, book):
            raise ValueError(why)
        self.state = book
        return []


class Thresholds(Gate):
    """What many do: a stage is halted as soon as a window with enough calls is worse by so much."""

    bar, enough = 0.05, 50.0

    def comparison_verdict(self, now: float) -> Verdict:
        said = super().comparison_verdict(now)
        found = min((bet.last for what, bet in self.seen.items() if bet.enough >= self.enough), default=0.0)
        if found < -self.bar:
            return Verdict(Decision.HALT, f"{found:+.3f} in a window")
        return Verdict(Decision.WAIT, said.reason) if said.decision in (Decision.DOUBT, Decision.HALT) else said

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.seen: dict[str, _Last] = {}

    def _bet(self, what: str, d: float, margin: float, new: Any, old: Any) -> None:
        self.seen[what] = _Last(d, min(new.count, old.count))
        super()._bet(what, d, margin, new, old)


@dataclass(slots=True)
class _Last:
    last: float
    enough: float


@dataclass(frozen=True, slots=True)
class Worse:
    """How a version does worse: taken from the chance that a call is served in time, by class, tenant or zone."""

    classes: tuple[float, float] = (0.0, 0.0)
    tenants: tuple[float, float] = (0.0, 0.0)
    zone: int = -1  # only there; -1: everywhere
    in_burst: float = 0.0
    after_ms: float = 0.0
    from_others: float = 0.0  # at members without it in the same zone, times the part that has it
    crash_a_minute: float = 0.0
    memory: float = 0.0  # of the limit


VERSIONS: dict[str, Worse] = {
    "equal": Worse(),
    "in one class": Worse(classes=(0.0, 0.15)),
    "for one tenant": Worse(tenants=(0.0, 0.12)),
    "in one zone": Worse(classes=(0.1, 0.1), zone=2),
    "in a burst": Worse(in_burst=0.3),
    "after twenty minutes": Worse(classes=(0.1, 0.1), after_ms=1_200_000.0),
    "from its neighbours": Worse(classes=(-0.02, -0.02), from_others=0.25),
    "one in fifty crashes": Worse(crash_a_minute=0.02),
    "by its memory": Worse(memory=0.2),
}


@dataclass(slots=True)
class Result:
    """ended: done, halted or open; took_ms; lost: worth of calls that the change cost; why: the last reason; doubts."""

    ended: str
    took_ms: float
    lost: float
    why: str
    doubts: int
    at_once: float  # what the same would have cost, had all had it from the start to the end of the time


class World:
    """Calls of a fleet, beat by beat. uneven: members differ for good, by so much of worth (a standard deviation)."""

    def __init__(self, seed: int, members: int, zones: int, worse: Worse, uneven: float = 0.0) -> None:
        self.rng, self.worse = np.random.default_rng(seed), worse
        self.names = [f"m{i}" for i in range(members)]
        self.zone_of = np.arange(members) % zones
        self.rates = np.exp(self.rng.normal(0.0, 0.8, members))  # calls a second
        self.skill = np.minimum(self.rng.normal(0.0, uneven, members), 0.04) if uneven else np.zeros(members)
        self.zones = zones
        self.burst, self.slow = np.zeros(zones), np.zeros(zones)
        self.hit = np.zeros(members)
        self.hit_until, self.zone_until = np.zeros(members), np.zeros(zones)
        self.has = np.zeros(members, dtype=bool)
        self.since = np.zeros(members)
        self.rows = np.zeros((members, len(NAMES), 4))  # of the last beat: ended, served, late, failed
        self.totals = np.zeros((members, len(NAMES), 4))
        self.boots = np.arange(members) + 1
        self.started = np.zeros(members)
        self.crashed: list[int] = []  # in the last beat
        self.lost = 0.0

    def beat(self, now: float) -> None:
        """One beat's calls."""
        rng, n = self.rng, len(self.names)
        seconds = BEAT_MS / 1000
        over = self.zone_until < now
        self.burst[over] = self.slow[over] = 0.0
        for zone in range(self.zones):
            if over[zone] and rng.random() < 0.01:
                kind, self.zone_until[zone] = rng.integers(3), now + rng.uniform(10e3, 60e3)
                self.burst[zone] = 1.0 if kind == 0 else 0.0
                self.slow[zone] = rng.uniform(0.05, 0.25) if kind else 0.0
        self.hit[self.hit_until < now] = 0.0
        for one in np.flatnonzero(rng.random(n) < 0.0005):  # some are hit by chance for minutes
            self.hit[one], self.hit_until[one] = rng.uniform(0.1, 0.4), now + rng.uniform(60e3, 300e3)
        burst = self.burst[self.zone_of]
        served = 0.95 - 0.15 * burst - self.slow[self.zone_of] - self.hit + self.skill
        harm = np.zeros((n, 2, 2))  # by class and tenant
        worse, here = self.worse, self.has & (self.worse.zone < 0 or self.zone_of == self.worse.zone)
        if worse.after_ms:
            here = here & (now - self.since > worse.after_ms)
        harm[here] += np.array(worse.classes)[:, None] + np.array(worse.tenants)[None, :]
        harm[here & (burst > 0)] += worse.in_burst
        if worse.from_others:
            parts = np.array([self.has[self.zone_of == z].mean() for z in range(self.zones)])
            others = ~self.has
            harm[others] += (worse.from_others * parts[self.zone_of[others]])[:, None, None]
        shares = (MIX[:, None] * TENANTS[None, :])[None]
        calls = rng.poisson((self.rates * (1 + 0.5 * burst) * seconds)[:, None, None] * shares)
        good = rng.binomial(calls, np.clip(served[:, None, None] - harm, 0.0, 1.0))
        late = rng.binomial(calls - good, 0.3)
        self.lost += float((calls * harm).sum())
        ended = np.stack([calls, good, late, calls - good - late], axis=3)  # member, class, tenant, how
        self.rows = np.concatenate([ended.sum(axis=2), ended.sum(axis=1)], axis=1)
        self.totals += self.rows
        crash = rng.random(n) < np.where(self.has, worse.crash_a_minute, 0.0) * seconds / 60 + 1e-6
        self.crashed = [int(at) for at in np.flatnonzero(crash)]
        for i in self.crashed:
            self.boots[i] += 10_000
            self.totals[i] = 0.0
            self.has[i], self.started[i] = False, now
            self.lost += float(self.rates[i]) * 5.0  # until it is back

    def memory(self, i: int) -> int:
        """Kilobytes."""
        return int(60_000 + (self.worse.memory * LIMIT_KB if self.has[i] else 0.0) + self.rng.normal(0, 2000))

    def report(self, i: int, now: float, number: int) -> Report:
        """What a member says, by the program's own message."""
        rows = tuple(OutcomeCounts(int(t), int(s), int(late), 0, int(f), int(t)) for t, s, late, f in self.totals[i])
        has = number if self.has[i] else 0
        return Report(int(self.boots[i]), has, number, 0, int(now - self.started[i]), rows, self.memory(i))


class Sums:
    """The fleet's calls as sums by zone, change and group, put into the gate at once: what it makes of reports itself.

    A tenth of the time of reports from each member. A test holds that both end alike.
    """

    def __init__(self, world: World, engine: Engine) -> None:
        self.world, self.engine = world, engine
        self.past = np.zeros((len(world.names), len(NAMES), 4))
        self.past_ms = 0.0
        self.had = world.has.copy()
        self.usual: NDArray[np.float64] | None = None
        self.stage, self.tries = -2, world.has.copy()

    def before(self) -> None:
        """A beat before the change."""
        self.past += self.world.rows
        self.past_ms += BEAT_MS

    def begin(self, now: float, kind: str) -> None:
        """The change is about to begin."""
        if kind != RULES:  # all read its words, and take it up at once
            number = self.engine.state.number + 1
            for name, zone in zip(self.world.names, self.world.zone_of, strict=True):
                self.engine.members[name] = MemberStatus(
                    Report(1, number, number, 0, 0, (), format_versions=OWN), now, now, f"z{zone}"
                )
        for name, rows in zip(self.world.names, self.past, strict=True):
            self.engine.history.add_counts(
                name, [(float(e), float(s), float(late)) for e, s, late, _ in rows], self.past_ms
            )

    def beat(self, now: float) -> None:
        """A beat of the change."""
        world, engine, gate = self.world, self.engine, self.engine.gate
        book, plan = engine.state, engine.plan
        if gate is None or plan is None:
            self.had = world.has.copy()
            return
        if self.usual is None:
            self.usual = np.array([[gate.expected.worth(name, i) for i in range(len(NAMES))] for name in world.names])
        if self.stage != book.stage:
            self.tries, self.stage = self._those(plan.members_through(book.stage)), book.stage
        zones = {int(zone[1:]) for zone in plan.zones[: book.stage + 1]}
        counted = engine.counts_for_block(now)
        for crashed in world.crashed:
            gate.on_crash(bool(self.had[crashed]))
        alike = world.has == self.had  # crashed ones that had it are out too
        alike[world.crashed] = False
        worth = world.rows[:, :, 1] + LATE_WORTH * world.rows[:, :, 2]
        each = np.stack([world.rows[:, :, 0], worth, world.rows[:, :, 0] * self.usual, np.ones_like(worth)], axis=2)
        label = 4 * world.zone_of + 2 * world.has + self.tries  # of those whose calls belong together
        belongs = (np.arange(4 * world.zones)[:, None] == label[None, :]) & alike[None, :]
        sums = np.einsum("gn,nrk->grk", belongs.astype(float), each).tolist()  # label, row, what
        for at, rows in enumerate(sums):
            if not rows[0][3]:
                continue
            zone, has, tries = at // 4, bool(at & 2), bool(at & 1)
            group = OTHER_ZONES if zone not in zones else CANARY if tries else CONTROL
            for i, (count, worthy, usual, _) in enumerate(rows):
                gate.add_calls(f"z{zone}", has, group, counted, i, CallSums(count, worthy, count, usual))
            gate.exposure_ms[has] += BEAT_MS * rows[0][3]
        for has in (False, True):
            if (mine := alike & (world.has == has)).any():
                gate.window.memory[has].append(float(np.mean([world.memory(int(i)) for i in np.flatnonzero(mine)[:3]])))
        self.had = world.has.copy()

    def _those(self, names: frozenset[str]) -> NDArray[np.bool_]:
        return np.array([name in names for name in self.world.names])

    def permits(self, now: float) -> None:
        """Who runs it from now on."""
        world, engine = self.world, self.engine
        if (
            engine.state.phase in (Phase.RUNNING, Phase.SWITCHBACK)
            and engine.state.enabled
            and self.stage == engine.state.stage
        ):
            may = self.tries
        else:
            may = self._those(engine.allowed_members() if engine.state.number > engine.state.floor else frozenset())
        world.since[may & ~world.has] = now
        world.has[:] = may


def change(
    seed: int,
    version: str,
    members: int = 60,
    zones: int = 3,
    gate: Callable[..., Gate] = Gate,
    bounds: Bounds = BOUNDS,
    horizon_ms: float = HORIZON_MS,
    uneven: float = 0.0,
    before_ms: float = BEFORE_MS,
    sums: bool = True,
    kind: str = RULES,
) -> Result:
    """One change of the whole fleet, until it has ended or the time is over. sums: else by reports of each member;
    kind: a program can't be switched off and on (how it is brought to members is not simulated).
    """
    worse = VERSIONS[version]
    world = World(seed, members, zones, worse, uneven)
    writer = Instant("holder", ("a", "b", "c"), 3000.0, 1)

    def make(now: float) -> Gate:
        return gate(bounds, NAMES, [LATE_WORTH] * 4, [1.0, 1.0, 0.0, 0.0], 192.0, now)

    engine = Engine("holder", writer, TERMS, bounds, make, Random(seed))
    engine.on_lease_acquired(0.0, 1)
    fleet = FleetStatus(
        True, tuple(Member(name, f"z{z}") for name, z in zip(world.names, world.zone_of, strict=True)), 24
    )
    summed = Sums(world, engine)
    now, doubts, begun_at, last = 0.0, 0, 0.0, Phase.NONE
    while now < before_ms + horizon_ms:
        now += BEAT_MS
        world.beat(now)
        if sums:
            if begun_at:
                summed.beat(now)
                summed.permits(now)
            else:
                summed.before()
        else:
            _reports(world, engine, now)
        if not begun_at and now > before_ms:
            if sums:
                summed.begin(now, kind)
            why, plan = engine.propose(now, kind, "d", fleet)
            assert plan is not None, why
            engine.start_rollout("p", plan, kind, "d")
            begun_at = now
            world.lost = 0.0
        _, book = engine.tick(now, fleet)
        if book is not None:
            engine.write(now, book)
        phase = engine.state.phase
        doubts += (
            phase is Phase.SWITCHBACK and last is not Phase.SWITCHBACK and not (engine.gate and engine.gate.in_trial)
        )
        last = phase
        if begun_at and (phase in (Phase.HALTED, Phase.DONE) or (kind != RULES and phase is Phase.ROLLING_BACK)):
            break
    ended = {Phase.HALTED: "halted", Phase.ROLLING_BACK: "halted", Phase.DONE: "done"}.get(engine.state.phase, "open")
    at_once = _at_once(seed, members, zones, worse, horizon_ms) if version != "equal" else 0.0
    return Result(ended, now - begun_at, world.lost, engine.state.reason, doubts, at_once)


def _reports(world: World, engine: Engine, now: float) -> None:
    """Each member tells the holder, and is answered."""
    number = engine.state.number
    for i, name in enumerate(world.names):
        report = world.report(i, now, number)
        if engine.state.phase in INACTIVE:
            report = structs.replace(report, floor=engine.state.floor)
        permit = engine.on_report(now, name, f"z{world.zone_of[i]}", report)
        may = permit is not None and permit.duration_ms > 0 and permit.number > engine.state.floor
        if may and not world.has[i]:
            world.since[i] = now
        world.has[i] = may


def _at_once(seed: int, members: int, zones: int, worse: Worse, horizon_ms: float) -> float:
    """All have it from the beginning, and nobody notices."""
    world = World(seed, members, zones, worse)
    world.has[:] = True
    beats = 100  # of a few minutes, for the whole time
    for i in range(beats):
        world.beat(BEAT_MS * i + worse.after_ms)
        world.has[:] = True
    return world.lost * (horizon_ms - worse.after_ms) / (beats * BEAT_MS)


def one(args: tuple[int, str, bool, int, float]) -> tuple[str, bool, Result]:
    """(seed, version, fixed thresholds, members, uneven), for a pool of processes."""
    seed, version, fixed, members, uneven = args
    return version, fixed, change(seed, version, members, gate=Thresholds if fixed else Gate, uneven=uneven)
