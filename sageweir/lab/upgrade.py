"""Experiment: new versions under load, on real sockets: what callers meet, and what two processes hold together."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from sageweir.ask import ask
from sageweir.lab.feed import row
from sageweir.lab.report import Report, spread
from sageweir.lab.rig import Worker, free_ports, settings

LEFT_MS, HOLD_MS, GRACE_S = 3000.0, 1500.0, 2.0
LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 384}


@dataclass(slots=True)
class Seen:
    """What callers saw: words by request, connections that ended, requests under way on these."""

    words: dict[str, list[str]] = field(default_factory=dict)
    sent_at: dict[str, float] = field(default_factory=dict)
    closed: int = 0
    met: int = 0

    def told(self, sid: str, message: dict[str, Any]) -> None:
        word = {
            "ready": "served",
            "close": "over"
            if "served" in self.words[sid]
            else "refused"
            if message.get("code") in (34, 42, 102)
            else "failed",
        }[message["msg"]]
        self.words[sid].append(word)


class Caller:
    """One caller with one connection, which it opens again when it is closed; half of its calls it ends itself."""

    def __init__(self, port: int, seen: Seen, seed: int) -> None:
        self.port, self.seen, self.draw = port, seen, random.Random(seed)
        self.writer: asyncio.StreamWriter | None = None
        self.open: set[str] = set()
        self.until = 0.0

    async def run(self, rate: float, until: float) -> None:
        """Make calls till then, or till `stop`, at random times."""
        self.until = until
        reading = asyncio.create_task(self._read())
        while self.writer is None and time.time() < self.until:
            await asyncio.sleep(0.01)  # guards against a call that nobody is asked for
        while time.time() < self.until:
            await asyncio.sleep(self.draw.expovariate(rate))
            sid = f"{self.draw.getrandbits(64):016x}"
            self.seen.words[sid], self.seen.sent_at[sid] = [], time.time()
            self.open.add(sid)
            if self.writer is None or self.writer.is_closing():
                self.seen.met += 1
                continue
            self.say(
                {
                    "msg": "open",
                    "sid": sid,
                    "attrs": {"class": "status-check", "left": f"{LEFT_MS:.0f}", "key": sid, "extras": "dest:0"},
                }
            )
        await asyncio.sleep(LEFT_MS / 1000 + GRACE_S)
        reading.cancel()
        if self.writer is not None:
            self.writer.close()

    def stop(self) -> None:
        """Make no more calls."""
        self.until = 0.0

    def say(self, message: dict[str, Any]) -> None:
        if self.writer is not None:
            self.writer.write(orjson.dumps(message) + b"\n")

    async def _read(self) -> None:
        while True:
            try:
                reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                async for line in reader:
                    self._heard(orjson.loads(line))
            except OSError:
                await asyncio.sleep(0.01)
            self.seen.closed += 1
            self.seen.met += sum(not self.seen.words[sid] for sid in self.open)

    def _heard(self, message: dict[str, Any]) -> None:
        sid = message["sid"]
        if sid not in self.seen.words or message["msg"] not in ("ready", "close"):
            return
        self.seen.told(sid, message)
        self.open.discard(sid)
        if message["msg"] == "ready" and self.draw.random() < 0.5:
            asyncio.get_running_loop().call_later(HOLD_MS / 2000, self._end, sid)

    def _end(self, sid: str) -> None:
        if self.seen.words[sid] == ["served"]:
            self.seen.words[sid].append("over")
            self.say({"msg": "close", "sid": sid, "attrs": {}, "code": 16})


class Process:
    """One process of the program."""

    def __init__(self, process: asyncio.subprocess.Process, admin: str) -> None:
        self.process, self.admin, self.stopped_at = process, admin, 0.0

    @classmethod
    async def start(cls, config: Path, held: socket.socket, folder: str) -> Process:
        admin = f"127.0.0.1:{free_ports(1)[0]}"
        environ = os.environ | {
            "NODE_CONFIG": str(config),
            "NODE_ADMIN_ADDR": admin,
            "TMPDIR": folder,
            "NODE_SOCKET_FD": str(held.fileno()),
        }
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sageweir",
                env=environ,
                pass_fds=(held.fileno(),),
                stderr=None if "LAB_LOGS" in os.environ else asyncio.subprocess.DEVNULL,
            ),
            admin,
        )

    async def ready(self) -> float:
        """Wait for its yes; how long it took, ms."""
        began = time.time()
        while time.time() - began < 10:
            try:
                if (await asyncio.to_thread(ask, self.admin, "ready")).startswith("SUCCESS"):
                    break
            except OSError:
                pass
            await asyncio.sleep(0.01)
        return (time.time() - began) * 1000

    def holds(self) -> tuple[float, int]:
        """Resident memory, MiB, and descriptors; nothing once it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(status.partition("VmRSS:")[2].split()[0]) / 1024, len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except (OSError, IndexError):
            return 0.0, 0

    async def end(self, number: int = signal.SIGKILL) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), LEFT_MS / 1000 + 5)
        except TimeoutError:  # it holds a call that nobody ends; the figures tell
            self.process.kill()
            await self.process.wait()


