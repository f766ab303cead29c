"""Questions to the owners of shards, and dual reads during a rollout of a shard map. No I/O.

A dual read compares the results of the old and the new map. It first asks every owner on both sides for its vector,
then asks all of them the question as of the newest vector that all can answer: the same boots of members at the same
epochs. Equal vectors must give equal results. Sides that can't be aligned are counted as not comparable, never as
agreement. Results for clients come from the old map until the cut-over.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from sageweir.cluster.ledger.messages import NUMBER, TENANT, Found, QueryReply, Question, ShardQuery, Stamp, Vector
from sageweir.cluster.ledger.owner import merge
from sageweir.cluster.ledger.shards import RangeDiff, Shard, ShardMap

Requests = list[tuple[int, str, ShardQuery]]  # request number to pass to on_reply, owner, query


class Verdict(Enum):
    """Outcome of a dual read."""

    AGREE = "agree"
    DISAGREE = "disagree"
    NOT_COMPARABLE = "not comparable"


def key_of(question: Question) -> str | None:
    """The key that a question is about; None if it may concern many."""
    kinds = {NUMBER: "n", TENANT: "t"}
    return f"{kinds[question.kind]}:{question.subject}" if question.kind in kinds else None


def shards_for(question: Question, shards: Iterable[Shard]) -> list[Shard]:
    """Shards that must be asked to answer a question."""
    key = key_of(question)
    return [shard for shard in shards if key is None or shard.holds(key)]


@dataclass(frozen=True, slots=True)
class Answer:
    """Merged answer of all shards.

    vectors: by first position of the shard; missing: members without a recent update at some owner; whole: every shard
    answered.
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
    """One question by one map. The owners of a shard are asked in turn until one answers."""

    question: Question
    shards: list[Shard]
    attempts: dict[int, int] = field(default_factory=dict)
    replies: dict[int, QueryReply | None] = field(default_factory=dict)

    def start(self) -> Requests:
        return [
            (i, shard.owners[0], ShardQuery(shard.first, shard.last, self.question))
            for i, shard in enumerate(self.shards)
        ]

    def on_reply(self, number: int, reply: QueryReply | None) -> Requests:
        """Process a reply, None: it timed out. Returns further requests."""
        if number in self.replies:
            return []
        if reply is not None and reply.known:
            self.replies[number] = reply
            return []
        shard = self.shards[number]
        self.attempts[number] = self.attempts.get(number, 0) + 1
        if self.attempts[number] < len(shard.owners):
            return [(number, shard.owners[self.attempts[number]], ShardQuery(shard.first, shard.last, self.question))]
        self.replies[number] = None
        return []

    def answer(self) -> Answer | None:
        """The merged answer; None while replies are outstanding."""
        if len(self.replies) < len(self.shards):
            return None
        received = {self.shards[i].first: reply for i, reply in self.replies.items() if reply is not None}
        missing = {name for reply in received.values() for name in reply.missing}
        return Answer(
            merge(self.question, (reply.found for reply in received.values())),
            {first: reply.vector for first, reply in received.items()},
            tuple(sorted(missing)),
            len(received) == len(self.shards),
        )


@dataclass(frozen=True, slots=True)
class Comparison:
    """Result of a dual read. full: the vector covers all live members."""

    question: Question
    verdict: Verdict
    why: str = ""
    full: bool = False
    old: tuple[Found, ...] = ()
    new: tuple[Found, ...] = ()
    vector: Vector = field(default_factory=dict)


class DualRead:
    """Dual read of one question over one range that differs between two maps. living: names of live members."""

    def __init__(self, question: Question, diff: RangeDiff, living: Iterable[str]) -> None:
        self.question, self.diff, self.living = question, diff, frozenset(living)
        old, new = shards_for(question, diff.old), shards_for(question, diff.new)
        # Every owner of every shard is asked, to detect replicas that differ as well as shards that differ.
        self.asked = [
            (side, shard, owner)
            for side, shards in (("old", old), ("new", new))
            for shard in shards
            for owner in shard.owners
        ]
        self.vector: Vector | None = None
        self.replies: dict[int, QueryReply] = {}
        self.compared: Comparison | None = None

    def start(self) -> Requests:
        return [(i, owner, ShardQuery(shard.first, shard.last)) for i, (_, shard, owner) in enumerate(self.asked)]

    def on_reply(self, number: int, reply: QueryReply | None) -> Requests:
        """Process a reply, None: it timed out. Returns further requests."""
        # Numbers of the second round are offset, so that a duplicate reply to the first round is ignored.
        number -= len(self.asked) * (self.vector is not None)
        if self.compared is not None or number in self.replies or not 0 <= number < len(self.asked):
            return []
        if reply is None or not reply.known:
            _, shard, owner = self.asked[number]
            why = "did not reply" if reply is None else "does not hold this range, or not as of this vector"
            self.compared = Comparison(self.question, Verdict.NOT_COMPARABLE, f"{owner} {why} ({shard.first:x})")
            return []
        self.replies[number] = reply
        if len(self.replies) < len(self.asked):
            return []
        if self.vector is None:
            return self._align()
        self.compared = self._compare()
        return []

    def _align(self) -> Requests:
        """Start the second round, as of the newest vector that all owners can answer."""
        vectors = [reply.vector for reply in self.replies.values()]
        common: Vector = {}
        for name in sorted(set.intersection(*(set(vector) for vector in vectors))):
            boots = {vector[name].boot for vector in vectors}
            if len(boots) == 1:
                common[name] = Stamp(boots.pop(), min(vector[name].epoch for vector in vectors))
        if not common:
            self.compared = Comparison(self.question, Verdict.NOT_COMPARABLE, "owners have no member in common")
            return []
        self.vector, self.replies = common, {}
        return [
            (len(self.asked) + i, owner, ShardQuery(shard.first, shard.last, self.question, common))
            for i, (_, shard, owner) in enumerate(self.asked)
        ]

    def _compare(self) -> Comparison:
        assert self.vector is not None
        results: dict[str, list[tuple[Found, ...]]] = {"old": [], "new": []}
        for side in results:
            by_shard: dict[int, list[tuple[Found, ...]]] = {}
            for i, (of, shard, _) in enumerate(self.asked):
                if of == side:
                    by_shard.setdefault(shard.first, []).append(self.replies[i].found)
            # The results of the first replicas of all shards, then of the second ones, and so on.
            replicas = max(map(len, by_shard.values()))
            results[side] = [
                merge(self.question, (found[min(n, len(found) - 1)] for found in by_shard.values()))
                for n in range(replicas)
            ]
        full = set(self.vector) >= self.living
        old, new = results["old"][0], results["new"][0]
        different = next((one for one in results["old"] + results["new"] if one != old), None)
        if different is None:
            return Comparison(self.question, Verdict.AGREE, "", full, old, new, self.vector)
        return Comparison(
            self.question,
            Verdict.DISAGREE,
            "results differ for equal vectors",
            full,
            old,
            new if new != old else different,
            self.vector,
        )


def target_shards(old: ShardMap, new: ShardMap | None, previous: ShardMap | None) -> list[Shard]:
    """Shards whose owners receive this member's rows.

    old: the baseline; new: map under rollout; previous: baseline before the last cut-over, still read by some members.
    """
    found: dict[tuple[int, int, tuple[str, ...]], Shard] = {}
    for shards in (old, new, previous):
        for shard in shards.shards if shards is not None else ():
            found[shard.first, shard.last, shard.owners] = shard
    return list(found.values())
