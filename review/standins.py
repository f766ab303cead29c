"""Stand-ins of the review: platform, control feed, clearing servers and callers, on loopback and the real clock.

They do what the protocol page says and nothing else. All that is sent, answered and run goes into a record.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
CIRCUITS = 80  # free lines of a clearing server: far more than are usual
LONGEST_S = 110.0  # of a whole script
# Every process inherits the callers' listening socket as descriptor 4. The process keeps its id.
INHERIT = """
import os, sys
held = int(sys.argv[1])
if held != 4:
    os.dup2(held, 4)
    os.close(held)
os.set_inheritable(4, True)
os.execv(sys.argv[2], sys.argv[2:])
"""
HELD_RULE, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, a line each, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file, self._began = path.open("w", encoding="utf-8"), time.time()

    def write(self, who: str, what: str) -> None:
        self._file.write(f"{time.time() - self._began:8.3f} {who}: {what}\n")
        self._file.flush()


def new_id() -> str:
    return f"{random.getrandbits(64):016x}"


def line(message: dict[str, Any]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def free_address(host: str = "127.0.0.1") -> str:
    """An address that nobody listens at now."""
    with socket.socket() as found:
        found.bind((host, 0))
        return f"{host}:{found.getsockname()[1]}"


class Feed:
    """The control feed: numbered events over server-sent events, a comment each second."""

    def __init__(self, record: Record) -> None:
        self.record, self.address = record, free_address()
        self.answer_after_s = 0.0  # how long a call waits for its answer
        self.events: list[dict[str, Any]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def up(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.record.write("feed", f"up at {self.address}")

    def tell(self, rows: list[dict[str, Any]], whole: bool = False) -> float:
        """Put an event into the feed; when."""
        number = len(self.events) + 1
        event = {"n": number, "members": {"generation": number, "reset": whole, "instances": rows}}
        self.events.append(event)
        for writer in self._writers:
            self._put(writer, event)
        self.record.write("feed", f"event {number}: {[(r['instanceId'], r['lifecycle']) for r in rows]}")
        return time.time()

    @staticmethod
    def _put(writer: asyncio.StreamWriter, event: dict[str, Any]) -> None:
        writer.write(f"id: {event['n']}\ndata: {json.dumps(event)}\n\n".encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(field.split(": ", 1) for field in head.split("\r\n")[1:] if ": " in field)
            last = int(fields.get("Last-Event-ID", "0"))
            self.record.write("feed", f"a controller asks from number {last} on")
            if self.answer_after_s and not await self._waited(reader):
                self.record.write("feed", "the controller has closed before it was answered")
                writer.close()
                return
            self.record.write("feed", "answers")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            for event in self.events:
                if event["n"] > last:
                    self._put(writer, event)
            self._writers.add(writer)
            while not writer.transport.is_closing():
                writer.write(b": still here\n\n")
                await writer.drain()
                await asyncio.sleep(1.0)
        self._writers.discard(writer)
        writer.close()

    async def _waited(self, reader: asyncio.StreamReader) -> bool:
        """Let a call wait its turn; False where it was given up meanwhile."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(1), self.answer_after_s)
            return False
        return True


