"""Replicated register of one entry on the voters' disks, written by the lease holder. No I/O; monotonic clocks, ms.

Each entry is decided by single-decree Paxos (Lamport 2001) with the lease terms as ballots; the first phase (Prepare)
runs once per term. A new holder first collects promises from a majority, which from then on rejects lower terms, adopts
the newest entry found there, rewrites it under its own term, and only then writes its own. An entry is committed when a
majority has it on disk.

A replica never trusts its disk to be complete after a restart: it takes no part until every round in which its earlier
replies could count has expired, and then until it has queried the others, as voters do. Its own disk decides only if no
majority of the others has the state.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from sageweir.cluster.changes.messages import Message, Phase, Prepare, RecoveryQuery, RegisterReply, RolloutState, Write

Out = list[tuple[str, Message]]
ROUNDS_PER_LEASE = 6  # replies to one round count for lease_ms / 6
RECOVERY_WAITS_PER_LEASE = 4  # a replica waits lease_ms / 4 for a majority before it relies on fewer replies


def encode(state: RolloutState) -> bytes:
    return msgspec.msgpack.encode(state)


def decode(body: bytes) -> RolloutState:
    """Decode an entry; an empty body is the initial state. Raises ValueError."""
    try:
        return msgspec.msgpack.decode(body, type=RolloutState) if body else RolloutState()
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def transition_error(old: RolloutState, new: RolloutState) -> str:
    """Why `new` may not follow `old`, or "": numbers never decrease, and an ended rollout never resumes."""
    if new.step <= old.step:
        return f"step {new.step} after {old.step}"
    if new.number < old.number or new.floor < old.floor or new.floor > new.number:
        return f"change {new.number} (ended {new.floor}) after {old.number} ({old.floor})"
    if (
        new.number == old.number
        and new.floor == old.floor == new.number
        and new.number
        and (
            new.stage > old.stage
            or (old.phase, new.phase)
            not in (
                (Phase.ROLLING_BACK, Phase.ROLLING_BACK),
                (Phase.ROLLING_BACK, Phase.HALTED),
                (old.phase, old.phase),
            )
        )
    ):
        return f"change {new.number} has ended as {old.phase.value}"
    for baseline in old.baselines:
        if new.baseline(baseline.kind).number < baseline.number:
            return f"{baseline.kind}: proven {new.baseline(baseline.kind).number} after {baseline.number}"
    return ""


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry as a replica stores it. sequence: number of the entry within its term."""

    term: int = 0
    sequence: int = 0
    body: bytes = b""

    @property
    def ballot(self) -> tuple[int, int]:
        return self.term, self.sequence


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What must be on a replica's disk before its reply is sent."""

    promised: int = 0
    entry: Entry = Entry()


class Replica:
    """A voter's copy of the register (the Paxos acceptor).

    Each reply must wait until `persisted_state()` and all content named by a Write are on the disk.
    """

    def __init__(
        self,
        name: str,
        replicas: tuple[str, ...],
        lease_ms: float,
        now: float,
        boot: int,
        disk: ReplicaState | None = None,
    ) -> None:
        """boot: random number of this start; disk: state found on the disk."""
        self.name, self.replicas, self.lease_ms, self.boot = name, replicas, lease_ms, boot
        self.promised, self.entry = (disk.promised, disk.entry) if disk is not None else (0, Entry())
        self._clock, self.elapsed_ms, self.excluded_until = now, 0.0, lease_ms
        self.intact = False
        self.replies: dict[str, RegisterReply] = {}

    @property
    def majority(self) -> int:
        return len(self.replicas) // 2 + 1

    def persisted_state(self) -> ReplicaState:
        return ReplicaState(self.promised, self.entry)

    def _advance_clock(self, now: float) -> float:
        """Time since the start in ms; jumps of the clock are left out, as in a voter."""
        elapsed, self._clock = now - self._clock, now
        if 0 < elapsed <= self.lease_ms / 8:
            self.elapsed_ms += elapsed
        return self.elapsed_ms

    def install(self, replicas: tuple[str, ...]) -> None:
        self.replicas = replicas

    def on_prepare(self, now: float, prepare: Prepare) -> RegisterReply:
        """Promise the term to a new holder and reply with the current entry."""
        self._advance_clock(now)
        ok = self.intact and prepare.term >= self.promised
        if ok:
            self.promised = prepare.term
        return self._reply(prepare.number, ok)

    def on_write(self, now: float, write: Write) -> RegisterReply:
        """Accept an entry unless a later term was promised or a later entry is stored."""
        self._advance_clock(now)
        ok = self.intact and write.term >= self.promised and (write.term, write.sequence) >= self.entry.ballot
        if ok:
            self.promised, self.entry = write.term, Entry(write.term, write.sequence, write.body)
        return self._reply(write.number, ok)

    def _reply(self, number: int, ok: bool) -> RegisterReply:
        return RegisterReply(self.name, number, ok, self.promised, *self.entry.ballot, self.entry.body, self.intact)

    # Recovery after a start

    def poll(self, now: float) -> Out:
        """Queries to the other replicas, repeated until recovery is complete."""
        if self.intact or self._advance_clock(now) < self.excluded_until:
            return []
        self._try_finish_recovery()
        return (
            []
            if self.intact
            else [(name, RecoveryQuery(self.name, self.boot)) for name in self.replicas if name != self.name]
        )

    def on_recovery_query(self, query: RecoveryQuery) -> RegisterReply:
        """Reply to a replica that has restarted."""
        return self._reply(query.number, False)

    def on_recovery_reply(self, now: float, reply: RegisterReply) -> None:
        """Count the reply of another replica towards recovery."""
        expected = reply.number == self.boot and reply.replica in self.replicas and reply.replica != self.name
        if not self.intact and expected and self._advance_clock(now) >= self.excluded_until:
            self.replies[reply.replica] = reply
            self._try_finish_recovery()

    def _try_finish_recovery(self) -> None:
        intact = [reply for reply in self.replies.values() if reply.intact]
        waiting = self.elapsed_ms < self.excluded_until + self.lease_ms / RECOVERY_WAITS_PER_LEASE
        if len(intact) >= self.majority or (len(self.replies) + 1 >= self.majority and not waiting):
            for reply in self.replies.values():
                self.promised = max(self.promised, reply.promised)
                self.entry = max(
                    self.entry, Entry(reply.term, reply.sequence, reply.body), key=lambda entry: entry.ballot
                )
            self.intact = True
            self.replies.clear()


