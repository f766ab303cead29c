"""Stand-ins and helpers of the second review: clearing servers, callers, control feed, and the program's processes.

The standard library alone, so that the deploy file's build is enough. All stand-ins keep to the protocol page; what a
case makes them do beyond that is named in the case. Everything listens and connects on loopback.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
RUN = "exec .venv/bin/python -m sageweir"  # as in deploy/balancer.toml
REPORT = "idle:400;circuits:400;reduce:0"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
GIVEN: set[int] = set()  # ports that free_port() has told


class CouldNotRunError(Exception):
    """The case could not be played."""


def now_ms() -> float:
    """Unix time, ms."""
    return time.time() * 1000


def new_id() -> str:
    """A call's id."""
    return f"{random.getrandbits(64):016x}"


def free_port(host: str = "127.0.0.1") -> int:
    """A port that nobody has, below those that systems usually give to connections: none may take it meanwhile."""
    for _ in range(1000):
        port = random.randrange(15_000, 30_000)
        with contextlib.suppress(OSError), socket.create_server((host, port)):
            if port not in GIVEN:
                GIVEN.add(port)
                return port
    raise CouldNotRunError("no free port")


class Record:
    """record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.file, self.began = (folder / "record.txt").open("w", encoding="utf-8"), time.time()

    def say(self, text: str) -> None:
        self.file.write(f"{time.time() - self.began:8.3f} {text}\n")
        self.file.flush()


class Listener:
    """A listening socket whose connections are given to a handler; it can be made to let nobody in."""

    def __init__(self, port: int, connected: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]) -> None:
        self.port, self.connected = port, connected
        self.sock: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.stuffing: list[socket.socket] = []

    async def open(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", self.port))
        self.server = await asyncio.start_server(self.connected, sock=self.sock, limit=1 << 20)

    def vanish(self) -> None:
        """New connections never come up from now on: nothing is accepted, and the queue is full."""
        assert self.server is not None and self.sock is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock.fileno())
        kept = self.sock.dup()
        kept.listen(0)
        for _ in range(4):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))
            self.stuffing.append(one)
        self.stuffing.append(kept)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for one in self.stuffing:
            one.close()
        self.stuffing.clear()


class ClearingServer:
    """A clearing server by the protocol page: answers set-ups, holds calls, and says when they are over.

    hold_ms: how long a call stands, None: until it is told.
    """

    def __init__(self, name: str, record: Record, hold_ms: float | None = None, port: int = 0) -> None:
        self.name, self.record, self.hold_ms = name, record, hold_ms
        self.listener = Listener(port or free_port(), self._connected)
        self.connections: list[asyncio.StreamWriter] = []
        self.standing: dict[str, asyncio.StreamWriter] = {}
        self.ended: dict[str, float] = {}  # calls that stood and are over: when
        self.again: list[str] = []  # releases that are said again on the next connection
        self.setups: list[tuple[float, str]] = []
        self.cut: dict[str, float] = {}  # calls that the session controller released
        self.silent = False
        self.processes = 0  # how often the machine has come back
        self.old: list[asyncio.StreamWriter] = []  # connections of processes that are gone
        self.started_ms = 0.0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.port}"

    async def start(self) -> None:
        await self.listener.open()

    def row(self, state: str = "SERVING", cell: int = 0) -> dict[str, Any]:
        """This server in the control feed's words."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "muscat",
            "machineType": "std-1",
            "cell": cell,
            "lifecycle": state,
            "weight": 1,
            "startedAtMs": self.started_ms,
        }

    def _say(self, writer: asyncio.StreamWriter, raw: dict[str, Any]) -> bool:
        if self.silent or writer.is_closing():
            return False
        writer.write(json.dumps(raw).encode() + b"\n")
        return True

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        self._say(writer, {"msg": "status", "sid": "0" * 16, "attrs": {"load": REPORT}})
        said, self.again = self.again, []
        for call in said:
            self._say(writer, {"msg": "close", "sid": call, "attrs": {}, "code": 16})
        process = self.processes
        try:
            while line := await reader.readline():
                if process != self.processes:
                    writer.transport.abort()  # the machine that runs again knows nothing of this connection
                    return
                if not self.silent:
                    self.received(writer, json.loads(line))
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.connections:
                self.connections.remove(writer)
            writer.close()

    def received(self, writer: asyncio.StreamWriter, raw: dict[str, Any]) -> None:
        call = raw["sid"]
        match raw["msg"]:
            case "open":
                self.setups.append((now_ms(), call))
                self.record.say(f"{self.name}: set-up {call}")
                asyncio.get_running_loop().call_later(0.005, self.answer, writer, call)
            case "close":
                if self.standing.pop(call, None) is not None:
                    self.cut[call] = now_ms()
                    self.record.say(f"{self.name}: call {call} is released by the session controller")
                self._say(writer, {"msg": "closed", "sid": call, "attrs": {}})
            case "probe":
                attrs = {"load": REPORT} if raw.get("code") == 1 else {}
                self._say(writer, {"msg": "probed", "sid": call, "attrs": attrs, "code": 1})

    def answer(self, writer: asyncio.StreamWriter, call: str) -> None:
        if self._say(writer, {"msg": "ready", "sid": call, "attrs": {}, "text": f"from {self.name} for {call}"}):
            self.standing[call] = writer
            if self.hold_ms is not None:
                asyncio.get_running_loop().call_later(self.hold_ms / 1000, self.over, call)

    def over(self, call: str) -> None:
        """A call that stands has come to its end: its release is said."""
        own = self.standing.pop(call, None)
        if own is None or self.silent:
            return
        self.ended[call] = now_ms()
        raw = {"msg": "close", "sid": call, "attrs": {}, "code": 16}
        told = next((w for w in [own, *self.connections] if w in self.connections and self._say(w, raw)), None)
        self.record.say(f"{self.name}: call {call} is over, release {'sent' if told else 'waits for a connection'}")
        self.again.append(call)

    def vanish(self) -> None:
        """The machine is gone and says nothing; its calls are over."""
        self.record.say(f"{self.name}: vanishes with {len(self.standing)} calls that stand")
        self.silent = True
        for call in self.standing:
            self.ended[call] = now_ms()
        self.standing.clear()
        self.listener.vanish()

    async def come_back(self) -> None:
        """A new process on the machine, cold: it resets old connections once something is written to them."""
        self.listener.close()
        self.old += self.connections
        self.connections = []
        self.processes += 1
        self.silent, self.started_ms = False, now_ms()
        await self.listener.open()
        self.record.say(f"{self.name}: runs again, cold")

    def close(self) -> None:
        self.listener.close()
        for writer in [*self.connections, *self.old]:
            writer.transport.abort()


