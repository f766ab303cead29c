"""The control service is restarted while discovery is down; a proxy gets routes to a drained server; see claim.txt."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness2 as h

RUN = "exec .venv/bin/python -m sageweir.control --config $NODE_CONFIG"
GRACE_MS = 250 + 50
DOWN_S = 4.0  # discovery is down; 8 s at most by the page
SERVERS = 3


class Proxy:
    """An ordinary proxy that polls its endpoints over REST, keeps them where no answer comes, and sends by weight."""

    def __init__(self, record: h.Record, port: int) -> None:
        self.record, self.port, self.version = record, port, ""
        self.routes: list[tuple[str, int, int]] = []  # host, port, weight
        self.links: dict[tuple[str, int], asyncio.StreamWriter] = {}
        self.readers: list[asyncio.Task[bytes]] = []

    async def poll(self) -> None:
        request = {"node": {"id": "p-1"}, "version_info": self.version, "resource_names": []}
        body = json.dumps(request).encode()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(
                b"POST /v3/discovery:endpoints HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % len(body) + body
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            if " 200 " not in head.split("\r\n")[0]:
                return
            size = next(int(x.partition(":")[2]) for x in head.split("\r\n") if x.startswith("content-length"))
            self.take(json.loads(await reader.readexactly(size)))
        finally:
            writer.close()

    def take(self, response: dict[str, Any]) -> None:
        """Endpoints of the class `status-check`: those that are healthy, with their weights."""
        found = []
        for resource in response["resources"]:
            if "status-check" not in resource["cluster_name"]:
                continue
            for row in resource.get("endpoints", []):
                for one in row["lb_endpoints"]:
                    weight = row.get("load_balancing_weight", 0)
                    if one.get("health_status", "HEALTHY") == "HEALTHY" and weight:
                        where = one["endpoint"]["address"]["socket_address"]
                        found.append((where["address"], where["port_value"], weight))
        if found != self.routes:
            self.record.say(f"proxy: version {response['version_info']}: ports {[(p, w) for _, p, w in found]}")
        self.routes, self.version = found, response["version_info"]

    async def follow(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                await self.poll()
            await asyncio.sleep(0.2)

    async def send(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.routes:
                host, port, _ = h.random.choices(self.routes, [w for _, _, w in self.routes])[0]
                await self.set_up(host, port)

    async def set_up(self, host: str, port: int) -> None:
        writer = self.links.get((host, port))
        if writer is None or writer.is_closing():
            reader, writer = await asyncio.open_connection(host, port)
            self.links[host, port] = writer
            self.readers.append(asyncio.ensure_future(reader.read()))
        attrs = {"class": "status-check", "left": "6000", "key": h.new_id()}
        writer.write(json.dumps({"msg": "open", "sid": h.new_id(), "attrs": attrs, "text": "x"}).encode() + b"\n")


async def case(record: h.Record, folder: Path) -> list[str]:
    """A drained server gets nothing new from proxies, whatever becomes of the service that tells them."""
    servers = [h.ClearingServer(f"s-{i}", record, hold_ms=2000) for i in range(SERVERS)]
    feed, program = h.Feed(record), h.Program(record, folder, "control")
    tasks: list[asyncio.Task[None]] = []
    try:
        await feed.start()
        port = feed.port
        for server in servers:
            await server.start()
        feed.push([server.row(cell=i) for i, server in enumerate(servers)], complete=True)
        xds, rest = h.free_port(), h.free_port()
        config = {
            "name": "control",
            "xds_listen": f"127.0.0.1:{xds}",
            "rest_listen": f"127.0.0.1:{rest}",
            "seed": "8c1f30d27a5be964",
            "feed": f"127.0.0.1:{port}",
            "known": feed.known(),
            "settings": h.settings(SERVERS),
        }
        await program.start(config, run=RUN)
        proxy = Proxy(record, rest)
        tasks = [asyncio.ensure_future(proxy.follow()), asyncio.ensure_future(proxy.send())]
        for _ in range(100):
            await asyncio.sleep(0.1)
            if len(proxy.routes) == SERVERS:
                break
        else:
            raise h.CouldNotRunError(f"the proxy has no routes: {program.tail()}")
        await asyncio.sleep(1.0)
        drained = servers[1]
        told = feed.push([drained.row("DRAINING", cell=1)])
        await asyncio.sleep(3.0)  # the proxy polls, so the first moments are its own
        if any(p == drained.listener.port for _, p, _ in proxy.routes):
            raise h.CouldNotRunError("the drain did not reach the proxy")
        since = h.now_ms()
        if h.TROUBLE:
            feed.close()
            record.say("feed: down")
            program.signal(signal.SIGKILL)
            assert program.process is not None
            await program.process.wait()
            await program.start(config, run=RUN)
        await asyncio.sleep(DOWN_S)
        if h.TROUBLE:
            await feed.start(port)
            record.say("feed: up again")
        await asyncio.sleep(4.0)
        late = [at for at, _ in drained.setups if at >= since and at > told + GRACE_MS]
        if late:
            return [
                f"{drained.name}: {len(late)} set-ups from {late[0] - told:.0f} to {late[-1] - told:.0f} ms after "
                f"the notice that it drains"
            ]
        return []
    finally:
        for task in tasks:
            task.cancel()
        await program.end()
        feed.close()
        for server in servers:
            server.close()


if __name__ == "__main__":
    sys.exit(h.play(__file__, case))
