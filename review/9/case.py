"""The publishing instance of the control service is restarted while the list's news is on its way; see claim.txt."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

import grpc
import harness2 as h

from sageweir.lab.client import ENDPOINT, XdsClient

RUN = "exec .venv/bin/python -m sageweir.control --config $NODE_CONFIG"
METHOD = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
INSTANCES = 3
LATE_S = 1.5  # so much later the list's news comes to the instances that do not publish


class Proxy:
    """One proxy: follows an instance by the published protocol, and tells what it holds."""

    def __init__(self, record: h.Record) -> None:
        self.record, self.client = record, XdsClient("p-1", leases=False)
        self.task: asyncio.Task[None] | None = None

    def follow(self, name: str, port: int) -> None:
        self.record.say(f"proxy: connects to {name}")
        self.task = asyncio.ensure_future(self._follow(port))

    async def _follow(self, port: int) -> None:
        async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
            call = channel.stream_stream(METHOD)(wait_for_ready=True)
            for request in self.client.start():
                await call.write(request.SerializeToString())
            while (data := await call.read()) is not grpc.aio.EOF:
                asked, changed = self.client.take(data, h.now_ms())
                for request in asked:
                    await call.write(request.SerializeToString())
                if changed:
                    self.record.say(f"proxy: holds {self.held()}")

    async def leave(self) -> None:
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError, grpc.aio.AioRpcError):
                await self.task

    def held(self) -> dict[str, list[str]]:
        """Version and servers of each class's endpoints."""
        return {
            f"{name} {one.version}": sorted(
                x.endpoint.hostname for row in one.message.endpoints for x in row.lb_endpoints
            )
            for name, one in self.client.held.get(ENDPOINT, {}).items()
        }

    def servers(self) -> set[str]:
        return {name for names in self.held().values() for name in names}


async def case(record: h.Record, folder: Path) -> list[str]:
    """What a proxy holds from one instance must not be replaced by older routes of another."""
    feeds = [h.Feed(record) for _ in range(INSTANCES)]
    programs = [h.Program(record, folder, f"c{i}") for i in range(INSTANCES)]
    ports, xds, admins = ([h.free_port() for _ in range(INSTANCES)] for _ in range(3))
    rows = [h.ClearingServer(f"s-{i}", record) for i in range(12)]
    proxy = Proxy(record)
    configs: list[dict[str, Any]] = []

    def push(to: int, number: int) -> None:
        feeds[to].push([rows[number].row(cell=0)])

    async def show(i: int) -> dict[str, Any]:
        text = await h.admin(f"127.0.0.1:{admins[i]}", "show-cluster")
        return dict(json.loads(text.split("\n")[0]))

    async def holder(others: set[int]) -> int:
        for _ in range(150):
            await asyncio.sleep(0.1)
            for i in others:
                with contextlib.suppress(OSError, ValueError, KeyError):
                    if (await show(i))["duties"]["publisher"]["here"] == "holding":
                        return i
        raise h.CouldNotRunError("nobody publishes")

    try:
        for i in range(INSTANCES):
            await feeds[i].start()
            feeds[i].push([rows[0].row(), rows[1].row()], complete=True)
            cluster = folder / f"cluster-{i}.json"
            cluster.write_text(
                json.dumps(
                    {
                        "fleet": "control",
                        "listen": f"127.0.0.1:{ports[i]}",
                        "join": [f"127.0.0.1:{port}" for port in ports],
                        "electors": {f"c{j}": f"127.0.0.1:{port}" for j, port in enumerate(ports)},
                        "state": str(folder / f"state-{i}"),
                        "lease_ms": 1000,
                        "period_ms": 200,
                    }
                )
            )
            configs.append(
                {
                    "name": f"c{i}",
                    "xds_listen": f"127.0.0.1:{xds[i]}",
                    "admin_addr": f"127.0.0.1:{admins[i]}",
                    "seed": "8c1f30d27a5be964",
                    "feed": f"127.0.0.1:{feeds[i].port}",
                    "known": {"n": 0, "events": []},
                    "settings": h.settings(1),
                    "cluster": str(cluster),
                }
            )
            await programs[i].start(configs[i], run=RUN)
        first = await holder(set(range(INSTANCES)))
        rest = set(range(INSTANCES)) - {first}
        await asyncio.sleep(2.0)
        for number in range(2, 9):  # the list grows, and each change is published
            for i in range(INSTANCES):
                push(i, number)
            await asyncio.sleep(0.3)
        await asyncio.sleep(1.0)
        # Two changes come to the publishing instance first, and to the others seconds late.
        push(first, 9)
        await asyncio.sleep(0.3)
        push(first, 10)
        await asyncio.sleep(0.4)
        record.say(str([(await show(i))["duties"]["publisher"]["work"] for i in range(INSTANCES)]))
        if h.TROUBLE:
            programs[first].signal(signal.SIGTERM)
            await programs[first].process.wait()
            second = await holder(rest)
        else:
            second = first
        record.say(f"c{second} publishes")
        for number in (9, 10):
            for i in rest:
                push(i, number)
            await asyncio.sleep(0.5)
        await asyncio.sleep(LATE_S)
        others = rest - {second}
        for i in {second} | others:
            push(i, 11)
        await asyncio.sleep(1.0)
        record.say(str([(i, (await show(i))["duties"]["publisher"]["work"]) for i in {second} | others]))
        proxy.follow(f"c{second}", xds[second])
        for _ in range(50):
            await asyncio.sleep(0.1)
            if "s-11" in proxy.servers():
                break
        else:
            raise h.CouldNotRunError(f"the proxy was not told of s-11: {proxy.held()}")
        await proxy.leave()
        other = min(others)
        broken = []
        proxy.follow(f"c{other}", xds[other])
        for _ in range(50):
            await asyncio.sleep(0.1)
            if "s-11" not in proxy.servers():
                broken = [
                    f"the proxy held s-11 from c{second}, and got routes without it from c{other}: {proxy.held()}"
                ]
        record.say(str([(i, (await show(i))["duties"]["publisher"]["work"]) for i in {second} | others]))
        return broken
    finally:
        await proxy.leave()
        for program in programs:
            await program.end()
        for feed in feeds:
            feed.close()


if __name__ == "__main__":
    sys.exit(h.play(__file__, case))