class Feed:
    """The control feed: numbered events over server-sent events, a comment each second."""

    def __init__(self, record: Record) -> None:
        self.record, self.port = record, 0
        self.events: list[dict[str, Any]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.answer_after_s = 0.0
        self.asked: list[float] = []

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, Any]:
        return {"n": len(self.events), "events": list(self.events)}

    def push(self, rows: Iterable[dict[str, Any]], complete: bool = False) -> float:
        """Tell an event; when it counts as told."""
        number = len(self.events) + 1
        event = {"n": number, "members": {"generation": number, "reset": complete, "instances": list(rows)}}
        self.events.append(event)
        for writer in self.writers:
            writer.write(self._frame(event))
        told = ", ".join(f"{row['instanceId']} {row['lifecycle']}" for row in event["members"]["instances"])
        self.record.say(f"feed: event {number}: {told}")
        return now_ms()

    @staticmethod
    def _frame(event: dict[str, Any]) -> bytes:
        return f"id: {event['n']}\ndata: {json.dumps(event)}\n\n".encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            self.asked.append(now_ms())
            after = next(
                (
                    int(line.partition(":")[2])
                    for line in head.split("\r\n")
                    if line.lower().startswith("last-event-id")
                ),
                0,
            )
            if self.answer_after_s:
                await asyncio.sleep(self.answer_after_s)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
            for event in self.events:
                if event["n"] > after:
                    writer.write(self._frame(event))
            self.writers.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(1.0)
                writer.write(b": tick\n\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def cut(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.cut()


class Caller:
    """One caller's connection over JSON lines: sends set-ups, and notes each message that comes for them."""

    def __init__(self, record: Record, name: str = "caller") -> None:
        self.record, self.name = record, name
        self.sent: dict[str, float] = {}
        self.got: dict[str, list[tuple[float, dict[str, Any]]]] = {}
        self.answered: dict[str, asyncio.Event] = {}
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None
        self.closed_at: float | None = None

    async def connect(self, port: int, host: str = "127.0.0.1") -> None:
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        assert self.reader is not None
        with contextlib.suppress(OSError, ValueError):
            while line := await self.reader.readline():
                raw = json.loads(line)
                call = raw.get("sid", "")
                self.got.setdefault(call, []).append((now_ms(), raw))
                self.record.say(f"{self.name}: gets {raw['msg']} {raw.get('code', '')} for {call}")
                if call in self.answered:
                    self.answered[call].set()
        self.closed_at = now_ms()

    def say(self, raw: dict[str, Any]) -> None:
        assert self.writer is not None
        self.writer.write(json.dumps(raw).encode() + b"\n")

    def set_up(self, left_ms: int = 6000, service_class: str = "status-check", first: int = -1) -> str:
        call = new_id()
        self.answered[call] = asyncio.Event()
        self.sent[call] = now_ms()
        self.say(
            {
                "msg": "open",
                "sid": call,
                "attrs": {
                    "class": service_class,
                    "left": str(left_ms),
                    "key": new_id(),
                    "extras": f"dest:{first};width:1;via:-1",
                },
                "text": f"for {call}",
            }
        )
        self.record.say(f"{self.name}: set-up {call}, first choice {first}")
        return call

    async def stands(self, call: str, within_s: float = 6.5) -> bool:
        """Whether the call was answered and stands."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.answered[call].wait(), within_s)
        return bool(self.got.get(call)) and self.got[call][0][1]["msg"] == "ready"

    def released_at(self, call: str) -> float | None:
        """When the call was said to be over, after its answer."""
        return next((at for at, raw in self.got.get(call, [])[1:] if raw["msg"] == "close"), None)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        if self.task is not None:
            self.task.cancel()


class WebSocketCaller(Caller):
    """The same over the call-control API on WebSocket (docs/call-api.md)."""

    PATH = "/v1/calls"

    async def connect(self, port: int, host: str = "127.0.0.1") -> None:
        self.closed_at = None
        self.reader, self.writer = await asyncio.open_connection(host, port)
        key = base64.b64encode(os.urandom(16)).decode()
        self.writer.write(
            f"GET {self.PATH} HTTP/1.1\r\nHost: {host}:{port}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\n\r\n".encode()
        )
        head = await self.reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 101"):
            raise OSError(f"no WebSocket: {head[:60]!r}")
        self.record.say(f"{self.name}: connected over WebSocket")
        self.task = asyncio.ensure_future(self._read())

    def _frame(self, opcode: int, payload: bytes) -> bytes:
        mask = os.urandom(4)
        size = len(payload)
        head = (
            bytes([0x80 | opcode, 0x80 | size])
            if size < 126
            else bytes([0x80 | opcode, 0xFE]) + size.to_bytes(2, "big")
        )
        return head + mask + bytes(byte ^ mask[i % 4] for i, byte in enumerate(payload))

    async def _read(self) -> None:
        assert self.reader is not None and self.writer is not None
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            while True:
                first, size = await self.reader.readexactly(2)
                if size == 126:
                    size = int.from_bytes(await self.reader.readexactly(2), "big")
                payload = await self.reader.readexactly(size)
                if first & 0x0F == 8:
                    self.record.say(
                        f"{self.name}: the session controller closes with {int.from_bytes(payload[:2], 'big')}"
                    )
                    self.writer.write(self._frame(8, payload[:2]))
                    break
                if first & 0x0F != 1:
                    continue
                raw = json.loads(payload)
                call = raw.get("call", "")
                word = {"answer": "ready", "refusal": "close", "failure": "close", "release": "close"}
                raw["msg"] = word.get(raw["type"], raw["type"])
                self.got.setdefault(call, []).append((now_ms(), raw))
                self.record.say(f"{self.name}: gets {raw['type']} {raw.get('cause', '')} for {call}")
                if call in self.answered:
                    self.answered[call].set()
        self.closed_at = now_ms()
        self.writer.close()

    def say(self, raw: dict[str, Any]) -> None:
        assert self.writer is not None
        self.writer.write(self._frame(1, json.dumps(raw).encode()))

    def set_up(self, left_ms: int = 6000, service_class: str = "status-check", first: int = -1) -> str:
        call = new_id()
        self.answered[call] = asyncio.Event()
        self.sent[call] = now_ms()
        self.say(
            {
                "type": "setup",
                "call": call,
                "class": service_class,
                "deadline_ms": left_ms,
                "number": new_id(),
                "first_choice": first,
                "description": f"for {call}",
            }
        )
        self.record.say(f"{self.name}: set-up {call}, first choice {first}")
        return call


def own_root(folder: Path, **files: Any) -> Path:
    """A root of its own for a program whose files under deploy/ differ: all else is the repository's."""
    root = folder / "root"
    (root / "deploy").mkdir(parents=True)
    for name in (".venv", "sageweir", "dahliabridge"):
        (root / name).symlink_to(ROOT / name)
    for name, content in files.items():
        (root / "deploy" / f"{name}.json").write_text(json.dumps(content), encoding="utf-8")
    return root


def settings(cells: int, **caps: Any) -> dict[str, Any]:
    """Settings of a small deployment in the manner of muscat-main."""
    return {
        "grades": [
            {"name": "status-check", "worth": 1.0, "late_worth": 0.1, "promise_ms": 1500.0, "deadline_ms": 9000.0},
            {"name": "release-check", "worth": 8.0, "late_worth": 0.25, "promise_ms": 1200.0, "deadline_ms": 6000.0},
        ],
        "n_instances": 1,
        "self_index": 0,
        "caps": {
            "max_attempts": 6,
            "cancel": True,
            "retry_after": True,
            "probing": True,
            "max_retry_after_ms": 2000.0,
            "dial_timeout_ms": 500.0,
            "idle_close_ms": 600000.0,
            "open_cap": 20000,
            **caps,
        },
        "family_info": {
            "release_guard_ms": 300.0,
            "resend_ms": 400.0,
            "class_cells": [list(range(cells)), list(range(cells))],
        },
        "load_info": {"fields": ["idle", "circuits", "reduce"], "source": "piggyback"},
        "rules": {
            "answer_slack_ms": 20.0,
            "cold_from": 0.29,
            "cold_ms": 14000.0,
            "drain_grace_ms": 250.0,
            "fall_ms": 1000.0,
            "fall_multiple": 3.0,
        },
    }


class Program:
    """One process of the project, started by the deploy file's command from the repository's root."""

    def __init__(self, record: Record, folder: Path, name: str = "n0", cwd: Path = ROOT) -> None:
        self.record, self.folder, self.name, self.cwd = record, folder, name, cwd
        self.process: asyncio.subprocess.Process | None = None
        self.port = free_port()
        self.log = folder / f"{name}.log"

    async def start(
        self, config: dict[str, Any], env: dict[str, str] | None = None, run: str = RUN, pass_fds: tuple[int, ...] = ()
    ) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        whole = {
            **os.environ,
            "NODE_CONFIG": str(path),
            "NODE_NAME": config.get("name", self.name),
            **(env or {}),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=self.cwd, env=whole, stdout=log, stderr=log, pass_fds=pass_fds
            )
        self.record.say(f"{self.name}: started, process {self.process.pid}")

    def config(self, feed: Feed, cells: int, sockets: int = 1024, **more: Any) -> dict[str, Any]:
        return {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "feed": f"127.0.0.1:{feed.port}",
            "known": feed.known(),
            "settings": settings(cells),
            **more,
        }

    async def ready(self, port: int | None = None, within_s: float = 20.0) -> None:
        """Wait until it passes a test at the callers' address."""
        until = time.time() + within_s
        while time.time() < until:
            if self.process is not None and self.process.returncode is not None:
                raise CouldNotRunError(f"{self.name} ended with {self.process.returncode}: {self.tail()}")
            with contextlib.suppress(OSError, ValueError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port or self.port)
                writer.write(b'{"msg":"probe","sid":"%b","attrs":{},"code":0}\n' % new_id().encode())
                raw = json.loads(await asyncio.wait_for(reader.readline(), 1.0))
                writer.close()
                if raw.get("msg") == "probed" and raw.get("code") == 1:
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} was not ready in {within_s:.0f} s: {self.tail()}")

    def tail(self) -> str:
        return self.log.read_text(errors="replace")[-600:] if self.log.exists() else ""

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.say(f"{self.name}: {signal.Signals(number).name}")

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


