"""Experiment: how a change reaches many streams: time, bytes and memory, beside polling."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import orjson

from sageweir.lab.report import Report, percentile, spread
from sageweir.lab.rig import Rig

POLL_S = 1.0
POLLERS = 64  # as many as the polled page takes


class Poller:
    """A proxy that polls the REST page, as before there were streams."""

    def __init__(self, port: int, offset_s: float) -> None:
        self.port, self.offset_s = port, offset_s
        self.seen: list[float] = []
        self.bytes = 0

    async def run(self) -> None:
        await asyncio.sleep(self.offset_s)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        version = ""
        while True:
            body = orjson.dumps({"version_info": version, "node": {"id": "poller"}})
            writer.write(
                b"POST /v3/discovery:endpoints HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            size = int(head.partition("Content-Length: ")[2].partition("\r\n")[0])
            answer = await reader.readexactly(size)
            self.bytes += len(head) + size
            if head.split()[1] == "200":
                if version:
                    self.seen.append(time.time() * 1000)
                version = orjson.loads(answer)["version_info"]
            await asyncio.sleep(POLL_S)


async def one_size(
    streams: int, endpoints: int, changes: int, delta: bool, processes: int, pollers: int = 0, workers: int = 1
) -> dict[str, Any]:
    """Change one endpoint so many times; what each stream and poller saw, and when."""
    rig = Rig(endpoints, lease_ms=0.0, workers=workers)
    tasks: list[asyncio.Task[None]] = []
    try:
        await rig.start(emulate=False)
        empty_kb = rig.rss_kb()
        await rig.add_proxies(streams, processes, rate=0.0, delta=delta, leases=False)
        await asyncio.sleep(1.0)
        full_kb = rig.rss_kb()
        polls = [Poller(rig.rest_port, POLL_S * i / max(1, pollers)) for i in range(pollers)]
        tasks = [asyncio.ensure_future(p.run()) for p in polls]
        await asyncio.sleep(POLL_S + 0.5 if polls else 0.2)
        await rig.each(do="seen")
        before = sum(f["bytes"] for f in await rig.each(do="figures"))
        cpu = rig.cpu_s()
        acked: list[float] = []
        lasts: list[float] = []
        polled: list[float] = []
        names, missing = sorted(rig.rows), 0
        for i in range(changes):
            for poll in polls:
                poll.seen.clear()
            at = rig.tell(names[i % len(names)], "DRAINING" if i < len(names) else "SERVING")
            await asyncio.sleep(POLL_S + 0.3 if polls else 0.7)
            found = [[t for t in times if t >= at] for part in await rig.each(do="seen") for times in part]
            ends = [max(times) - at for times in found if times]
            missing += streams - len(ends)
            acked += ends
            lasts.append(max(ends))
            polled += [t - at for poll in polls for t in poll.seen[:1]]
        sent = sum(f["bytes"] for f in await rig.each(do="figures")) - before
        return {
            "ack_ms": spread(acked),
            "last_ack_ms": spread(lasts),
            "missing": missing,
            "bytes_per_stream_and_change": round(sent / streams / changes, 1),
            "memory_per_stream_kb": round((full_kb - empty_kb) / streams, 2),
            "service_cpu_ms_per_change": round((rig.cpu_s() - cpu) * 1000 / changes, 1),
            "polled_ms": spread(polled) if polls else None,
            "_acked": acked,
            "_polled": polled,
        }
    finally:
        for task in tasks:
            task.cancel()
        await rig.stop()


async def fanout(proxies: int, servers: int, changes: int, processes: int, workers: int) -> Report:
    """Sizes from a tenth of the streams to all; one instance and several; delta, state of the world, polling.

    The bounds are for `workers` instances; what one alone does is told beside.
    """
    report = Report(
        "fanout",
        {
            "proxies": proxies,
            "servers": servers,
            "changes": changes,
            "workers": workers,
            "poll_period_s": POLL_S,
            "pollers": POLLERS,
        },
    )
    sizes = sorted({max(1, proxies // 10), max(1, proxies * 3 // 10), proxies})
    cases = [(f"delta_{n}_by_{workers}", n, True, 0, workers) for n in sizes]
    cases += [(f"delta_{n}_by_1", n, True, 0, 1) for n in sizes if workers > 1]
    cases += [
        (f"sotw_{proxies}_by_{workers}", proxies, False, 0, workers),
        (f"beside_polling_{sizes[0]}", sizes[0], True, POLLERS, 1),
    ]
    for name, streams, delta, pollers, instances in cases:
        found = await one_size(streams, servers, changes, delta, processes, pollers, instances)
        report.figures[f"_{name}_ms"] = [round(t, 2) for t in found.pop("_acked")]
        polled = found.pop("_polled")
        if polled:
            report.figures["_polled_ms"] = [round(t, 2) for t in polled]
        report.figures[name] = found
        report.bound(f"{name}: streams that missed a change", found["missing"], 1.0)
    every = report.figures[f"_delta_{proxies}_by_{workers}_ms"]
    report.aim(f"{proxies} streams: notice to ACK, p99, ms", percentile(every, 0.99), 100.0)
    report.bound(f"{proxies} streams: notice to last ACK, worst, ms", max(every), 250.0)
    report.bound("memory of a stream, KiB", report.figures[f"delta_{proxies}_by_1"]["memory_per_stream_kb"], 200.0)
    polling = report.figures[f"beside_polling_{sizes[0]}"]
    report.bound("p50 of streams, as a part of polling's", polling["ack_ms"]["p50"] / polling["polled_ms"]["p50"], 1.0)
    return report
