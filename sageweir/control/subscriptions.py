"""State of one discovery stream: what it asked for, was sent, took and refused; and what it is owed now. Pure.

A stream holds no queue. `owed` works out one response from the present snapshot, `sent` notes that it went out; a
slow reader that comes back is owed the newest snapshot alone. State-of-the-world and delta streams differ in how
they ask (`SotwStream.ask`, `DeltaStream.ask`) and in what a response holds; the books are the same.

The rules of the protocol that are kept here (xDS protocol page of the published API):

- the first request of a type on a stream counts as new, whatever version and nonce it presents;
- a response's nonce answers it; an older or unknown one changes no subscription;
- a refusal (error_detail) keeps the version that was taken last, and the refused one isn't sent again unchanged;
- make before break: a route is held back until the clusters and endpoints that it names were taken, and a cluster
  is left standing while a route that is held names it.
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
    """The stream asked for what can't be; it is closed with this text. `exhausted`: a bound was passed."""

    def __init__(self, text: str, exhausted: bool = False) -> None:
        super().__init__(text)
        self.exhausted = exhausted


@dataclass(frozen=True, slots=True)
class Ask:
    """One request of either variant, as read from the wire."""

    type_url: str
    node: str = ""
    features: frozenset[str] = frozenset()
    nonce: str = ""
    version: str = ""
    error: str | None = None  # the proxy's words, where it refuses
    names: tuple[str, ...] = ()  # state of the world: all names
    subscribe: tuple[str, ...] = ()  # delta
    unsubscribe: tuple[str, ...] = ()
    held: Mapping[str, str] = field(default_factory=dict)  # delta's initial_resource_versions


@dataclass(frozen=True, slots=True)
class Response:
    """One response; beat: bodies are left out, the names' leases begin anew."""

    type_url: str
    version: str
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()
    beat: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """A NACK: the proxy's name, and what it says it can't use."""

    node: str
    type_url: str
    version: str
    names: tuple[str, ...]
    text: str


@dataclass(slots=True)
class _Flight:
    """A response that waits for its ACK."""

    version: str
    changed: dict[str, Resource | None]  # None: removed
    sent_ms: float
    beat: bool = False


@dataclass(slots=True)
class _Type:
    """The books of one resource type on one stream."""

    names: set[str] = field(default_factory=set)
    wildcard: bool = False
    named: bool = False  # names were given at some time: an empty list no longer means all
    taken: dict[str, Resource] = field(default_factory=dict)  # acknowledged last
    sent: dict[str, Resource] = field(default_factory=dict)  # sent last, taken or not
    refused: dict[str, str] = field(default_factory=dict)  # name -> version
    alone: set[str] = field(default_factory=set)  # refused along with others: sent once more by itself
    asked: set[str] = field(default_factory=set)  # must be answered though nothing changed
    stale: set[str] = field(default_factory=set)  # held by the proxy from elsewhere, in an unknown version
    flights: dict[str, _Flight] = field(default_factory=dict)  # by nonce, oldest first
    tried: dict[str, Resource] | None = None  # full state: all that was sent last
    last_nonce: str = ""
    fresh: bool = True  # the proxy holds nothing of the type from elsewhere: what it is not sent, it has not

    def wants(self, name: str, on_demand: bool) -> bool:
        return name in self.names or (self.wildcard and not on_demand)

    def targets(self, present: Mapping[str, Resource]) -> dict[str, Resource]:
        if not self.wildcard:
            return {name: present[name] for name in sorted(self.names) if name in present}
        return {name: r for name, r in present.items() if self.wants(name, r.body.on_demand)}

    def forget(self, name: str) -> None:
        for table in (self.taken, self.sent, self.refused):
            table.pop(name, None)
        for names in (self.alone, self.asked, self.stale):
            names.discard(name)