def play(file: str, case: Callable[[Record, Path], Any], most_s: float = 110.0) -> int:
    """Run a case and return its exit code: 0 the rule held, 1 it was broken, 2 it could not run."""
    record = Record(Path(file).resolve().parent)

    async def bounded(folder: Path) -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)  # all that was started is ended
        return await asyncio.wait_for(case(record, folder), most_s)

    record.say(f"disruption: {'on' if TROUBLE else 'off (TROUBLE=0)'}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(bounded(Path(folder)))
        except (Exception, asyncio.CancelledError) as error:  # whatever it is, it is no word on the rule
            record.say(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {error}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            for log in sorted(Path(folder).glob("*.log")):
                text = log.read_text(errors="replace")
                record.file.write(f"\n--- last lines of {log.name} ---\n{text[-6000:]}")
                record.file.flush()
    for line in broken:
        record.say(f"BROKEN: {line}")
        print(f"broken: {line}")
    if not broken:
        record.say("the rule held")
        print("the rule held")
    return BROKEN if broken else HELD


async def admin(address: str, call: str) -> str:
    """The reply to one operator's call."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(call.encode() + b"\n")
    reply = await asyncio.wait_for(reader.read(), 2.0)
    writer.close()
    return reply.decode(errors="replace").strip()


async def admin_ready(address: str, within_s: float = 10.0) -> None:
    """Wait until the process at that second address says that it is ready."""
    until = time.time() + within_s
    while time.time() < until:
        with contextlib.suppress(OSError, TimeoutError):
            if (await admin(address, "ready")).startswith("SUCCESS"):
                return
        await asyncio.sleep(0.05)
    raise CouldNotRunError(f"no process is ready at {address}")
