"""The aggregated discovery service over gRPC: passes requests to the stream's state and sends due responses."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import grpc

from sageweir.control.encoding import SOTW_WRAPPER_FEATURE, TTL_FEATURE, Encoder, read_delta, read_sotw
from sageweir.control.service import ControlService
from sageweir.control.snapshot import ENDPOINT
from sageweir.control.subscriptions import DeltaStream, Request, SotwStream, Stream, StreamError

log = logging.getLogger("sageweir.xds")

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
OPTIONS = (
    ("grpc.http2.bdp_probe", 0),
    ("grpc.so_reuseport", 1),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.http2.max_pings_without_data", 0),
)


class Session:
    """One gRPC stream: a reader and a writer that share the stream's state."""

    def __init__(self, front: GrpcFront, context: Any, stream: Stream, delta: bool) -> None:
        self.front, self.context, self.stream, self.delta = front, context, stream, delta
        self.peer = str(context.peer())
        self.wakeup = asyncio.Event()
        self.heartbeat_due = False
        self.writing_since: float | None = None
        self.end_status: asyncio.Future[tuple[grpc.StatusCode, str]] = asyncio.get_running_loop().create_future()
        self.node = ""

    @property
    def leased(self) -> bool:
        """Whether leases are enabled and the proxy announced that it supports TTLs on this kind of stream."""
        features = self.stream.features
        return (
            self.front.service.lease.lease_ms > 0
            and TTL_FEATURE in features
            and (self.delta or SOTW_WRAPPER_FEATURE in features)
        )

    def close(self, code: grpc.StatusCode, text: str) -> None:
        """Close the stream with a status."""
        if not self.end_status.done():
            self.end_status.set_result((code, text))

    async def run(self) -> None:
        """Serve until the proxy or the service closes the stream."""
        reader = asyncio.ensure_future(self._read())
        writer = asyncio.ensure_future(self._write())
        try:
            waited: set[asyncio.Future[Any]] = {reader, writer, self.end_status}
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            log.warning(
                "%s (%s): stream broke off, or a request was over %d bytes",
                self.peer,
                self.node or "no node",
                self.front.request_bytes,
            )
            raise
        finally:
            reader.cancel()
            writer.cancel()
            await asyncio.gather(reader, writer, return_exceptions=True)
        if self.end_status.done():
            code, text = self.end_status.result()
            level = logging.INFO if code is grpc.StatusCode.UNAVAILABLE else logging.WARNING
            log.log(level, "%s (%s): stream closed: %s: %s", self.peer, self.node or "no node", code.name, text)
            await self.context.abort(code, text)

    async def _read(self) -> None:
        front, limits = self.front, self.front.service.limits
        try:
            data = await asyncio.wait_for(self.context.read(), limits.xds_first_ms / 1000)
        except TimeoutError:
            return self.close(grpc.StatusCode.DEADLINE_EXCEEDED, "no request was received in time")
        while data is not grpc.aio.EOF:
            try:
                if len(data) > limits.xds_request_bytes:
                    raise StreamError(
                        f"a request of {len(data)} bytes, at most {limits.xds_request_bytes} are allowed", True
                    )
                self._on_request(read_delta(data) if self.delta else read_sotw(data))
            except StreamError as error:
                code = grpc.StatusCode.RESOURCE_EXHAUSTED if error.exhausted else grpc.StatusCode.INVALID_ARGUMENT
                return self.close(code, str(error))
            data = await self.context.read()
        front.ended_by_proxy += 1

    def _on_request(self, request: Request) -> None:
        service = self.front.service
        refused = self.stream.on_request(request, service.present)
        if not self.node:
            self.node = self.stream.node
            if not self.front.register_node(self):
                raise StreamError(f"{self.node} has too many streams", True)
        if refused is not None:
            self.front.refusals += 1
            log.warning(
                "%s: refused %s of %s (%s), keeps its last accepted version: %s",
                refused.node,
                refused.version,
                refused.type_url.rpartition(".")[2],
                ", ".join(refused.names[:5]),
                refused.text,
            )
        self.wakeup.set()

    async def _write(self) -> None:
        service, stream, front = self.front.service, self.stream, self.front
        while True:
            now = service.clock.now()
            # Prevents versions from going back: a proxy that reconnects from another instance waits until this one
            # has caught up, and keeps what it holds until its lease expires.
            may_serve = service.may_serve(stream.resumed_version)
            response = stream.next_response(service.present, now) if service.ready and may_serve else None
            if response is None and self.heartbeat_due and may_serve:
                response = stream.heartbeat(ENDPOINT, service.present)
            self.heartbeat_due = self.heartbeat_due and response is not None and not response.heartbeat
            if response is None:
                self.wakeup.clear()
                ends = stream.hold_deadline()
                wait = None if ends is None or ends <= now else (ends - now) / 1000
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.wakeup.wait(), wait) if wait else await self.wakeup.wait()
                continue
            lease = front.lease_ms if self.leased and response.type_url == ENDPOINT else 0.0
            data = front.encoder.response(response, self.delta, lease)
            stream.sent(response, now)
            self.writing_since = now
            await self.context.write(data)
            self.writing_since = None
            front.bytes_sent += len(data)
            front.responses += 1

    def check_stall(self, now: float) -> None:
        """Close the stream if a write blocks or a response stays unacknowledged for too long."""
        limits = self.front.service.limits
        if self.writing_since is not None and now - self.writing_since >= limits.xds_stall_ms:
            return self.close(grpc.StatusCode.RESOURCE_EXHAUSTED, "the proxy does not read the stream")
        since = self.stream.unacked_since()
        if since is not None and now - since >= limits.xds_stall_ms:
            self.close(grpc.StatusCode.DEADLINE_EXCEEDED, "a response was not acknowledged in time")