class Stream:
    """What both variants share."""

    def __init__(self, limits: Limits, stream_id: int) -> None:
        self.limits, self.id = limits, stream_id
        self.node, self.features = "", frozenset[str]()
        self.types: dict[str, _Type] = {}
        self._count = 0
        self._held_since: dict[Key, float] = {}
        self.unknown_nonces = 0
        self.claimed: tuple[int, ...] = ()  # the newest version of the line that the proxy came with

    # Asking

    def ask(self, ask: Ask, snapshot: Snapshot) -> Refused | None:
        """Take a request; a refusal is told for the log. Raises StreamError where the stream must end."""
        if not self.node:
            if not ask.node:
                raise StreamError("the first request names no node.id")
            if len(ask.node) > self.limits.xds_node_chars:
                raise StreamError(f"node.id has {len(ask.node)} characters, {self.limits.xds_node_chars} are taken")
            self.node, self.features = ask.node, ask.features
        if ask.type_url not in ORDER:
            raise StreamError(f"unknown type URL {ask.type_url[:100]!r}")
        given = (*ask.names, *ask.subscribe, *ask.held)
        if any(len(name) > self.limits.xds_name_chars for name in given):
            raise StreamError(f"a resource name is longer than {self.limits.xds_name_chars} characters", True)
        books = self.types.get(ask.type_url)
        first = books is None
        books = books or _Type()
        if first:
            self.claimed = max(self.claimed, *map(read_version, (ask.version, *ask.held.values())))
        refused = None
        if not first and ask.nonce:
            flight = books.flights.get(ask.nonce)
            if flight is None and ask.nonce != books.last_nonce:
                self.unknown_nonces += 1
            if flight is not None:
                refused = self._confirm(books, ask, flight)
        if len(given) + len(ask.unsubscribe) > 2 * self.limits.xds_names:
            raise StreamError(f"one request gives {len(given)} names", True)
        self._subscribe(books, ask, snapshot, first)
        if len(books.names) > self.limits.xds_names:
            raise StreamError(f"{len(books.names)} names are asked for, {self.limits.xds_names} are served", True)
        self.types[ask.type_url] = books
        return refused

    def _subscribe(self, books: _Type, ask: Ask, snapshot: Snapshot, first: bool) -> None:
        raise NotImplementedError

    def _confirm(self, books: _Type, ask: Ask, flight: _Flight) -> Refused | None:
        """Book an ACK or a NACK; an ACK covers what was sent before it as well (streams keep their order)."""
        if ask.error is None:
            for nonce in list(books.flights):
                for name, resource in books.flights.pop(nonce).changed.items():
                    # What the proxy has dropped meanwhile, or was told is gone, it does not hold.
                    if resource is not None and name in books.sent:
                        books.taken[name] = resource
                        books.refused.pop(name, None)
                        books.alone.discard(name)
                if nonce == ask.nonce:
                    break
            return None
        del books.flights[ask.nonce]
        changed = {
            n: r
            for n, r in flight.changed.items()
            if r is not None
            and books.sent.get(n) is r
            and books.taken.get(n) is not r
            and books.refused.get(n) != r.version
        }
        for name, resource in changed.items():
            # Guards against one bad resource that stops the sound ones beside it: each is tried by itself.
            if len(changed) > 1 and books.fresh:
                books.alone.add(name)
                del books.sent[name]
            else:
                books.refused[name] = resource.version
                books.alone.discard(name)
        return Refused(self.node, ask.type_url, flight.version, tuple(changed), ask.error)

    # Answering

    def owed(self, snapshot: Snapshot, now_ms: float) -> Response | None:
        """The next response, in make-before-break order; None where nothing is due. Call `sent` when it is out."""
        for type_url in ORDER:
            books = self.types.get(type_url)
            # Guards against a reader that takes nothing: gRPC takes a response off our hands long before it is read,
            # so only the proxy's own word tells that it is not held for it here. Heartbeats hold nothing back.
            if books is None or sum(not f.beat for f in books.flights.values()) >= self.limits.xds_unconfirmed:
                continue
            for name in [n for n in books.refused if n not in snapshot.of(type_url)]:
                del books.refused[name]
            response = self._response(type_url, books, snapshot, now_ms)
            if response is not None:
                return response
        return None

    def _response(self, type_url: str, books: _Type, snapshot: Snapshot, now_ms: float) -> Response | None:
        raise NotImplementedError

    def _due(self, books: _Type, targets: Mapping[str, Resource], snapshot: Snapshot, now_ms: float) -> list[Resource]:
        """What differs from what was sent, was not refused as it is, and has what it needs."""
        due = [
            r
            for name, r in targets.items()
            if (books.sent.get(name) is not r or name in books.asked)
            and books.refused.get(name) != r.version
            and self._ready(r, snapshot, now_ms)
        ]
        if books.alone and due:
            single = next((r for r in due if r.name in books.alone), None)
            rest = [r for r in due if r.name not in books.alone]
            due = rest or ([single] if single else [])
        return due

    def sent(self, response: Response, now_ms: float) -> None:
        """The response goes out now."""
        books = self.types[response.type_url]
        books.last_nonce = response.nonce
        changed: dict[str, Resource | None] = dict.fromkeys(response.removed)
        for resource in response.resources:
            changed[resource.name] = resource
            if not response.beat:
                books.sent[resource.name] = resource
        for name in response.removed:
            books.forget(name)
        if not response.beat:
            books.asked.difference_update(changed)
            books.stale.difference_update(changed)
        books.flights[response.nonce] = _Flight(
            response.version, {} if response.beat else changed, now_ms, response.beat
        )

    def unconfirmed_since(self) -> float | None:
        """When the oldest response was sent that still waits for its ACK, Unix ms."""
        return min((next(iter(b.flights.values())).sent_ms for b in self.types.values() if b.flights), default=None)

    def quiet(self, snapshot: Snapshot, now_ms: float) -> bool:
        """Nothing is owed, and nothing waits for an ACK."""
        return self.unconfirmed_since() is None and self.owed(snapshot, now_ms) is None

    def holds(self, type_url: str) -> Mapping[str, Resource]:
        """What the proxy has taken of a type."""
        books = self.types.get(type_url)
        return books.taken if books else {}

    def beat(self, type_url: str, snapshot: Snapshot) -> Response | None:
        """A heartbeat for what the proxy may go on with; None where there is nothing to renew."""
        books = self.types.get(type_url)
        if books is None or len(books.flights) >= self.limits.xds_beats:
            return None
        renewed = tuple(r for r in books.taken.values() if may_renew(r, snapshot))
        if not renewed:
            return None
        return Response(type_url, snapshot.versions[type_url], self._nonce(), renewed, beat=True)

    def _nonce(self) -> str:
        self._count += 1
        return f"{self.id}.{self._count}"

    # Make before break

    def _ready(self, resource: Resource, snapshot: Snapshot, now_ms: float) -> bool:
        """Whether the proxy has taken all that this resource names, as far as it asks for it here."""
        key = (resource.type_url, resource.name)
        waits = False
        for kind, name in resource.body.needs:
            books = self.types.get(kind)
            if books is None or name in books.taken or name not in snapshot.of(kind):
                continue
            if books.wants(name, snapshot.of(kind)[name].body.on_demand):
                self._held_since.pop(key, None)
                return False  # on its way, or refused: what the proxy has stands
            clusters = self.types.get(CLUSTER)
            waits = waits or (kind == ENDPOINT and clusters is not None and clusters.wildcard)
        if not waits:
            self._held_since.pop(key, None)
            return True
        # A proxy that follows all clusters asks for the new one's endpoints next; one that never does must not
        # keep its route for ever.
        return now_ms - self._held_since.setdefault(key, now_ms) >= self.limits.xds_hold_ms

    def hold_ends(self) -> float | None:
        """When a hold that no answer ends is over, Unix ms."""
        return min((at + self.limits.xds_hold_ms for at in self._held_since.values()), default=None)

    def _still_named(self, type_url: str, name: str) -> bool:
        """Whether something that the proxy holds, or may hold, names this resource."""
        key = (type_url, name)
        return any(
            key in r.body.refers
            for books in self.types.values()
            for table in (books.taken, books.sent)
            for r in table.values()
        )


