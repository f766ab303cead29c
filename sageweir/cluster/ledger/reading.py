"""Questions to the ledger, and dual reads while its shards change: asked both ways, aligned, compared. Pure.

A dual read first asks every owner on both sides how far it is, then the same question of all as of the least that they
have in common: the same starts of members at the same epochs. Equal vectors must give equal results. What can't be
aligned is counted as such, never as agreement. Callers get the old map's result all the while.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from sageweir.cluster.ledger.messages import NUMBER, TENANT, Ask, Found, Question, Reply, Stamp, Vector
from sageweir.cluster.ledger.owner import merge
from sageweir.cluster.ledger.shards import Group, Shard, ShardMap

Out = list[tuple[int, str, Ask]]  # a number that the answer is told with, an owner, and what it is asked


class Verdict(Enum):
    """What a dual read came to."""

    AGREE = "agree"
    DISAGREE = "disagree"
    OTHER = "not comparable"


def key_of(question: Question) -> str | None:
    """The one key that a question is about."""
    kinds = {NUMBER: "n", TENANT: "t"}
    return f"{kinds[question.kind]}:{question.what}" if question.kind in kinds else None


def asked_of(question: Question, shards: Iterable[Shard]) -> list[Shard]:
    """Shards that a question goes to."""
    key = key_of(question)
    return [shard for shard in shards if key is None or shard.holds(key)]


@dataclass(frozen=True, slots=True)
class Answer:
    """found: merged; vectors: by shard's first; missing: members of which some owner has nothing fresh; whole: all
    shards answered.
    """

    found: tuple[Found, ...]
    vectors: Mapping[int, Vector]
    missing: tuple[str, ...]
    whole: bool

    @property
    def complete(self) -> bool:
        return self.whole and not self.missing


@dataclass(slots=True)
class Reading:
    """One question by one map: each shard's owners in turn, until one answers."""

    question: Question
    shards: list[Shard]
    tried: dict[int, int] = field(default_factory=dict)
    replies: dict[int, Reply | None] = field(default_factory=dict)

    def start(self) -> Out:
        return [
            (i, shard.owners[0], Ask(shard.first, shard.last, self.question)) for i, shard in enumerate(self.shards)
        ]

    def answered(self, number: int, reply: Reply | None) -> Out:
        """None: nothing came in time."""
        if number in self.replies:
            return []
        if reply is not None and reply.known:
            self.replies[number] = reply
            return []
        shard = self.shards[number]
        self.tried[number] = self.tried.get(number, 0) + 1
        if self.tried[number] < len(shard.owners):
            return [(number, shard.owners[self.tried[number]], Ask(shard.first, shard.last, self.question))]
        self.replies[number] = None
        return []

    def answer(self) -> Answer | None:
        """None as long as shards are awaited."""
        if len(self.replies) < len(self.shards):
            return None
        here = {self.shards[i].first: reply for i, reply in self.replies.items() if reply is not None}
        missing = {name for reply in here.values() for name in reply.missing}
        return Answer(
            merge(self.question, (reply.found for reply in here.values())),
            {first: reply.vector for first, reply in here.items()},
            tuple(sorted(missing)),
            len(here) == len(self.shards),
        )


@dataclass(frozen=True, slots=True)
class Compared:
    """A dual read's outcome. full: all living members are in the vector."""

    question: Question
    verdict: Verdict
    why: str = ""
    full: bool = False
    old: tuple[Found, ...] = ()
    new: tuple[Found, ...] = ()
    vector: Vector = field(default_factory=dict)


class DualRead:
    """One question of one group. living: members' names."""

    def __init__(self, question: Question, group: Group, living: Iterable[str]) -> None:
        self.question, self.group, self.living = question, group, frozenset(living)
        old, new = asked_of(question, group.old), asked_of(question, group.new)
        # Each owner of each shard is asked: a copy that differs is found as well as a shard that does.
        self.asked = [
            (side, shard, owner)
            for side, shards in (("old", old), ("new", new))
            for shard in shards
            for owner in shard.owners
        ]
        self.vector: Vector | None = None
        self.replies: dict[int, Reply] = {}
        self.compared: Compared | None = None

    def start(self) -> Out:
        return [(i, owner, Ask(shard.first, shard.last)) for i, (_, shard, owner) in enumerate(self.asked)]

    def answered(self, number: int, reply: Reply | None) -> Out:
        """None: nothing came in time."""
        # Guards against an answer to the first round that comes again in the second.
        number -= len(self.asked) * (self.vector is not None)
        if self.compared is not None or number in self.replies or not 0 <= number < len(self.asked):
            return []
        if reply is None or not reply.known:
            _, shard, owner = self.asked[number]
            why = "does not answer" if reply is None else "has no books of that range, or not as of that vector"
            self.compared = Compared(self.question, Verdict.OTHER, f"{owner} {why} ({shard.first:x})")
            return []
        self.replies[number] = reply
        if len(self.replies) < len(self.asked):
            return []
        if self.vector is None:
            return self._align()
        self.compared = self._compare()
        return []

    def _align(self) -> Out:
        """The least that all have in common."""
        vectors = [reply.vector for reply in self.replies.values()]
        common: Vector = {}
        for name in sorted(set.intersection(*(set(vector) for vector in vectors))):
            boots = {vector[name].boot for vector in vectors}
            if len(boots) == 1:
                common[name] = Stamp(boots.pop(), min(vector[name].seq for vector in vectors))
        if not common:
            self.compared = Compared(self.question, Verdict.OTHER, "the sides have no member in common")
            return []
        self.vector, self.replies = common, {}
        return [
            (len(self.asked) + i, owner, Ask(shard.first, shard.last, self.question, common))
            for i, (_, shard, owner) in enumerate(self.asked)
        ]

    def _compare(self) -> Compared:
        assert self.vector is not None
        results: dict[str, list[tuple[Found, ...]]] = {"old": [], "new": []}
        for side in results:
            by_shard: dict[int, list[tuple[Found, ...]]] = {}
            for i, (of, shard, _) in enumerate(self.asked):
                if of == side:
                    by_shard.setdefault(shard.first, []).append(self.replies[i].found)
            # Every choice of one copy of each shard: the first of all, the second of all, and so on.
            copies = max(map(len, by_shard.values()))
            results[side] = [
                merge(self.question, (found[min(n, len(found) - 1)] for found in by_shard.values()))
                for n in range(copies)
            ]
        full = set(self.vector) >= self.living
        old, new = results["old"][0], results["new"][0]
        odd = next((one for one in results["old"] + results["new"] if one != old), None)
        if odd is None:
            return Compared(self.question, Verdict.AGREE, "", full, old, new, self.vector)
        return Compared(
            self.question,
            Verdict.DISAGREE,
            "equal vectors, other results",
            full,
            old,
            new if new != old else odd,
            self.vector,
        )


def holding(old: ShardMap, new: ShardMap | None, before: ShardMap | None) -> list[Shard]:
    """Shards that get a member's rows. new: on a permit; before: proven until lately, which some still read by."""
    found: dict[tuple[int, int, tuple[str, ...]], Shard] = {}
    for shards in (old, new, before):
        for shard in shards.shards if shards is not None else ():
            found[shard.first, shard.last, shard.owners] = shard
    return list(found.values())