class GrpcFront:
    """The gRPC server of the aggregated discovery service, with its streams."""

    def __init__(self, service: ControlService) -> None:
        self.service, self.encoder = service, Encoder(service.limits.xds_bodies)
        self.sessions: set[Session] = set()
        self.nodes: Counter[str] = Counter()
        self.lease_ms = service.lease.lease(0)
        # gRPC rejects larger messages without notifying this code; smaller ones over xds_request_bytes get a status
        # and a log line. Not much larger, as gRPC holds a message that is not whole for each stream.
        self.request_bytes = service.limits.xds_request_bytes * 9 // 8
        self.bytes_sent = self.responses = self.refusals = self.ended_by_proxy = 0
        self._ids = itertools.count(1)
        self._server: Any = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, address: str) -> int:
        """Listen; returns the port. Raises RuntimeError if the address can't be bound."""
        self._server = grpc.aio.server(options=(*OPTIONS, ("grpc.max_receive_message_length", self.request_bytes)))
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    SERVICE,
                    {
                        "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(
                            self._handler(SotwStream, False)
                        ),
                        "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(
                            self._handler(DeltaStream, True)
                        ),
                    },
                ),
            )
        )
        port = self._server.add_insecure_port(address)
        if not port:
            raise RuntimeError(f"can't listen at {address}")
        await self._server.start()
        self.service.listeners.add(self._wake)
        self._tasks = [asyncio.ensure_future(self._send_heartbeats()), asyncio.ensure_future(self._check_stalls())]
        return int(port)

    async def stop(self) -> None:
        """Close all streams; proxies reconnect to another instance, or to this one after a restart."""
        self.service.listeners.discard(self._wake)
        for task in self._tasks:
            task.cancel()
        for session in list(self.sessions):
            session.close(grpc.StatusCode.UNAVAILABLE, "the service is stopping")
        if self._server is not None:
            await self._server.stop(0.5)

    def register_node(self, session: Session) -> bool:
        """Count a stream whose node became known; False if the node has too many streams."""
        self.nodes[session.node] += 1
        return self.nodes[session.node] <= self.service.limits.xds_node_streams

    def _handler(self, kind: Callable[[Any, int], Stream], delta: bool) -> Callable[..., Any]:
        async def handle(_: Any, context: Any) -> None:
            limits = self.service.limits
            silent = (
                sum(1 for s in self.sessions if not s.node) if len(self.sessions) >= limits.xds_silent_streams else 0
            )
            if len(self.sessions) >= limits.xds_streams or silent >= limits.xds_silent_streams:
                log.warning(
                    "%s: stream refused, %d are open, %d of them silent", context.peer(), len(self.sessions), silent
                )
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
            session = Session(self, context, kind(limits, next(self._ids)), delta)
            self.sessions.add(session)
            try:
                await session.run()
            finally:
                self.sessions.discard(session)
                if session.node:
                    self.nodes[session.node] -= 1
                    if not self.nodes[session.node]:
                        del self.nodes[session.node]

        return handle

    def _wake(self) -> None:
        for session in self.sessions:
            session.wakeup.set()

    async def _send_heartbeats(self) -> None:
        """Send heartbeats to leased streams, spread over the heartbeat interval."""
        slice_count = 4
        current_slice = 0
        due = time.monotonic()
        while True:
            policy = self.service.lease
            leased = [s for s in self.sessions if s.leased]
            self.lease_ms = policy.lease(len(leased))
            interval_ms = policy.heartbeat_interval(len(leased)) or 1000.0
            due = max(due + interval_ms / slice_count / 1000, time.monotonic() - interval_ms / 1000)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            current_slice = (current_slice + 1) % slice_count
            for session in leased:
                if session.stream.id % slice_count == current_slice:
                    session.heartbeat_due = True
                    session.wakeup.set()

    async def _check_stalls(self) -> None:
        while True:
            await asyncio.sleep(self.service.limits.xds_look_ms / 1000)
            now = self.service.clock.now()
            for session in list(self.sessions):
                session.check_stall(now)
