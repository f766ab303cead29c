"""The log: appended records, commits at stated levels, snapshots that let old segments go, and recovery.

A failed write or sync is never tried again as if nothing had happened: what the disk holds then is not known (a kernel
may drop what it could not write). The log stops there, says so, and takes nothing more.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from sageweir.store.files import Files
from sageweir.store.frames import (
    HEAD_BYTES,
    BrokenError,
    Head,
    decode_head,
    decode_snapshot,
    encode_head,
    encode_record,
    encode_snapshot,
    scan,
)

log = logging.getLogger("sageweir.store")
SEGMENT_BYTES = 8 * 1024 * 1024
_SEGMENT, _SNAPSHOT = re.compile(r"log-(\d{12})"), re.compile(r"snapshot-(\d{12})")


class Level(Enum):
    """When a record is durable."""

    NONE = "none"  # written at each commit, synced by nobody: a power cut takes what the system held
    INTERVAL = "interval"  # synced by whoever calls sync() every so often: up to that much is lost
    EACH = "each"  # before commit() returns


class DistrustedError(OSError):
    """A write or sync has failed: the log takes nothing more, and what it holds is not known."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """What a directory held: state as of a snapshot (empty: none), the records after it, in order; last: the number of
    the last record. found: what was wrong and left out, in words; nothing where all was whole.
    """

    state: bytes
    records: list[bytes]
    last: int
    found: list[str]


@dataclass(slots=True)
class _Part:
    """One segment that is believed."""

    name: str
    number: int
    first: int
    end: int
    chain: int
    records: list[bytes] = field(default_factory=list)


class Log:
    """One directory's log. owner: whose it is (a number drawn once, or of the member's name)."""

    def __init__(self, files: Files, owner: int, level: Level = Level.EACH, segment_bytes: int = SEGMENT_BYTES) -> None:
        """Recover what is there, and go on after it. Raises OSError where the directory can't be read or written."""
        self.files, self.owner, self.level, self.segment_bytes = files, owner, level, segment_bytes
        self.distrusted = ""
        self._waiting = bytearray()
        self._number, self._chain, self._size = 0, 0, 0
        self.last = self.written = self.durable = 0  # records: taken, handed to the system, surely on the disk
        self.recovered = self._recover()

    # Recovery

    def _recover(self) -> Recovered:
        found: list[str] = []
        head, state = self._newest_snapshot(found)
        first, chain = (head.first, head.chain) if head is not None else (1, 0)
        parts, records = list[_Part](), list[bytes]()
        last, number = first - 1, 0
        for part, broken in self._segments(found):
            follows = part.first == last + 1 and part.chain == chain if parts else True
            if not parts and head is not None and part.first + len(part.records) < first:
                continue  # older than the snapshot: what a compaction did not come to remove
            scanned, at = self._chains(part), first - part.first
            if not parts and head is not None and (not 0 <= at <= len(part.records) or scanned[at] != chain):
                found.append(f"{part.name}: it does not go on from the snapshot")
                break
            if not parts and head is None and (part.first != 1 or part.chain != 0):
                found.append(f"{part.name}: it begins with record {part.first}, what was before is lost")
                break
            if not follows:
                found.append(f"{part.name}: it does not go on from record {last}")
                break
            records += part.records[at:] if not parts else part.records
            last, chain, number = part.first + len(part.records) - 1, scanned[-1], part.number
            parts.append(part)
            if broken:
                found.append(f"{part.name}: {broken}")
                break
        self._set_aside(parts, found, first)
        self._number, self._chain, self.last = number, chain, last
        self.written = self.durable = last
        self._size = 0
        self._begin_segment()
        for text in found:
            log.warning("the log was cut: %s", text)
        return Recovered(state, records, last, found)

    @staticmethod
    def _chains(part: _Part) -> list[int]:
        """The checksum before each record, and after the last."""
        chains = [part.chain]
        for body in part.records:
            chains.append(encode_record(body, chains[-1])[1])
        return chains

    def _newest_snapshot(self, found: list[str]) -> tuple[Head | None, bytes]:
        for name in sorted((n for n in self.files.names() if _SNAPSHOT.fullmatch(n)), reverse=True):
            try:
                return decode_snapshot(self.files.read(name), self.owner)
            except BrokenError as error:
                found.append(f"{name}: {error}")
        return None, b""

    def _segments(self, found: list[str]) -> Iterator[tuple[_Part, str]]:
        """Segments in order, each as far as it is whole, with what is wrong after that."""
        for name in sorted(n for n in self.files.names() if _SEGMENT.fullmatch(n)):
            data = self.files.read(name)
            try:
                head = decode_head(data, self.owner)
            except BrokenError as error:
                found.append(f"{name}: {error}")
                return
            scanned = scan(data, head.chain)
            yield _Part(name, head.number, head.first, scanned.end, head.chain, scanned.records), scanned.why

    def _set_aside(self, parts: list[_Part], found: list[str], first: int) -> None:
        """What is not believed is kept under another name, never read again as the log."""
        believed = {part.name: part for part in parts}
        changed = False
        for name in self.files.names():
            if _SEGMENT.fullmatch(name) and name not in believed:
                self.files.rename(name, f"{name}.aside" if found else f"{name}.old")
                changed = True
            elif name in believed and believed[name].end < len(self.files.read(name)):
                data = self.files.read(name)
                self.files.write(f"{name}.aside", data[believed[name].end :])
                self.files.cut(name, believed[name].end)
                self.files.sync(name)
                changed = True
            elif name.endswith(".new"):
                self.files.remove(name)
                changed = True
        if changed:
            self.files.sync_names()

    def _begin_segment(self) -> None:
        self._number += 1
        name = self._name()
        self.files.write(name, encode_head(Head(self.owner, self._number, self.last + 1, self._chain)))
        self.files.sync(name)
        self.files.sync_names()
        self._size = HEAD_BYTES

    def _name(self) -> str:
        return f"log-{self._number:012d}"

    # Writing

    def append(self, body: bytes) -> int:
        """Take a record; its number. It is nowhere yet: commit. Raises DistrustedError."""
        self._trusted()
        data, self._chain = encode_record(body, self._chain)
        self._waiting += data
        self.last += 1
        return self.last

    def commit(self) -> int:
        """Write what was appended; the number up to which all is durable, as far as the disk tells the truth.

        Raises DistrustedError.
        """
        self._trusted()
        try:
            if self._waiting:
                data, self._waiting = bytes(self._waiting), bytearray()
                self.files.append(self._name(), data)
                self._size += len(data)
                self.written = self.last
            if self.level is Level.EACH:
                self._sync()
            if self._size >= self.segment_bytes:
                self._sync()
                self._begin_segment()
        except OSError as error:
            raise self._distrust(error) from None
        return self.durable

    def sync(self) -> int:
        """Make all that was committed durable; for the level that does so every so often. Raises DistrustedError."""
        self._trusted()
        try:
            self._sync()
        except OSError as error:
            raise self._distrust(error) from None
        return self.durable

    def _sync(self) -> None:
        if self.durable < self.written:
            self.files.sync(self._name())
            self.durable = self.written

    def snapshot(self, state: bytes) -> None:
        """State as of all records so far; segments before it are removed. Raises DistrustedError."""
        self.commit()
        try:
            self._sync()
            self._begin_segment()
            head = Head(self.owner, self._number, self.last + 1, self._chain)
            name = f"snapshot-{self._number:012d}"
            self.files.write(f"{name}.new", encode_snapshot(head, state))
            self.files.sync(f"{name}.new")
            self.files.rename(f"{name}.new", name)
            self.files.sync_names()
            # Only now: until the new name is on the disk, the old ones are what a recovery goes by.
            for old in self.files.names():
                found = _SEGMENT.fullmatch(old) or _SNAPSHOT.fullmatch(old)
                if found and int(found[1]) < self._number:
                    self.files.remove(old)
            self.files.sync_names()
        except OSError as error:
            raise self._distrust(error) from None

    def _trusted(self) -> None:
        if self.distrusted:
            raise DistrustedError(self.distrusted)

    def _distrust(self, error: OSError) -> DistrustedError:
        self.distrusted = f"{error.strerror or error}"
        log.error(
            "the log is not trusted any more, it takes nothing: why=%s durable=%d taken=%d",
            self.distrusted,
            self.durable,
            self.last,
        )
        return DistrustedError(self.distrusted)

    def close(self) -> None:
        self.files.close()
