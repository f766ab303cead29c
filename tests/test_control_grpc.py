"""Tests of the control service on loopback: gRPC streams, invalid requests, and the program as a process."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

import grpc
import pytest
from envoy.service.discovery.v3 import discovery_pb2

from sageweir.clock import SystemClock
from sageweir.config import ListEvent, read_control
from sageweir.control.encoding import encode
from sageweir.control.grpc_front import GrpcFront
from sageweir.control.lease import LeasePolicy
from sageweir.control.poll import Discovery
from sageweir.control.resources import cluster_name
from sageweir.control.service import ControlService
from sageweir.control.snapshot import CLUSTER, ENDPOINT, ROUTE
from sageweir.lab.client import XdsClient
from sageweir.lab.feed import FeedStandIn, row
from sageweir.lab.processor import ColdRule, Model
from sageweir.lab.proxies import METHOD
from tests.test_control_decisions import DRAINING, FILE, STATUS
from tests.test_control_decisions import row as listed

ROOT = Path(__file__).resolve().parent.parent
CODE = grpc.StatusCode


class Bench:
    """A control service in this process, on a real port."""

    def __init__(self, epoch: str = "t", servers: int = 2, **limits: Any) -> None:
        config = read_control(
            {k: v for k, v in FILE.items() if k != "feed"}
            | {"settings": FILE["settings"] | {"family_info": {}}, "lease_ms": 0.0}
        )
        base = dataclasses.replace(config.base, limits=dataclasses.replace(config.base.limits, **limits))
        clock = SystemClock(asyncio.get_running_loop())
        self.service = ControlService(clock, dataclasses.replace(config, base=base), epoch, encode)
        self.front, self.number, self.port = GrpcFront(self.service), 0, 0
        self.tell(*(listed(f"s-{i}") for i in range(servers)), complete=True)
        self.channels: list[Any] = []

    def tell(self, *rows: Any, complete: bool = False) -> None:
        self.number += 1
        self.service.follow(ListEvent(self.number, complete, rows))

    def call(self, delta: bool = False) -> Any:
        self.channels.append(
            grpc.aio.insecure_channel(f"127.0.0.1:{self.port}", options=(("grpc.use_local_subchannel_pool", 1),))
        )
        return self.channels[-1].stream_stream(METHOD.format("Delta" if delta else "Stream"))()


@contextlib.asynccontextmanager
async def bench(**given: Any) -> AsyncIterator[Bench]:
    found = Bench(**given)
    found.port = await found.front.start("127.0.0.1:0")
    try:
        yield found
    finally:
        for channel in found.channels:
            await channel.close()
        await found.front.stop()
        found.service.stop()


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 60))


async def until(seen: Callable[[], bool]) -> None:
    while not seen():
        await asyncio.sleep(0.01)


async def follow(call: Any, client: XdsClient, enough: Callable[[], bool]) -> None:
    """Start the simulated proxy and process its stream until the condition holds."""
    for request in client.start():
        await call.write(request.SerializeToString())
    await process_responses(call, client, enough)


async def process_responses(call: Any, client: XdsClient, enough: Callable[[], bool]) -> None:
    while not enough():
        asked, _ = client.take(await call.read(), 0.0)
        for request in asked:
            await call.write(request.SerializeToString())


def offers(client: XdsClient) -> list[str]:
    """Servers to which the proxy sends status checks."""
    held = client.held.get("type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment", {})
    assignment = held.get(cluster_name(STATUS))
    return (
        []
        if assignment is None
        else [
            locality.locality.sub_zone
            for locality in assignment.message.endpoints
            if locality.load_balancing_weight.value
        ]
    )


def sotw(node: str = "n", type_url: str = CLUSTER, names: tuple[str, ...] = ()) -> bytes:
    request = discovery_pb2.DiscoveryRequest(type_url=type_url, resource_names=names)
    request.node.id = node
    return bytes(request.SerializeToString())


@pytest.mark.parametrize("delta", [False, True])
def test_a_drain_during_a_disconnection_is_applied_after_the_reconnect(delta: bool) -> None:
    async def test() -> None:
        client = XdsClient("p", delta)
        async with bench() as control:
            await follow(control.call(delta), client, lambda: len(offers(client)) == 2)
            call = control.call(delta)  # a second stream of the same node, beside the first
            other = XdsClient("p", delta)
            await follow(call, other, lambda: len(offers(other)) == 2)
            assert control.front.nodes["p"] == 2
            for channel in control.channels:
                await channel.close()
            await until(lambda: not control.front.sessions)
            control.tell(listed("s-0", DRAINING))
            await follow(control.call(delta), client, lambda: offers(client) == ["s-1"])
        # The service restarts with new versions: the proxy reports what it holds and gets everything again.
        async with bench(epoch="u") as two:
            two.tell(listed("s-1", DRAINING))
            await follow(two.call(delta), client, lambda: offers(client) == ["s-0"])

    run(test)


def test_responses_to_a_stalled_reader_are_bounded_and_its_stream_is_closed(caplog: Any) -> None:
    async def test() -> None:
        async with bench(servers=400, xds_stall_ms=1500.0) as control:
            stalled, healthy = XdsClient("stalled", True), XdsClient("sound", True)
            slow, fast = control.call(True), control.call(True)
            await follow(slow, stalled, lambda: len(offers(stalled)) == 400)
            await follow(fast, healthy, lambda: len(offers(healthy)) == 400)
            stuck = next(s for s in control.front.sessions if s.node == "stalled")
            for i in range(100):  # the other stream continues undisturbed
                control.tell(listed(f"s-{i}", DRAINING))
                await process_responses(fast, healthy, lambda i=i: f"s-{i}" not in offers(healthy))  # type: ignore[misc]
            assert max(len(b.pending) for b in stuck.stream.types.values()) <= control.service.limits.xds_unconfirmed
            await until(lambda: stuck not in control.front.sessions)
            assert "does not read the stream" in caplog.text or "not acknowledged" in caplog.text
            await follow(control.call(True), stalled, lambda: len(offers(stalled)) == 300)
            assert len(control.front.sessions) == 2

    run(test)


@pytest.mark.parametrize(
    ("data", "code", "text"),
    [
        (b"\xff\xff\xff", CODE.INVALID_ARGUMENT, "not a DiscoveryRequest"),
        (sotw(node=""), CODE.INVALID_ARGUMENT, "no node.id"),
        (sotw(node="n" * 300), CODE.INVALID_ARGUMENT, "node.id has 300"),
        (sotw(type_url="type.googleapis.com/else"), CODE.INVALID_ARGUMENT, "unknown type URL"),
        (sotw(type_url=ENDPOINT, names=tuple(f"{i:x}" for i in range(3000))), CODE.RESOURCE_EXHAUSTED, "names"),
        (sotw(type_url=ENDPOINT, names=tuple(f"n{i}" for i in range(35_000))), CODE.RESOURCE_EXHAUSTED, "bytes"),
        (sotw(type_url=ENDPOINT, names=("x" * 2_000_000,)), CODE.RESOURCE_EXHAUSTED, "larger than max"),
    ],
)
def test_an_invalid_request_closes_its_stream_with_a_status_and_affects_no_other(
    data: bytes, code: Any, text: str, caplog: Any
) -> None:
    async def test() -> None:
        async with bench() as control:
            healthy = XdsClient("sound")
            call = control.call()
            await follow(call, healthy, lambda: len(offers(healthy)) == 2)
            bad = control.call()
            # A stream that is cancelled before it starts logs nothing.
            await until(lambda: len(control.front.sessions) == 2)
            await bad.write(data)
            assert await bad.code() is code and text in await bad.details()
            control.tell(listed("s-0", DRAINING))
            await process_responses(call, healthy, lambda: offers(healthy) == ["s-1"])
            await until(lambda: len(control.front.sessions) == 1)
            await until(lambda: ("broke off" if "larger" in text else "stream closed") in caplog.text)

    run(test)


def test_silent_streams_and_streams_of_one_node_are_limited_and_closed(caplog: Any) -> None:
    async def test() -> None:
        async with bench(xds_silent_streams=20, xds_first_ms=700.0, xds_node_streams=3) as control:

            async def open_one() -> tuple[Any, Any]:
                call = control.call()
                return await call.code(), call

            silent = [asyncio.ensure_future(open_one()) for _ in range(60)]
            await until(lambda: len(control.front.sessions) >= 20)
            codes = [code for code, _ in await asyncio.gather(*silent)]
            assert codes.count(CODE.DEADLINE_EXCEEDED) == 20 and codes.count(CODE.RESOURCE_EXHAUSTED) == 40
            assert "stream refused" in caplog.text and "no request was received" in caplog.text
            calls = [control.call() for _ in range(4)]
            for call in calls[:3]:
                await call.write(sotw("greedy"))
                await call.read()
            await calls[3].write(sotw("greedy"))
            assert await calls[3].code() is CODE.RESOURCE_EXHAUSTED
            healthy = XdsClient("sound")
            await follow(control.call(), healthy, lambda: len(offers(healthy)) == 2)

    run(test)


def test_a_nack_is_logged_with_the_node_id(caplog: Any) -> None:
    async def test() -> None:
        async with bench() as control:
            client, call = XdsClient("proxy-7", True), control.call(True)
            client.refuses = {cluster_name(STATUS)}
            await follow(call, client, lambda: control.front.refusals >= 1)
            assert "proxy-7: refused" in caplog.text

    run(test)


def test_polled_discovery_and_streams_serve_the_same_snapshot() -> None:
    async def test() -> None:
        async with bench() as control:
            page = Discovery(lambda: control.service.present)
            for _ in range(2):
                call = control.call()
                await call.write(sotw(type_url=ENDPOINT, names=(cluster_name(STATUS),)))
                streamed = discovery_pb2.DiscoveryResponse.FromString(await call.read())
                status, body = page.answer(ENDPOINT, b'{"resource_names": ["%b"]}' % cluster_name(STATUS).encode())
                polled = json.loads(body)
                assert status == 200 and polled["version_info"] == streamed.version_info
                resource = polled["resources"][0]
                assert resource.pop("@type") == ENDPOINT
                assert encode(ENDPOINT, resource) == streamed.resources[0].value
                control.tell(listed("s-0", DRAINING))

    run(test)


def test_proxies_that_all_reconnect_do_not_overload_the_only_server_in_slow_start() -> None:
    async def test() -> None:
        model, rate_each, cold_at = Model(work_ms=20.0, cold_ms=14_000.0), 10.0, 0.0
        async with bench(servers=10) as control:
            clients = [
                XdsClient(f"p{i}", i % 2 == 0) for i in range(40)
            ]  # 400 set-ups per second; ten servers can take 500
            calls = [control.call(c.delta) for c in clients]
            await asyncio.gather(
                *(
                    follow(call, c, lambda c=c: len(offers(c)) == 10)  # type: ignore[misc]
                    for call, c in zip(calls, clients, strict=True)
                )
            )
            cold_at = control.service.clock.now()
            control.tell(listed("s-0", started=cold_at), *(listed(f"s-{i}", DRAINING) for i in range(1, 10)))
            for channel in control.channels:
                await channel.close()
            await until(lambda: not control.front.sessions)

            def drained(client: XdsClient) -> bool:
                return bool(client.held.get(ROUTE)) and offers(client) == ["s-0"]

            await asyncio.gather(*(follow(control.call(c.delta), c, partial(drained, c)) for c in clients))
        # Simulates the set-ups of the next second by the proxies' present configuration, with a seed, in virtual time.
        rule, rng, now, sent = ColdRule(model, 0.0, 3.0, 1000.0), random.Random(3), 0.0, 0
        while now < 1000.0:
            now += rng.expovariate(rate_each * len(clients) / 1000)
            if rng.choice(clients).route(STATUS, rng, 0.0) is not None:
                rule.sent(now)
                sent += 1
        assert sent > 0 and rule.worst < 0.6

    run(test)


def test_the_lease_of_a_stalled_proxy_expires_and_of_a_healthy_one_does_not() -> None:
    async def test() -> None:
        async with bench() as control:
            control.service.lease = LeasePolicy(300.0)
            control.front.lease_ms = 300.0
            stalled, healthy = XdsClient("stalled", True), XdsClient("sound", True)
            rng = random.Random(1)
            call = control.call(True)
            await follow(
                control.call(True), stalled, lambda: stalled.route(STATUS, rng, 0.0) is not None
            )  # reads nothing after this
            await follow(call, healthy, lambda: healthy.route(STATUS, rng, 0.0) is not None)
            ends = [c.held[ENDPOINT][cluster_name(STATUS)].lapses_ms for c in (stalled, healthy)]
            assert ends == [300.0, 300.0]  # both received their resources at 0
            while healthy.held[ENDPOINT][cluster_name(STATUS)].lapses_ms != 400.0:
                asked, changed = healthy.take(await call.read(), 100.0)
                assert not changed  # a heartbeat only renews the lease
                await call.write(asked[0].SerializeToString())
            assert stalled.route(STATUS, rng, 350.0) is None and healthy.route(STATUS, rng, 350.0) is not None
            stalled.lapse(350.0)
            assert stalled.lapsed == 2 and offers(stalled) == []

    run(test)


GRPC_CLIENT = """
import sys, grpc
go = grpc.insecure_channel("xds:///clearing-servers").unary_unary("/t.T/Go")
for line in sys.stdin:
    metadata = (("x-service-class", line.strip()),) if line.strip() else ()
    try:
        print(",".join(go(b"", timeout=20, metadata=metadata, wait_for_ready=True).decode() for _ in range(20)))
    except grpc.RpcError as error:
        print(error.code().name)
    sys.stdout.flush()
