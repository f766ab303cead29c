"""Stand-in proxies, many in one process; each has a connection and a stream of its own to the control service.

Told what to do by JSON lines on standard input: {"do":"stall","proxies":[...]}, "resume", "cut" (streams are closed
and dialled again), "rate" (set-ups a second of each), "seen" (times of all that changed since last asked),
"figures". Each gives one line back.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
from typing import Any

import grpc
import orjson

from sageweir.lab.client import ENDPOINT, XdsClient
from sageweir.lab.servers import answer_lines

METHOD = "/envoy.service.discovery.v3.AggregatedDiscoveryService/{}AggregatedResources"


class Wires(asyncio.Protocol):
    """Connections to clearing servers, shared by the proxies of this process; answers are only counted."""

    def __init__(self) -> None:
        self._open: dict[tuple[str, int], asyncio.Transport | None] = {}
        self._dials: set[asyncio.Task[None]] = set()
        self.unsent = 0

    def send(self, address: tuple[str, int], line: bytes) -> None:
        transport = self._open.get(address)
        if transport is not None and not transport.is_closing():
            transport.write(line)
        elif address not in self._open or transport is not None:
            self._open[address] = None
            self._dials.add(dial := asyncio.ensure_future(self._dial(address, line)))
            dial.add_done_callback(self._dials.discard)
        else:
            self.unsent += 1

    async def _dial(self, address: tuple[str, int], line: bytes) -> None:
        try:
            transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, *address)
        except OSError:
            del self._open[address]
            return
        self._open[address] = transport
        transport.write(line)


class Proxy:
    """One proxy on real sockets."""

    def __init__(self, index: int, given: dict[str, Any], wires: Wires) -> None:
        self.index, self.given, self.wires = index, given, wires
        self.client = XdsClient(f"proxy-{index}", given["delta"], given["leases"])
        self.draw = random.Random(given["seed"] * 100_003 + index)
        self.running = asyncio.Event()
        self.running.set()
        self.seen: list[tuple[str, float]] = []  # type and time of each change, as its ACK went out
        self.bytes = self.responses = self.sent = self.no_route = self.streams = 0
        self._call: Any = None
        self._channel: Any = None

    async def follow(self) -> None:
        """Keep a stream open; come back after a moment where it ends."""
        while True:
            self._channel = grpc.aio.insecure_channel(
                self.given["target"],
                options=(("grpc.use_local_subchannel_pool", 1), ("grpc.max_receive_message_length", 1 << 24)),
            )
            method = self._channel.stream_stream(METHOD.format("Delta" if self.client.delta else "Stream"))
            self._call = method(wait_for_ready=True)
            self.streams += 1
            try:
                for request in self.client.start():
                    await self._call.write(request.SerializeToString())
                while True:
                    await self.running.wait()
                    data = await self._call.read()
                    if data is grpc.aio.EOF:
                        break
                    await self.running.wait()  # stalled while it waited: what came is not looked at
                    await self._take(data)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                pass
            except asyncio.CancelledError:
                if asyncio.current_task() is None or asyncio.current_task().cancelling():  # type: ignore[union-attr]
                    raise
            await self._channel.close()
            await asyncio.sleep(self.draw.uniform(*self.given["back_s"]))

    async def _take(self, data: bytes) -> None:
        self.bytes += len(data)
        self.responses += 1
        asked, changed = self.client.take(data, time.time() * 1000)
        for request in asked:
            await self._call.write(request.SerializeToString())
        if changed:
            self.seen.append((asked[0].type_url, time.time() * 1000))

    def cut(self) -> None:
        if self._call is not None:
            self._call.cancel()

    async def send(self, ids: itertools.count[int], classes: list[tuple[str, float]]) -> None:
        """Set-ups at the given rate, at random times, by the shares that the proxy holds."""
        names, weights = [name for name, _ in classes], [weight for _, weight in classes]
        due = time.time()
        while True:
            rate = self.given["rate"]
            if rate <= 0:
                await asyncio.sleep(0.05)
                due = time.time()
                continue
            due += self.draw.expovariate(rate)
            delay = due - time.time()
            if delay > 0:
                await asyncio.sleep(delay)
            name = self.draw.choices(names, weights)[0]
            now = time.time() * 1000
            self.client.lapse(now)
            address = self.client.route(name, self.draw, now)
            if address is None:
                self.no_route += 1
                continue
            self.sent += 1
            self.wires.send(
                address,
                b'{"msg":"open","sid":"%016x","attrs":{"class":"%b","left":"1500"},"text":""}\n'
                % (next(ids), name.encode()),
            )


async def main() -> None:
    """Run until standard input ends. Argument: one JSON object."""
    given: dict[str, Any] = orjson.loads(sys.argv[1])
    wires = Wires()
    ids = itertools.count(given["first"] << 32)
    proxies = {i: Proxy(i, given, wires) for i in range(given["first"], given["first"] + given["count"])}
    classes = [(name, weight) for name, weight in given["classes"]]
    tasks = [asyncio.ensure_future(p.follow()) for p in proxies.values()]
    tasks += [asyncio.ensure_future(p.send(ids, classes)) for p in proxies.values()]

    def do(command: dict[str, Any]) -> object:
        named = [proxies[i] for i in command.get("proxies", proxies) if i in proxies]
        match command["do"]:
            case "stall":
                for proxy in named:
                    proxy.running.clear()
            case "resume":
                for proxy in named:
                    proxy.running.set()
            case "cut":
                for proxy in named:
                    proxy.cut()
            case "rate":
                given["rate"] = command["rate"]
            case "held":
                return [
                    sum(1 for p in named if p.client.held.get(ENDPOINT)),
                    sum(1 for p in named if p.client.route(classes[0][0], p.draw, time.time() * 1000)),
                ]
            case "seen":
                found = [[at for kind, at in p.seen if kind == ENDPOINT] for p in named]
                for proxy in named:
                    proxy.seen.clear()
                return found
            case "figures":
                return {
                    name: sum(getattr(p, name) for p in named)
                    for name in ("bytes", "responses", "sent", "no_route", "streams")
                } | {"lapsed": sum(p.client.lapsed for p in named), "unsent": wires.unsent}
        return {}

    await answer_lines(do)
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
