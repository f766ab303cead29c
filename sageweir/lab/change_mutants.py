"""Mutants of changes, each with the runs that find it: what the checks are held against."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from msgspec import structs

from sageweir.cluster.changes.engine import Engine
from sageweir.cluster.changes.follower import Action, Follower, MemberState, Persist
from sageweir.cluster.changes.messages import Announcement, Phase, RegisterReply, RolloutLease, RolloutState, Write
from sageweir.cluster.changes.register import Entry, Out, Replica, Writer, WriterMode


class ForgetsPromises(Replica):
    """Takes entries of terms below what it promised."""

    def on_write(self, now: float, write: Write) -> RegisterReply:
        self.promised = min(self.promised, write.term)
        self.entry = Entry(0, 0, self.entry.body) if write.term < self.entry.term else self.entry
        return super().on_write(now, write)


class TrustsItsDisk(Replica):
    """Takes part at once after a start, with whatever its disk holds."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.intact, self.entry, self.promised = True, Entry(), 0


class CountsTwice(Writer):
    """Counts each answer on its own, whoever gave it."""

    def on_reply(self, now: float, reply: RegisterReply) -> Out:
        out = super().on_reply(now, reply)
        if self._round is not None and reply.ok and reply.number == self._round.number:
            out += super().on_reply(
                now,
                structs.replace(
                    reply, replica=next(name for name in self.replicas if name not in self._round.accepted)
                ),
            )
        return out


class SkipsReading(Writer):
    """A new holder begins with an empty book."""

    def on_reply(self, now: float, reply: RegisterReply) -> Out:
        return super().on_reply(now, structs.replace(reply, body=b"", term=0, sequence=0) if reply.ok else reply)


class TakesUpUnwritten(Writer):
    """A new holder goes by the newest entry it finds, whoever else has it."""

    def on_reply(self, now: float, reply: RegisterReply) -> Out:
        out = super().on_reply(now, reply)
        if self.mode is WriterMode.REWRITING:
            self.mode, self._round = WriterMode.READY, None
            return []
        return out


class ActsBeforeWritten(Engine):
    """Gives permits for the stage that is only being written."""

    def allowed_members(self) -> frozenset[str]:
        plan, book = self.plan, self.state
        if plan is None or book.phase is not Phase.RUNNING:
            return super().allowed_members()
        return plan.members_through(book.stage + 1)


class NeverEnds(Follower):
    """A permit holds for ever."""

    def tick(self, now: float) -> list[Action]:
        return []


class CountsFromReceipt(Follower):
    """A permit counts from when it came, however late."""

    def on_lease(self, now: float, asked_at: float, lease: RolloutLease) -> list[Action]:
        return super().on_lease(now, now, structs.replace(lease, duration_ms=lease.duration_ms * 4))

    def on_announcement(self, now: float, announcement: Announcement) -> list[Action]:
        return super().on_announcement(now, structs.replace(announcement, floor=0))


class ForgetsFloor(Follower):
    """Writes what has ended nowhere."""

    def on_announcement(self, now: float, announcement: Announcement) -> list[Action]:
        acts = super().on_announcement(now, announcement)
        for i, act in enumerate(acts):
            known = getattr(act, "state", None)
            if isinstance(known, MemberState):
                acts[i] = Persist(MemberState(0, known.baselines))
        return acts


class NumbersAgain(Engine):
    """Gives the number of a change that has ended to the next."""

    def _next_state(self, reason: str, **change: Any) -> RolloutState:
        book = super()._next_state(reason, **change)
        return structs.replace(book, number=1, floor=min(book.floor, 1)) if "number" in change else book


class ClaimsNothing(Writer):
    """A new holder writes its own without reading what a majority has."""

    def on_lease_acquired(self, now: float, term: int) -> Out:
        super().on_lease_acquired(now, term)
        self.mode = WriterMode.READY
        return []


@dataclass(frozen=True, slots=True)
class Mutant:
    """makers: what takes the place of the program's own; where: seeds and faults at points that find it."""

    makers: dict[str, Callable[..., Any]]
    where: Sequence[tuple[int, dict[int, str]]] = ((1, {}),)
    worse: float = 0.0
    cut: bool = False


MUTANTS: dict[str, Mutant] = {
    "answers are counted twice": Mutant({"writer": CountsTwice}),
    "a new holder begins with an empty book": Mutant({"writer": SkipsReading}, ((1, {683: "crash after"}),)),
    "a new holder reads nothing": Mutant({"writer": ClaimsNothing}, ((1, {883: "crash after"}),)),
    "permits before the stage is written": Mutant({"engine": ActsBeforeWritten}),
    "a permit never ends": Mutant({"follower": NeverEnds}, cut=True),
    "a permit counts from its receipt": Mutant({"follower": CountsFromReceipt}, worse=1.0),
    "what was halted is not on the disk": Mutant({"follower": ForgetsFloor}),
    "a number comes again": Mutant({"engine": NumbersAgain}),
}
