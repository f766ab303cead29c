"""Endpoint discovery for proxies: xDS v3 over REST and JSON, so that they follow this controller's decisions.

A proxy posts a DiscoveryRequest to /v3/discovery:endpoints and gets the clearing servers as one
ClusterLoadAssignment: their health as the decision module sees it, and weights by how warm they are.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any, cast

import orjson

from dahliabridge import interface as api
from sageweir.config import Address
from sageweir.limits import Limits
from sageweir.net.http import Head, HeadReader, HttpError

log = logging.getLogger("sageweir.xds")

PATH = "/v3/discovery:endpoints"
TYPE_URL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
CLUSTER = "clearing-servers"
WORDS = {200: "OK", 304: "Not Modified", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
         411: "Length Required", 413: "Content Too Large"}

Outlook = Iterable[tuple[api.Server, Address, bool, float]]  # server, address, takes set-ups now, warmth


def assignment(outlook: Outlook) -> dict[str, Any]:
    """The resource: one endpoint for each clearing server, in the order of their names."""
    endpoints = []
    for entry, address, takes, warmth in sorted(outlook, key=lambda row: row[0].name):
        in_service = entry.state is api.ServerState.IN_SERVICE
        health = ("HEALTHY" if takes else "UNHEALTHY") if in_service else "DRAINING"
        endpoints.append({
            "endpoint": {"address": {"socket_address": {"address": address.host, "port_value": address.port}},
                         "hostname": entry.name},
            "health_status": health, "load_balancing_weight": max(1, round(100 * warmth))})
    return {"@type": TYPE_URL, "cluster_name": CLUSTER, "endpoints": [{"lb_endpoints": endpoints}]}


class Discovery:
    """Answers discovery requests; the version changes when, and only when, the resource does."""

    def __init__(self, outlook: Callable[[], Outlook]) -> None:
        self._outlook, self._version, self._nonce = outlook, 0, 0
        self._resource: dict[str, Any] | None = None
        self.connections = 0

    def answer(self, body: bytes) -> tuple[int, bytes]:
        """Status and body for a DiscoveryRequest; 304 where the proxy holds this version."""
        try:
            request = orjson.loads(body)
        except orjson.JSONDecodeError:
            return 400, b"not JSON"
        if not isinstance(request, dict):
            return 400, b"not an object"
        names, wanted = request.get("resource_names", []), request.get("type_url", TYPE_URL)
        if wanted != TYPE_URL or not isinstance(names, list):
            return 400, b"only endpoints are served: type_url, resource_names"
        if request.get("error_detail"):  # the proxy refused what it got, and keeps the version before
            log.warning("a proxy refused nonce %r: %.200s", request.get("response_nonce"),
                        request["error_detail"])
        resource = assignment(self._outlook())
        if resource != self._resource:
            self._resource, self._version = resource, self._version + 1
        if request.get("version_info") == str(self._version) and not request.get("error_detail"):
            return 304, b""
        self._nonce += 1
        resources = [resource] if not names or CLUSTER in names else []
        return 200, orjson.dumps({"version_info": str(self._version), "resources": resources,
                                  "type_url": TYPE_URL, "nonce": str(self._nonce)})


class DiscoveryConnection(asyncio.BufferedProtocol):
    """One proxy's connection, kept open from request to request."""

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
            log.warning("a proxy's connection is closed, %d are open", self._limits.proxy_connections)
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._discovery.connections -= 1

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(self._view[:nbytes])
        try:
            while self._take(data):
                data = b""
        except HttpError as error:
            self._say(400, str(error).encode(), close=True)

    def eof_received(self) -> bool:
        return False

    def _take(self, data: bytes) -> bool:
        """Answer one request where it is whole."""
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
        if target.partition("?")[0] != PATH or method != "POST" or not length.isdecimal():
            status = 404 if target.partition("?")[0] != PATH else 405 if method != "POST" else 411
            self._say(status, b"", close=True)
            return False
        if int(length) > self._limits.message_bytes:
            self._say(413, b"", close=True)
            return False
        if len(self._body) < int(length):
            return False
        body, rest = bytes(self._body[:int(length)]), bytes(self._body[int(length):])
        close = "close" in self._head.tokens("connection")
        self._reader, self._head = HeadReader(self._limits.head_bytes), None
        self._reader.rest += rest
        self._say(*self._discovery.answer(body), close=close)
        return bool(rest) and not close

    def _say(self, status: int, body: bytes, close: bool) -> None:
        if self._transport is None:
            return
        kind = "application/json" if status == 200 else "text/plain"
        self._transport.write((f"HTTP/1.1 {status} {WORDS[status]}\r\nContent-Type: {kind}\r\n"
                               f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        if close or self._transport.get_write_buffer_size() > self._limits.write_bytes:
            self._transport.close()
