"""One process's rollout state on disk, in a write-ahead log: the replica's entry, the baselines, and contents.

All writes are done in order by one dedicated thread. After a failed write, the log is not used until the next start.
"""

from __future__ import annotations

import logging
import zlib
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from sageweir.cluster.changes.follower import MemberState
from sageweir.cluster.changes.messages import MAX_BODY_BYTES, Baseline, Digest
from sageweir.cluster.changes.register import Entry, ReplicaState
from sageweir.store.files import RealFiles
from sageweir.store.log import Level, Log

log = logging.getLogger("sageweir.cluster")
MAX_RECORDS = 2000  # between two snapshots
MAX_BLOBS = 16


class ReplicaRecord(msgspec.Struct, frozen=True, array_like=True, tag="keeper"):
    """A replica's promise and entry."""

    promised: int
    term: int
    sequence: int
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]

    def covers(self, other: ReplicaRecord) -> bool:
        """Whether this record on the disk serves for another: no earlier promise, no earlier entry."""
        return self.promised >= other.promised and (self.term, self.sequence) >= (other.term, other.sequence)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, tag="known"):
    """A member's floor of ended rollouts, and its baselines."""

    floor: int
    baselines: tuple[Baseline, ...]


class Blob(msgspec.Struct, frozen=True, array_like=True, tag="blob"):
    """A content by its digest."""

    digest: Digest
    data: bytes


Record = ReplicaRecord | MemberRecord | Blob
_decode = msgspec.msgpack.Decoder(Record).decode
_decode_all = msgspec.msgpack.Decoder(list[Record]).decode


class Disk:
    """The state in one directory. Raises OSError if the directory can't be opened."""

    def __init__(self, folder: Path, name: str) -> None:
        self.replica_state: ReplicaState | None = None
        self.member_state = MemberState()
        self.blobs: dict[str, bytes] = {}
        self.log = Log(RealFiles(folder), zlib.crc32(name.encode()), Level.EACH)
        self._records = 0
        recovered = self.log.recovered
        try:
            for record in _decode_all(recovered.state) if recovered.state else []:
                self._restore(record)
            for body in recovered.records:
                self._restore(_decode(body))
        except msgspec.MsgspecError as error:
            log.warning("rollout state: the records from the first unreadable one on are ignored: why=%s", error)
        self._used: set[str] = set()

    def _restore(self, record: Record) -> None:
        match record:
            case ReplicaRecord(promised, term, sequence, body):
                self.replica_state = ReplicaState(promised, Entry(term, sequence, body))
            case MemberRecord(floor, baselines):
                self.member_state = MemberState(floor, baselines)
            case Blob(digest, data):
                self.blobs[digest] = data

    def _snapshot_records(self) -> list[Record]:
        records: list[Record] = [MemberRecord(self.member_state.floor, self.member_state.baselines)]
        if self.replica_state is not None:
            records.append(
                ReplicaRecord(
                    self.replica_state.promised, *self.replica_state.entry.ballot, self.replica_state.entry.body
                )
            )
        return records + [Blob(digest, data) for digest, data in self.blobs.items()]

    def write(self, record: Record) -> None:
        """Write a record; it is on the disk when this returns. Raises OSError."""
        if isinstance(record, Blob):
            if record.digest in self.blobs:
                return
            if len(self.blobs) >= MAX_BLOBS:
                used = {baseline.digest for baseline in self.member_state.baselines}
                # Guards against unlimited growth; contents of the rollout under way are the newest and stay.
                for digest in [name for name in self.blobs if name not in used][: MAX_BLOBS // 2]:
                    del self.blobs[digest]
        self.log.append(msgspec.msgpack.encode(record))
        self.log.commit()
        self._restore(record)
        self._records += 1
        if self._records >= MAX_RECORDS:
            self.log.snapshot(msgspec.msgpack.encode(self._snapshot_records()))
            self._records = 0

    def close(self) -> None:
        self.log.close()