@contextmanager
def configuration(ports: list[int], listen: socket.socket) -> Iterator[tuple[Path, str]]:
    """A configuration file, and the folder that the processes share."""
    rows = [row(f"s-{i}", port, i) for i, port in enumerate(ports)]
    known = {"n": 1, "events": [{"n": 1, "members": {"generation": 1, "reset": True, "instances": rows}}]}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_bytes(
            orjson.dumps(
                {
                    "name": "lab",
                    "listen": f"127.0.0.1:{listen.getsockname()[1]}",
                    "seed": "5",
                    "limits": LIMITS,
                    "known": known,
                    "settings": settings(2000.0),
                }
            )
        )
        yield path, folder


async def play(case: str, upgrades: int, callers: int, rate: float) -> dict[str, Any]:
    """One case: sound; the old process killed 50 ms after SIGTERM; a new one that dies before each upgrade."""
    with (
        socket.create_server(("127.0.0.1", 0), backlog=512) as held,
        configuration(ports := free_ports(3), held) as (path, folder),
    ):
        machines = await Worker.start(
            "sageweir.lab.servers",
            {
                "model": {"work_ms": 4.0, "cold_ms": 0.0},
                "fall_multiple": 3.0,
                "fall_ms": 1000.0,
                "ports": ports,
                "hold_ms": HOLD_MS,
            },
        )
        for i, port in enumerate(ports):
            await machines.ask(do="start", port=port, name=f"s-{i}", started_ms=0.0)
        seen, yes, ends, peaks = Seen(), list[float](), list[float](), list[tuple[float, int]]()
        old = await Process.start(path, held, folder)
        await old.ready()
        running = {old}

        async def watch() -> None:
            while True:
                found = [process.holds() for process in running]
                peaks.append((sum(memory for memory, _ in found), sum(count for _, count in found)))
                await asyncio.sleep(0.02)

        watching = asyncio.create_task(watch())
        until = time.time() + 1.0 + 2.0 * upgrades
        calls = [
            asyncio.create_task(Caller(held.getsockname()[1], seen, i).run(rate / callers, until))
            for i in range(callers)
        ]
        for _ in range(upgrades):
            await asyncio.sleep(1.0)
            if case == "new_dies":
                stillborn = await Process.start(path, held, folder)
                await stillborn.ready()
                await stillborn.end()
            new = await Process.start(path, held, folder)
            running.add(new)
            yes.append(await new.ready())
            stopped = time.time()
            old.process.send_signal(signal.SIGTERM)
            if case == "old_killed":
                await asyncio.sleep(0.05)
                await old.end()
            await asyncio.wait_for(old.process.wait(), LEFT_MS / 1000 + 5)
            ends.append((time.time() - stopped) * 1000)
            running.discard(old)
            old = new
        await asyncio.gather(*calls)
        watching.cancel()
        totals = await machines.ask(do="totals")
        await old.end(signal.SIGTERM)
        await machines.stop()
    last = [words[-1] if words else "unanswered" for words in seen.words.values()]
    finals = [[word for word in words if word != "over"] for words in seen.words.values()]
    return {
        "requests": len(last),
        **{word: sum(word in words for words in seen.words.values()) for word in ("served", "refused", "failed")},
        "unanswered": last.count("unanswered"),
        "answered_twice": sum(len(words) > 1 for words in finals),
        "never_over": last.count("served"),
        "standing_at_servers": totals["standing"],
        "connections_closed": seen.closed,
        "requests_that_met_it": seen.met,
        "yes_ms": spread(yes),
        "old_ended_ms": spread(ends),
        "memory_mb": round(max(memory for memory, _ in peaks), 1),
        "descriptors": max(count for _, count in peaks),
    }


async def upgrade(upgrades: int, callers: int, rate: float) -> Report:
    """All cases."""
    report = Report("upgrade", {"upgrades": upgrades, "callers": callers, "set_ups_per_s": rate, "limits": LIMITS})
    for case in ("sound", "old_killed", "new_dies"):
        found = report.figures[case] = await play(case, upgrades, callers, rate)
        report.bound(f"{case}: requests without an answer", found["unanswered"], 1)
        report.bound(f"{case}: requests with two", found["answered_twice"], 1)
        report.bound(f"{case}: start to yes, worst, ms", found["yes_ms"]["worst"], 6000.0)
        report.bound(f"{case}: memory of both, MB", found["memory_mb"], LIMITS["memory_mb"])
        report.bound(f"{case}: descriptors of both", found["descriptors"], LIMITS["sockets"])
        if case != "old_killed":  # what a killed process held of calls that stood is not known to anybody
            report.bound(f"{case}: callers' connections closed", found["connections_closed"], 1)
            report.bound(f"{case}: failed or refused", found["failed"] + found["refused"], 1)
            report.bound(f"{case}: calls whose end was never told", found["never_over"], 1)
    return report
