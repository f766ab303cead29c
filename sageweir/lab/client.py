"""The state of a stand-in proxy: follows xDS as the protocol says, and routes by what it holds. Pure.

Used by the stand-in proxies of the laboratory and by the tests. It is written from the protocol alone and shares
no code with the service's own books.
"""

from __future__ import annotations

import random
from bisect import bisect
from dataclasses import dataclass, field
from functools import lru_cache
from itertools import accumulate
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2  # noqa: F401
from envoy.extensions.filters.network.http_connection_manager.v3 import (  # noqa: F401
    http_connection_manager_pb2,
)
from envoy.service.discovery.v3 import discovery_pb2

TYPE = "type.googleapis.com/envoy.config."
LISTENER, ROUTE = TYPE + "listener.v3.Listener", TYPE + "route.v3.RouteConfiguration"
CLUSTER, ENDPOINT = TYPE + "cluster.v3.Cluster", TYPE + "endpoint.v3.ClusterLoadAssignment"
MESSAGES: dict[str, Any] = {
    LISTENER: listener_pb2.Listener,
    ROUTE: route_pb2.RouteConfiguration,
    CLUSTER: cluster_pb2.Cluster,
    ENDPOINT: endpoint_pb2.ClusterLoadAssignment,
}
WRAPPER = "type.googleapis.com/envoy.service.discovery.v3.Resource"
FEATURES = ("xds.config.supports-resource-ttl", "xds.config.supports-resource-in-sotw")


@dataclass(slots=True)
class Held:
    """A resource that the proxy holds; lapses_ms: when its lease is over, Unix ms."""

    version: str
    message: Any
    lapses_ms: float = float("inf")
    table: tuple[list[tuple[str, int]], list[int], float] | None = None


