"""Which owners keep which range of keys: the map, a document that is changed in stages like others. Pure."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import lru_cache
from itertools import pairwise

import orjson

SPACE = 1 << 32  # of a key's hash
SHARDS_MAX, OWNERS_MAX, DOCUMENT_BYTES = 256, 3, 64 * 1024
KEYS = frozenset({"shards", "dual", "note"})


class RefusedError(ValueError):
    """A map that can't be taken; the text names the key."""


@lru_cache(maxsize=65_536)
def position(key: str) -> int:
    """A key's place in the space of hashes; the same on every machine."""
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=4).digest(), "big")


@dataclass(frozen=True, slots=True)
class Shard:
    """Keys from first to before last. owners: each keeps all of it; the first that answers is read."""

    first: int
    last: int
    owners: tuple[str, ...]

    def holds(self, key: str) -> bool:
        return self.first <= position(key) < self.last


@dataclass(frozen=True, slots=True)
class ShardMap:
    """All shards in order, with no gap. dual: part of all questions that goes both ways while another map comes."""

    shards: tuple[Shard, ...]
    dual: float = 0.1

    def of(self, key: str) -> Shard:
        return next(shard for shard in self.shards if shard.holds(key))

    @property
    def owners(self) -> frozenset[str]:
        return frozenset(name for shard in self.shards for name in shard.owners)


def whole(owners: Iterable[str]) -> ShardMap:
    """One shard of all: what each program brings along."""
    return ShardMap((Shard(0, SPACE, tuple(sorted(owners))[:OWNERS_MAX]),))


def split(old: ShardMap, at: int, owners: tuple[str, ...]) -> ShardMap:
    """The shard over `at` in two; the upper half goes to these owners. Raises RefusedError."""
    shards: list[Shard] = []
    for shard in old.shards:
        if shard.first < at < shard.last:
            shards += [Shard(shard.first, at, shard.owners), Shard(at, shard.last, owners)]
        else:
            shards.append(shard)
    if len(shards) == len(old.shards):
        raise RefusedError(f"first: {at} is a boundary already, or out of range")
    return ShardMap(tuple(shards), old.dual)


def read_map(data: bytes, members: Collection[str] | None = None) -> ShardMap:
    """Check a document. members: names that may be owners, where they are known. Raises RefusedError."""
    if len(data) > DOCUMENT_BYTES:
        raise RefusedError(f"it has {len(data)} bytes, over {DOCUMENT_BYTES}")
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise RefusedError(f"not JSON: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("shards"), list):
        raise RefusedError("shards: must be a list")
    if unknown := sorted(raw.keys() - KEYS):
        raise RefusedError(f"{unknown[0]}: unknown key")
    dual = raw.get("dual", 0.1)
    if isinstance(dual, bool) or not isinstance(dual, (int, float)) or not 0 <= dual <= 1:
        raise RefusedError(f"dual: must be 0 to 1, got {dual!r:.40}")
    rows = raw["shards"]
    if not 1 <= len(rows) <= SHARDS_MAX:
        raise RefusedError(f"shards: must be 1 to {SHARDS_MAX}, got {len(rows)}")
    firsts: list[int] = []
    owners: list[tuple[str, ...]] = []
    for i, row in enumerate(rows):
        at = f"shards[{i}]"
        if not isinstance(row, dict) or row.keys() != {"first", "owners"}:
            raise RefusedError(f"{at}: must have `first` and `owners`, and nothing else")
        first, names = row["first"], row["owners"]
        if isinstance(first, bool) or not isinstance(first, int) or not 0 <= first < SPACE:
            raise RefusedError(f"{at}.first: must be 0 to {SPACE - 1}, got {first!r:.40}")
        if first != 0 if not firsts else first <= firsts[-1]:
            raise RefusedError(f"{at}.first: the first must be 0 and each greater than the last, got {first}")
        if not isinstance(names, list) or not 1 <= len(names) <= OWNERS_MAX or len(set(map(str, names))) < len(names):
            raise RefusedError(f"{at}.owners: must be 1 to {OWNERS_MAX} names, each once")
        for name in names:
            if not isinstance(name, str) or not 1 <= len(name) <= 64 or not name.isascii():
                raise RefusedError(f"{at}.owners: {name!r:.40} is no name")
            if members is not None and name not in members:
                raise RefusedError(f"{at}.owners: {name} is no living member")
        firsts.append(first)
        owners.append(tuple(names))
    lasts = [*firsts[1:], SPACE]
    return ShardMap(tuple(Shard(*one) for one in zip(firsts, lasts, owners, strict=True)), float(dual))


def write_map(shards: ShardMap) -> bytes:
    """The document of a map."""
    return orjson.dumps(
        {"shards": [{"first": one.first, "owners": list(one.owners)} for one in shards.shards], "dual": shards.dual}
    )


@dataclass(frozen=True, slots=True)
class Group:
    """The least range over which two maps differ and have the same boundaries at its ends."""

    first: int
    last: int
    old: tuple[Shard, ...]
    new: tuple[Shard, ...]


def groups(old: ShardMap, new: ShardMap) -> list[Group]:
    """Where two maps differ; what both keep alike is left out."""
    cuts = [*sorted({one.first for one in old.shards} & {one.first for one in new.shards}), SPACE]
    found = []
    for first, last in pairwise(cuts):
        before = tuple(one for one in old.shards if first <= one.first < last)
        after = tuple(one for one in new.shards if first <= one.first < last)
        if before != after:
            found.append(Group(first, last, before, after))
    return found
