"""State of one discovery stream: subscriptions, sent, acknowledged and rejected resources, due responses. No I/O.

A stream has no queue. `next_response` computes one response from the current snapshot and `sent` records that it was
sent, so a slow reader that catches up gets only the newest snapshot. State-of-the-world and delta streams differ in
how they subscribe (`SotwStream._subscribe`, `DeltaStream._subscribe`) and in the content of a response; they share
the state.

Protocol rules implemented here (xDS protocol page of the published API):

- the first request of a type on a stream starts a new subscription, whatever version and nonce it carries;
- a request refers to a response by its nonce; an outdated or unknown nonce changes no subscription;
- after a NACK (error_detail) the last acknowledged version stays, and the rejected one isn't sent again unchanged;
- make before break: a route is held back until the clusters and endpoints that it references are acknowledged, and
  a cluster is kept while a route that the proxy holds references it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sageweir.control.lease import may_renew
from sageweir.control.line import read_version
from sageweir.control.snapshot import CLUSTER, ENDPOINT, FULL_STATE, ORDER, Key, Resource, Snapshot
from sageweir.limits import Limits

WILDCARD = "*"


class StreamError(ValueError):
    """An invalid request; the stream is closed with this text. `exhausted`: a limit was exceeded."""

    def __init__(self, text: str, exhausted: bool = False) -> None:
        super().__init__(text)
        self.exhausted = exhausted


@dataclass(frozen=True, slots=True)
class Request:
    """One decoded request of either protocol variant."""

    type_url: str
    node: str = ""
    features: frozenset[str] = frozenset()
    nonce: str = ""
    version: str = ""
    error: str | None = None  # text of error_detail in a NACK
    names: tuple[str, ...] = ()  # state of the world: all names
    subscribe: tuple[str, ...] = ()  # delta
    unsubscribe: tuple[str, ...] = ()
    held: Mapping[str, str] = field(default_factory=dict)  # delta's initial_resource_versions


@dataclass(frozen=True, slots=True)
class Response:
    """One response; heartbeat: without bodies, it only renews the leases of the named resources."""

    type_url: str
    version: str
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()
    heartbeat: bool = False


@dataclass(frozen=True, slots=True)
class Rejection:
    """A NACK: the node that sent it, the rejected resources and the reason given."""

    node: str
    type_url: str
    version: str
    names: tuple[str, ...]
    text: str


@dataclass(slots=True)
class _PendingResponse:
    """A response that was not acknowledged yet."""

    version: str
    changed: dict[str, Resource | None]  # None: removed
    sent_ms: float
    heartbeat: bool = False


@dataclass(slots=True)
class _TypeState:
    """State of one resource type on one stream."""

    names: set[str] = field(default_factory=set)
    wildcard: bool = False
    has_named: bool = False  # names were requested before: an empty list no longer means the wildcard
    acked: dict[str, Resource] = field(default_factory=dict)  # last acknowledged version by name
    sent: dict[str, Resource] = field(default_factory=dict)  # last sent version by name, acknowledged or not
    rejected: dict[str, str] = field(default_factory=dict)  # name -> version
    isolated: set[str] = field(default_factory=set)  # rejected together with others: sent again one by one
    unanswered: set[str] = field(default_factory=set)  # must be answered even if unchanged
    unverified: set[str] = field(
        default_factory=set
    )  # held by the proxy since before this stream, in an unknown version
    pending: dict[str, _PendingResponse] = field(default_factory=dict)  # by nonce, oldest first
    last_full_state: dict[str, Resource] | None = None  # for full-state types: content of the last response
    last_nonce: str = ""
    starts_empty: bool = True  # the proxy held nothing of this type before the stream

    def wants(self, name: str, on_demand: bool) -> bool:
        return name in self.names or (self.wildcard and not on_demand)

    def targets(self, present: Mapping[str, Resource]) -> dict[str, Resource]:
        if not self.wildcard:
            return {name: present[name] for name in sorted(self.names) if name in present}
        return {name: r for name, r in present.items() if self.wants(name, r.body.on_demand)}

    def forget(self, name: str) -> None:
        for table in (self.acked, self.sent, self.rejected):
            table.pop(name, None)
        for names in (self.isolated, self.unanswered, self.unverified):
            names.discard(name)


class Stream:
    """State and logic that both protocol variants share."""

    def __init__(self, limits: Limits, stream_id: int) -> None:
        self.limits, self.id = limits, stream_id
        self.node, self.features = "", frozenset[str]()
        self.types: dict[str, _TypeState] = {}
        self._count = 0
        self._hold_started: dict[Key, float] = {}
        self.unknown_nonces = 0
        self.resumed_version: tuple[
            int, ...
        ] = ()  # newest version of the sequence that the proxy held when the stream began

    # Requests

    def on_request(self, request: Request, snapshot: Snapshot) -> Rejection | None:
        """Process a request; returns a rejection for the log. Raises StreamError if the stream must be closed."""
        if not self.node:
            if not request.node:
                raise StreamError("the first request has no node.id")
            if len(request.node) > self.limits.xds_node_chars:
                raise StreamError(
                    f"node.id has {len(request.node)} characters, at most {self.limits.xds_node_chars} are allowed"
                )
            self.node, self.features = request.node, request.features
        if request.type_url not in ORDER:
            raise StreamError(f"unknown type URL {request.type_url[:100]!r}")
        given = (*request.names, *request.subscribe, *request.held)
        if any(len(name) > self.limits.xds_name_chars for name in given):
            raise StreamError(f"a resource name is longer than {self.limits.xds_name_chars} characters", True)
        state = self.types.get(request.type_url)
        first = state is None
        state = state or _TypeState()
        if first:
            self.resumed_version = max(
                self.resumed_version, *map(read_version, (request.version, *request.held.values()))
            )
        rejected = None
        if not first and request.nonce:
            response = state.pending.get(request.nonce)
            if response is None and request.nonce != state.last_nonce:
                self.unknown_nonces += 1
            if response is not None:
                rejected = self._on_ack_or_nack(state, request, response)
        if len(given) + len(request.unsubscribe) > 2 * self.limits.xds_names:
            raise StreamError(f"one request has {len(given)} names", True)
        self._subscribe(state, request, snapshot, first)
        if len(state.names) > self.limits.xds_names:
            raise StreamError(
                f"{len(state.names)} names are subscribed to, at most {self.limits.xds_names} are allowed", True
            )
        self.types[request.type_url] = state
        return rejected

    def _subscribe(self, state: _TypeState, request: Request, snapshot: Snapshot, first: bool) -> None:
        raise NotImplementedError

    def _on_ack_or_nack(self, state: _TypeState, request: Request, response: _PendingResponse) -> Rejection | None:
        """Record an ACK or NACK; as streams are ordered, an ACK covers all earlier responses as well."""
        if request.error is None:
            for nonce in list(state.pending):
                for name, resource in state.pending.pop(nonce).changed.items():
                    # Skips resources that were unsubscribed or removed in the meantime.
                    if resource is not None and name in state.sent:
                        state.acked[name] = resource
                        state.rejected.pop(name, None)
                        state.isolated.discard(name)
                if nonce == request.nonce:
                    break
            return None
        del state.pending[request.nonce]
        changed = {
            n: r
            for n, r in response.changed.items()
            if r is not None
            and state.sent.get(n) is r
            and state.acked.get(n) is not r
            and state.rejected.get(n) != r.version
        }
        for name, resource in changed.items():
            # Prevents one invalid resource from blocking valid ones in the same response: each is sent alone.
            if len(changed) > 1 and state.starts_empty:
                state.isolated.add(name)
                del state.sent[name]
            else:
                state.rejected[name] = resource.version
                state.isolated.discard(name)
        return Rejection(self.node, request.type_url, response.version, tuple(changed), request.error)

    # Responses

    def next_response(self, snapshot: Snapshot, now_ms: float) -> Response | None:
        """The next response, in make-before-break order; None if nothing is due. Call `sent` when it is sent."""
        for type_url in ORDER:
            state = self.types.get(type_url)
            # Bounds the memory used for a proxy that does not read: gRPC buffers a response long before the proxy
            # reads it, so only an ACK or NACK shows that it was received. Heartbeats are not counted.
            if state is None or sum(not f.heartbeat for f in state.pending.values()) >= self.limits.xds_unconfirmed:
                continue
            for name in [n for n in state.rejected if n not in snapshot.of(type_url)]:
                del state.rejected[name]
            response = self._response(type_url, state, snapshot, now_ms)
            if response is not None:
                return response
        return None

    def _response(self, type_url: str, state: _TypeState, snapshot: Snapshot, now_ms: float) -> Response | None:
        raise NotImplementedError

    def _due_resources(
        self, state: _TypeState, targets: Mapping[str, Resource], snapshot: Snapshot, now_ms: float
    ) -> list[Resource]:
        """Resources that changed since they were sent, were not rejected, and whose dependencies are acknowledged."""
        changed_resources = [
            r
            for name, r in targets.items()
            if (state.sent.get(name) is not r or name in state.unanswered)
            and state.rejected.get(name) != r.version
            and self._dependencies_acked(r, snapshot, now_ms)
        ]
        if state.isolated and changed_resources:
            single = next((r for r in changed_resources if r.name in state.isolated), None)
            rest = [r for r in changed_resources if r.name not in state.isolated]
            changed_resources = rest or ([single] if single else [])
        return changed_resources

    def sent(self, response: Response, now_ms: float) -> None:
        """Record that the response is sent now."""
        state = self.types[response.type_url]
        state.last_nonce = response.nonce
        changed: dict[str, Resource | None] = dict.fromkeys(response.removed)
        for resource in response.resources:
            changed[resource.name] = resource
            if not response.heartbeat:
                state.sent[resource.name] = resource
        for name in response.removed:
            state.forget(name)
        if not response.heartbeat:
            state.unanswered.difference_update(changed)
            state.unverified.difference_update(changed)
        state.pending[response.nonce] = _PendingResponse(
            response.version, {} if response.heartbeat else changed, now_ms, response.heartbeat
        )

    def unacked_since(self) -> float | None:
        """When the oldest unacknowledged response was sent, Unix ms."""
        return min((next(iter(b.pending.values())).sent_ms for b in self.types.values() if b.pending), default=None)

    def is_idle(self, snapshot: Snapshot, now_ms: float) -> bool:
        """Whether no response is due and none is unacknowledged."""
        return self.unacked_since() is None and self.next_response(snapshot, now_ms) is None

    def holds(self, type_url: str) -> Mapping[str, Resource]:
        """The resources of a type that the proxy acknowledged."""
        state = self.types.get(type_url)
        return state.acked if state else {}

    def heartbeat(self, type_url: str, snapshot: Snapshot) -> Response | None:
        """A heartbeat for the resources whose lease may be renewed; None if there are none."""
        state = self.types.get(type_url)
        if state is None or len(state.pending) >= self.limits.xds_beats:
            return None
        renewed = tuple(r for r in state.acked.values() if may_renew(r, snapshot))
        if not renewed:
            return None
        return Response(type_url, snapshot.versions[type_url], self._nonce(), renewed, heartbeat=True)

    def _nonce(self) -> str:
        self._count += 1
        return f"{self.id}.{self._count}"

    # Make before break

    def _dependencies_acked(self, resource: Resource, snapshot: Snapshot, now_ms: float) -> bool:
        """Whether the proxy acknowledged the dependencies of this resource that it subscribes to on this stream."""
        key = (resource.type_url, resource.name)
        awaits_endpoints = False
        for kind, name in resource.body.depends_on:
            state = self.types.get(kind)
            if state is None or name in state.acked or name not in snapshot.of(kind):
                continue
            if state.wants(name, snapshot.of(kind)[name].body.on_demand):
                self._hold_started.pop(key, None)
                return False  # unacknowledged or rejected: the proxy keeps its present version
            clusters = self.types.get(CLUSTER)
            awaits_endpoints = awaits_endpoints or (kind == ENDPOINT and clusters is not None and clusters.wildcard)
        if not awaits_endpoints:
            self._hold_started.pop(key, None)
            return True
        # A proxy with a wildcard subscription to clusters requests the new cluster's endpoints next; the hold is
        # limited in time so that a proxy that never does still gets route updates.
        return now_ms - self._hold_started.setdefault(key, now_ms) >= self.limits.xds_hold_ms

    def hold_deadline(self) -> float | None:
        """When the first time-limited hold of a resource ends, Unix ms."""
        return min((at + self.limits.xds_hold_ms for at in self._hold_started.values()), default=None)

    def _is_referenced(self, type_url: str, name: str) -> bool:
        """Whether a resource that the proxy holds, or may hold, references this one."""
        key = (type_url, name)
        return any(
            key in r.body.references
            for state in self.types.values()
            for table in (state.acked, state.sent)
            for r in table.values()
        )


class SotwStream(Stream):
    """State-of-the-world variant: listeners and clusters are sent in full, routes and endpoints as they change."""

    def _subscribe(self, state: _TypeState, request: Request, snapshot: Snapshot, first: bool) -> None:
        # A request with an outdated nonce was superseded; the proxy repeats its names in the next one.
        if not first and request.nonce != state.last_nonce:
            return
        if first and request.version and request.type_url in FULL_STATE:
            state.starts_empty = False
        names, all_of_it = set(request.names) - {WILDCARD}, WILDCARD in request.names
        state.has_named = state.has_named or bool(request.names)
        legacy = not state.has_named and request.type_url in FULL_STATE
        had_all, state.wildcard = state.wildcard, all_of_it or legacy
        # A name that was unsubscribed and requested again is sent again, even if the resource is unchanged.
        state.unanswered.update(names - state.names)
        if state.wildcard and not had_all:
            state.unanswered.add(WILDCARD)
        state.names = names
        for name, resource in list(state.sent.items()):
            if not state.wants(name, resource.body.on_demand):
                state.forget(name)
        for name in [n for n in state.unanswered if n not in names and n != WILDCARD]:
            state.unanswered.discard(name)

    def _response(self, type_url: str, state: _TypeState, snapshot: Snapshot, now_ms: float) -> Response | None:
        targets = state.targets(snapshot.of(type_url))
        if type_url in FULL_STATE:
            full_state = self._full_state(type_url, state, targets, snapshot, now_ms)
            if not state.unanswered and (
                full_state == state.last_full_state or (not state.pending and full_state == state.acked)
            ):
                return None
            return Response(type_url, snapshot.versions[type_url], self._nonce(), tuple(full_state.values()))
        due = self._due_resources(state, targets, snapshot, now_ms)
        if not due:
            return None
        return Response(type_url, snapshot.versions[type_url], self._nonce(), tuple(due))

    def _full_state(
        self, type_url: str, state: _TypeState, targets: Mapping[str, Resource], snapshot: Snapshot, now_ms: float
    ) -> dict[str, Resource]:
        """All resources that the proxy should hold.

        For a target that was rejected or must wait for its dependencies this is the acknowledged version; removed
        resources stay while something that the proxy holds references them.
        """
        full_state: dict[str, Resource] = {}
        retry_name = next(
            (name for name, r in targets.items() if name in state.isolated and state.rejected.get(name) != r.version),
            None,
        )
        for name, resource in targets.items():
            rejected = state.rejected.get(name) == resource.version or (name in state.isolated and name != retry_name)
            if not rejected and self._dependencies_acked(resource, snapshot, now_ms):
                full_state[name] = resource
            elif name in state.acked:
                full_state[name] = state.acked[name]
            elif not state.starts_empty:  # omitting it would remove the version held since before the stream
                full_state[name] = resource
        for name, resource in state.acked.items():
            if name not in targets and self._is_referenced(type_url, name):
                full_state[name] = resource
        return full_state

    def sent(self, response: Response, now_ms: float) -> None:
        super().sent(response, now_ms)
        state = self.types[response.type_url]
        if response.heartbeat:
            return
        state.unanswered.discard(WILDCARD)
        if response.type_url in FULL_STATE:
            state.unanswered.clear()  # names absent from a full response do not exist
            state.last_full_state = {r.name: r for r in response.resources}
            for name in set(state.sent) - set(state.last_full_state):
                del state.sent[name]
                state.acked.pop(name, None)


class DeltaStream(Stream):
    """Delta variant: changed and removed resources; a requested name that does not exist is reported as removed."""

    def _subscribe(self, state: _TypeState, request: Request, snapshot: Snapshot, first: bool) -> None:
        if first:
            self._adopt_known_versions(state, request, snapshot)
            # Legacy wildcard: a first request without names.
            state.wildcard = not request.subscribe and request.type_url in FULL_STATE
        for name in request.unsubscribe:
            if name == WILDCARD:
                state.wildcard = False
                for held in set(state.sent) - state.names:
                    state.forget(held)
                continue
            state.names.discard(name)
            state.forget(name)  # sent again if the wildcard still covers it
        for name in request.subscribe:
            if name == WILDCARD:
                state.wildcard = True
                continue
            state.names.add(name)
            if not (first and name in state.sent):
                state.unanswered.add(name)
                state.rejected.pop(name, None)

    @staticmethod
    def _adopt_known_versions(state: _TypeState, request: Request, snapshot: Snapshot) -> None:
        """Process initial_resource_versions: only versions equal to this instance's current ones count as held."""
        present = snapshot.of(request.type_url)
        for name, version in request.held.items():
            resource = present.get(name)
            if resource is not None and resource.version == version:
                state.sent[name] = state.acked[name] = resource
            else:
                state.unverified.add(name)

    def _response(self, type_url: str, state: _TypeState, snapshot: Snapshot, now_ms: float) -> Response | None:
        present = snapshot.of(type_url)
        due = self._due_resources(state, state.targets(present), snapshot, now_ms)
        gone = [
            name
            for name in sorted({*state.sent, *state.acked, *state.unverified})
            if name not in present and not self._is_referenced(type_url, name)
        ]
        gone += [name for name in sorted(state.unanswered) if name not in present and name not in gone]
        if not due and not gone:
            return None
        # Changes and removals are sent separately, removals last, so that a NACK of a change does not undo a removal.
        return Response(type_url, snapshot.versions[type_url], self._nonce(), tuple(due), () if due else tuple(gone))
