"""What a directory holds, read and never changed: for operators, and before a log is opened at all. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sageweir.store.frames import MAGIC, SNAPSHOT, BrokenError, Head, decode_head, decode_snapshot, scan


@dataclass(frozen=True, slots=True)
class Row:
    """One file: a segment's records from number `first` on, or a snapshot's state; why: what is wrong with it."""

    name: str
    kind: str  # segment, snapshot, or other
    number: int = 0
    first: int = 0
    records: list[bytes] = field(default_factory=list, repr=False)
    size: int = 0
    why: str = ""


def owner_of(files: Mapping[str, bytes]) -> int | None:
    """Whose directory it is, by the first file that tells; None where none does."""
    for _, data in sorted(files.items()):
        for magic in (MAGIC, SNAPSHOT):
            try:
                return decode_head(data, int.from_bytes(data[4:12], "big"), magic).owner
            except BrokenError:
                continue
    return None


def survey(files: Mapping[str, bytes], owner: int | None = None) -> list[Row]:
    """All files, in order. Segments that don't go on from the one before are told so."""
    owner = owner_of(files) if owner is None else owner
    rows: list[Row] = []
    chain, following = 0, 0
    for name, data in sorted(files.items()):
        kind = (
            "segment"
            if name.startswith("log-") and name[4:].isdigit()
            else "snapshot"
            if name.startswith("snapshot-") and name[9:].isdigit()
            else "other"
        )
        if kind == "other" or owner is None:
            rows.append(Row(name, kind, size=len(data), why="" if kind == "other" else "nothing tells whose it is"))
            continue
        try:
            if kind == "snapshot":
                head, state = decode_snapshot(data, owner)
                rows.append(Row(name, kind, head.number, head.first, [state], len(data)))
                continue
            head = decode_head(data, owner)
        except BrokenError as error:
            rows.append(Row(name, kind, size=len(data), why=str(error)))
            continue
        found = scan(data, head.chain)
        rows.append(
            Row(
                name,
                kind,
                head.number,
                head.first,
                found.records,
                len(data),
                found.why or _joins(head, following, chain),
            )
        )
        chain, following = found.chain, head.first + len(found.records)
    return rows


def _joins(head: Head, following: int, chain: int) -> str:
    if following and (head.first != following or head.chain != chain):
        return (
            f"it begins with record {head.first}, {following} was next"
            if head.first != following
            else "it is not the one that was written after the segment before"
        )
    return ""


def lines(rows: list[Row]) -> list[str]:
    """A table for people."""
    return [f"{row.name}: {row.size} bytes, {_what(row)}" + (f"; BROKEN: {row.why}" if row.why else "") for row in rows]


def _what(row: Row) -> str:
    if row.kind == "segment" and row.records:
        return f"records {row.first} to {row.first + len(row.records) - 1}"
    if row.kind == "segment" and row.number:
        return "no records"
    if row.kind == "snapshot" and row.records:
        return f"state of all before record {row.first}, {len(row.records[0])} bytes"
    return "not read"
