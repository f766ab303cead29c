"""Polled discovery: xDS v3 over REST and JSON, served from the control service's snapshot.

A proxy posts a DiscoveryRequest to /v3/discovery:endpoints (or listeners, routes, clusters) and gets the same
resources that streams get, 304 if its version is the current one, or 503 while there is none that it may get.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import cast

import orjson

from sageweir.config import Address
from sageweir.control.snapshot import CLUSTER, ENDPOINT, LISTENER, ROUTE, Snapshot
from sageweir.limits import Limits
from sageweir.net.http import Head, HeadReader, HttpError

log = logging.getLogger("sageweir.xds")

PATHS = {
    f"/v3/discovery:{word}": type_url
    for word, type_url in (("listeners", LISTENER), ("routes", ROUTE), ("clusters", CLUSTER), ("endpoints", ENDPOINT))
}
REASONS = {
    200: "OK",
    304: "Not Modified",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    411: "Length Required",
    413: "Content Too Large",
    503: "Service Unavailable",
}


class Discovery:
    """Answers discovery requests from the current snapshot."""

    def __init__(self, present: Callable[[], Snapshot], may_serve: Callable[[str], bool] = lambda held: True) -> None:
        """may_serve: whether a proxy that holds this version may get the current one."""
        self._present, self._may_serve, self._nonce = present, may_serve, 0
        self.connections = 0

    def answer(self, type_url: str, body: bytes) -> tuple[int, bytes]:
        """Status and body for a DiscoveryRequest; 304 if the proxy has the current version."""
        try:
            request = orjson.loads(body)
        except orjson.JSONDecodeError:
            return 400, b"not JSON"
        if not isinstance(request, dict):
            return 400, b"not an object"
        names = request.get("resource_names", [])
        if request.get("type_url", type_url) != type_url or not isinstance(names, list):
            return 400, b"type_url must be the page's, resource_names a list"
        if request.get("error_detail"):  # a NACK: the proxy keeps its previous version
            log.warning("a proxy refused nonce %r: %.200s", request.get("response_nonce"), request["error_detail"])
        held = request.get("version_info", "")
        if not self._may_serve(held if isinstance(held, str) else ""):
            return 503, b"no current list is known yet"
        snapshot = self._present()
        version = snapshot.versions.get(type_url, f"{snapshot.epoch}.0")
        if request.get("version_info") == version and not request.get("error_detail"):
            return 304, b""
        self._nonce += 1
        found = [
            {"@type": type_url, **r.body.json}
            for name, r in snapshot.of(type_url).items()
            if name in names or (not names and not r.body.on_demand)
        ]
        return 200, orjson.dumps(
            {"version_info": version, "resources": found, "type_url": type_url, "nonce": str(self._nonce)}
        )


class DiscoverySide:
    """The listening socket of the proxies."""

    def __init__(self, limits: Limits, discovery: Discovery) -> None:
        self._limits, self._discovery = limits, discovery
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address, inherited: socket.socket | None = None) -> socket.socket:
        """Listen at an address, or at the socket of a predecessor; returns the socket. Raises OSError."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        listener = inherited or socket.create_server((address.host, address.port), family=family)
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: DiscoveryConnection(self._limits, self._discovery), sock=listener
        )
        return listener

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open go on."""
        if self._server is not None:
            self._server.close()


class DiscoveryConnection(asyncio.BufferedProtocol):
    """A persistent HTTP connection of one proxy."""

    def __init__(self, limits: Limits, discovery: Discovery) -> None:
        self._limits, self._discovery = limits, discovery
        self._transport: asyncio.Transport | None = None
        self._view = memoryview(bytearray(16 * 1024))
        self._reader, self._body = HeadReader(limits.head_bytes), bytearray()
        self._head: Head | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._discovery.connections += 1
        if self._discovery.connections > self._limits.proxy_connections:
            log.warning("proxy connection closed: the limit of %d is reached", self._limits.proxy_connections)
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._discovery.connections -= 1

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(self._view[:nbytes])
        try:
            while self._handle_request(data):
                data = b""
        except HttpError as error:
            self._respond(400, str(error).encode(), close=True)

    def eof_received(self) -> bool:
        return False

    def _handle_request(self, data: bytes) -> bool:
        """Answer one request if it is complete; returns whether more data is left to parse."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._head is None:
            self._head = self._reader.feed(data)
            if self._head is None:
                return False
            self._body, data = bytearray(self._reader.rest), b""
        self._body += data
        method, target, _ = self._head.first
        length = self._head.fields.get("content-length", "")
        type_url = PATHS.get(target.partition("?")[0])
        if type_url is None or method != "POST" or not length.isdecimal():
            status = 404 if type_url is None else 405 if method != "POST" else 411
            self._respond(status, b"", close=True)
            return False
        if int(length) > self._limits.message_bytes:
            self._respond(413, b"", close=True)
            return False
        if len(self._body) < int(length):
            return False
        body, rest = bytes(self._body[: int(length)]), bytes(self._body[int(length) :])
        close = "close" in self._head.tokens("connection")
        self._reader, self._head = HeadReader(self._limits.head_bytes), None
        self._reader.rest += rest
        self._respond(*self._discovery.answer(type_url, body), close=close)
        return bool(rest) and not close

    def _respond(self, status: int, body: bytes, close: bool) -> None:
        if self._transport is None:
            return
        kind = "application/json" if status == 200 else "text/plain"
        self._transport.write(
            (
                f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        if close or self._transport.get_write_buffer_size() > self._limits.write_bytes:
            self._transport.close()
