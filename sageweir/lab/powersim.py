"""Power losses of a controller in virtual time: its journal on a faulty disk, servers and callers that live on.

The cores are the program's own (`recovery.calls`, `store`). The power goes at a numbered operation of the disk, and
again at one of the recovery. Callers that heard no word ask again with the same id; servers keep what stands, and drop
a set-up that nobody waits for after the release time.
"""

from __future__ import annotations

import logging
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from random import Random
from typing import Any

from sageweir.lab.faultydisk import FaultyDisk, PowerCut
from sageweir.lab.report import Report
from sageweir.recovery.calls import (
    AnswerGiven,
    AnswerKind,
    AttemptClosed,
    AttemptSent,
    CallEnded,
    CallJournal,
    Forget,
    Reconciler,
    Record,
    RecoveryAction,
    Release,
    Resume,
    SetupAccepted,
    SetupAction,
    WriteAheadGate,
    encode,
    served_answer,
)
from sageweir.store.log import DistrustedError, Log

TICK_MS, GUARD_MS, RELEASE_MS, WORK_MS, LIMIT_MS, DEADLINE_MS = 5.0, 300.0, 250.0, 20.0, 600.0, 2500.0
SERVERS = ("s0", "s1")


@dataclass(slots=True)
class ServerCall:
    """At a server: since when it is worked on; stands: from when on; lost: its connection broke then."""

    since: float
    stands: bool = False
    lost: float = -1.0


@dataclass(slots=True)
class Plants:
    """What is wrong with the program: nothing, unless a test plants it."""

    early: bool = False  # effects are seen before their records are durable
    no_guard: bool = False  # nothing is guarded after a start
    asks_nobody: bool = False  # what stood is believed to stand
    believes: bool = False  # a directory that was put back is believed, as if it were the latest
    retries: bool = False  # a failed sync is tried again, and taken for done
    takes_all_back: bool = False  # what stands goes on, whether its caller is there or not


@dataclass(slots=True)
class Seen:
    """Both ends' view, over power losses."""

    at_servers: dict[tuple[str, str], ServerCall] = field(default_factory=dict)  # by call and server
    words: dict[str, list[str]] = field(default_factory=dict)  # that a caller heard, by call
    asked: dict[str, float] = field(default_factory=dict)  # when a caller asked last, who has heard nothing
    found: list[str] = field(default_factory=list)
    released: int = 0  # calls that stood and are released by the recovery
    lived_on: int = 0


