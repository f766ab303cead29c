"""Mutants of the ledger, each a small change to one of its cores; plays must find every one."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from msgspec import structs

from sageweir.cluster.ledger.account import MemberCounts, Rows
from sageweir.cluster.ledger.messages import (
    BUSIEST,
    Found,
    QueryReply,
    Question,
    Row,
    RowsUpdate,
    ShardQuery,
    Stamp,
    UpdateReply,
)
from sageweir.cluster.ledger.owner import ShardCounts, Sum, _sum
from sageweir.cluster.ledger.reading import DualRead, Requests
from sageweir.cluster.ledger.sender import Sender
from sageweir.lab.shardsim import play


class Added(ShardCounts):
    """A row that comes again is added to what is there."""

    def _apply(self, now: float, update: RowsUpdate, rows: Mapping[str, Row | None]) -> None:
        super()._apply(now, update, rows)
        for key, row in rows.items():
            if update.base and row is not None:
                self._add(key, _sum(row))


class Swallowed(ShardCounts):
    """One change in five is said to be taken, and is not."""

    taken = 0

    def on_update(self, now: float, update: RowsUpdate, living: Mapping[str, int]) -> UpdateReply:
        self.taken += 1
        if update.base and self.taken % 5 == 0:
            update = structs.replace(update, rows={})
        return super().on_update(now, update, living)


class Gapped(ShardCounts):
    """Changes are taken where what they follow is not here."""

    def on_update(self, now: float, update: RowsUpdate, living: Mapping[str, int]) -> UpdateReply:
        if update.base and update.member not in self.rows_by_member:
            update = structs.replace(update, base=0)
        return super().on_update(now, update, living)


class Forgetful(ShardCounts):
    """Rows of a start that is over stay in the sums."""

    def prune(self, living: Mapping[str, int]) -> None:
        for name in [name for name, entry in self.rows_by_member.items() if living.get(name) != entry.boot]:
            del self.rows_by_member[name]
        super().prune(living)


class Present(ShardCounts):
    """As of a vector means as it is now."""

    def on_query(self, now: float, query: ShardQuery, living: Mapping[str, int]) -> QueryReply:
        reply = super().on_query(now, structs.replace(query, asof=None), living)
        return structs.replace(reply, vector=dict(query.asof)) if query.asof is not None else reply


class NoEnds(ShardCounts):
    """Rows that are forgotten stay."""

    def _apply(self, now: float, update: RowsUpdate, rows: Mapping[str, Row | None]) -> None:
        super()._apply(now, update, {key: row for key, row in rows.items() if row is not None})


class FirstPage(ShardCounts):
    """An epoch counts once its first page is here."""

    def on_update(self, now: float, update: RowsUpdate, living: Mapping[str, int]) -> UpdateReply:
        return super().on_update(now, structs.replace(update, page=0, pages=1), living)


class OneLess(ShardCounts):
    """An epoch too little is undone."""

    def _overlay(self, asof: Mapping[str, Stamp]) -> dict[str, Sum] | None:
        near = {
            name: Stamp(stamp.boot, min(stamp.epoch + 1, self.rows_by_member[name].epoch))
            if name in self.rows_by_member
            else stamp
            for name, stamp in asof.items()
        }
        return super()._overlay(near)


class OtherTies(ShardCounts):
    """Ties among the busiest fall otherwise at one owner."""

    def _found(self, question: Question, overlay: Mapping[str, Sum]) -> tuple[Found, ...]:
        if question.kind != BUSIEST or self.first == 0:
            return super()._found(question, overlay)
        every = super()._found(structs.replace(question, limit=100), overlay)
        return tuple(
            sorted(
                sorted(every, key=lambda one: one.key, reverse=True), key=lambda one: (-one.established, -one.setups)
            )[: question.limit]
        )


class StaleFull(ShardCounts):
    """All rows as of an earlier epoch replace what is here."""

    def on_update(self, now: float, update: RowsUpdate, living: Mapping[str, int]) -> UpdateReply:
        entry = self.rows_by_member.get(update.member)
        if update.base == 0 and entry is not None and entry.boot == update.boot and update.epoch < entry.epoch:
            epoch = entry.epoch
            self._apply(now, update, update.rows)
            entry.epoch = epoch
            return UpdateReply(True, epoch)
        return super().on_update(now, update, living)


class Boundary(MemberCounts):
    """A range takes the key at its end as well."""

    def since(self, base: int, first: int, last: int) -> tuple[int, Rows]:
        return super().since(base, first, last + 1)


class Ahead(Sender):
    """An owner that refused is taken to have it all."""

    def on_reply(self, owner: str, update: RowsUpdate, reply: UpdateReply) -> None:
        super().on_reply(
            owner, update, structs.replace(reply, held_epoch=self.member_counts.epoch) if not reply.ok else reply
        )


class EitherRound(DualRead):
    """An answer to the first round counts in the second."""

    def on_reply(self, number: int, reply: QueryReply | None) -> Requests:
        known = number % len(self.asked) + len(self.asked) * (self.vector is not None)
        return super().on_reply(known, reply)


@dataclass(frozen=True, slots=True)
class Mutant:
    """makers: of the play; kinds: of faults at these points that bring it out, none: plain plays."""

    makers: dict[str, Any]
    kinds: tuple[str, ...] = ()
    seeds: range = field(default=range(1, 5))
    dies: tuple[str, float] | None = None
    points: range = field(default=range(400, 5000, 230))


MUTANTS: dict[str, Mutant] = {
    "a row is added again": Mutant({"shelf": Added}),
    "a change is said to be taken and is not": Mutant({"shelf": Swallowed}),
    "changes are taken whatever is here": Mutant({"shelf": Gapped}, dies=("m0", 2200.0)),
    "rows of an earlier start stay": Mutant({"shelf": Forgetful}, dies=("m3", 1500.0)),
    "as of a vector means now": Mutant({"shelf": Present}),
    "forgotten rows stay": Mutant({"shelf": NoEnds}),
    "the first page counts": Mutant({"shelf": FirstPage}),
    "an epoch too little is undone": Mutant({"shelf": OneLess}),
    "ties fall otherwise": Mutant({"shelf": OtherTies}),
    "old rows replace newer ones": Mutant({"shelf": StaleFull}, ("late",), points=range(1, 60, 2)),
    "the boundary is in both halves": Mutant({"account": Boundary}),
    "an owner that refused is taken to have all": Mutant({"sender": Ahead}, dies=("m0", 2200.0)),
    "an answer to the first round counts in the second": Mutant({"dual": EitherRound}, ("doubled",)),
}


def finds(name: str, blind: bool = False) -> bool:
    """Whether plays find a mutant. blind: by dual reads alone, which disagree, or never let shards cut over."""
    mutant = MUTANTS[name]
    for seed in mutant.seeds:
        for i, number in enumerate(mutant.points if mutant.kinds else [0]):
            faults = {number: mutant.kinds[i % len(mutant.kinds)]} if mutant.kinds else None
            played = play(seed, faults, dies=mutant.dies, blind=blind, **mutant.makers)
            held = any(text.startswith("no cut-over") for text in played.found)
            if played.disagreed or held or (played.found and not blind):
                return True
    return False
