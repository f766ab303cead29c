"""Clients that say as much as they may: the memory of a controller stays bounded."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import random
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from dahliabridge.brain import MAX_UNSERVED_NUMBERS
from dahliabridge.recent_numbers import MAX_KEY_CHARS, RecentNumbers
from sageweir.attempts import Request
from sageweir.limits import Limits
from tests.driving import ControllerDriver
from tests.scenario import World
from tests.test_operation import Program, platform

MEMORY_MB = 64
FLOOD_S = 8.0  # enough for 500 MB before numbers were bounded
SET_UPS_AT_ONCE = 200
NUMBER_CHARS = 15_000


def peak_memory_mb(process: int) -> float:
    status = Path(f"/proc/{process}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def flood(sock: socket.socket, rng: random.Random) -> None:
    """Set-ups with little time left, each to another number, and what comes back."""
    lines = [
        json.dumps(
            {
                "msg": "open",
                "sid": f"{rng.getrandbits(64):016x}",
                "attrs": {
                    "class": "status-check",
                    "left": "10",
                    "extras": "dest:0",
                    "key": f"{rng.getrandbits(48 * 1024):x}"[:NUMBER_CHARS],
                },
            }
        )
        for _ in range(SET_UPS_AT_ONCE)
    ]
    sock.sendall(("\n".join(lines) + "\n").encode())
    with suppress(TimeoutError, BlockingIOError):
        sock.setblocking(False)
        while sock.recv(1 << 20):
            pass
    sock.settimeout(30)


def test_numbers_of_any_length_and_count_do_not_fill_the_memory(tmp_path: Path) -> None:
    """Failure: the module kept the number of each refused call for 9 s, over 500 MB of them in 10 s."""
    with platform(tmp_path) as (path, _, held):
        raw = json.loads(path.read_text())
        raw["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}
        path.write_text(json.dumps(raw))
        program = Program(path, {"NODE_SOCKET_FD": str(held.fileno())}, held.fileno())
        try:
            rng = random.Random(1)
            clients = [socket.create_connection(held.getsockname()) for _ in range(2)]
            until = time.monotonic() + FLOOD_S
            while time.monotonic() < until:
                for client in clients:
                    flood(client, rng)
                assert peak_memory_mb(program.process.pid) < MEMORY_MB
        finally:
            program.process.kill()
            program.process.wait()


def test_numbers_that_were_not_served_are_bounded_in_count_and_length() -> None:
    numbers = RecentNumbers(3)
    long = "1" * 100_000
    for at, number in enumerate(["a", "b", long, "c"]):
        numbers.set(number, float(at))
    assert numbers.get("a", -1.0) == -1.0 and numbers.get(long, -1.0) == 2.0 and len(numbers) == 3
    assert all(len(key) <= MAX_KEY_CHARS for key, _ in numbers.items())
    numbers.set("b", 9.0)
    numbers.set("d", 10.0)
    assert numbers.get("b", -1.0) == 9.0  # the latest are kept
    numbers.forget_before(9.5)
    assert len(numbers) == 1
    driver = ControllerDriver([])
    for i in range(MAX_UNSERVED_NUMBERS + 50):
        driver.call(f"x{i}", number=f"n{i}", timeout_ms=0.0)
    assert len(driver.controller.unserved) == MAX_UNSERVED_NUMBERS


def test_a_request_that_would_take_too_much_memory_with_the_open_ones_is_refused() -> None:
    async def run() -> None:
        world = World("lines")
        await world.open(1)
        exchange = world.exchange
        exchange.limits = Limits(open_request_bytes=10_000)
        told: list[str] = []

        class Caller:
            host = "127.0.0.1"

            def refuse(self, call: str, wait_ms: float) -> bool:
                told.append(call)
                return True

            def __getattr__(self, name: str) -> object:
                return lambda *_: True

        caller = Caller()
        for i in range(4):
            exchange.on_setup_request(Request(f"{i:016x}", "plain", 5000.0, "1" * 3000), caller)  # type: ignore[arg-type]
        assert told == [f"{3:016x}"] and exchange.open_request_bytes == 3 * 3016
        for call in list(exchange.calls):
            exchange.on_caller_release(call)
        assert exchange.open_request_bytes == 0
        await world.close()

    asyncio.run(run())


CLOSED_WITH = 20_000  # set-ups, 3 MB: more than the system's buffers take, so that the close waits behind them
LEFT_MS = 100.0  # the terms: no attempt begins later after its client has left


def test_what_a_client_has_sent_is_not_sent_on_after_it_has_closed_behind_much_unread(tmp_path: Path) -> None:
    """Failure: 2,500 of its set-ups went to servers up to 2 s after its close, which could not be seen behind them."""
    heard: list[float] = []

    def hear(connection: socket.socket) -> None:
        with suppress(OSError), connection.makefile() as lines:
            heard.extend(time.monotonic() for line in lines if json.loads(line)["msg"] == "open")

    def accept(listener: socket.socket) -> None:
        with suppress(OSError):
            while True:
                threading.Thread(target=hear, args=(listener.accept()[0],), daemon=True).start()

    attrs = {"class": "status-check", "left": "8000", "extras": "dest:0"}
    rng = random.Random(2)
    with platform(tmp_path) as (path, listener, held):
        threading.Thread(target=accept, args=(listener,), daemon=True).start()
        program = Program(path, {"NODE_SOCKET_FD": str(held.fileno())}, held.fileno())
        try:
            with socket.create_connection(held.getsockname()) as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8 << 20)
                for _ in range(CLOSED_WITH // SET_UPS_AT_ONCE):
                    lines = [
                        json.dumps({"msg": "open", "sid": f"{rng.getrandbits(64):016x}", "attrs": attrs})
                        for _ in range(SET_UPS_AT_ONCE)
                    ]
                    client.sendall(("\n".join(lines) + "\n").encode())
            closed_at = time.monotonic()
            with socket.create_connection(held.getsockname(), timeout=30) as other:
                other.sendall(json.dumps({"msg": "probe", "sid": "f" * 16, "attrs": {}, "code": 0}).encode() + b"\n")
                assert other.recv(1000)
            time.sleep(3.0)
            late = [at for at in heard if at > closed_at + LEFT_MS / 1000]
            assert not late, f"{len(late)} set-ups, up to {max(late) - closed_at:.1f} s after the close"
        finally:
            program.process.kill()
            program.process.wait()


def test_a_burst_of_set_ups_goes_out_once_it_has_been_read() -> None:
    """Those of a caller that stays connected are not held back for long."""

    async def run() -> None:
        world = World("lines")
        await world.open(1)
        caller = (await world.caller("c")).peers[-1]
        attrs = {"class": "plain", "left": "3000", "key": "n"}
        assert caller.transport is not None
        caller.transport.writelines(
            json.dumps({"msg": "open", "sid": f"{i:016x}", "attrs": attrs}).encode() + b"\n" for i in range(300)
        )
        await world.settle()
        assert len(world.exchange.calls) == 300 and not world.stand_ins["s0"].got
        await world.wait(Limits().burst_ms)
        assert world.stand_ins["s0"].got
        await world.close()

    asyncio.run(run())


FLOODED_S = 2.0
PROMISE_MS = 1200.0  # of the other clients' class
FLOODS: dict[str, Callable[[random.Random], list[dict[str, Any]]]] = {
    "tests": lambda rng: [{"msg": "probe", "sid": new_id(rng), "attrs": {}, "code": 0}],
    "releases of unknown calls": lambda rng: [{"msg": "close", "sid": new_id(rng), "attrs": {}, "code": 16}],
    "unsound set-ups": lambda rng: [set_up(rng, left="x"), {"msg": "what"}, set_up(rng, left="0")],
    "classes under new names": lambda rng: [set_up(rng, **{"class": new_id(rng)})],
    "set-ups that are cancelled": lambda rng: [
        one := set_up(rng),
        {"msg": "close", "sid": one["sid"], "attrs": {}, "code": 16},
    ],
    "set-ups of tenants under new names": lambda rng: [set_up(rng, tenant=new_id(rng))],
}


def new_id(rng: random.Random) -> str:
    return f"{rng.getrandbits(64):016x}"


def set_up(rng: random.Random, **more: str) -> dict[str, Any]:
    attrs = {"class": "status-check", "left": "1000", "extras": "dest:0", "key": new_id(rng)} | more
    return {"msg": "open", "sid": new_id(rng), "attrs": attrs}


def flood_for(address: tuple[str, int], kind: str, until: float) -> None:
    """Write at full speed on one connection, and on a new one where that is closed."""
    rng, client = random.Random(3), None
    while time.monotonic() < until:
        lines = [json.dumps(one) for _ in range(500) for one in FLOODS[kind](rng)]
        with suppress(OSError):
            client = client or socket.create_connection(address, timeout=30)
            client.settimeout(1.0)
            client.sendall(("\n".join(lines) + "\n").encode())
            client.setblocking(False)
            while client.recv(1 << 20):
                pass
            client = None


@pytest.mark.parametrize("kind", FLOODS)
def test_other_clients_are_answered_in_time_while_one_sends_small_requests_at_full_speed(
    kind: str, tmp_path: Path
) -> None:
    """Failure: other clients got their answers late or never, or memory grew without end."""
    with platform(tmp_path) as (path, listener, held):
        raw = json.loads(path.read_text())
        raw["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}
        path.write_text(json.dumps(raw))
        threading.Thread(target=answer_all, args=(listener,), daemon=True).start()
        program = Program(path, {"NODE_SOCKET_FD": str(held.fileno())}, held.fileno())
        until = time.monotonic() + FLOODED_S
        flooding = multiprocessing.get_context("fork").Process(target=flood_for, args=(held.getsockname(), kind, until))
        rng, waits = random.Random(4), list[float]()
        try:
            flooding.start()
            with socket.create_connection(held.getsockname(), timeout=30) as other, other.makefile() as lines:
                while time.monotonic() < until:
                    time.sleep(0.02)
                    began, request = time.monotonic(), set_up(rng, **{"class": "release-check", "left": "6000"})
                    other.sendall(json.dumps(request).encode() + b"\n")
                    assert json.loads(lines.readline())["msg"] == "ready"
                    waits.append((time.monotonic() - began) * 1000)
                    close = {"msg": "close", "sid": request["sid"], "attrs": {}, "code": 16}
                    other.sendall(json.dumps(close).encode() + b"\n")
                    assert json.loads(lines.readline())["msg"] == "closed"
            assert max(waits) < PROMISE_MS and peak_memory_mb(program.process.pid) < MEMORY_MB
        finally:
            flooding.kill()
            flooding.join()
            program.process.kill()
            program.process.wait()


def answer_all(listener: socket.socket) -> None:
    """A clearing server that answers each set-up at once."""

    def serve(connection: socket.socket) -> None:
        with suppress(OSError), connection.makefile() as lines:
            for line in lines:
                message = json.loads(line)
                if message["msg"] == "open":
                    answer = {"msg": "ready", "sid": message["sid"], "attrs": {}, "text": "t"}
                    connection.sendall(json.dumps(answer).encode() + b"\n")

    with suppress(OSError):
        while True:
            threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()