class Desktop:
    """One life of the process."""

    def __init__(self, world: PowerSim, now: float) -> None:
        self.world, self.plants = world, world.plants
        self.log: Log | None = None
        book = CallJournal()
        try:
            self.log = Log(world.disk, 7, segment_bytes=2000)
            book = CallJournal.restore(self.log.recovered.state, self.log.recovered.records)
        except (OSError, ValueError):
            world.stated = True  # the directory can't be used: it serves without, and says so
        self.desk = WriteAheadGate(book, log_usable=self.log is not None)
        guard = 0.0 if self.plants.no_guard else GUARD_MS
        self.reconciler = Reconciler(book, now, guard if world.lives else 0.0, LIMIT_MS)
        self.began, self.records = now, 0
        self.owned: set[str] = set()  # calls that stand, and are this process's to end
        if self.plants.asks_nobody:
            self.owned = set(self.reconciler.unresolved)

    def note(self, now: float, record: Record, effect: Any = None) -> None:
        number = 0
        if self.log is not None and not self.log.distrusted:
            number = self.log.append(encode(record))
        self.records += 1
        out = self.desk.append(now, number, record, effect)
        if self.plants.early and effect is not None and not out:
            self.desk._waiting.pop()
            out = [effect]
        self._run(out)

    @staticmethod
    def _run(effects: list[Any]) -> None:
        for effect in effects:
            effect()

    def commit(self, now: float) -> None:
        if self.log is not None and not self.log.distrusted:
            try:
                self._run(self.desk.on_durable(self.log.commit()))
                if self.records > 60:
                    self.records = 0
                    self.log.snapshot(self.desk.journal.snapshot())
            except DistrustedError:
                if self.plants.retries:
                    self.log.distrusted = ""
                    self._run(self.desk.on_durable(self.log.last))
                else:
                    self._run(self.desk.on_log_failure())
        self._run(self.desk.release_overdue(now))
        if self.desk.late_effects and not self.world.stated:
            self.world.stated = True  # a line says that what follows may not outlast a power loss

    # What comes

    def act(self, now: float, acts: list[RecoveryAction]) -> None:
        for one in acts:
            match one:
                case Resume(open_call=kept):
                    self.owned.add(kept.setup.call)
                    self.world.seen.lived_on += 1
                case Release(call=call, server=server):
                    self.log_over(call)
                    self.world.released(call, server, self.reconciler)
                case Forget(call=call):
                    self.log_over(call)

    def log_over(self, call: str) -> None:
        if self.log is not None and not self.log.distrusted:
            self.log.append(encode(CallEnded(call)))

    def set_up(self, now: float, call: str) -> None:
        """A caller asks."""
        world, book = self.world, self.desk.journal
        world.back.setdefault(call, now)
        self.act(now, self.reconciler.on_host_connected(f"host-{call}"))
        verdict, acts = self.reconciler.on_setup(now, call)
        if verdict.action is SetupAction.REPEAT_ANSWER and verdict.answer is not None:
            world.hears(call, verdict.answer.kind.value)
            return
        self.act(now, acts)
        if verdict.action in (SetupAction.WAIT, SetupAction.REPLACE) or call in book.calls:
            return  # it asks again
        self.note(now, SetupAccepted(call, "c", f"host-{call}", int(now + DEADLINE_MS)))
        if world.draw.random() < 0.2:
            how = world.draw.choice((AnswerKind.REFUSED, AnswerKind.FAILED))
            self.note(now, AnswerGiven(call, how), lambda: world.hears(call, how.value))
            return
        server = world.draw.choice(SERVERS)
        self.note(now, AttemptSent(call, 0, server), lambda: world.sent(now, call, server))

    def answered(self, now: float, call: str, server: str) -> None:
        """A server says that the call stands."""
        kept = self.desk.journal.calls.get(call)
        if kept is None or kept.server != server:
            self.world.seen.at_servers.pop((call, server), None)
            return
        self.owned.add(call)
        self.note(now, served_answer(call, server, "words"), lambda: self.world.hears(call, "served"))

    def tick(self, now: float) -> None:
        asks = self.reconciler.pending_queries() if not self.plants.asks_nobody else {}
        for call in sorted(self.reconciler.unresolved):
            if self.world.back.get(call, 1e9) <= now or self.plants.takes_all_back:
                self.act(now, self.reconciler.on_host_connected(f"host-{call}"))
        if now >= self.began + 2 * TICK_MS:
            for server, calls in asks.items():
                for call in calls:
                    if call in self.reconciler.unresolved | self.reconciler.in_doubt:
                        one = self.world.seen.at_servers.get((call, server))
                        self.act(now, self.reconciler.on_server_reply(now, call, one is not None and one.stands))
        before = set(self.reconciler.in_doubt)
        self.act(now, self.reconciler.on_tick(now))
        for call in before - self.reconciler.in_doubt:
            self.note(now, AttemptClosed(call, 0))
            self.log_over(call)
        self.commit(now)