class SotwStream(Stream):
    """State of the world: listeners and clusters in full each time, routes and endpoints as they change."""

    def _subscribe(self, books: _Type, ask: Ask, snapshot: Snapshot, first: bool) -> None:
        # A request that answers an older response was overtaken; the proxy tells its names again with the next.
        if not first and ask.nonce != books.last_nonce:
            return
        if first and ask.version and ask.type_url in FULL_STATE:
            books.fresh = False
        names, all_of_it = set(ask.names) - {WILDCARD}, WILDCARD in ask.names
        books.named = books.named or bool(ask.names)
        legacy = not books.named and ask.type_url in FULL_STATE
        had_all, books.wildcard = books.wildcard, all_of_it or legacy
        # Guards against an answer that is not sent as nothing changed: dropped and asked again it is sent again.
        books.asked.update(names - books.names)
        if books.wildcard and not had_all:
            books.asked.add(WILDCARD)
        books.names = names
        for name, resource in list(books.sent.items()):
            if not books.wants(name, resource.body.on_demand):
                books.forget(name)
        for name in [n for n in books.asked if n not in names and n != WILDCARD]:
            books.asked.discard(name)

    def _response(self, type_url: str, books: _Type, snapshot: Snapshot, now_ms: float) -> Response | None:
        targets = books.targets(snapshot.of(type_url))
        if type_url in FULL_STATE:
            world = self._world(type_url, books, targets, snapshot, now_ms)
            if not books.asked and (world == books.tried or (not books.flights and world == books.taken)):
                return None
            return Response(type_url, snapshot.versions[type_url], self._nonce(), tuple(world.values()))
        due = self._due(books, targets, snapshot, now_ms)
        if not due:
            return None
        return Response(type_url, snapshot.versions[type_url], self._nonce(), tuple(due))

    def _world(
        self, type_url: str, books: _Type, targets: Mapping[str, Resource], snapshot: Snapshot, now_ms: float
    ) -> dict[str, Resource]:
        """All that the proxy is to hold: the targets, but for what it refused, or can't use yet, what it has
        instead; and what is gone while something that it holds names it.
        """
        world: dict[str, Resource] = {}
        on_trial = next(
            (name for name, r in targets.items() if name in books.alone and books.refused.get(name) != r.version), None
        )
        for name, resource in targets.items():
            refused = books.refused.get(name) == resource.version or (name in books.alone and name != on_trial)
            if not refused and self._ready(resource, snapshot, now_ms):
                world[name] = resource
            elif name in books.taken:
                world[name] = books.taken[name]
            elif not books.fresh:  # left out, it would take from the proxy what it has from before
                world[name] = resource
        for name, resource in books.taken.items():
            if name not in targets and self._still_named(type_url, name):
                world[name] = resource
        return world

    def sent(self, response: Response, now_ms: float) -> None:
        super().sent(response, now_ms)
        books = self.types[response.type_url]
        if response.beat:
            return
        books.asked.discard(WILDCARD)
        if response.type_url in FULL_STATE:
            books.asked.clear()  # what is not there does not exist
            books.tried = {r.name: r for r in response.resources}
            for name in set(books.sent) - set(books.tried):
                del books.sent[name]
                books.taken.pop(name, None)


