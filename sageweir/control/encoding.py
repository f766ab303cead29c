"""Decodes discovery requests into `Request`; encodes resources and responses. Needs the `control` extra.

A resource is encoded once (`Resource.packed`) and a response body once for all streams that get the same one. Only
the nonce differs; as protobuf fields may come in any order, it is appended to the shared bytes.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2  # noqa: F401  (registers the type)
from envoy.extensions.filters.network.http_connection_manager.v3 import (  # noqa: F401
    http_connection_manager_pb2,
)
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2, duration_pb2, json_format
from google.protobuf.message import DecodeError

from sageweir.control.snapshot import CLUSTER, ENDPOINT, LISTENER, PREFIX, ROUTE, Resource
from sageweir.control.subscriptions import Request, Response, StreamError

MESSAGES: Mapping[str, Any] = {
    LISTENER: listener_pb2.Listener,
    ROUTE: route_pb2.RouteConfiguration,
    CLUSTER: cluster_pb2.Cluster,
    ENDPOINT: endpoint_pb2.ClusterLoadAssignment,
}
WRAPPER = PREFIX + "envoy.service.discovery.v3.Resource"
SOTW_WRAPPER_FEATURE, TTL_FEATURE = "xds.config.supports-resource-in-sotw", "xds.config.supports-resource-ttl"


def encode(type_url: str, body: Mapping[str, Any]) -> bytes:
    """Serialize a resource from its proto3 JSON form. Raises google.protobuf.json_format.ParseError."""
    if type_url == ENDPOINT:
        return _encode_endpoints(body)
    message = json_format.ParseDict(body, MESSAGES[type_url]())
    return bytes(message.SerializeToString(deterministic=True))


def _encode_endpoints(body: Mapping[str, Any]) -> bytes:
    """Encode endpoints directly: 200 of them take 1.8 ms, 20 ms by json_format. The bytes are the same."""
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=body["cluster_name"])
    for row in body["endpoints"]:
        locality = message.endpoints.add()
        locality.locality.sub_zone = row["locality"]["sub_zone"]
        if "load_balancing_weight" in row:
            locality.load_balancing_weight.value = row["load_balancing_weight"]
        for one in row["lb_endpoints"]:
            target = locality.lb_endpoints.add(health_status=one["health_status"])
            target.endpoint.hostname = one["endpoint"]["hostname"]
            address = one["endpoint"]["address"]["socket_address"]
            target.endpoint.address.socket_address.address = address["address"]
            target.endpoint.address.socket_address.port_value = address["port_value"]
    for drop in body.get("policy", {}).get("drop_overloads", ()):
        part = drop["drop_percentage"]
        message.policy.drop_overloads.add(
            category=drop["category"],
            drop_percentage={"numerator": part["numerator"], "denominator": part["denominator"]},
        )
    return bytes(message.SerializeToString(deterministic=True))


def read_sotw(data: bytes) -> Request:
    """Decode a DiscoveryRequest. Raises StreamError if the data is none."""
    request = discovery_pb2.DiscoveryRequest()
    try:
        request.ParseFromString(data)
    except DecodeError:
        raise StreamError("not a DiscoveryRequest") from None
    return Request(
        request.type_url,
        request.node.id,
        frozenset(request.node.client_features),
        request.response_nonce,
        request.version_info,
        _error(request),
        names=tuple(request.resource_names),
    )


def read_delta(data: bytes) -> Request:
    """Decode a DeltaDiscoveryRequest. Raises StreamError if the data is none."""
    request = discovery_pb2.DeltaDiscoveryRequest()
    try:
        request.ParseFromString(data)
    except DecodeError:
        raise StreamError("not a DeltaDiscoveryRequest") from None
    return Request(
        request.type_url,
        request.node.id,
        frozenset(request.node.client_features),
        request.response_nonce,
        "",
        _error(request),
        subscribe=tuple(request.resource_names_subscribe),
        unsubscribe=tuple(request.resource_names_unsubscribe),
        held=dict(request.initial_resource_versions),
    )


def _error(request: Any) -> str | None:
    return str(request.error_detail.message)[:200] if request.HasField("error_detail") else None


def _duration(ms: float) -> Any:
    return duration_pb2.Duration(seconds=int(ms // 1000), nanos=int(ms % 1000 * 1_000_000))


class Encoder:
    """Encodes responses; caches a bounded number of bodies, shared by all streams."""

    def __init__(self, max_bodies: int) -> None:
        self._bodies: OrderedDict[tuple[object, ...], bytes] = OrderedDict()
        self._max_bodies = max_bodies
        self.bodies_encoded = 0  # cache misses, for the log line of figures

    def response(self, response: Response, delta: bool, lease_ms: float) -> bytes:
        """Serialize a response. lease_ms: TTL of each resource; 0 for none."""
        key = (
            delta,
            lease_ms,
            response.heartbeat,
            response.type_url,
            response.version,
            response.removed,
            tuple((r.name, r.version) for r in response.resources),
        )
        body = self._bodies.get(key)
        if body is None:
            make = self._delta if delta else self._sotw
            body = self._bodies[key] = make(response, lease_ms)
            self.bodies_encoded += 1
            if len(self._bodies) > self._max_bodies:
                self._bodies.popitem(last=False)
        else:
            self._bodies.move_to_end(key)
        nonce = response.nonce.encode()
        # The nonce is field 5 of both response types; 0x2a is its tag (length-delimited).
        return body + b"\x2a" + bytes((len(nonce),)) + nonce

    def _sotw(self, response: Response, lease_ms: float) -> bytes:
        message = discovery_pb2.DiscoveryResponse(version_info=response.version, type_url=response.type_url)
        for resource in response.resources:
            if lease_ms or response.heartbeat:
                wrapped = self._wrapped(resource, response.heartbeat, lease_ms).SerializeToString()
                message.resources.add(type_url=WRAPPER, value=wrapped)
            else:
                message.resources.add(type_url=resource.type_url, value=resource.packed)
        return bytes(message.SerializeToString())

    def _delta(self, response: Response, lease_ms: float) -> bytes:
        message = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=response.version, type_url=response.type_url, removed_resources=response.removed
        )
        for resource in response.resources:
            message.resources.append(self._wrapped(resource, response.heartbeat, lease_ms))
        return bytes(message.SerializeToString())

    @staticmethod
    def _wrapped(resource: Resource, heartbeat: bool, lease_ms: float) -> Any:
        wrapped = discovery_pb2.Resource(name=resource.name, version=resource.version)
        if lease_ms:
            wrapped.ttl.CopyFrom(_duration(lease_ms))
        if not heartbeat:
            wrapped.resource.CopyFrom(any_pb2.Any(type_url=resource.type_url, value=resource.packed))
        return wrapped