class PowerSim:
    """cuts: operations of the disk, counted over each life, at which the power goes; old: the directory is put back to
    what it was at that time (ms) at the first power loss.
    """

    def __init__(
        self,
        seed: int,
        cuts: tuple[int, ...] = (),
        plants: Plants | None = None,
        lies: bool = False,
        fails: tuple[tuple[int, int], ...] = (),
        old: float = 0.0,
        calls: int = 40,
    ) -> None:
        self.draw, self.cuts, self.plants, self.old = Random(seed), list(cuts), plants or Plants(), old
        self.lies, self.now, self.lives, self.operations = lies, 0.0, 0, 0
        self.disk = FaultyDisk(Random(seed + 1), lies=lies, cut_at=self.cuts.pop(0) if self.cuts else 0, fails=fails)
        self.seen, self.up, self.calls = Seen(), False, calls
        self.process: Desktop | None = None
        self.begin_at = 0.0
        self.backup: FaultyDisk | None = None
        self.stated = False  # that something may not last was said
        self.back: dict[str, float] = {}  # when callers of calls that stand connect again
        self.starts = {f"c{i}": self.draw.uniform(0, 600) for i in range(calls)}

    def hears(self, call: str, word: str) -> None:
        words = self.seen.words.setdefault(call, [])
        if words and words[-1] != word:
            self.seen.found.append(f"{self.now:.0f} {call}: it heard {words[-1]}, then {word}")
        words.append(word)
        self.seen.asked.pop(call, None)

    def sent(self, now: float, call: str, server: str) -> None:
        for (other, at), one in self.seen.at_servers.items():
            if other == call and (not one.stands or at != server):
                self.seen.found.append(f"{self.now:.0f} {call}: out at {server} while it is at {at}")
        self.seen.at_servers[call, server] = ServerCall(self.now)

    def released(self, call: str, server: str, reconciler: Reconciler) -> None:
        """A recovery ends a call: one that both ends still hold may not be ended."""
        self.seen.released += 1
        stands = (one := self.seen.at_servers.pop((call, server), None)) is not None and one.stands
        here = self.back.get(call, 1e9) <= min(self.now, reconciler.deadline)
        if stands and here and "served" in self.seen.words.get(call, []):
            self.seen.found.append(f"{self.now:.0f} {call}: released, though its caller and {server} hold it")

    def _power_goes(self) -> None:
        self.lives += 1
        self.operations = self.disk.operations
        disk = self.backup if self.backup is not None and self.lives == 1 else self.disk.after_power_cut()
        disk.cut_at = self.cuts.pop(0) if self.cuts else 0
        disk.lies = self.lies
        self.disk, self.process = disk, None
        for one in self.seen.at_servers.values():
            if not one.stands and one.lost < 0:
                one.lost = self.now
        self.begin_at = self.now + self.draw.uniform(0, 400)
        self.back = {
            call: self.begin_at + self.draw.uniform(0, 300)
            for call, words in self.seen.words.items()
            if "served" in words and self.draw.random() < 0.7
        }

    def run(self, until: float = 6000.0) -> list[str]:
        """What is wrong, judged from both ends; empty: nothing."""
        while self.now < until:
            self.now += TICK_MS
            try:
                self._tick()
            except PowerCut:
                self._power_goes()
        self._judge()
        return self.seen.found

    def _tick(self) -> None:
        now = self.now
        if self.old and self.backup is None and now >= self.old:
            self.backup = self.disk.copy()
        for key, one in list(self.seen.at_servers.items()):
            if one.lost >= 0 and not one.stands and now - one.lost >= RELEASE_MS:
                del self.seen.at_servers[key]
        if self.process is None:
            if now < self.begin_at:
                return
            self.process = Desktop(self, now)
        process = self.process
        for call, at in self.starts.items():
            waits = not self.seen.words.get(call)
            if waits and at <= now <= at + DEADLINE_MS and now - self.seen.asked.get(call, -1e9) >= 200.0:
                self.seen.asked[call] = now
                process.set_up(now, call)
        for (call, server), one in list(self.seen.at_servers.items()):
            if one.lost < 0 and not one.stands and now - one.since >= WORK_MS:
                one.stands = True
                process.answered(now, call, server)
        process.tick(now)

    def _gone(self, call: str) -> bool:
        """Its caller has not come back: nobody is there who holds it."""
        return self.lives > 0 and "served" in self.seen.words.get(call, []) and call not in self.back

    def _judge(self) -> None:
        """In the end: nobody's calls at servers, none that both ends hold and nobody owns, and a word for each."""
        owned = self.process.owned if self.process is not None else set()
        for (call, server), _ in self.seen.at_servers.items():
            if call not in owned:
                self.seen.found.append(f"{call}: it stands at {server}, and nobody here knows it")
        for call in sorted(owned):
            if self.process is not None and call in self.process.reconciler.resumed and self._gone(call):
                self.seen.found.append(f"{call}: it was taken back for a caller that is not there")
            if not any(one == call for one, _ in self.seen.at_servers):
                self.seen.found.append(f"{call}: it is held here, and stands nowhere")
        for call in self.starts:
            if not self.seen.words.get(call):
                self.seen.found.append(f"{call}: it heard no word")


def points(seed: int) -> int:
    """Operations of the disk in a play without a power loss."""
    sim = PowerSim(seed)
    sim.run()
    return sim.disk.operations


def play(seed: int, cuts: tuple[int, ...], plants: Plants | None = None, **more: Any) -> PowerSim:
    """One play, judged: `seen.found` is what is wrong; where `stated`, the process had said that it can't be sure."""
    sim = PowerSim(seed, cuts, plants, **more)
    sim.run()
    return sim


def _plays(jobs: list[tuple[int, tuple[int, ...]]]) -> list[tuple[int, tuple[int, ...], list[str], int, int]]:
    logging.disable(logging.CRITICAL)  # what recoveries say of cut logs
    return [
        (seed, cuts, sim.seen.found, sim.seen.lived_on, sim.seen.released)
        for seed, cuts in jobs
        if (sim := play(seed, cuts))
    ]


async def power(seeds: int, pairs: int, workers: int) -> Report:
    """A power loss at each operation of the disk, and pairs of them, the second in the recovery or soon after."""
    report = Report("powersim", {"seeds": seeds, "pairs": pairs, "workers": workers})
    jobs: list[tuple[int, tuple[int, ...]]] = []
    for seed in range(1, seeds + 1):
        draw, most = Random(seed), points(seed)
        jobs += [(seed, (cut,)) for cut in range(1, most + 1)]
        jobs += [(seed, (draw.randrange(1, most), draw.randrange(1, 40))) for _ in range(pairs)]
    found, lived, released = list[str](), 0, 0
    with ProcessPoolExecutor(workers) as pool:
        for some in pool.map(_plays, [jobs[i : i + 20] for i in range(0, len(jobs), 20)]):
            for seed, cuts, wrong, lives, lost in some:
                lived, released = lived + lives, released + lost
                found += [f"seed {seed}, power goes at {cuts}: {text}" for text in wrong[:2]]
    report.figures |= {
        "plays": len(jobs),
        "violations": found[:20],
        "calls_that_lived_on": lived,
        "calls_released": released,
    }
    report.bound("violations", len(found), 1)
    return report