class DeltaStream(Stream):
    """Incremental: what changed and what is gone; a name that does not exist is told as removed."""

    def _subscribe(self, books: _Type, ask: Ask, snapshot: Snapshot, first: bool) -> None:
        if first:
            self._believe(books, ask, snapshot)
            # The legacy form of the wildcard: a first request that names nothing.
            books.wildcard = not ask.subscribe and ask.type_url in FULL_STATE
        for name in ask.unsubscribe:
            if name == WILDCARD:
                books.wildcard = False
                for held in set(books.sent) - books.names:
                    books.forget(held)
                continue
            books.names.discard(name)
            books.forget(name)  # where the wildcard still covers it, it is sent again
        for name in ask.subscribe:
            if name == WILDCARD:
                books.wildcard = True
                continue
            books.names.add(name)
            if not (first and name in books.sent):
                books.asked.add(name)
                books.refused.pop(name, None)

    @staticmethod
    def _believe(books: _Type, ask: Ask, snapshot: Snapshot) -> None:
        """Versions from before: only one that this instance knows as the present one is believed."""
        present = snapshot.of(ask.type_url)
        for name, version in ask.held.items():
            resource = present.get(name)
            if resource is not None and resource.version == version:
                books.sent[name] = books.taken[name] = resource
            else:
                books.stale.add(name)

    def _response(self, type_url: str, books: _Type, snapshot: Snapshot, now_ms: float) -> Response | None:
        present = snapshot.of(type_url)
        due = self._due(books, books.targets(present), snapshot, now_ms)
        gone = [
            name
            for name in sorted({*books.sent, *books.taken, *books.stale})
            if name not in present and not self._still_named(type_url, name)
        ]
        gone += [name for name in sorted(books.asked) if name not in present and name not in gone]
        if not due and not gone:
            return None
        # Never both at once: removals come after, and a refused addition takes no removal with it.
        return Response(type_url, snapshot.versions[type_url], self._nonce(), tuple(due), () if due else tuple(gone))
