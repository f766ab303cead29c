"""The shard map: which members own which range of key hashes. It is changed by staged rollouts. No I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import lru_cache
from itertools import pairwise

import orjson

SPACE = 1 << 32  # number of positions, the hashes of keys
MAX_SHARDS = 256
MAX_OWNERS = 3
MAX_DOCUMENT_BYTES = 64 * 1024
KEYS = frozenset({"shards", "dual", "note"})


class InvalidMapError(ValueError):
    """A shard map is invalid; the message names the key."""


@lru_cache(maxsize=65_536)
def position(key: str) -> int:
    """Hash of a key, the same on every machine."""
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=4).digest(), "big")


@dataclass(frozen=True, slots=True)
class Shard:
    """Keys at positions from `first` up to but not including `last`.

    owners: members that each hold the whole shard; a question takes the first reply, in this order.
    """

    first: int
    last: int
    owners: tuple[str, ...]

    def holds(self, key: str) -> bool:
        return self.first <= position(key) < self.last


@dataclass(frozen=True, slots=True)
class ShardMap:
    """All shards in order, without gaps. dual: fraction of questions that get a dual read during its rollout."""

    shards: tuple[Shard, ...]
    dual: float = 0.1

    def of(self, key: str) -> Shard:
        return next(shard for shard in self.shards if shard.holds(key))

    @property
    def owners(self) -> frozenset[str]:
        return frozenset(name for shard in self.shards for name in shard.owners)


def single_shard(owners: Iterable[str]) -> ShardMap:
    """A map with one shard for all keys, the default of every member."""
    return ShardMap((Shard(0, SPACE, tuple(sorted(owners))[:MAX_OWNERS]),))


def split_shard(old: ShardMap, at: int, owners: tuple[str, ...]) -> ShardMap:
    """Split the shard that contains `at` there; the upper part goes to these owners. Raises InvalidMapError."""
    shards: list[Shard] = []
    for shard in old.shards:
        if shard.first < at < shard.last:
            shards += [Shard(shard.first, at, shard.owners), Shard(at, shard.last, owners)]
        else:
            shards.append(shard)
    if len(shards) == len(old.shards):
        raise InvalidMapError(f"first: {at} is already a boundary, or out of range")
    return ShardMap(tuple(shards), old.dual)


def read_map(data: bytes, members: Collection[str] | None = None) -> ShardMap:
    """Parse and check a document. members: names that may be owners, None: any. Raises InvalidMapError."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidMapError(f"document has {len(data)} bytes, the limit is {MAX_DOCUMENT_BYTES}")
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise InvalidMapError(f"not JSON: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("shards"), list):
        raise InvalidMapError("shards: must be a list")
    if unknown := sorted(raw.keys() - KEYS):
        raise InvalidMapError(f"{unknown[0]}: unknown key")
    dual = raw.get("dual", 0.1)
    if isinstance(dual, bool) or not isinstance(dual, (int, float)) or not 0 <= dual <= 1:
        raise InvalidMapError(f"dual: must be 0 to 1, got {dual!r:.40}")
    rows = raw["shards"]
    if not 1 <= len(rows) <= MAX_SHARDS:
        raise InvalidMapError(f"shards: must be 1 to {MAX_SHARDS}, got {len(rows)}")
    firsts: list[int] = []
    owners: list[tuple[str, ...]] = []
    for i, row in enumerate(rows):
        at = f"shards[{i}]"
        if not isinstance(row, dict) or row.keys() != {"first", "owners"}:
            raise InvalidMapError(f"{at}: must have exactly the keys `first` and `owners`")
        first, names = row["first"], row["owners"]
        if isinstance(first, bool) or not isinstance(first, int) or not 0 <= first < SPACE:
            raise InvalidMapError(f"{at}.first: must be 0 to {SPACE - 1}, got {first!r:.40}")
        if first != 0 if not firsts else first <= firsts[-1]:
            raise InvalidMapError(f"{at}.first: the first must be 0 and each greater than the last, got {first}")
        if not isinstance(names, list) or not 1 <= len(names) <= MAX_OWNERS or len(set(map(str, names))) < len(names):
            raise InvalidMapError(f"{at}.owners: must be 1 to {MAX_OWNERS} names, each once")
        for name in names:
            if not isinstance(name, str) or not 1 <= len(name) <= 64 or not name.isascii():
                raise InvalidMapError(f"{at}.owners: {name!r:.40} is not a valid name")
            if members is not None and name not in members:
                raise InvalidMapError(f"{at}.owners: {name} is no living member")
        firsts.append(first)
        owners.append(tuple(names))
    lasts = [*firsts[1:], SPACE]
    return ShardMap(tuple(Shard(*one) for one in zip(firsts, lasts, owners, strict=True)), float(dual))


def write_map(shards: ShardMap) -> bytes:
    """Encode a map as a document."""
    return orjson.dumps(
        {"shards": [{"first": one.first, "owners": list(one.owners)} for one in shards.shards], "dual": shards.dual}
    )


@dataclass(frozen=True, slots=True)
class RangeDiff:
    """A smallest range over which two maps differ and at whose ends both have a boundary."""

    first: int
    last: int
    old: tuple[Shard, ...]
    new: tuple[Shard, ...]


def diff_maps(old: ShardMap, new: ShardMap) -> list[RangeDiff]:
    """Ranges over which two maps differ."""
    boundaries = [*sorted({one.first for one in old.shards} & {one.first for one in new.shards}), SPACE]
    found = []
    for first, last in pairwise(boundaries):
        before = tuple(one for one in old.shards if first <= one.first < last)
        after = tuple(one for one in new.shards if first <= one.first < last)
        if before != after:
            found.append(RangeDiff(first, last, before, after))
    return found
