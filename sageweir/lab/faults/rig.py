"""Several processes of the program, started by its ordinary command line, with fault scripts played between them.

Each process has a folder with its own deploy/cluster.json; each link leads through a relay. What happened is judged on
the audit files that the processes write, and on their answers to `show-cluster`.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from types import TracebackType
from typing import Any

import orjson

import sageweir
from sageweir.ask import ask
from sageweir.cluster.messages import GossipUpdate, Kind, Packet, Record, State
from sageweir.cluster.tuning import Tuning
from sageweir.cluster.wire import encode_packet
from sageweir.lab.changeaudit import check_changes
from sageweir.lab.faults.relay import Relay
from sageweir.lab.faults.script import Fault, Links, dump, last_end, steps
from sageweir.lab.invariants import Stop, check_audits, check_duties, check_parts, check_views
from sageweir.lab.rig import free_ports, settings

ROOT = Path(sageweir.__file__).resolve().parent.parent
PERIOD_MS = 250.0


class MissedError(AssertionError):
    """Something that had to come true did not, or a rule was broken; the text holds the fault script."""


@dataclass(slots=True, eq=False)
class Place:
    """A name, an address, and the process that is there now, if any; `serial` tells places of one name apart."""

    name: str
    serial: int
    port: int  # of the fleet's link
    folder: Path
    admin: str = ""
    process: asyncio.subprocess.Process | None = None
    stops: int = 0  # that hold it now
    jumped_ms: float = 0.0
    speed: float = 1.0
    disks: list[bytes] = field(default_factory=list)  # what an elector's file held earlier
    root: Path | None = None  # of the program that runs there; none: this one
    point: dict[str, Any] = field(default_factory=dict)  # that is armed there (sageweir/cluster/failpoints.py)

    @property
    def stopped(self) -> bool:
        return self.stops > 0

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class Seen:
    """What the rig did that the checks must know."""

    stops: list[Stop] = field(default_factory=list)
    left: set[str] = field(default_factory=set)


class FleetRig:
    """`async with FleetRig(names, script=...) as rig: await rig.play()`."""

    kept_folder: Path | None = None  # where the files of a fleet are copied to after an error

    def __init__(
        self,
        names: Sequence[str],
        script: Sequence[Fault] = (),
        *,
        seed: int = 1,
        seeds: int = 3,
        zones: Sequence[str] = ("z0", "z1"),
        period_ms: float = PERIOD_MS,
        remember_ms: float = 120_000.0,
        feed: int | None = None,
        later: Sequence[str] = (),
        held: Sequence[str] = (),
        electors: int = 0,
        lease_ms: float = 1000.0,
        changes: dict[str, float] | None = None,
        slow_disk: bool = False,
    ) -> None:
        """seeds: how many members are in the join list; feed: a feed stand-in's port; later: names that are not started
        at first; held: names whose listening sockets the rig holds, as the platform does for upgrades;
        electors: how many of the members, from the first on; changes: of cluster.json, where there are any;
        slow_disk: whether every write of leases and rollouts takes long.
        """
        self.names, self.script, self.seed, self.period_ms = list(names), list(script), seed, period_ms
        self.remember_ms, self.feed, self.later, self.zones = remember_ms, feed, set(later), zones
        self.electors, self.lease_ms, self.changes, self.slow_disk = electors, lease_ms, changes, slow_disk
        self.held = {name: socket.create_server(("127.0.0.1", 0)) for name in held}
        self.tuning = Tuning(period_ms=period_ms, remember_ms=remember_ms)
        self.draw, self.links, self.seen = Random(seed), Links(), Seen()
        self.relays: dict[tuple[Place, Place], Relay] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="fleet-")
        extra = [name for fault in self.script if fault.do in ("move", "twin") for name in fault.who]
        ports = free_ports(len(self.names) + len(extra))
        self.places = [self._place(name, 0, port) for name, port in zip(self.names, ports, strict=False)]
        self.places += [
            self._place(name, 1 + extra[:i].count(name), ports[len(self.names) + i]) for i, name in enumerate(extra)
        ]
        self.seeds = [place for place in self.places if not place.serial][:seeds]
        self.clients: dict[str, int] = {}  # where callers connect, by name

    def _place(self, name: str, serial: int, port: int) -> Place:
        folder = Path(self._folder.name) / f"{name}-{serial}"
        (folder / "deploy").mkdir(parents=True)
        return Place(name, serial, port, folder)

    # Start and end

    async def __aenter__(self) -> FleetRig:
        try:
            await self._make_relays()
            await asyncio.gather(
                *(self.start(place) for place in self.places if not place.serial and place.name not in self.later)
            )
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if error is not None and self.script:
            print(f"seed {self.seed}; the fault script, to be played again:\n{dump(self.script)}", file=sys.stderr)
        if error is not None and self.kept_folder is not None:
            shutil.copytree(self._folder.name, self.kept_folder, dirs_exist_ok=True)
        await self.close()

    async def close(self) -> None:
        for place in self.places:
            place.signal(signal.SIGKILL)
        for place in self.places:
            if place.process is not None:
                await place.process.wait()
        for relay in self.relays.values():
            relay.close()
        for listener in self.held.values():
            listener.close()
        await asyncio.sleep(0)
        self._folder.cleanup()

    async def _make_relays(self) -> None:
        pairs = [(a, b) for a in self.places for b in self.places if a.name != b.name]
        for i, ((a, b), port) in enumerate(zip(pairs, free_ports(len(pairs)), strict=True)):
            relay = Relay(
                port,
                b.port,
                lambda a=a, b=b: self.links.of(a.name, b.name),  # type: ignore[misc]
                lambda a=a, b=b: self.links.of(b.name, a.name),  # type: ignore[misc]
                self.period_ms,
                self.seed * 10_007 + i,
            )
            try:
                await relay.start()
            except OSError:  # another rig was quicker
                relay.port = free_ports(1)[0]
                await relay.start()
            self.relays[a, b] = relay

    async def start(self, place: Place) -> None:
        """Start the process of a place; it answers operators when this returns."""
        at = self.names.index(place.name)
        admin, client = free_ports(2)
        place.admin, place.stops = f"127.0.0.1:{admin}", 0
        self.clients[place.name] = client
        others = [(b, relay) for (a, b), relay in self.relays.items() if a is place]
        first = {one.name: f"127.0.0.1:{one.port}" for one in self.places[: self.electors] if not one.serial}
        duties: dict[str, Any] = {}
        if first:
            duties = {"electors": first, "lease_ms": self.lease_ms, "state": str(place.folder / "state")}
        if self.changes is not None:
            duties["changes"] = self.changes
        place.folder.joinpath("deploy/cluster.json").write_bytes(
            orjson.dumps(
                duties
                | {
                    "fleet": "lab",
                    "listen": f"127.0.0.1:{place.port}",
                    "zone": self.zones[at % len(self.zones)],
                    "join": [f"127.0.0.1:{seed.port}" for seed in self.seeds],
                    "period_ms": self.period_ms,
                    "via": {f"127.0.0.1:{b.port}": f"127.0.0.1:{relay.port}" for b, relay in others},
                    "remember_ms": self.remember_ms,
                    "audit": str(place.folder / "audit.jsonl"),
                    "faults": str(place.folder / "clock.json"),
                }
            )
        )
        if self.slow_disk:
            self._clock(place)
        config = {
            "name": place.name,
            "listen": f"127.0.0.1:{client}",
            "seed": f"{self.seed * 1000 + at:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"n": 0, "events": []},
            "settings": settings(14_000.0),
        }
        if self.feed is not None:
            config["feed"] = f"127.0.0.1:{self.feed}"
        place.folder.joinpath("config.json").write_bytes(orjson.dumps(config))
        environ = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        environ |= {
            "NODE_CONFIG": str(place.folder / "config.json"),
            "NODE_ADMIN_ADDR": place.admin,
            "PYTHONPATH": str(place.root or ROOT),
        }
        kept: tuple[int, ...] = ()
        if (listener := self.held.get(place.name)) is not None:
            kept = (listener.fileno(),)
            environ |= {"NODE_SOCKET_FD": str(kept[0]), "TMPDIR": str(place.folder)}
        with place.folder.joinpath("log.txt").open("ab") as log:
            place.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "sageweir", cwd=place.folder, env=environ, stderr=log, pass_fds=kept
            )
        for _ in range(600):
            if place.process.returncode is not None:
                raise MissedError(f"{place.name} ended at its start: {self.log(place)[-2000:]}")
            with contextlib.suppress(OSError):
                if (await self.ask(place, "ready")).startswith("SUCCESS"):
                    return
            await asyncio.sleep(0.05)
        raise MissedError(f"{place.name} is not ready after 30 s: {self.log(place)[-2000:]}")

    async def upgrade(self, place: Place) -> None:
        """A new version beside the old one, which is stopped as soon as the new one says yes."""
        old = place.process
        assert old is not None
        await self.start(place)
        old.send_signal(signal.SIGTERM)
        await old.wait()

    # What is seen

    async def ask(self, place: Place, call: str) -> str:
        return await asyncio.to_thread(ask, place.admin, call)

    async def view(self, place: Place) -> dict[str, Any]:
        """A process's view. Raises OSError where it does not answer."""
        found: dict[str, Any] = orjson.loads((await self.ask(place, "show-cluster")).partition("\nEOT")[0])
        return found

    def log(self, place: Place) -> str:
        return place.folder.joinpath("log.txt").read_text()

    def up(self) -> list[Place]:
        return [place for place in self.places if place.running and not place.stopped]

    def alive(self) -> list[Place]:
        """Places whose process runs and has not stopped itself at a point."""
        return [
            place
            for place in self.up()
            if place.process is not None
            and Path(f"/proc/{place.process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T"
        ]

    async def views(self) -> list[dict[str, Any]]:
        found = await asyncio.gather(*(self.view(place) for place in self.up()), return_exceptions=True)
        return [view for view in found if isinstance(view, dict)]

    def audits(self) -> list[list[dict[str, Any]]]:
        """Each process's rows; a place that had several processes gives several audits."""
        return self._rows("audit.jsonl")

    def duty_audits(self) -> list[list[dict[str, Any]]]:
        """The same of duties: what holders, electors and those acted on did."""
        return self._rows("audit.jsonl.duties")

    def _rows(self, name: str) -> list[list[dict[str, Any]]]:
        by_boot: dict[int, list[dict[str, Any]]] = {}
        for place in self.places:
            path = place.folder / name
            if path.exists():
                for line in path.read_bytes().splitlines(keepends=True):
                    if line.endswith(b"\n"):  # else it was killed while it wrote
                        row = orjson.loads(line)
                        by_boot.setdefault(row["boot"], []).append(row)
        return list(by_boot.values())

    def check(self, liars: frozenset[int] = frozenset()) -> None:
        """Safety, strictly, on all audits. Raises MissedError."""
        found = check_audits(self.audits(), self.tuning, set(self.names), self.seen.stops, liars)
        found += check_duties(self.duty_audits()) + check_parts(self.duty_audits())
        if self.changes is not None:
            late = 1.2 * self.changes.get("permit_ms", 6000.0) + self.lease_ms
            found += check_changes(self.duty_audits(), late, {stop.boot for stop in self.seen.stops})
        if found:
            raise MissedError("\n".join(found[:10]))

    async def until(self, so: Callable[[list[dict[str, Any]]], Iterable[str]], periods: float = 60.0) -> float:
        """Wait until `so` finds nothing wrong with the views; the periods that went by. Raises MissedError.

        Periods are those of the slowest process's own time, so that a busy machine decides nothing. A process whose
        time does not run at all ends the wait too, after ten times as many looks as it should take.
        """
        looks = 0
        began = {view["boot"]: view["own_ms"] for view in await self.views()}
        while True:
            views = await self.views()
            wrong = list(so(views))
            spent = [(view["own_ms"] - began[view["boot"]]) / self.period_ms for view in views if view["boot"] in began]
            if not wrong and views:
                return max(spent, default=0.0)
            looks += 1
            if min(spent, default=0.0) > periods or looks > 20 * periods:
                raise MissedError(f"after {periods:.0f} periods still: " + "; ".join(wrong[:6]))
            for view in views:
                began.setdefault(view["boot"], view["own_ms"])
            await asyncio.sleep(self.period_ms / 2000)

    async def until_alike(self, periods: float = 60.0) -> float:
        """Wait until all views hold exactly the names that live, and are equal."""

        def so(views: list[dict[str, Any]]) -> list[str]:
            living = {place.name for place in self.up()}
            silent = len(self.up()) - len(views)
            holders = sum(view["member"] for view in views)
            wrong = [f"{silent} processes don't answer"] if silent else []
            if holders != len(living):
                wrong.append(f"{holders} processes are members for {len(living)} names")
            return wrong + check_views(views, living)

        return await self.until(so, periods)

    async def until_held(self, periods: float = 80.0) -> float:
        """Wait until all processes name the same holder of each duty, and it lives."""

        def so(views: list[dict[str, Any]]) -> list[str]:
            living = {place.name for place in self.up()}
            wrong = [f"{len(views)} of {len(living)} answer"] if len(views) < len(living) else []
            for duty in views[0]["duties"] if views else ():
                holders = {view["duties"][duty]["holder"] for view in views}
                if len(holders) != 1 or not holders <= living:
                    wrong.append(f"{duty} is held by {holders}")
            return wrong

        return await self.until(so, periods)

    async def holder(self, duty: str) -> Place:
        """The place whose process holds the duty now. Raises MissedError."""
        for _ in range(400):
            for place in self.up():
                with contextlib.suppress(OSError):
                    if (await self.view(place))["duties"][duty]["here"] in ("holding", "handing on"):
                        return place
            await asyncio.sleep(0.05)
        raise MissedError(f"nobody holds {duty}")

    def _disk(self, place: Place, how: float) -> None:
        """An elector's file as it is (0), as it once was (1), or gone (2)."""
        path = place.folder / "state" / f"elector-{place.name}"
        if path.exists():
            place.disks.append(path.read_bytes())
            if how == 1:
                path.write_bytes(self.draw.choice(place.disks))
            elif how == 2:
                path.unlink()

    # Faults

    async def play(self, script: Sequence[Fault] | None = None) -> None:
        """Play the script; ends with its last fault."""
        script = self.script if script is None else script
        began = time.monotonic()
        for at, fault, begins in steps(script):
            await asyncio.sleep(max(0.0, began + at * self.period_ms / 1000 - time.monotonic()))
            await self.step(fault, begins)
        rest = began + last_end(script) * self.period_ms / 1000 - time.monotonic()
        await asyncio.sleep(max(0.0, rest))

    async def step(self, fault: Fault, begins: bool) -> None:
        """One fault begins, or ends."""
        if fault.do in ("rubbish", "foreign", "replay", "lie"):
            await self._inject(fault)
            return
        if fault.to:
            self.links.step(fault, begins)
            return
        for name in fault.who:
            here = [place for place in self.places if place.name == name and place.running]
            match fault.do:
                case "start" if not here:
                    place = next(place for place in self.places if place.name == name and not place.serial)
                    self._disk(place, fault.size)
                    await self.start(place)
                case "move" | "twin":
                    await self.start(
                        next(
                            place
                            for place in self.places
                            if place.name == name and place.serial and place.process is None
                        )
                    )
                case _:
                    for place in here:
                        await self._process(place, fault, begins)

    async def _process(self, place: Place, fault: Fault, begins: bool) -> None:
        assert place.process is not None
        match fault.do:
            case "kill":
                place.signal(signal.SIGKILL)
                await place.process.wait()
                self._disk(place, 0)
            case "leave":
                if place.stopped:
                    place.stops = 0
                    place.signal(signal.SIGCONT)
                place.signal(signal.SIGTERM)
                self.seen.left.add(place.name)
                await place.process.wait()
            case "stop" if begins and place.stopped:
                place.stops += 1
            case "stop" if begins:
                boot = (await self.view(place))["boot"]
                place.signal(signal.SIGSTOP)
                place.stops = 1
                self.seen.stops.append(Stop(boot, float("inf")))
            case "stop" if place.stops > 1:
                place.stops -= 1
            case "stop" if place.stopped:
                place.stops = 0
                boots = [stop.boot for stop in self.seen.stops]
                went_on = time.monotonic() * 1000
                place.signal(signal.SIGCONT)
                boot = (await self.view(place))["boot"]
                self.seen.stops[len(boots) - 1 - boots[::-1].index(boot)] = Stop(boot, went_on)
            case "jump":
                self._clock(place, jumped_ms=place.jumped_ms + fault.size * self.period_ms)
            case "drift":
                self._clock(place, speed=1.0 + fault.size if begins else 1.0)

    def _clock(self, place: Place, **change: float) -> None:
        for key, value in change.items():
            setattr(place, key, value)
        fresh = place.folder / "clock.new"
        faults = {"speed": place.speed, "jumped_ms": place.jumped_ms, "point": place.point}
        fresh.write_bytes(orjson.dumps(faults | {"slow_disk": self.slow_disk}))
        fresh.replace(place.folder / "clock.json")

    # Numbered points

    def arm(self, place: Place, name: str = "", number: int = 0, kind: str = "") -> None:
        """Count points anew there, with a fault at one of them, or none."""
        place.point = {"arm": place.point.get("arm", 0) + 1, "name": name, "number": number, "kind": kind}
        self._clock(place)

    async def overcome(self, place: Place, boot: int, down: float = 12.0) -> str:
        """Set right what the armed point has done by now, so many periods later; what it was, else nothing."""
        assert place.process is not None
        if not place.running:
            place.point = {}
            self._clock(place)
            await asyncio.sleep(down * self.period_ms / 1000)
            await self.start(place)
            return "crash"
        if place not in self.alive():
            place.stops = 1
            self.seen.stops.append(Stop(boot, float("inf")))
            await asyncio.sleep(down * self.period_ms / 1000)
            place.stops = 0
            self.seen.stops[[stop.boot for stop in self.seen.stops].index(boot)] = Stop(boot, time.monotonic() * 1000)
            place.signal(signal.SIGCONT)
            return "stopped"
        return str((await self.view(place))["points"]["hit"])

    async def _inject(self, fault: Fault) -> None:
        """Datagrams that nobody should believe, straight to the members' ports."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
        try:
            for place in [place for place in self.up() if place.name in fault.to]:
                for i in range(int(fault.size)):
                    data = await self._bad(fault, place, i)
                    if data:
                        transport.sendto(data, ("127.0.0.1", place.port))
                    await asyncio.sleep(0)
        finally:
            transport.close()

    async def _bad(self, fault: Fault, place: Place, i: int) -> bytes:
        match fault.do:
            case "rubbish":
                return self.draw.randbytes(self.draw.choice([0, 1, 7, 100, 1400, 5000])) or b"SV\x01"
            case "foreign":
                stranger = Record(f"stranger-{i}", 3, i, State.ALIVE, "127.0.0.1", 9)
                return encode_packet(Packet("other", Kind.PING, stranger, 1, 1, 0, place.name))
            case "replay":
                caught = [data for (_, to), relay in self.relays.items() if to is place for data in relay.caught]
                return self.draw.choice(caught) if caught else b""
        # A lie: a living member, or whoever can write in its name, says that another is dead.
        told, said = [], 0
        for name, state in zip(fault.who, (State.ALIVE, State.DEAD), strict=True):
            view = await self.view(next(one for one in self.up() if one.name == name))
            said = said or view["said"] + 1
            told.append(Record(name, view["incarnation"], view["boot"], state, *_split(view["address"]), view["zone"]))
        return encode_packet(
            Packet("lab", Kind.GOSSIP, told[0], said, 0, 0, "", (GossipUpdate(told[1], told[0].name),))
        )


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
