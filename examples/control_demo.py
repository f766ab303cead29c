"""Start a feed stand-in, a control service and a stand-in proxy; show a drain arriving at the proxy; stop them.

python examples/control_demo.py
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import grpc

from sageweir.lab.client import ENDPOINT, XdsClient
from sageweir.lab.feed import FeedStandIn, row
from sageweir.lab.proxies import METHOD

FILE = Path(__file__).resolve().parent.parent / "deploy" / "control.json"
PORT = 18000


def shares(client: XdsClient) -> dict[str, dict[str, str]]:
    """What the proxy holds: class by class, each server's part of the set-ups."""
    found = {}
    for name, held in client.held.get(ENDPOINT, {}).items():
        weights = {place.locality.sub_zone: place.load_balancing_weight.value for place in held.message.endpoints}
        whole = sum(weights.values()) or 1
        found[name] = {server: f"{100 * weight / whole:.0f} %" for server, weight in weights.items()}
    return found


async def follow(call: Any, client: XdsClient, done: asyncio.Event, seen: list[float]) -> None:
    """Follow the stream as a proxy does, and print each change of the shares."""
    for request in client.start():
        await call.write(request.SerializeToString())
    before: dict[str, dict[str, str]] = {}
    while not done.is_set():
        data = await call.read()
        if data is grpc.aio.EOF:
            return
        asked, _ = client.take(data, time.time() * 1000)
        for request in asked:
            await call.write(request.SerializeToString())
        if (now := shares(client)) != before:
            before = now
            seen.append(time.time() * 1000)
            print("proxy holds", json.dumps(now), flush=True)


async def main() -> None:
    """One route change, from the feed to the proxy."""
    feed = FeedStandIn()
    await feed.start()
    feed.push([row(f"s-{i}", 4001 + i, i) for i in range(2)], complete=True)
    config = json.loads(FILE.read_text()) | {"feed": f"127.0.0.1:{feed.port}"}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(config, file)
        file.flush()
        service = await asyncio.create_subprocess_exec(sys.executable, "-m", "sageweir.control", "--config", file.name)
        client, done, seen = XdsClient("demo-proxy", delta=True), asyncio.Event(), list[float]()
        channel = grpc.aio.insecure_channel(f"127.0.0.1:{PORT}")
        call = channel.stream_stream(METHOD.format("Delta"))(wait_for_ready=True)
        following = asyncio.ensure_future(follow(call, client, done, seen))
        while len(shares(client)) < 2:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        told = feed.push([row("s-0", 4001, 0, "DRAINING")])
        print("feed tells that s-0 drains", flush=True)
        await asyncio.sleep(0.5)
        print(f"the change was there {seen[-1] - told:.1f} ms after the notice")
        done.set()
        following.cancel()
        service.terminate()
        await service.wait()
        await channel.close()
        await feed.stop()


if __name__ == "__main__":
    asyncio.run(main())
