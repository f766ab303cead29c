"""Versioned snapshots of all resources; an unchanged resource keeps its version. No I/O.

Versions are 'EPOCH.NUMBER'. Each start of the service uses a new epoch, so a restarted service never reuses a version
for other content, and recognises versions that it did not issue.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

PREFIX = "type.googleapis.com/"
LISTENER = PREFIX + "envoy.config.listener.v3.Listener"
ROUTE = PREFIX + "envoy.config.route.v3.RouteConfiguration"
CLUSTER = PREFIX + "envoy.config.cluster.v3.Cluster"
ENDPOINT = PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
# Order of updates for make before break: referenced resources come before the ones that reference them.
ORDER = (CLUSTER, ENDPOINT, LISTENER, ROUTE)
FULL_STATE = frozenset({LISTENER, CLUSTER})  # a state-of-the-world response lists all resources of these types

Key = tuple[str, str]  # type URL and name
Encoder = Callable[[str, Mapping[str, Any]], bytes]


@dataclass(frozen=True, slots=True)
class Body:
    """Content of a resource, without a version: its proto3 JSON form and its relations to other resources."""

    json: Mapping[str, Any]
    depends_on: frozenset[Key] = frozenset()  # must be acknowledged by a proxy before it is sent this one
    references: frozenset[Key] = frozenset()  # may not be removed from a proxy that holds this one
    offers: frozenset[str] = frozenset()  # servers that get new set-ups through it
    on_demand: bool = False  # excluded from wildcard subscriptions


@dataclass(eq=False, slots=True)
class Resource:
    """One version of one resource. Shared by all streams and compared by identity."""

    type_url: str
    name: str
    version: str
    body: Body
    encode: Encoder | None = None
    _packed: bytes | None = field(default=None, repr=False)

    @property
    def offers(self) -> frozenset[str]:
        return self.body.offers

    @property
    def packed(self) -> bytes:
        """The serialized message, encoded once for all streams. Raises TypeError without an encoder."""
        if self._packed is None:
            if self.encode is None:
                raise TypeError("no encoder")
            self._packed = self.encode(self.type_url, self.body.json)
        return self._packed


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources by type and name, the version of each type, and the servers that accept no new set-ups."""

    epoch: str
    number: int
    types: Mapping[str, Mapping[str, Resource]]
    versions: Mapping[str, str]
    stopped: frozenset[str] = frozenset()

    def of(self, type_url: str) -> Mapping[str, Resource]:
        return self.types.get(type_url, {})

    def wildcard(self, type_url: str) -> Iterable[str]:
        """The names that a wildcard subscription covers."""
        return (name for name, r in self.of(type_url).items() if not r.body.on_demand)


class SnapshotStore:
    """Holds the current snapshot and assigns versions to changed resources."""

    def __init__(self, epoch: str, encode: Encoder | None = None) -> None:
        """epoch: new with each start of the service; letters and digits."""
        self.encode, self._epoch, self._number = encode, epoch, 0
        self.present = Snapshot(epoch, 0, {}, {})

    def start_epoch(self, epoch: str) -> None:
        """Number the updates that follow in a new epoch, from 1; `present` stays as it is until the next one."""
        self._epoch, self._number = epoch, 0

    def update(self, bodies: Mapping[Key, Body], stopped: frozenset[str], always: bool = False) -> bool:
        """Replace all resources; returns whether any was added, changed or removed. always: count it as changed."""
        old, epoch = self.present, self._epoch
        types: dict[str, dict[str, Resource]] = {t: {} for t in ORDER}
        versions = dict(old.versions)
        number = self._number + 1
        changed = always
        for (type_url, name), body in bodies.items():
            before = old.of(type_url).get(name)
            if before is not None and before.body == body:
                types[type_url][name] = before
                continue
            types[type_url][name] = Resource(type_url, name, f"{epoch}.{number}", body, self.encode)
            versions[type_url], changed = f"{epoch}.{number}", True
        for type_url in ORDER:
            if old.of(type_url).keys() - types[type_url].keys():
                versions[type_url], changed = f"{epoch}.{number}", True
            versions.setdefault(type_url, f"{epoch}.0")
        if changed or stopped != old.stopped:
            self._number = number if changed else self._number
            self.present = Snapshot(epoch, self._number, types, versions, stopped)
        return changed
