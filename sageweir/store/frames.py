"""Bytes of segments and snapshots. Pure.

A segment is a head and records. Each record's checksum goes over its body, its length and the checksum before it, from
the head on, and a head holds the last checksum of the segment before: what is lost, doubled, out of order, of another
directory or of another time in the middle shows. A checksum has 32 bits: one flip in four billion goes unseen.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

MAGIC, SNAPSHOT = b"SVL\x01", b"SVS\x01"  # and the form's version
_HEAD = struct.Struct(">4sQQQI")  # magic, whose directory, number, first record, checksum before it
_RECORD = struct.Struct(">II")  # length, checksum
HEAD_BYTES = _HEAD.size + 4
RECORD_BYTES = _RECORD.size
BODY_MAX = 1 << 20


class BrokenError(ValueError):
    """Bytes that are no segment or snapshot of this directory; the text says why."""


@dataclass(frozen=True, slots=True)
class Head:
    """owner: whose directory it is; number: of the segment, from 1; first: its first record's, from 1; chain: the
    checksum of the record before that, 0 at the very first.
    """

    owner: int
    number: int
    first: int
    chain: int


def encode_head(head: Head, magic: bytes = MAGIC) -> bytes:
    data = _HEAD.pack(magic, head.owner, head.number, head.first, head.chain)
    return data + zlib.crc32(data).to_bytes(4, "big")


def decode_head(data: bytes, owner: int, magic: bytes = MAGIC) -> Head:
    """Raises BrokenError."""
    if len(data) < HEAD_BYTES:
        raise BrokenError(f"its head is cut after {len(data)} bytes")
    body, check = data[: _HEAD.size], int.from_bytes(data[_HEAD.size : HEAD_BYTES], "big")
    found = _HEAD.unpack(body)
    if zlib.crc32(body) != check or found[0] != magic:
        raise BrokenError("its head is spoilt, or of another form")
    if found[1] != owner:
        raise BrokenError(f"it is of another directory ({found[1]:x}, not {owner:x})")
    return Head(*found[1:])


def encode_record(body: bytes, chain: int) -> tuple[bytes, int]:
    """The record's bytes, and the checksum for the next. Raises ValueError for a body that can't be one."""
    if not 0 < len(body) <= BODY_MAX:
        raise ValueError(f"a record has 1 to {BODY_MAX} bytes, got {len(body)}")
    check = _check(body, chain)
    return _RECORD.pack(len(body), check) + body, check


def _check(body: bytes, chain: int) -> int:
    return zlib.crc32(body, zlib.crc32(len(body).to_bytes(4, "big"), chain))


@dataclass(frozen=True, slots=True)
class Scan:
    """Records of one segment, as far as they are whole; end: where the last of them ends; chain: its checksum; why:
    what is wrong with the bytes after it, if there are any.
    """

    records: list[bytes]
    end: int
    chain: int
    why: str


def scan(data: bytes, chain: int) -> Scan:
    """All records after the head, up to the first that is not whole."""
    records, at, view = list[bytes](), HEAD_BYTES, memoryview(data)
    while at < len(data):
        if len(data) - at < RECORD_BYTES:
            return Scan(records, at, chain, f"a record is cut at byte {at}")
        length, check = _RECORD.unpack(view[at : at + RECORD_BYTES])
        end = at + RECORD_BYTES + length
        if not 0 < length <= BODY_MAX:
            return Scan(records, at, chain, f"no record at byte {at}")
        if end > len(data):
            return Scan(records, at, chain, f"a record is cut at byte {at}")
        body = bytes(view[at + RECORD_BYTES : end])
        if _check(body, chain) != check:
            return Scan(records, at, chain, f"a record is spoilt at byte {at}")
        records.append(body)
        at, chain = end, check
    return Scan(records, at, chain, "")


def encode_snapshot(head: Head, state: bytes) -> bytes:
    """A snapshot of all before record `head.first`; head.number: the segment that begins with that."""
    return encode_head(head, SNAPSHOT) + len(state).to_bytes(8, "big") + _snapshot_check(head, state) + state


def _snapshot_check(head: Head, state: bytes) -> bytes:
    return zlib.crc32(state, zlib.crc32(len(state).to_bytes(8, "big"), head.chain)).to_bytes(4, "big")


def decode_snapshot(data: bytes, owner: int) -> tuple[Head, bytes]:
    """Raises BrokenError."""
    head = decode_head(data, owner, SNAPSHOT)
    state = data[HEAD_BYTES + 12 :]
    if data[HEAD_BYTES : HEAD_BYTES + 12] != len(state).to_bytes(8, "big") + _snapshot_check(head, state):
        raise BrokenError("its state is cut or spoilt")
    return head, state