class WriterMode(Enum):
    """What the writer does in its current term."""

    OFF = "off"
    PREPARING = "claiming"
    REWRITING = "writing"  # the entry found by Prepare, under the new term
    READY = "ready"


@dataclass(slots=True)
class _Round:
    number: int
    started_at: float
    accepted: dict[str, RegisterReply] = field(default_factory=dict)


class Writer:
    """The lease holder's side of the register (the Paxos proposer).

    `tick` and `on_reply` may only be called while the lease is held; `on_lease_lost` ends that.
    """

    def __init__(self, name: str, replicas: tuple[str, ...], lease_ms: float, number: int) -> None:
        """number: first round number, random at each start."""
        self.name, self.replicas, self.lease_ms = name, replicas, lease_ms
        self.mode, self.term, self.sequence = WriterMode.OFF, 0, 0
        self.state = RolloutState()  # committed
        self.higher_term = 0  # highest term that a replica has promised to another holder
        self.read_error = ""  # why the entry found can't be decoded
        self._body = b""
        self._blobs: tuple[str, ...] = ()
        self._pending: RolloutState | None = None
        self._round: _Round | None = None
        self._number = number

    @property
    def majority(self) -> int:
        return len(self.replicas) // 2 + 1

    @property
    def ready(self) -> bool:
        """Whether the next state can be written now."""
        return self.mode is WriterMode.READY and self._pending is None and not self.read_error

    def on_lease_acquired(self, now: float, term: int) -> Out:
        """Read the register under a new term."""
        self.mode, self.term, self.sequence, self.higher_term, self.read_error = WriterMode.PREPARING, term, 0, 0, ""
        self._pending = self._round = None
        return self._start_round(now)

    def on_lease_lost(self) -> None:
        self.mode, self._pending, self._round = WriterMode.OFF, None, None

    def install(self, replicas: tuple[str, ...]) -> None:
        """Use another set of replicas; a pending request is sent again, to these."""
        self.replicas, self._round = replicas, None

    def write(self, now: float, state: RolloutState, blobs: tuple[str, ...]) -> Out:
        """Write the next state; `self.state` changes once a majority has it. Raises ValueError if it may not follow.

        blobs: digests of content that the replicas must have first.
        """
        if not self.ready:
            raise ValueError("the register is not ready")
        if reason := transition_error(self.state, state):
            raise ValueError(reason)
        self._pending, self._body, self._blobs = state, encode(state), blobs
        self.sequence += 1
        return self._start_round(now)

    def tick(self, now: float) -> Out:
        """Start a new round, under a new number, if the open one has found no majority in time."""
        if self.mode is WriterMode.OFF or (self.mode is WriterMode.READY and self._pending is None):
            return []
        if self._round is not None and 0 <= now - self._round.started_at < self.lease_ms / ROUNDS_PER_LEASE:
            return []
        return self._start_round(now)

    def _start_round(self, now: float) -> Out:
        self._number += 1
        self._round = _Round(self._number, now)
        message: Message
        if self.mode is WriterMode.PREPARING:
            message = Prepare(self.term, self.name, self._number)
        else:
            message = Write(self.term, self.sequence, self._body, self.name, self._number, self._blobs)
        return [(name, message) for name in self.replicas]

    def on_reply(self, now: float, reply: RegisterReply) -> Out:
        """Count the reply of a replica to the open round."""
        # Guards against replies that a replica has forgotten by a restart: only those of one short round are combined.
        current = self._round
        if current is None or reply.number != current.number or reply.replica not in self.replicas:
            return []
        if not 0 <= now - current.started_at < self.lease_ms / ROUNDS_PER_LEASE:
            return []
        if not reply.ok:
            self.higher_term = max(self.higher_term, reply.promised if reply.promised > self.term else 0)
            return []
        current.accepted[reply.replica] = reply
        if len(current.accepted) < self.majority:
            return []
        self._round = None
        if self.mode is WriterMode.PREPARING:
            newest = max(current.accepted.values(), key=lambda reply: (reply.term, reply.sequence))
            try:
                self.state = decode(newest.body)
            except ValueError as error:
                self.read_error = f"the register can't be read: {error}"
                self.mode = WriterMode.OFF
                return []
            if not newest.body:
                self.mode = WriterMode.READY
                return []
            # Guards against losing an entry of an earlier term that only a minority has: rewrite it to a majority.
            self.mode, self._body, self._blobs, self.sequence = WriterMode.REWRITING, newest.body, (), 1
            return self._start_round(now)
        if self._pending is not None:
            self.state, self._pending = self._pending, None
        self.mode = WriterMode.READY
        return []
