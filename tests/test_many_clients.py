"""Hundreds of clients that write slowly, stop half way, or send very many short fields: memory stays bounded."""

from __future__ import annotations

import json
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest

from sageweir.lab.rig import free_ports
from tests.test_bad_clients import peak_memory_mb
from tests.test_operation import Program, platform
from tests.test_program import ROOT

CLIENTS = 300
MEMORY_MB = 64  # of the controller, with 512 descriptors
CONTROL_MEMORY_MB = 192  # of the control service, its default
FIELDS = {f"{i:x}": 1 for i in range(1700)}


def set_up(**attrs: object) -> bytes:
    fields = {"class": "status-check", "left": "6000", "extras": "dest:0"} | attrs
    return json.dumps({"msg": "open", "sid": "a" * 16, "attrs": fields}).encode() + b"\n"


HEAD = b"GET /v1/calls HTTP/1.1\r\nHost: a\r\n"
SHORT_FIELDS = b"".join(b"%x:1\r\n" % i for i in range(1900))
# What each client writes, in so many pieces.
INPUTS: dict[str, tuple[str, bytes, int]] = {
    "slowly": ("lines", set_up(key="x" * 16_000)[:-2], 20),
    "half a request": ("lines", set_up(key="x" * 16_100)[:15_000], 1),
    "many fields": ("lines", set_up(**FIELDS), 1),
    "half of many fields": ("lines", set_up(**FIELDS)[:-40], 1),
    "half a head of many fields": ("websocket", HEAD + SHORT_FIELDS, 1),
    "a head of many fields and half a request": (
        "websocket",
        HEAD
        + b"Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        + b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
        + SHORT_FIELDS
        + b"\r\n\x81\xfe\x3f\xf0abcd"
        + b"x" * 15_000,
        1,
    ),
}


def write_from_many(address: tuple[str, int], data: bytes, pieces: int) -> list[socket.socket]:
    clients = [socket.create_connection(address, timeout=30) for _ in range(CLIENTS)]
    size = len(data) // pieces + 1
    for start in range(0, len(data), size):
        for client in clients:
            with suppress(OSError):
                client.sendall(data[start : start + size])
    return clients


@pytest.mark.parametrize("kind", INPUTS)
def test_memory_of_a_controller_is_bounded_with_many_clients(kind: str, tmp_path: Path) -> None:
    front, data, pieces = INPUTS[kind]
    (port,) = free_ports(1)
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/fronts.json").write_text(
        json.dumps({"websocket_listen": f"ws://127.0.0.1:{port}/v1/calls", "xds_listen": ""})
    )
    with platform(tmp_path) as (path, _, held):
        raw = json.loads(path.read_text())
        raw["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512}
        path.write_text(json.dumps(raw))
        program = Program(path, {"NODE_SOCKET_FD": str(held.fileno())}, held.fileno(), tmp_path)
        try:
            address = held.getsockname() if front == "lines" else ("127.0.0.1", port)
            clients = [client for _ in range(2) for client in write_from_many(address, data, pieces)]
            time.sleep(1.0)
            assert program.process.poll() is None and peak_memory_mb(program.process.pid) < MEMORY_MB
            for client in clients:
                client.close()
        finally:
            program.process.kill()
            program.process.wait()


# The control service, with HTTP/2 by hand, as no client library stops half way


def frame(kind: int, flags: int, payload: bytes, stream: int = 1) -> bytes:
    return struct.pack("!I", len(payload))[1:] + bytes([kind, flags]) + struct.pack("!I", stream) + payload


def fields(*pairs: tuple[bytes, bytes]) -> bytes:
    """A block of header fields, as literals without an index."""
    return b"".join(b"\x00" + bytes([len(k)]) + k + bytes([len(v)]) + v for k, v in pairs)


PATH = b"/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, b"", 0)
REQUEST = fields(
    (b":method", b"POST"), (b":scheme", b"http"), (b":path", PATH), (b":authority", b"a"),
    (b"content-type", b"application/grpc"), (b"te", b"trailers"),
)  # fmt: skip
FRAME_BYTES = 16_009
DATA_FRAME, HEADERS_FRAME, CONTINUATION_FRAME, END_HEADERS = 0, 1, 9, 4


def half_a_message(size: int) -> Callable[[], bytes]:
    """All but the end of one request of that size."""
    parts = [frame(DATA_FRAME, 0, b"x" * 16_000) for _ in range(size // 16_000)]
    head = PREFACE + frame(HEADERS_FRAME, END_HEADERS, REQUEST) + frame(DATA_FRAME, 0, b"\0" + struct.pack("!I", size))
    return lambda: head + b"".join(parts)


def head_without_end() -> bytes:
    many = fields(*((b"%x" % i, b"1") for i in range(2000)))
    return PREFACE + frame(HEADERS_FRAME, 0, REQUEST) + frame(CONTINUATION_FRAME, 0, many) * 20


@contextmanager
def control_service(folder: Path) -> Iterator[tuple[int, int]]:
    """A process of the control service: its id and its port."""
    port, rest = free_ports(2)
    raw = json.loads((ROOT / "deploy/control.json").read_text())
    raw |= {"xds_listen": f"127.0.0.1:{port}", "rest_listen": f"127.0.0.1:{rest}"}
    del raw["feed"]
    (folder / "control.json").write_text(json.dumps(raw))
    with (folder / "log.txt").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "sageweir.control", "--config", str(folder / "control.json")], cwd=ROOT, stderr=log
        )
    try:
        until = time.monotonic() + 60
        while "serving polled" not in (folder / "log.txt").read_text():
            assert time.monotonic() < until
            time.sleep(0.05)
        yield process.pid, port
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(half_a_message(290_000), id="half a request"),
        pytest.param(half_a_message(1_000_000), id="half a request of a megabyte"),
        pytest.param(head_without_end, id="heads of many fields"),
    ],
)
def test_memory_of_the_control_service_is_bounded_with_many_clients(data: Callable[[], bytes], tmp_path: Path) -> None:
    """Failure: gRPC kept up to a megabyte of a request that was not whole for each of 300 clients."""
    with control_service(tmp_path) as (process, port):
        written = {}
        for _ in range(CLIENTS):
            client = socket.create_connection(("127.0.0.1", port), timeout=30)
            client.setblocking(False)
            written[client] = memoryview(data())
        until = time.monotonic() + 8.0
        while written and time.monotonic() < until:
            for client, left in list(written.items()):
                try:
                    written[client] = left[client.send(left[:FRAME_BYTES]) :]
                    client.recv(65536)  # room that gRPC gives: what is sent beyond it would end the connection
                except BlockingIOError:
                    continue
                except OSError:
                    del written[client]
            if not any(written.values()):
                break
            time.sleep(0.02)
        time.sleep(1.0)
        assert peak_memory_mb(process) < CONTROL_MEMORY_MB
        for client in written:
            client.close()
