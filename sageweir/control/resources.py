"""Converts a plan to xDS v3 resources in proto3 JSON form: listeners, a route, clusters and endpoints by class. No I/O.

Names: the listener `clearing-servers` (an api_listener for proxyless gRPC clients; sent only if requested by name)
and `clearing-servers-tcp` (for proxies); the route `clearing-servers`; cluster and endpoints
`clearing-servers/CLASS`.
"""

from __future__ import annotations

from typing import Any

from dahliabridge import interface as api
from sageweir.config import Address
from sageweir.control.shares import DROP_CATEGORY, ClassPlan, Health, Plan, cheapest_class
from sageweir.control.snapshot import CLUSTER, ENDPOINT, LISTENER, PREFIX, ROUTE, Body, Key

NAME = "clearing-servers"
TCP_NAME = "clearing-servers-tcp"
CLASS_HEADER = "x-service-class"
ADS = {"ads": {}, "resource_api_version": "V3"}
HTTP_MANAGER = PREFIX + "envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager"
ROUTER = PREFIX + "envoy.extensions.filters.http.router.v3.Router"


def cluster_name(service_class: str) -> str:
    return f"{NAME}/{service_class}"


def bodies(plan: Plan, settings: api.Settings, listen: Address | None = None) -> dict[Key, Body]:
    """All resources of a plan; listen: address at which proxies accept set-ups, None for no TCP listener."""
    found: dict[Key, Body] = {}
    for one in plan.classes:
        name = cluster_name(one.service_class)
        found[CLUSTER, name] = Body(_cluster(name), references=frozenset({(ENDPOINT, name)}))
        found[ENDPOINT, name] = Body(
            _endpoints(name, one), offers=frozenset(o.name for o in one.offers if o.health is Health.HEALTHY)
        )
    found[ROUTE, NAME] = _route(plan, settings)
    references = frozenset({(ROUTE, NAME)})
    found[LISTENER, NAME] = Body(
        {"name": NAME, "api_listener": {"api_listener": _manager()}}, references=references, on_demand=True
    )
    if listen is not None:
        found[LISTENER, TCP_NAME] = Body(
            {
                "name": TCP_NAME,
                "address": _address(listen),
                "filter_chains": [{"filters": [{"name": "http", "typed_config": _manager()}]}],
            },
            references=references,
        )
    return found


def _address(address: Address) -> dict[str, Any]:
    return {"socket_address": {"address": address.host, "port_value": address.port}}


def _manager() -> dict[str, Any]:
    return {
        "@type": HTTP_MANAGER,
        "stat_prefix": NAME,
        "rds": {"config_source": ADS, "route_config_name": NAME},
        "http_filters": [{"name": "router", "typed_config": {"@type": ROUTER}}],
    }


def _route(plan: Plan, settings: api.Settings) -> Body:
    """Route by the class in the header; requests without a known class are routed as the class of least worth.

    There is no retry policy: a proxy can't observe the release guard after an attempt in doubt, so it makes only one
    attempt.
    """
    classes = {spec.name: spec for spec in settings.classes}
    names = [one.service_class for one in plan.classes]
    rest = cheapest_class(settings)
    routes = [
        {
            "match": {"prefix": "", "headers": [{"name": CLASS_HEADER, "string_match": {"exact": name}}]},
            "route": _action(classes[name]),
        }
        for name in names
        if name != rest
    ]
    routes.append({"match": {"prefix": ""}, "route": _action(classes[rest])})
    keys = {(kind, cluster_name(name)) for name in names for kind in (CLUSTER, ENDPOINT)}
    return Body(
        {"name": NAME, "virtual_hosts": [{"name": NAME, "domains": ["*"], "routes": routes}]},
        depends_on=frozenset(keys),
        references=frozenset(key for key in keys if key[0] == CLUSTER),
    )


def _action(spec: api.ServiceClass) -> dict[str, Any]:
    return {"cluster": cluster_name(spec.name), "timeout": f"{spec.deadline_ms / 1000:g}s"}


def _cluster(name: str) -> dict[str, Any]:
    """Shares are expressed as weights of localities with one server each, which Envoy and gRPC clients both support.

    The panic threshold is disabled: otherwise a proxy would send to all servers, including draining ones, once half
    of them are unavailable.
    """
    return {
        "name": name,
        "type": "EDS",
        "eds_cluster_config": {"eds_config": ADS},
        "connect_timeout": "0.5s",
        "lb_policy": "ROUND_ROBIN",
        "common_lb_config": {"healthy_panic_threshold": {"value": 0}, "locality_weighted_lb_config": {}},
    }


def _endpoints(name: str, plan: ClassPlan) -> dict[str, Any]:
    localities = []
    for offer in plan.offers:
        health = offer.health.value
        row: dict[str, Any] = {
            "locality": {"sub_zone": offer.name},
            "lb_endpoints": [
                {"health_status": health, "endpoint": {"hostname": offer.name, "address": _address(offer.address)}}
            ],
        }
        if offer.weight > 0:
            row["load_balancing_weight"] = offer.weight
        localities.append(row)
    body: dict[str, Any] = {"cluster_name": name, "endpoints": localities}
    if plan.drop:
        body["policy"] = {
            "drop_overloads": [
                {"category": DROP_CATEGORY, "drop_percentage": {"numerator": plan.drop, "denominator": "MILLION"}}
            ]
        }
    return body
