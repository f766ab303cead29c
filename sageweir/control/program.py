"""Runs the control service: one instance with its sockets and signals, or several that share the port."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import logging
import os
import secrets
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from sageweir.clock import Clock, SystemClock
from sageweir.config import Config, ControlConfig, load_control
from sageweir.control.encoding import encode
from sageweir.control.grpc_front import GrpcFront
from sageweir.control.poll import Discovery, DiscoveryConnection
from sageweir.control.service import ControlService
from sageweir.net.admin import AdminSide, granted
from sageweir.net.feed import FeedClient
from sageweir.reload import Reloader

if TYPE_CHECKING:
    from sageweir.cluster.member import FleetMember

log = logging.getLogger("sageweir.control")

RESTART_REQUIRED = ("name", "listen", "limits")  # settings that change only with a restart


def epoch() -> str:
    """Unique to each start: the time in seconds, and eight random hex digits for starts in the same second."""
    return f"{int(time.time()):x}{secrets.token_hex(4)}"


class Program:
    """One instance of the service on real sockets."""

    def __init__(self, path: Path, config: ControlConfig, clock: SystemClock) -> None:
        self.path, self.config, self.clock = path, config, clock
        base = config.base
        self.service = ControlService(clock, config, epoch(), encode)
        self.front = GrpcFront(self.service)
        self.feed = FeedClient(clock, base.limits, base.feed, base.known_number, self.service.follow)
        self._newest = config
        self.reloader = Reloader(
            clock, base, self.feed, self._load, RESTART_REQUIRED, lambda: self.service.reload(self._newest)
        )
        self._rest: asyncio.Server | None = None
        self.fleet: FleetMember | None = None
        self.admin: AdminSide | None = None
        if config.cluster is not None:
            # Imported here so that a standalone instance does not load the cluster modules.
            from sageweir.clock import MonotonicClock
            from sageweir.cluster.faulty import FaultyClock
            from sageweir.cluster.member import FleetMember as ClusterMember
            from sageweir.control.line import ROLE
            from sageweir.control.publish import Publisher

            lease_clock: Clock = MonotonicClock(asyncio.get_running_loop())
            if config.cluster.faults is not None:
                lease_clock = FaultyClock(lease_clock, config.cluster.faults)
            self.fleet = ClusterMember(lease_clock, base.limits, config.cluster, base.name, 1, lambda size: None)
            if config.cluster.electors:
                self.fleet.enable_leases({ROLE: Publisher(self.service, self.fleet)})
            self.admin = AdminSide(
                clock,
                base.limits,
                {
                    "ready": lambda: granted("" if self.service.ready else "starting"),
                    "show-cluster": self.fleet.show,
                },
                {"hand-over": self.fleet.transfer_command, "electors": self.fleet.voters_command},
            )

    def _load(self) -> Config:
        self._newest = load_control(self.path)
        return self._newest.base

    async def start(self) -> None:
        """Start serving. Raises RuntimeError or OSError if an address can't be bound."""
        base = self.config.base
        if self.fleet is not None:
            await self.fleet.start()
        if self.admin is not None and base.admin is not None:
            await self.admin.listen(base.admin)
        self.service.start()
        if base.feed is not None:
            self.feed.start()
            self._listen_for_feed()
        port = await self.front.start(f"{base.listen.host}:{base.listen.port}")
        log.info("%s: serving xDS at %s:%d", base.name, base.listen.host, port)
        if (rest := self.config.rest) is not None:
            page = Discovery(lambda: self.service.present, self.service.may_answer)
            self._rest = await asyncio.get_running_loop().create_server(
                lambda: DiscoveryConnection(base.limits, page), rest.host, rest.port, reuse_port=True
            )
            log.info("%s: serving polled discovery at %s", base.name, rest)

    def _listen_for_feed(self) -> None:
        self.service.on_feed_status(self.feed.hearing)
        self.clock.after(20.0 if not self.service.ready else 250.0, self._listen_for_feed)

    async def stop(self) -> None:
        if self.fleet is not None:
            self.fleet.release_leases()
            self.fleet.leave()
            while not self.fleet.leases_released:  # takes at most a fraction of a lease
                await asyncio.sleep(0.005)
            self.fleet.close()
        if self.admin is not None:
            self.admin.close()
        self.feed.stop()
        self.service.stop()
        if self._rest is not None:
            self._rest.close()
        await self.front.stop()

    def figures(self) -> str:
        """A line of statistics for operators, logged on SIGUSR1."""
        front, service = self.front, self.service
        return (
            f"{len(front.sessions)} streams ({sum(s.leased for s in front.sessions)} leased for "
            f"{front.lease_ms:.0f} ms), {front.responses} responses, {front.bytes_sent} bytes, "
            f"{front.encoder.bodies_encoded} bodies encoded, {front.refusals} refusals, version "
            f"{service.present.epoch}.{service.present.number}, {len(service.fleet.members)} servers"
        )


async def serve(path: Path, config: ControlConfig) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration, SIGUSR1 logs statistics."""
    loop = asyncio.get_running_loop()
    program = Program(path, config, SystemClock(loop))
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, program.reloader.reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("%s", program.figures()))
    await program.start()
    gc.freeze()  # exempts long-lived start-up objects from garbage collection
    await stop.wait()
    log.info("%s: stopping, %d streams are open", config.base.name, len(program.front.sessions))
    await program.stop()


async def supervise(arguments: list[str], workers: int) -> int:
    """Run this number of instances that share the port; forward signals and restart instances that exit."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    running: dict[int, asyncio.subprocess.Process] = {}

    async def run_worker(index: int) -> None:
        while not stop.is_set():
            running[index] = await asyncio.create_subprocess_exec(*arguments)
            code = await running[index].wait()
            if not stop.is_set():
                log.warning("instance %d exited with status %d, restarting it", index, code)
                await asyncio.sleep(1.0)

    def forward_signal(number: int) -> None:
        if number in (signal.SIGTERM, signal.SIGINT):
            stop.set()
            number = signal.SIGTERM
        for process in running.values():
            if process.returncode is None:
                process.send_signal(number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
        loop.add_signal_handler(number, forward_signal, number)
    await asyncio.gather(*(run_worker(i) for i in range(workers)))
    return 0


def run(path: Path) -> int:
    """Run the service from its configuration file. Raises ConfigError if the file is invalid."""
    config = load_control(path)
    if config.workers > 1 and "SAGEWEIR_WORKER" not in os.environ:
        os.environ["SAGEWEIR_WORKER"] = "1"
        arguments = [sys.executable, "-m", "sageweir.control", "--config", str(path)]
        return asyncio.run(supervise(arguments, config.workers))
    asyncio.run(serve(path, dataclasses.replace(config, workers=1)))
    return 0