class ClearingServer:
    """A sound clearing server: it answers each set-up, and each call ends after its time."""

    def __init__(
        self, record: Record, name: str, address: str, cell: int, hold_s: Callable[[], float], started_ms: float = 0.0
    ) -> None:
        """address: its address, or its host alone; started_ms: when it started, 0 for long ago."""
        self.record, self.name, self.cell, self.hold_s, self.started_ms = record, name, cell, hold_s, started_ms
        self.address = address if ":" in address else free_address(address)
        self.answer_after_s = 0.01
        self.set_ups: list[tuple[float, str]] = []  # when it came whole, and whose
        self.ended: dict[str, float] = {}  # calls that came to their end here: when their release was sent
        self.released: dict[str, float] = {}  # calls that the controller released
        self.cut: dict[str, float] = {}  # calls that were cut with the process
        self._working: dict[tuple[str, asyncio.StreamWriter], asyncio.TimerHandle] = {}
        self._standing: dict[str, tuple[asyncio.StreamWriter, asyncio.TimerHandle]] = {}
        self._next_connection: dict[str, bytes] = {}  # releases that the next connection is told as well
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self._reporting: asyncio.Task[None] | None = None
        self._hole: list[socket.socket] = []

    def row(self, state: str = "SERVING") -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "muscat",
            "machineType": "std-1",
            "cell": self.cell,
            "lifecycle": state,
            "weight": 1,
            "startedAtMs": round(self.started_ms),
        }

    async def up(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._reporting = asyncio.get_running_loop().create_task(self._report())
        self.record.write(self.name, f"up at {self.address}")

    def stop(self) -> None:
        """Its process ends: connections are reset, calls are cut."""
        self._cut_all("stops")
        for writer in self._writers:
            writer.transport.abort()

    def vanish(self) -> None:
        """Its machine vanishes: open connections stay open and silent, new ones never come up, calls are cut."""
        self._cut_all("vanishes")
        for writer in self._writers:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        host, port = self.address.split(":")
        # A listener that nobody accepts at, with its queue full: the system answers no further connection.
        self._hole = [socket.create_server((host, int(port)), backlog=0)]
        for _ in range(4):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex((host, int(port)))
            self._hole.append(filling)

    def leave_address(self) -> None:
        """The address of the machine that vanished is free for another one."""
        for held in self._hole:
            held.close()

    def _cut_all(self, how: str) -> None:
        assert self._server is not None and self._reporting is not None
        self._server.close()
        self._reporting.cancel()
        for _, timer in self._standing.values():
            timer.cancel()
        for timer in self._working.values():
            timer.cancel()
        self.cut = dict.fromkeys(self._standing, time.time())
        self.record.write(self.name, f"{how}, {len(self._standing)} calls that stand are cut")
        for sid in self._standing:
            self.record.write(self.name, f"call {sid} is cut")
        self._standing.clear()
        self._working.clear()

    def _load(self) -> dict[str, str]:
        return {"load": f"idle:{CIRCUITS - len(self._standing)};circuits:{CIRCUITS};reduce:0"}

    async def _report(self) -> None:
        """The state of its group, where that has changed, on four open connections of a controller at most."""
        told = self._load()
        while True:
            await asyncio.sleep(0.25)
            if told != (told := self._load()):
                for writer in self._writers[:4]:
                    writer.write(line({"msg": "status", "sid": "", "attrs": told}))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        writer.write(line({"msg": "status", "sid": "", "attrs": self._load()}))
        for told in self._next_connection.values():
            writer.write(told)
        self._next_connection.clear()
        with contextlib.suppress(OSError):
            while raw := await reader.readline():
                self._heard(writer, json.loads(raw))
        self._writers.remove(writer)
        for key in [key for key in self._working if key[1] is writer]:  # given up with the connection
            self._working.pop(key).cancel()
        writer.close()

    def _heard(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        sid, loop = message["sid"], asyncio.get_running_loop()
        if message["msg"] == "open":
            self.set_ups.append((time.time(), sid))
            self.record.write(self.name, f"set-up {sid}")
            self._working[sid, writer] = loop.call_later(self.answer_after_s, self._answer, sid, writer)
        elif message["msg"] == "close":
            writer.write(line({"msg": "closed", "sid": sid, "attrs": {}}))
            if (timer := self._working.pop((sid, writer), None)) is not None:
                timer.cancel()
                self.record.write(self.name, f"set-up {sid} is given up")
            elif sid in self._standing:
                self._standing.pop(sid)[1].cancel()
                self.released[sid] = time.time()
                self.record.write(self.name, f"call {sid} is released by the controller")
        elif message["msg"] == "probe":
            writer.write(line({"msg": "probed", "sid": sid, "attrs": self._load(), "code": 1}))

    def _answer(self, sid: str, writer: asyncio.StreamWriter) -> None:
        del self._working[sid, writer]
        timer = asyncio.get_running_loop().call_later(self.hold_s(), self.end_call, sid)
        self._standing[sid] = writer, timer
        writer.write(line({"msg": "ready", "sid": sid, "attrs": {}, "text": f"{sid} at {self.name}"}))
        self.record.write(self.name, f"answers {sid}: it stands")

    def end_call(self, sid: str) -> None:
        """The call comes to its end: told where its set-up came, else on any connection, and on the next one too."""
        writer, _ = self._standing.pop(sid)
        told = line({"msg": "close", "sid": sid, "attrs": {}, "code": 16})
        for way in [writer, *self._writers]:
            if way in self._writers and not way.transport.is_closing():
                way.write(told)
                break
        self._next_connection[sid] = told
        self.ended[sid] = time.time()
        self.record.write(self.name, f"call {sid} has come to its end, release sent")


class Caller:
    """A caller with an address of its own and one connection at a time."""

    def __init__(self, record: Record, name: str, host: str, to: str) -> None:
        self.record, self.name, self.host, self.to = record, name, host, to
        self.asked: dict[str, float] = {}  # when each set-up was sent
        self.answers: dict[str, list[str]] = {}
        self.over: dict[str, float] = {}  # when it was told that a call which stood is over
        self.writer: asyncio.StreamWriter | None = None
        self._reading: set[asyncio.Task[None]] = set()

    def connected(self) -> bool:
        return self.writer is not None and not self.writer.transport.is_closing()

    async def connect(self) -> None:
        host, port = self.to.split(":")
        reader, self.writer = await asyncio.open_connection(host, int(port), local_addr=(self.host, 0))
        self.record.write(self.name, "connects")
        task = asyncio.get_running_loop().create_task(self._read(reader, self.writer))
        self._reading.add(task)
        task.add_done_callback(self._reading.discard)

    async def set_up(self, service_class: str, left_ms: int, dest: int) -> str:
        """Send a set-up, on a new connection where none is open; its id."""
        if not self.connected():
            await self.connect()
        sid = new_id()
        fields = {
            "class": service_class,
            "left": f"{left_ms}",
            "key": new_id(),
            "extras": f"dest:{dest};width:1;via:-1",
        }
        self.asked[sid], self.answers[sid] = time.time(), []
        assert self.writer is not None
        self.writer.write(
            line({"msg": "open", "sid": sid, "attrs": fields, "text": f"{sid}\r\nc=IN IP4 {self.host}\r\n"})
        )
        self.record.write(self.name, f"set-up {sid}, {service_class}")
        return sid

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while raw := await reader.readline():
                message = json.loads(raw)
                self._heard(writer, message["msg"], message["sid"], message.get("code"))
        self.record.write(self.name, "its connection has ended")
        writer.close()

    def _heard(self, writer: asyncio.StreamWriter, kind: str, sid: str, cause: int | None) -> None:
        if sid not in self.asked or kind not in ("ready", "close"):
            return
        if kind == "ready":
            self.answers[sid].append("stands")
        elif "stands" in self.answers[sid]:
            self.over.setdefault(sid, time.time())
            writer.write(line({"msg": "closed", "sid": sid, "attrs": {}}))
        else:
            self.answers[sid].append("refused" if cause in (34, 42, 102) else "failed")
        self.record.write(self.name, f"is told {kind} {sid}" + (f", cause {cause}" if cause is not None else ""))

    def stood(self, sid: str) -> bool:
        return "stands" in self.answers[sid]


async def make_calls(caller: Caller, seed: int, rate_per_s: float, left_ms: int = 3000) -> None:
    """A usual caller: status checks at random times, on one connection that it opens again where it was closed."""
    draw = random.Random(seed)
    while True:
        await asyncio.sleep(draw.expovariate(rate_per_s))
        with contextlib.suppress(OSError):
            await caller.set_up("status-check", left_ms, draw.randrange(3))


class Platform:
    """Starts controllers with `run` of the deploy file, signals them, and ends them all."""

    def __init__(self, record: Record, feed: Feed, held: bool, memory_mb: int = 192, sockets: int = 1024) -> None:
        """held: the platform holds the callers' listening socket, as on days with a new version under load."""
        self.record, self.feed, self.folder = record, feed, Path(tempfile.mkdtemp(prefix="review-"))
        self.memory_mb, self.sockets = memory_mb, sockets
        self.listener: socket.socket | None = None
        self.listen = free_address()
        if held:
            self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
            self.listen = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.started: list[Controller] = []
        (self.folder / "tmp").mkdir()

    def start(self, name: str) -> Controller:
        """One process of the program; name: in the record."""
        base = json.loads((ROOT / "examples" / "config.json").read_text())
        base["settings"]["caps"] |= {"probing": True, "parallel_tries": False, "peer_messages": False}
        admin = free_address()
        config = base | {
            "name": "n1",
            "listen": self.listen,
            "admin_addr": admin,
            "seed": new_id(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "feed": self.feed.address,
            "known": {"n": len(self.feed.events), "events": list(self.feed.events)},
        }
        path = self.folder / f"{name.replace(' ', '-')}.json"
        path.write_text(json.dumps(config))
        environ = os.environ | {
            "NODE_NAME": "n1",
            "NODE_LISTEN": self.listen,
            "NODE_CONFIG": str(path),
            "NODE_ADMIN_ADDR": admin,
            "TMPDIR": str(self.folder / "tmp"),
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        command, passed = ["/bin/sh", "-c", run], tuple[int, ...]()
        if self.listener is not None:
            environ["NODE_SOCKET_FD"] = "4"
            passed = (self.listener.fileno(),)
            command = [sys.executable, "-c", INHERIT, str(passed[0]), *command]
        with (self.folder / f"{name.replace(' ', '-')}.log").open("wb") as log:
            process = subprocess.Popen(command, cwd=ROOT, env=environ, stdout=log, stderr=log, pass_fds=passed)
        self.record.write("platform", f"starts the {name}, at {self.listen}")
        controller = Controller(self.record, name, process, admin, Path(log.name))
        self.started.append(controller)
        return controller

    def end(self) -> None:
        """End all that was started; the last of each log goes into the record."""
        for controller in self.started:
            controller.signal(signal.SIGKILL)
            controller.process.wait()
            for text in controller.log.read_text(errors="replace").splitlines()[-60:]:
                self.record.write(f"log of the {controller.name}", text)
        if self.listener is not None:
            self.listener.close()


class Controller:
    """One process of the program."""

    def __init__(self, record: Record, name: str, process: subprocess.Popen[bytes], admin: str, log: Path) -> None:
        self.record, self.name, self.process, self.admin, self.log = record, name, process, admin, log

    def alive(self) -> bool:
        return self.process.poll() is None

    def signal(self, number: signal.Signals) -> float:
        """Send a signal, where the process is still there; when."""
        if self.alive():
            self.process.send_signal(number)
            self.record.write("platform", f"sends {number.name} to the {self.name}")
        return time.time()

    async def ask(self, call: str) -> str:
        """An operator's call; empty where there is no answer."""
        host, port = self.admin.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(call.encode() + b"\n")
            reply = (await asyncio.wait_for(reader.read(), 1.0)).decode()
            writer.close()
        except (OSError, TimeoutError):
            return ""
        return reply

    async def ready(self, within_s: float) -> bool:
        """Whether it says yes in time."""
        until = time.time() + within_s
        while time.time() < until and self.alive():
            if (await self.ask("ready")).startswith("SUCCESS"):
                self.record.write(f"the {self.name}", "is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    async def has_ended(self, until: float) -> bool:
        """Wait for its end, up to that time."""
        while self.alive() and time.time() < until:
            await asyncio.sleep(0.02)
        if not self.alive():
            self.record.write(f"the {self.name}", f"has ended with {self.process.returncode}")
        return not self.alive()


def play(case: Callable[[Record, bool], Awaitable[list[str]]], folder: Path) -> int:
    """Play a case; each line that it returns says how the rule was broken. The exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write("case", f"TROUBLE={int(trouble)}")

    async def bounded() -> list[str]:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: record.write("stand-in", str(context.get("message"))))
        return await asyncio.wait_for(case(record, trouble), LONGEST_S)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:  # whatever it is, the case could not be played
        record.write("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return CANNOT_RUN
    for text in broken:
        record.write("BROKEN", text)
    record.write("case", f"the rule was broken {len(broken)} times" if broken else "the rule held")
    print("\n".join([*broken[:5], f"broken: {len(broken)}" if broken else "held"]))
    return BROKEN if broken else HELD_RULE
