"""What experiments share: a feed, a control service, stand-in servers and proxies, each a process of its own."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson

from sageweir.lab.feed import FeedStandIn, row

CLASSES: list[tuple[str, float]] = [("status-check", 0.94), ("release-check", 0.06)]


PORTS, BLOCK = range(12_000, 32_000), 50
_claims: list[socket.socket] = []
_left: list[int] = []


def _claim() -> list[int]:
    """A block of ports for this process alone, among all that ask here; it ends with the process."""
    for first in random.sample(PORTS[::BLOCK], len(PORTS[::BLOCK])):
        claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            claim.bind(f"\0sageweir-lab-ports-{first}")
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return list(range(first, first + BLOCK))
    raise RuntimeError("no free ports are left")


def free_ports(count: int) -> list[int]:
    """Ports of loopback that nobody has now, TCP or UDP, and that neither this process nor another was given before.

    They lie below those that the system gives to connections by itself, which would take them in between.
    """
    found: list[int] = []
    while len(found) < count:
        if not _left:
            _left.extend(_claim())
        port = _left.pop()
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as holder:
                    holder.bind(("127.0.0.1", port))
        except OSError:
            continue
        found.append(port)
    return found


def settings(cold_ms: float) -> dict[str, Any]:
    """Two classes and the rules of the platform; cold_ms as the experiment wants it."""
    return {
        "grades": [
            {"name": "status-check", "worth": 1.0, "late_worth": 0.1, "promise_ms": 1500.0, "deadline_ms": 9000.0},
            {"name": "release-check", "worth": 8.0, "late_worth": 0.25, "promise_ms": 1200.0, "deadline_ms": 6000.0},
        ],
        "family_info": {"release_guard_ms": 300.0, "resend_ms": 400.0},
        "rules": {
            "cold_from": 0.29,
            "cold_ms": cold_ms,
            "drain_grace_ms": 250.0,
            "fall_ms": 1000.0,
            "fall_multiple": 3.0,
        },
    }


class Worker:
    """A process that answers JSON lines."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self._turn = asyncio.Lock()

    @classmethod
    async def start(cls, module: str, given: dict[str, Any]) -> Worker:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            orjson.dumps(given).decode(),
            limit=1 << 26,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        worker = cls(process)
        if await worker._line() != b"ready\n":
            raise RuntimeError(f"{module} did not start")
        return worker

    async def _line(self) -> bytes:
        assert self.process.stdout is not None
        return await self.process.stdout.readline()

    async def ask(self, **command: Any) -> Any:
        assert self.process.stdin is not None
        async with self._turn:
            self.process.stdin.write(orjson.dumps(command) + b"\n")
            return orjson.loads(await self._line())

    async def stop(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), 5)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class Rig:
    """All parts of an experiment. `rows` holds the list as it was told last, by server id."""

    def __init__(self, servers: int, *, cold_ms: float = 2000.0, work_ms: float = 5.0, **control: Any) -> None:
        self.feed, self.ports = FeedStandIn(), free_ports(servers + 2)
        self.target, self.rest_port = f"127.0.0.1:{self.ports.pop()}", self.ports.pop()
        self.cold_ms, self.work_ms, self.control = cold_ms, work_ms, control
        self.rows: dict[str, dict[str, Any]] = {}
        self.machines: Worker | None = None
        self.proxies: list[Worker] = []
        self.service: asyncio.subprocess.Process | None = None
        self._file = Path(tempfile.mkstemp(suffix=".json")[1])

    async def start(self, emulate: bool = True) -> None:
        """Servers, feed and service; all servers are warm."""
        await self.feed.start()
        for i, port in enumerate(self.ports):
            self.rows[f"s-{i}"] = row(f"s-{i}", port, i)
        if emulate:
            self.machines = await Worker.start(
                "sageweir.lab.servers",
                {
                    "model": {"work_ms": self.work_ms, "cold_ms": self.cold_ms, "cold_from": 0.29},
                    "fall_multiple": 3.0,
                    "fall_ms": 1000.0,
                    "ports": self.ports,
                },
            )
            for name, one in self.rows.items():
                await self.machines.ask(
                    do="start", port=int(one["hostPort"].partition(":")[2]), name=name, started_ms=0.0
                )
        self.feed.push(list(self.rows.values()), complete=True)
        self._file.write_bytes(
            orjson.dumps(
                {
                    "name": "lab",
                    "seed": "5",
                    "xds_listen": self.target,
                    "rest_listen": f"127.0.0.1:{self.rest_port}",
                    "proxy_listen": "127.0.0.1:10000",
                    "feed": f"127.0.0.1:{self.feed.port}",
                    "settings": settings(self.cold_ms),
                    **self.control,
                }
            )
        )
        await self.start_service()

    async def start_service(self) -> None:
        """Start the control service; it listens when this returns."""
        self.service = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sageweir.control",
            "--config",
            str(self._file),
            stderr=asyncio.subprocess.DEVNULL if "LAB_LOGS" not in os.environ else None,
        )
        host, _, port = self.target.partition(":")
        for _ in range(200):
            try:
                (await asyncio.open_connection(host, int(port)))[1].close()
                workers = self.control.get("workers", 1)
                if workers > 1:
                    await asyncio.sleep(0.5 + workers)  # till all of them listen
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise RuntimeError("the control service does not listen")

    async def stop_service(self) -> None:
        assert self.service is not None
        if self.service.returncode is None:
            self.service.send_signal(signal.SIGTERM)
        await self.service.wait()

    async def add_proxies(
        self,
        count: int,
        processes: int,
        *,
        rate: float,
        delta: bool = True,
        leases: bool = True,
        back_s: tuple[float, float] = (0.02, 0.2),
    ) -> None:
        """Start so many proxies and wait until all hold routes. Raises RuntimeError where they don't."""
        first = 0
        started = []
        for i in range(processes):
            size = (count - first) // (processes - i)
            started.append(
                Worker.start(
                    "sageweir.lab.proxies",
                    {
                        "target": self.target,
                        "first": first,
                        "count": size,
                        "rate": rate,
                        "delta": delta,
                        "leases": leases,
                        "seed": 7,
                        "back_s": back_s,
                        "classes": CLASSES,
                    },
                )
            )
            first += size
        self.proxies += await asyncio.gather(*started)
        await self.all_hold(count)

    async def all_hold(self, count: int, seconds: float = 60.0) -> float:
        """Wait until so many proxies hold endpoints; how long it took, s."""
        began = time.time()
        while (held := sum(h[0] for h in await self.each(do="held"))) < count:
            if time.time() - began > seconds:
                raise RuntimeError(f"{held} of {count} proxies hold endpoints after {seconds:.0f} s")
            await asyncio.sleep(0.1)
        return time.time() - began

    async def each(self, **command: Any) -> list[Any]:
        return await asyncio.gather(*(p.ask(**command) for p in self.proxies))

    def tell(self, name: str, state: str, **more: Any) -> float:
        """Tell a server's state in the feed; the time of the notice, Unix ms."""
        self.rows[name] = {**self.rows.get(name, {}), "instanceId": name, "lifecycle": state, **more}
        at = self.feed.push([self.rows[name]])
        if state == "DELETED":
            del self.rows[name]
        return at

    def _pids(self) -> list[int]:
        """The service's process and its instances."""
        assert self.service is not None
        pid = self.service.pid
        return [pid, *map(int, Path(f"/proc/{pid}/task/{pid}/children").read_text().split())]

    def rss_kb(self) -> int:
        """Resident memory of the service, KiB; what instances share counts in each."""
        found = [Path(f"/proc/{pid}/status").read_text() for pid in self._pids()]
        return sum(int(status.partition("VmRSS:")[2].split()[0]) for status in found)

    def cpu_s(self) -> float:
        """Processor time of the service so far, s."""
        stats = [Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split() for pid in self._pids()]
        return sum(int(f[11]) + int(f[12]) for f in stats) / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> None:
        for worker in [*self.proxies, *([self.machines] if self.machines else [])]:
            await worker.stop()
        self.proxies = []
        if self.service is not None:
            await self.stop_service()
        await self.feed.stop()
        self._file.unlink(missing_ok=True)
