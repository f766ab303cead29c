"""Computes the time to live (lease) of resources on a stream and the interval of its heartbeats. No I/O.

An xDS resource can carry a TTL; a heartbeat (name and version of the resource without its body) renews it. The lease
bounds the effect of a stalled stream, over which no update can reach the proxy. For draining servers to get no new
set-ups from such a proxy, the lease must expire within the drain's grace period. Each heartbeat costs work, so the
lease grows with the number of streams; above that period, the drain rule holds only on streams that do not stall.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from sageweir.control.snapshot import Resource, Snapshot


@dataclass(frozen=True, slots=True)
class LeasePolicy:
    """lease_ms: shortest TTL in ms, 0 for none; heartbeats_per_s: of the whole service;
    heartbeats_per_lease: more than one, so that a late heartbeat does not let the lease expire."""

    lease_ms: float = 200.0
    heartbeats_per_s: float = 3200.0
    heartbeats_per_lease: int = 3

    def lease(self, streams: int) -> float:
        """TTL in ms for this number of leased streams; in multiples of `lease_ms`, to change it rarely."""
        if self.lease_ms <= 0:
            return 0.0
        needed = streams * self.heartbeats_per_lease * 1000 / self.heartbeats_per_s
        return self.lease_ms * max(1, ceil(needed / self.lease_ms - 1e-9))

    def heartbeat_interval(self, streams: int) -> float:
        """Interval between heartbeats of one stream in ms; 0 without leases."""
        return self.lease(streams) / self.heartbeats_per_lease


def may_renew(held: Resource, snapshot: Snapshot) -> bool:
    """Whether the lease of a version that a proxy holds may be renewed.

    It may not if the resource was removed, or if the version offers a server that accepts no new set-ups: a proxy
    that rejected or has not acknowledged the update then loses all endpoints of that cluster when the lease expires.
    """
    return held.name in snapshot.of(held.type_url) and held.offers.isdisjoint(snapshot.stopped)
