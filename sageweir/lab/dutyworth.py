"""What duties are worth: tests sent to a silent server, and cold work, with duties and without, in virtual time.

The decision modules, the duties' work and the view are the program's own; a holder is there from the start and stays.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from dahliabridge import interface as api
from dahliabridge.brain import Controller
from sageweir.cluster.leases.role_handlers import ProberHandler, SlowStartHandler
from sageweir.cluster.leases.service import RoleHandler
from sageweir.lab.coldfleet import COLD_MS, WAY_MS, WORK_MS, ColdFleet, Gateway

BEAT_MS = 500.0


@dataclass(slots=True)
class Told:
    """What a duty's work needs of an exchange."""

    controller: Controller
    tell: Callable[[api.Event], None]
    clock: Any
    test: Callable[[str, Callable[[bool], None]], None]


class _Clock:
    def __init__(self, fleet: ColdFleet) -> None:
        self.fleet = fleet

    def now(self) -> float:
        return self.fleet.sim.now


class DutyFleet(ColdFleet):
    """duties: a warden and a prober are at work; the first member holds both."""

    def __init__(self, members: int, later: int, duties: bool, seed: int, load: float = 0.85) -> None:
        super().__init__(members, later, 4, load, True, False, seed)
        self.messages = self.probes = 0
        self._works = dict[Gateway, tuple[SlowStartHandler, ProberHandler]]()
        if duties:
            for work in self.works(self.gateways[0]):
                work.on_acquired(self.sim.now, 1, b"")
            self.sim.after(0.0, self._beat)

    def works(self, gateway: Gateway) -> tuple[SlowStartHandler, ProberHandler]:
        if gateway not in self._works:
            exchange: Any = Told(gateway.module, gateway.handle, _Clock(self), self._test)
            draw = Random(self.draw.getrandbits(32))
            self._works[gateway] = SlowStartHandler(exchange, 0.05), ProberHandler(exchange, draw)
        return self._works[gateway]

    def _test(self, server: str, done: Callable[[bool], None]) -> None:
        self.probes += 1
        self.sim.after(2 * WAY_MS, lambda: done(server not in self.silent))

    def _way(self, what: Callable[[], None]) -> None:
        self.messages += 1
        self.sim.after(WAY_MS, what)

    def _beat(self) -> None:
        self.sim.after(BEAT_MS, self._beat)
        holder, now = self.gateways[0], self.sim.now
        warden, prober = self.works(holder)
        state = prober.heartbeat(now)
        for gateway in self.gateways:
            own, other = self.works(gateway)
            if gateway is not holder and state:
                self._way(partial(self._noticed, other, state))
            for work, at in ((own, warden), (other, prober)):
                if (asks := work.request(now)) is not None:
                    self._way(partial(self._wanted, at, work, gateway.node.name, now, asks))

    def _noticed(self, work: RoleHandler, state: bytes) -> None:
        work.on_heartbeat(self.sim.now, 1, "m0", state)

    def _wanted(self, warden: RoleHandler, own: RoleHandler, name: str, asked_at: float, asks: bytes) -> None:
        given = warden.on_request(self.sim.now, name, asks)
        if given is not None:
            self._way(lambda: own.on_reply(self.sim.now, asked_at, given))


def silent(members: int, duties: bool, seed: int, seconds: float = 30.0) -> dict[str, Any]:
    """A server takes set-ups and answers none for so long, then answers again: set-ups lost to it, calls in time.

    The other three have room for its calls: they run at four fifths meanwhile.
    """
    fleet = DutyFleet(members, 0, duties, seed, 0.6)
    fleet.run_s(15.0)
    fleet.due.clear()
    offered, in_time = fleet.offered, fleet.in_time
    fleet.silent.add("s-0")
    fleet.run_s(5.0)  # until most have noticed
    first = fleet.tests
    fleet.run_s(seconds - 5.0)
    tests, messages = fleet.tests - first, fleet.messages
    fleet.silent.clear()
    back = len(fleet.servers["s-0"].times)
    fleet.run_s(2.0)
    back = len(fleet.servers["s-0"].times) - back
    fleet.run_s(3.0)
    return {
        "tests": tests,
        "tests_first_5_s": first,
        "probes": fleet.probes,
        "back_in_2_s": back,
        "messages_a_second": messages / 45.0,
        "in_time": (fleet.in_time - in_time) / (fleet.offered - offered),
    }


def cold_start(members: int, duties: bool, seed: int) -> dict[str, Any]:
    """A quarter of the members is there; the rest joins within a second, as a server starts cold."""
    early = max(2, members // 4)
    fleet = DutyFleet(early, members - early, duties, seed)
    fleet.run_s(20.0)
    fleet.due.clear()
    offered, in_time = fleet.offered, fleet.in_time
    fleet.burst(fleet.sim.names[early:], 1000.0)
    fleet.run_s(0.5)
    fleet.cold_start("cold")
    messages = fleet.messages
    fleet.run_s(COLD_MS / 1000)
    server, took = fleet.servers["cold"], len(fleet.servers["cold"].times)
    messages = fleet.messages - messages
    fleet.run_s(8.0)
    could = sum(fleet.model.warmth(t * 100.0) * 100.0 / WORK_MS for t in range(int(COLD_MS / 100)))
    return {
        "worst_of_budget": server.rule.worst,
        "of_its_capacity": took / could,
        "messages_a_second": messages / (COLD_MS / 1000),
        "in_time": (fleet.in_time - in_time) / (fleet.offered - offered),
    }
