"""Hundreds of views in virtual time, under fault scripts: the very cores that the program runs; no real time or I/O."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

import msgspec

from sageweir.cluster.audit import change_row, snapshot
from sageweir.cluster.membership import Action, Membership, SendPacket
from sageweir.cluster.messages import FullState, Kind, Packet, Record, State
from sageweir.cluster.tuning import Tuning
from sageweir.lab.faults.script import Fault, Links, last_end, steps
from sageweir.lab.invariants import Stop, check_audits, check_digests, check_views

WAY = (0.01, 0.05)  # periods that a datagram takes
BUFFER = 500  # datagrams that wait for a process that is stopped
Maker = Callable[..., Membership]


@dataclass(slots=True, eq=False)
class Node:
    """One process."""

    name: str
    boot: int
    address: tuple[str, int]
    view: Membership
    running: bool = True
    stopped: int = 0  # stops that hold it now
    offset: float = 0.0  # of its clock, ms
    speed: float = 1.0
    waiting: list[Callable[[], None]] = field(default_factory=list)  # datagrams that came while it was stopped
    slept: list[Callable[[], None]] = field(default_factory=list)  # and timers
    woken: float = -1.0  # the earliest wake that is under way
    rows: list[dict[str, Any]] = field(default_factory=list)
    sent: int = 0
    sent_bytes: int = 0


class Simulator:
    """A fleet. Times are ms; a script's are periods. Everything follows from the seed."""

    def __init__(
        self,
        names: Sequence[str],
        seed: int,
        tuning: Tuning,
        make: Maker = Membership,
        seeds: int = 3,
        zones: int = 2,
        floor: int = 1,
        audit: bool = True,
        measure: bool = False,
    ) -> None:
        """seeds: how many of the members are in the join list; measure: count bytes too, which takes its time."""
        self.draw, self.tuning, self.make, self.floor = Random(seed), tuning, make, floor
        self.audit, self.measure, self.zones = audit, measure, zones
        self.now, self._count, self._port = 0.0, 0, 10_000
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self.links, self.nodes = Links(), list[Node]()
        self.at: dict[tuple[str, int], Node] = {}
        self.names = list(names)
        self.home = {name: ("10.0.0.1", self._new_port()) for name in names}
        self.join = tuple(self.home[name] for name in names[:seeds])
        self.stops: list[Stop] = []
        self.doubled: set[str] = set()  # names that two processes have
        self.caught: list[tuple[tuple[str, int], Packet]] = []  # datagrams that may be played again
        self.watch: list[Callable[[Node, Any], None]] = []  # told of each change

    def _new_port(self) -> int:
        self._port += 1
        return self._port

    # Processes

    def start(self, name: str, address: tuple[str, int] | None = None) -> Node:
        """A process of that name, at its home or elsewhere."""
        address = address or self.home[name]
        boot = self.draw.getrandbits(60)
        zone = f"z{self.names.index(name) % self.zones}" if name in self.names else ""
        view = self.make(
            "fleet",
            Record(name, 0, boot, State.ALIVE, *address, zone),
            self.join,
            self.tuning,
            Random(self.draw.getrandbits(60)),
            self.floor,
        )
        node = Node(name, boot, address, view)
        self.nodes.append(node)
        self.at[address] = node
        self._perform(node, view.start(self._clock(node)))
        return node

    def all_up(self, spread: float = 0.0) -> None:
        """Start all, within so many periods."""
        for name in self.names:
            self.after(self.draw.uniform(0.0, spread) * self.tuning.period_ms, partial(self.start, name))

    def living(self) -> list[Node]:
        return [node for node in self.nodes if node.running]

    def _clock(self, node: Node) -> float:
        return node.offset + node.speed * self.now

    def _end(self, node: Node) -> None:
        node.running, node.waiting, node.slept = False, [], []
        if self.at.get(node.address) is node:
            del self.at[node.address]

    # Events

    def after(self, ms: float, what: Callable[[], object]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now + ms, self._count, what))

    def run(self, periods: float) -> None:
        """Let so much time pass."""
        end = self.now + periods * self.tuning.period_ms
        while self._events and self._events[0][0] <= end:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = end

    def _to(self, node: Node, what: Callable[[], list[Action]]) -> None:
        """Hand an event to a process; a stopped one gets it when it goes on, as far as its buffer goes."""
        if not node.running:
            return
        if node.stopped:
            if len(node.waiting) < BUFFER:
                node.waiting.append(lambda: self._to(node, what))
            return
        self._perform(node, what())

    def _perform(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPacket):
                self._post(node, (action.host, action.port), action.packet)
            else:
                self._meet(node, (action.host, action.port))
        if node.view.history and (last := node.view.history[-1].number) > len(node.rows):
            changes, _ = node.view.changes_after(len(node.rows))
            assert last == len(node.rows) + len(changes)
            for change in changes:
                node.rows.append(change_row(node.view.local_record, change) if self.audit else {})
                for told in self.watch:
                    told(node, change)
        due = self.now + node.view.next_timer_ms() / node.speed + 0.01
        if node.woken <= self.now or due < node.woken:
            node.woken = due
            self.after(due - self.now, lambda: self._wake(node, due))

    def _wake(self, node: Node, at: float) -> None:
        if node.woken == at:
            node.woken = -1.0
            if node.stopped:
                node.slept.append(lambda: self._to(node, lambda: node.view.on_timer(self._clock(node))))
            else:
                self._to(node, lambda: node.view.on_timer(self._clock(node)))

    def _post(self, node: Node, to: tuple[str, int], packet: Packet) -> None:
        node.sent += 1
        if self.measure:
            node.sent_bytes += len(msgspec.msgpack.encode(packet))
        other = self.at.get(to)
        if len(self.caught) < 200 and self.draw.random() < 0.05:
            self.caught.append((to, packet))
        if other is not None:
            link = self.links.of(node.name, other.name)
            for late in link.deliveries(self.draw):
                self.arrive(other, packet, late)

    def arrive(self, other: Node, packet: Packet, late: float = 0.0) -> None:
        """A datagram is on its way, so many periods longer than usual."""
        way = (late + self.draw.uniform(*WAY)) * self.tuning.period_ms
        self.after(way, lambda: self._to(other, lambda: other.view.on_packet(self._clock(other), packet)))

    def _meet(self, node: Node, to: tuple[str, int]) -> None:
        other = self.at.get(to)
        if other is None or other is node:
            return
        there, back = self.links.of(node.name, other.name), self.links.of(other.name, node.name)
        if there.cut or there.hang or back.cut or back.hang:
            return
        full = node.view.full_state()
        way = (1.5 * self.draw.uniform(*WAY) + there.delay) * self.tuning.period_ms
        if self.measure:
            node.sent_bytes += len(msgspec.msgpack.encode(full))

        def reply() -> list[Action]:
            answer: FullState = other.view.full_state()
            if self.measure:
                other.sent_bytes += len(msgspec.msgpack.encode(answer))
            back_way = (self.draw.uniform(*WAY) + back.delay) * self.tuning.period_ms
            self.after(back_way, lambda: self._to(node, lambda: node.view.on_full_state(self._clock(node), answer)))
            return other.view.on_full_state(self._clock(other), full)

        self.after(way, lambda: self._to(other, reply))

    # Faults

    def play(self, script: Sequence[Fault]) -> None:
        """Set a script going now."""
        for at, fault, begins in steps(script):
            self.after(at * self.tuning.period_ms, partial(self._step, fault, begins))

    def _step(self, fault: Fault, begins: bool) -> None:
        self.links_step(fault, begins)
        for name in fault.who:
            nodes = [node for node in self.nodes if node.running and node.name == name]
            match fault.do:
                case "start" | "move" | "twin":
                    if not nodes or fault.do == "twin":
                        self.start(name, None if fault.do == "start" else ("10.0.0.1", self._new_port()))
                    if fault.do == "twin":
                        self.doubled.add(name)
                case "rubbish" | "foreign" | "replay":
                    self._inject(fault)
                case _:
                    for node in nodes:
                        self._process(node, fault, begins)

    def links_step(self, fault: Fault, begins: bool) -> None:
        if fault.to and fault.do not in ("rubbish", "foreign", "replay"):
            self.links.step(fault, begins)

    def _process(self, node: Node, fault: Fault, begins: bool) -> None:
        match fault.do:
            case "kill":
                self._end(node)
            case "leave":
                self._to(node, lambda: node.view.leave(self._clock(node)))
                self.after(0.5 * self.tuning.period_ms, lambda: self._end(node))
            case "stop":
                if not begins and not node.stopped:
                    return  # it was started anew meanwhile
                node.stopped += 1 if begins else -1
                if not node.stopped:
                    self.stops.append(Stop(node.boot, self._clock(node)))
                    # An event loop takes one datagram a turn, and all timers that are due.
                    waiting, slept, node.waiting, node.slept = node.waiting, node.slept, [], []
                    for what in waiting[:1] + slept + waiting[1:]:
                        what()
            case "jump":
                node.offset += fault.size * self.tuning.period_ms
                if fault.size > 0:
                    self.stops.append(Stop(node.boot, self._clock(node)))
            case "drift":
                speed = 1.0 + fault.size if begins else 1.0
                node.offset += (node.speed - speed) * self.now
                node.speed = speed

    def _inject(self, fault: Fault) -> None:
        targets = [node for node in self.living() if node.name in fault.to]
        for i in range(int(fault.size)):
            for node in targets:
                if fault.do == "replay" and self.caught:
                    self.arrive(node, self.draw.choice(self.caught)[1])
                elif fault.do == "foreign":
                    stranger = Record(f"stranger-{i}", 3, i, State.ALIVE, "10.9.9.9", 9 + i)
                    self.arrive(node, Packet("other", Kind.PING, stranger, 1, 1, 0, node.name))

    # Checks

    def views(self) -> list[dict[str, Any]]:
        return [snapshot(node.view) for node in self.living() if not node.stopped]

    def settled_alike(self) -> bool:
        """Whether all views hold exactly who lives."""
        living = {node.name for node in self.living()}
        members = [node.view for node in self.living() if not node.view.displaced]
        return (
            len({view.digest for view in members}) == 1
            and {record.name for record in members[0].live_records} == living
            and len(members) == len(living)
        )

    def until_alike(self, periods: float, step: float = 0.5, stay: float = 5.0) -> float | None:
        """Run until the views are alike and stay so; the periods until they were, None where that is not in time."""
        period, began = self.tuning.period_ms, self.now
        since: float | None = None
        while since is not None or (self.now - began) / period < periods:
            since = (self.now if since is None else since) if self.settled_alike() else None
            if since is not None and self.now - since >= stay * period:
                return (since - began) / period
            self.run(step)
        return None

    def verdict(self) -> list[str]:
        """All violations now that the views should agree."""
        return (
            check_audits([node.rows for node in self.nodes], self.tuning, set(self.names), self.stops)
            + check_views(self.views(), {node.name for node in self.living()})
            + check_digests(self.views())
        )


def play_seed(
    seed: int,
    members: int,
    tuning: Tuning,
    script: Sequence[Fault],
    quiet: float = 60.0,
    make: Maker = Membership,
    seeds: int = 3,
) -> tuple[list[str], float | None]:
    """One fleet under one script: violations, and the periods from its last fault's end to equal views."""
    names = [f"m{i}" for i in range(members)]
    sim = Simulator(names, seed, tuning, make, seeds)
    sim.all_up(1.0)
    if sim.until_alike(40.0) is None:
        return [*sim.verdict(), "the fleet did not come together before the script"], None
    sim.play(script)
    found: list[str] = []
    end = last_end(script) + 0.51
    for _ in range(4):
        sim.run(end / 4)
        found += check_digests(sim.views())
    took = sim.until_alike(quiet)
    return found + sim.verdict(), took
