"""A fleet's part in a cold server's start: many decision modules over one set of servers, in virtual time.

Views, modules and processors are the program's and the laboratory's own cores; callers spread over living members.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from dahliabridge import interface as api
from dahliabridge.brain import Controller
from sageweir.cluster.tuning import Tuning
from sageweir.lab.faults.script import Fault
from sageweir.lab.processor import ColdRule, Model, Processor
from sageweir.lab.simulate import Node, Simulator

WORK_MS, COLD_MS, WAY_MS, HOLD_MS = 20.0, 10_000.0, 5.0, 4000.0
RULE = (3.0, 1000.0)
MOVE_MS = (100.0, 1000.0)  # callers find another member, or one that joined, so late
CLASSES = (
    api.ServiceClass("status-check", 1.0, 0.1, 1500.0, 9000.0),
    api.ServiceClass("release-check", 8.0, 0.25, 1200.0, 6000.0),
)


@dataclass(slots=True, eq=False)
class Server:
    """One clearing server and its checker."""

    name: str
    processor: Processor
    rule: ColdRule
    times: list[float] = field(default_factory=list)


class Gateway:
    """One session controller: its module, on the simulator's time."""

    def __init__(self, fleet: ColdFleet, node: Node, gateways: int) -> None:
        self.fleet, self.node, self.told = fleet, node, gateways
        settings = api.Settings(
            CLASSES,
            0,
            gateways,
            release_guard_ms=300.0,
            resend_ms=400.0,
            slow_start_min_fraction=0.29,
            slow_start_ms=COLD_MS,
            overload_multiple=RULE[0],
            overload_ms=RULE[1],
            drain_grace_ms=250.0,
            max_attempts=4,
            may_cancel=True,
        )
        self.module = Controller(settings, fleet.draw.getrandbits(32))
        self.handle(api.ListChange(fleet.listed(), complete=True))

    def handle(self, event: api.Event) -> None:
        """Hand the module an event and carry out what it says."""
        if not self.node.running:
            return
        fleet = self.fleet
        for action in self.module.handle(event, fleet.sim.now):
            match action:
                case api.SetTimer(timer, after_ms):
                    fleet.sim.after(after_ms, partial(self.handle, api.TimerFired(timer)))
                case api.Send(call, server, timeout_ms):
                    self._send(call, server, timeout_ms)
                case api.Refuse(call) | api.Fail(call):
                    fleet.refused += 1

    def _send(self, call: str, name: str, timeout_ms: float) -> None:
        sim, server = self.fleet.sim, self.fleet.servers[name]
        number = self.fleet.attempts[call] = self.fleet.attempts.get(call, -1) + 1
        sent = sim.now
        arrives = sent + WAY_MS

        def arrive() -> None:
            if name in self.fleet.silent:
                self.fleet.tests += 1
                end = api.AttemptEnded(call, number, name, api.Outcome.TIMED_OUT, timeout_ms, False)
                sim.after(sent + timeout_ms - sim.now, lambda: self.handle(end))
                return
            server.times.append(sim.now)
            server.rule.sent(sim.now)
            done = server.processor.set_up(sim.now)
            rate = self.fleet.tells_rate(server)
            if done is None:
                end = api.AttemptEnded(call, number, name, api.Outcome.FULL, 2 * WAY_MS, True, max_rate=rate)
                sim.after(WAY_MS, lambda: self.handle(end))
            elif done + WAY_MS - sent > timeout_ms:
                end = api.AttemptEnded(call, number, name, api.Outcome.TIMED_OUT, timeout_ms, False)
                sim.after(sent + timeout_ms - sim.now, lambda: self.handle(end))
            else:
                sim.after(done + WAY_MS - sim.now, lambda: answer(rate))

        def answer(rate: float | None) -> None:
            took = sim.now - sent
            self.fleet.answered(call, sim.now)
            self.handle(api.Answered(call, number, name, took))
            if rate is not None:
                self.handle(api.ServerReport(name, rate))
            end = api.AttemptEnded(call, number, name, api.Outcome.COMPLETED, took, True)
            sim.after(HOLD_MS, lambda: self.handle(end))

        sim.after(arrives - sim.now, arrive)