@dataclass(slots=True)
class XdsClient:
    """One proxy: what it asks, what it holds, and where it sends a set-up."""

    node: str
    delta: bool = False
    leases: bool = True
    refuses: set[str] = field(default_factory=set)  # names of resources that it NACKs
    held: dict[str, dict[str, Held]] = field(default_factory=dict)
    versions: dict[str, str] = field(default_factory=dict)
    names: dict[str, list[str]] = field(default_factory=dict)
    nonces: dict[str, str] = field(default_factory=dict)  # of the last response of each type on this stream
    lapsed: int = 0

    def start(self) -> list[Any]:
        """The first requests on a new stream, which presents what is held from before."""
        self.nonces = {}
        self.names = {CLUSTER: [], LISTENER: [], ENDPOINT: sorted(self.held.get(CLUSTER, {}))}
        asked = [self._request(CLUSTER, first=True), self._request(LISTENER)]
        if self.names[ENDPOINT]:
            asked.insert(1, self._request(ENDPOINT, subscribe=self.names[ENDPOINT]))
        if routes := (["clearing-servers"] if self.held.get(LISTENER) else []):
            self.names[ROUTE] = routes
            asked.append(self._request(ROUTE, subscribe=routes))
        return asked

    def _request(
        self, type_url: str, nonce: str = "", error: str = "", first: bool = False, subscribe: list[str] | None = None
    ) -> Any:
        kind = discovery_pb2.DeltaDiscoveryRequest if self.delta else discovery_pb2.DiscoveryRequest
        request = kind(type_url=type_url, response_nonce=nonce)
        if not self.delta:  # each request tells all names, so it must say what it has seen
            request.response_nonce = self.nonces.get(type_url, "")
        if first:
            request.node.id = self.node
            if self.leases:
                request.node.client_features.extend(FEATURES)
        if error:
            request.error_detail.code, request.error_detail.message = 3, error
        if self.delta:
            request.resource_names_subscribe.extend(subscribe or [])
            if not nonce and (first or subscribe or type_url == LISTENER):
                for name, held in self.held.get(type_url, {}).items():
                    request.initial_resource_versions[name] = held.version
        else:
            request.resource_names.extend(self.names.get(type_url, []))
            request.version_info = self.versions.get(type_url, "")
        return request

    def take(self, data: bytes, now_ms: float) -> tuple[list[Any], bool]:
        """Take a response: the requests to send (its ACK or NACK first), and whether anything but a lease changed."""
        kind = discovery_pb2.DeltaDiscoveryResponse if self.delta else discovery_pb2.DiscoveryResponse
        response = kind.FromString(data)
        type_url, held = response.type_url, self.held.setdefault(response.type_url, {})
        self.nonces[type_url] = response.nonce
        found, beats = self._open(response, now_ms)
        for name, lapses in beats.items():
            if name in held:
                held[name].lapses_ms = lapses
        bad = sorted(self.refuses & found.keys())
        if bad:
            return [self._request(type_url, response.nonce, f"can't use {bad[0]}")], False
        changed = bool(found)
        if self.delta:
            changed = changed or bool(response.removed_resources)
            for name in response.removed_resources:
                held.pop(name, None)
        elif type_url in (LISTENER, CLUSTER) and not beats:
            changed = changed or bool(held)
            for name in [n for n in held if n not in found]:
                del held[name]
        held.update(found)
        if not self.delta:
            self.versions[type_url] = response.version_info
        asked = [self._request(type_url, response.nonce)]
        if type_url == CLUSTER:
            asked += self._follow(ENDPOINT, sorted(held))
        elif type_url == LISTENER:
            asked += self._follow(ROUTE, ["clearing-servers"] if held else [])
        return asked, changed

    def _open(self, response: Any, now_ms: float) -> tuple[dict[str, Held], dict[str, float]]:
        found: dict[str, Held] = {}
        beats: dict[str, float] = {}
        for item in response.resources:
            wrapped = item if self.delta else None
            if not self.delta and item.type_url == WRAPPER:
                wrapped = discovery_pb2.Resource.FromString(item.value)
            lapses = float("inf")
            if wrapped is not None and wrapped.HasField("ttl"):
                lapses = now_ms + wrapped.ttl.seconds * 1000 + wrapped.ttl.nanos / 1e6
            if wrapped is not None and not wrapped.HasField("resource"):
                beats[wrapped.name] = lapses
                continue
            body = wrapped.resource if wrapped is not None else item
            message = _decode(response.type_url, body.value)
            name = message.cluster_name if response.type_url == ENDPOINT else message.name
            version = wrapped.version if wrapped is not None else response.version_info
            found[name] = Held(version, message, lapses)
        return found, beats

    def _follow(self, type_url: str, names: list[str]) -> list[Any]:
        old = self.names.get(type_url, [])
        if names == old:
            return []
        self.names[type_url] = names
        for name in set(old) - set(names):
            self.held.get(type_url, {}).pop(name, None)
        new = [name for name in names if name not in old]
        if self.delta and not new:
            return []
        return [self._request(type_url, subscribe=new)]

    def lapse(self, now_ms: float) -> None:
        """Drop what no heartbeat has renewed."""
        for held in self.held.values():
            for name in [n for n, one in held.items() if one.lapses_ms <= now_ms]:
                del held[name]
                self.lapsed += 1

    def route(self, service_class: str, draw: random.Random, now_ms: float) -> tuple[str, int] | None:
        """Address for a set-up of this class; None where it is dropped, or nothing can be sent."""
        routes = self.held.get(ROUTE, {})
        if not routes or not self.held.get(LISTENER):
            return None
        cluster = next(
            (
                r.route.cluster
                for host in next(iter(routes.values())).message.virtual_hosts
                for r in host.routes
                if not r.match.headers or r.match.headers[0].string_match.exact == service_class
            ),
            "",
        )
        held = self.held.get(ENDPOINT, {}).get(cluster)
        if held is None or cluster not in self.held.get(CLUSTER, {}) or held.lapses_ms <= now_ms:
            return None
        if held.table is None:
            held.table = _table(held.message)
        addresses, sums, drop = held.table
        if not addresses or (drop and draw.random() < drop):
            return None
        return addresses[bisect(sums, draw.random() * sums[-1])]


@lru_cache(maxsize=64)
def _decode(type_url: str, data: bytes) -> Any:
    """A resource, decoded once for all proxies of this process: on machines of their own they would not share
    one processor. Nobody changes it."""
    return MESSAGES[type_url].FromString(data)


def _table(assignment: Any) -> tuple[list[tuple[str, int]], list[int], float]:
    """Addresses with their running sums of weights, and the part to drop."""
    addresses, weights = [], []
    for locality in assignment.endpoints:
        weight = locality.load_balancing_weight.value
        for one in locality.lb_endpoints:
            if weight and one.health_status in (0, 1):
                where = one.endpoint.address.socket_address
                addresses.append((where.address, where.port_value))
                weights.append(weight)
    keep = 1.0
    for drop in assignment.policy.drop_overloads:
        parts = (100, 10_000, 1_000_000)[drop.drop_percentage.denominator]
        keep *= 1 - drop.drop_percentage.numerator / parts
    return addresses, list(accumulate(weights)), 1 - keep