"""


def test_a_proxyless_grpc_client_resolves_routes_and_follows_a_drain() -> None:
    async def test() -> None:
        servers, ports = [], []
        for i in range(3):
            server = grpc.aio.server()

            async def go(_: bytes, context: Any, i: int = i) -> bytes:
                return str(i).encode()

            server.add_generic_rpc_handlers(
                (grpc.method_handlers_generic_handler("t.T", {"Go": grpc.unary_unary_rpc_method_handler(go)}),)
            )
            ports.append(server.add_insecure_port("127.0.0.1:0"))
            await server.start()
            servers.append(server)
        async with bench(servers=0) as control:
            raw = {k: v for k, v in FILE.items() if k != "feed"} | {
                "settings": FILE["settings"] | {"family_info": {"class_cells": [[0, 1], [2]]}}
            }
            control.service.reload(read_control(raw))
            control.tell(*(listed(f"s-{i}", port=ports[i], number=i) for i in range(3)), complete=True)
            boot = {
                "node": {"id": "grpc"},
                "xds_servers": [
                    {
                        "server_uri": f"127.0.0.1:{control.port}",
                        "channel_creds": [{"type": "insecure"}],
                        "server_features": ["xds_v3"],
                    }
                ],
            }
            client = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                GRPC_CLIENT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                env=os.environ | {"GRPC_XDS_BOOTSTRAP_CONFIG": json.dumps(boot)},
            )

            async def ask(service_class: str) -> set[str]:
                assert client.stdin is not None and client.stdout is not None
                client.stdin.write(service_class.encode() + b"\n")
                return set((await client.stdout.readline()).decode().strip().split(","))

            assert await ask("release-check") == {"2"}
            assert await ask("status-check") == {"0", "1"}
            assert await ask("") == {"0", "1"}  # without a class: treated as the class of least worth
            control.tell(listed("s-0", DRAINING, port=ports[0], number=0))
            session = next(iter(control.front.sessions))
            await until(lambda: session.stream.is_idle(control.service.present, control.service.clock.now()))
            while (seen := await ask("status-check")) != {"1"}:
                assert "0" in seen  # never to any other server
            assert client.stdin is not None
            client.stdin.close()
            await client.wait()
        for server in servers:
            await server.stop(0)

    run(test)


# The program as a process


def start(path: Path, *more: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "sageweir.control", "--config", str(path), *more],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_a_configuration_error_ends_the_program_and_names_the_key(tmp_path: Path) -> None:
    path = tmp_path / "control.json"
    path.write_text(json.dumps(FILE | {"lease_ms": "long"}))
    program = start(path)
    _, log_line = program.communicate(timeout=30)
    assert program.returncode == 2 and "lease_ms: must be float" in log_line


def test_the_program_follows_its_feed_reloads_and_stops(tmp_path: Path) -> None:
    async def test() -> None:
        feed, path = FeedStandIn(), tmp_path / "control.json"
        await feed.start()
        feed.push([row("s-0", 4001), row("s-1", 4002, 1)], complete=True)
        raw = FILE | {"feed": f"127.0.0.1:{feed.port}", "xds_listen": "127.0.0.1:0", "rest_listen": "", "workers": 1}
        path.write_text(json.dumps(raw))
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sageweir.control",
            "--config",
            str(path),
            "--log-format",
            "json",
            cwd=ROOT,
            stderr=subprocess.PIPE,
        )
        assert program.stderr is not None
        lines: list[dict[str, Any]] = []

        async def log_line(text: str) -> dict[str, Any]:
            while not (lines and text in lines[-1]["event"]):
                lines.append(json.loads(await program.stderr.readline()))  # type: ignore[union-attr]
            return lines[-1]

        port = (await log_line("serving xDS"))["event"].rpartition(":")[2]
        client = XdsClient("p", True)
        channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}")
        call = channel.stream_stream(METHOD.format("Delta"))()
        await follow(call, client, lambda: offers(client) == ["s-0", "s-1"])
        feed.cut()  # the feed reconnects and resumes after the last number
        feed.push([row("s-0", 4001, state="DRAINING")])
        await process_responses(call, client, lambda: offers(client) == ["s-1"])
        grades = [*raw["settings"]["grades"], {"name": "new", "promise_ms": 1000.0, "deadline_ms": 2000.0}]
        path.write_text(json.dumps(raw | {"settings": raw["settings"] | {"grades": grades}}))
        program.send_signal(signal.SIGHUP)
        await process_responses(call, client, lambda: cluster_name("new") in client.held.get(CLUSTER, {}))
        program.send_signal(signal.SIGUSR1)
        assert "1 streams" in (await log_line("streams ("))["event"]
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
        await channel.close()
        await feed.stop()

    run(test)


def test_several_instances_share_the_port_and_stop_together(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.socket() as holder:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            holder.bind(("127.0.0.1", 0))
            port, path = holder.getsockname()[1], tmp_path / "control.json"
            raw = FILE | {"xds_listen": f"127.0.0.1:{port}", "rest_listen": "", "workers": 2}
            path.write_text(json.dumps({k: v for k, v in raw.items() if k != "feed"}))
            program = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "sageweir.control", "--config", str(path), cwd=ROOT, stderr=subprocess.PIPE
            )
            assert program.stderr is not None
            serving = 0
            while serving < 2:
                serving += b"serving xDS" in await program.stderr.readline()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0

    run(test)


def test_the_session_controller_imports_no_optional_dependencies() -> None:
    code = (
        "import sys, sageweir.__main__, dahliabridge.adapter\n"
        "print([m for m in sys.modules if m.partition('.')[0] in ('grpc', 'google', 'envoy', 'click', 'structlog',"
        " 'matplotlib', 'numpy') or m.startswith(('sageweir.control', 'sageweir.lab', 'sageweir.cli'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