class ColdFleet:
    """Members, servers and callers. live: modules are told the view's estimate; else they keep the settings' count."""

    def __init__(self, members: int, later: int, servers: int, load: float, live: bool, tells: bool, seed: int) -> None:
        """load: set-ups as a part of what the warm servers take; tells: servers tell the rate that they take."""
        self.draw, self.live, self.tells, self.initial = Random(seed), live, tells, members
        names = [f"m{i}" for i in range(members + later)]
        self.sim = Simulator(names, seed, Tuning(), floor=members, audit=False)
        self.model = Model(WORK_MS, cold_ms=COLD_MS)
        self.servers: dict[str, Server] = {}
        for i in range(servers):
            self._add(f"s-{i}", -1e9)
        self.rate = load * servers * 1000 / WORK_MS
        self.gateways: list[Gateway] = []
        self.open: list[Gateway] = []  # to which callers go now
        self.attempts: dict[str, int] = {}
        self.due: dict[str, float] = {}
        self.offered = self.in_time = self.refused = self.tests = 0
        self.silent: set[str] = set()  # servers that take set-ups and answer none; tests: set-ups sent there
        for name in names[:members]:
            self.join(name, 0.0)
        self.sim.after(0.0, self._call)
        self.sim.after(100.0, self._look)

    def _add(self, name: str, started: float) -> None:
        self.servers[name] = Server(name, Processor(self.model, started), ColdRule(self.model, started, *RULE))

    def listed(self) -> tuple[api.Server, ...]:
        return tuple(
            api.Server(name, i, api.ServerState.IN_SERVICE, max(0.0, server.processor.started_ms))
            for i, (name, server) in enumerate(self.servers.items())
        )

    def tells_rate(self, server: Server) -> float | None:
        """What a server says that it takes from all senders, a second."""
        if not self.tells:
            return None
        age = self.sim.now - server.processor.started_ms
        return 1000 / WORK_MS * self.model.warmth(age)

    # What happens

    def run_s(self, seconds: float) -> None:
        """Let so much time pass."""
        self.sim.run(seconds * 1000 / self.sim.tuning.period_ms)

    def join(self, name: str, late: float) -> None:
        gateway = Gateway(self, self.sim.start(name), self.initial)
        self.gateways.append(gateway)
        self.sim.after(late, lambda: self.open.append(gateway))

    def burst(self, names: Sequence[str], within_ms: float) -> None:
        """All these join within so long."""
        for name in names:
            self.sim.after(self.draw.uniform(0.0, within_ms), partial(self.join, name, self.draw.uniform(*MOVE_MS)))

    def die(self, names: Sequence[str]) -> None:
        """All these are killed now; their callers go elsewhere a little later."""
        self.sim.play([Fault(0.0, "kill", tuple(names))])
        for gateway in [g for g in self.open if g.node.name in names]:
            self.sim.after(self.draw.uniform(*MOVE_MS), partial(self.open.remove, gateway))

    def cold_start(self, name: str) -> None:
        """A server starts cold, and is told to all."""
        self._add(name, self.sim.now)
        change = api.ListChange((self.listed()[-1],), complete=False)
        for gateway in self.gateways:
            gateway.handle(change)

    def _look(self) -> None:
        self.sim.after(100.0, self._look)
        if self.live:
            for gateway in self.gateways:
                if gateway.told != (size := gateway.node.view.size.members):
                    gateway.told = size
                    gateway.handle(api.FleetSize(size))

    def _call(self) -> None:
        self.sim.after(self.draw.expovariate(self.rate) * 1000, self._call)
        self.offered += 1
        gateway = self.draw.choice(self.open) if self.open else None
        if gateway is None or not gateway.node.running:
            return  # its caller has not noticed yet
        kind = CLASSES[self.draw.random() < 0.06]
        call, first = f"c{self.offered}", self.draw.randrange(len(self.servers))
        self.due[call] = self.sim.now + kind.objective_ms
        gateway.handle(api.SetupRequest(call, kind.name, 3000.0, first))

    def answered(self, call: str, now: float) -> None:
        self.in_time += now <= self.due.pop(call, -1.0)


def cold(case: str, live: bool, tells: bool, seed: int, load: float = 0.85) -> dict[str, Any]:
    """One play. case: `join`, 4 members become 16 as a server starts cold; `die`, 16 become 8 two seconds before that.

    Set-ups at the cold server count until it is warm; calls in time for 8 s longer, from when the fleet changes.
    """
    members, later = (4, 12) if case == "join" else (16, 0)
    fleet = ColdFleet(members, later, 4, load, live, tells, seed)
    fleet.run_s(20.0)
    fleet.due.clear()  # calls from here on count
    offered, in_time = fleet.offered, fleet.in_time
    if case == "join":
        fleet.burst(fleet.sim.names[members:], 1000.0)
        fleet.run_s(0.5)
    else:
        fleet.die(fleet.sim.names[members // 2 :])
        fleet.run_s(2.0)
    fleet.cold_start("cold")
    fleet.run_s(COLD_MS / 1000)
    server = fleet.servers["cold"]
    took = len(server.times)
    fleet.run_s(8.0)
    could = sum(fleet.model.warmth(t * 100.0) * 100.0 / WORK_MS for t in range(int(COLD_MS / 100)))
    return {
        "worst_of_budget": round(server.rule.worst, 3),
        "set_ups": took,
        "of_its_capacity": round(took / could, 3),
        "in_time": round((fleet.in_time - in_time) / (fleet.offered - offered), 4),
    }
