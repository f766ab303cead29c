"""One version sequence for all instances of the service: one publishes, the others serve what it published. No I/O.

A version is 'L', the publisher's term and the snapshot's number in that term. If an instance has since removed servers
that accept no new set-ups, the number of the feed event that stopped them follows: 'L7.12.40'. Terms only increase,
so later versions compare greater.

Every instance removes stopped servers itself, at once, so a drain does not wait for the publisher. While no member
holds the role, the last published state is served without the servers stopped since; nothing is added. An instance
that knows no published state serves nothing to proxies that hold a version of the sequence.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from sageweir.control.snapshot import ENDPOINT, Body, Key, Resource, Snapshot, SnapshotStore

ROLE = "publisher"
Version = tuple[int, ...]
_FORM = re.compile(r"L(\d{1,18})\.(\d{1,18})(?:\.(\d{1,18}))?")


def read_version(text: str) -> Version:
    """Parse a version of the sequence; () for any other text."""
    found = _FORM.fullmatch(text)
    return tuple(int(part) for part in found.groups() if part is not None) if found else ()


def without_servers(body: Body, stopped: frozenset[str]) -> Body:
    """The endpoints without the given servers."""
    localities = []
    for row in body.json["endpoints"]:
        left = [one for one in row["lb_endpoints"] if one["endpoint"]["hostname"] not in stopped]
        if left:
            localities.append({**row, "lb_endpoints": left})
    return Body(
        {**body.json, "endpoints": localities}, body.depends_on, body.references, body.offers - stopped, body.on_demand
    )


class VersionSequence:
    """One instance's copy of the sequence. Its store holds the snapshot that streams are served."""

    def __init__(self, store: SnapshotStore, published: Callable[[], None], changed: Callable[[], None]) -> None:
        """published: called when other instances must learn of a new state; changed: when streams have updates due."""
        self.store, self._published, self._changed = store, published, changed
        self.term: int | None = None  # of this instance as publisher, None if it is not
        self.base: Snapshot | None = None  # as published by this or another instance
        self.feed = 0  # number of the last feed event that `base` contains
        self._newest: tuple[Mapping[Key, Body], frozenset[str], int] | None = None
        self._blob: bytes | None = None
        self._modified: set[str] = set()  # endpoint resources that differ from `base`
        self.refused = 0

    @property
    def published_version(self) -> Version:
        """Term and number of the newest published state known to this instance; () if none."""
        return read_version(f"{self.base.epoch}.{self.base.number}") if self.base is not None else ()

    @property
    def served_version(self) -> Version:
        """The version that streams of this instance are served."""
        return max((read_version(text) for text in self.store.present.versions.values()), default=())

    def may_serve(self, held: Version) -> bool:
        """Whether a proxy that holds this version may be served: never with an older one."""
        return not held or self.served_version >= held

    # Own plan

    def on_plan(self, found: Mapping[Key, Body], stopped: frozenset[str], feed: int) -> None:
        """Publish a new plan; without the role or with an older feed state, only remove the servers that it stops."""
        self._newest = (found, stopped, feed)
        if self.term is not None and feed >= self.feed:
            if self.store.update(found, stopped, always=not self._has_published(self.term)):
                self._publish(feed)
        elif self._remove_stopped():
            self._changed()

    def start_publishing(self, term: int) -> None:
        """Start publishing in the given term."""
        self.term = term
        self.store.start_epoch(f"L{term}")
        if self._newest is not None and self._newest[2] >= self.feed:
            found, stopped, feed = self._newest
            self.store.update(found, stopped, always=True)
            self._publish(feed)

    def _has_published(self, term: int) -> bool:
        return self.published_version[:1] == (term,)

    def stop_publishing(self) -> None:
        """Stop publishing."""
        self.term = None

    def _publish(self, feed: int) -> None:
        self.base, self.feed, self._blob = self.store.present, feed, None
        self._modified.clear()
        self._published()
        self._changed()

    def _remove_stopped(self) -> bool:
        """Remove servers that stopped since the state was published; returns whether anything changed."""
        if self.base is None or self._newest is None:
            return False
        _, stopped, feed = self._newest
        gone = stopped - self.base.stopped
        types = {kind: dict(resources) for kind, resources in self.base.types.items()}
        versions, mark = dict(self.base.versions), f"{self.base.epoch}.{self.base.number}.{feed}"
        before = self.store.present
        for name, resource in types.get(ENDPOINT, {}).items():
            if not resource.offers & gone and name not in self._modified:
                continue
            self._modified.add(name)  # stays marked: if a stop is revoked, the version must not decrease
            body, old = without_servers(resource.body, gone), before.of(ENDPOINT).get(name)
            if old is not None and old.body == body and read_version(old.version) > self.published_version:
                types[ENDPOINT][name] = old
                versions[ENDPOINT] = max(versions[ENDPOINT], old.version, key=read_version)
                continue
            types[ENDPOINT][name] = Resource(ENDPOINT, name, mark, body, self.store.encode)
            versions[ENDPOINT] = mark
        after = Snapshot(self.base.epoch, self.base.number, types, versions, self.base.stopped | stopped)
        changed = after.versions != before.versions or after.stopped != before.stopped
        self.store.present = after
        return changed

    # Published state

    def blob(self) -> bytes:
        """The published state, serialized for other instances; empty if there is none."""
        if self.base is None:
            return b""
        if self._blob is None:
            rows = [
                [
                    r.type_url,
                    r.name,
                    r.version,
                    r.body.json,
                    sorted(r.body.depends_on),
                    sorted(r.body.references),
                    sorted(r.body.offers),
                    r.body.on_demand,
                ]
                for of in self.base.types.values()
                for r in of.values()
            ]
            self._blob = zlib.compress(
                orjson.dumps(
                    {
                        "epoch": self.base.epoch,
                        "number": self.base.number,
                        "feed": self.feed,
                        "rows": rows,
                        "versions": dict(self.base.versions),
                        "stopped": sorted(self.base.stopped),
                    }
                ),
                1,
            )
        return self._blob

    def adopt(self, blob: bytes, least: int, most: int) -> str:
        """Adopt another instance's published state; returns why it is rejected, or an empty text.

        least: lowest term accepted; most: largest size in bytes, decompressed.
        """
        try:
            unpacker = zlib.decompressobj()
            data = unpacker.decompress(blob, most)
            if unpacker.unconsumed_tail or not unpacker.eof:
                return f"truncated, or larger than {most} bytes"
            raw = orjson.loads(data)
            after, feed = self._read(raw), int(raw["feed"])
        except (zlib.error, ValueError, KeyError, TypeError) as error:
            return f"malformed: {error}"
        version = read_version(f"{after.epoch}.{after.number}")
        if not version or version[0] < least:
            self.refused += 1
            return f"term {version[0] if version else 0} is stale, {least} was seen"
        if version <= self.published_version:
            return f"{version} is not after {self.published_version}"
        self.base, self.feed, self._blob = after, feed, blob
        self._modified.clear()
        self.store.present = after
        self._remove_stopped()
        self._changed()
        return ""

    def _read(self, raw: Mapping[str, Any]) -> Snapshot:
        before, types = self.store.present, dict[str, dict[str, Resource]]()
        for kind, name, version, body, depends_on, references, offers, on_demand in raw["rows"]:
            old = before.of(kind).get(name)
            if old is None or old.version != version:
                old = Resource(
                    kind,
                    name,
                    version,
                    Body(
                        body,
                        frozenset(map(tuple, depends_on)),
                        frozenset(map(tuple, references)),
                        frozenset(offers),
                        on_demand,
                    ),
                    self.store.encode,
                )
            types.setdefault(kind, {})[name] = old
        return Snapshot(raw["epoch"], raw["number"], types, raw["versions"], frozenset(raw["stopped"]))
