"""Journal of calls and their reconciliation after a restart; no I/O.

An attempt must be durable before it is sent and a final answer before its caller gets it: otherwise a server may hold a
call that this controller does not know, or a caller that retries with the same id may get a different answer. An
accepted set-up need not be durable, as its caller retries. After a restart, the release guard runs from the start for
every attempt that may have been in flight.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

MAX_OPEN_CALLS = 50_000
MAX_REMEMBERED_ANSWERS = 50_000  # of ended calls
MAX_WAITING_EFFECTS = 10_000  # held until their records are durable
MAX_DESCRIPTION_BYTES = 2048  # of a served call; a longer description is not journalled, so it can not be repeated


class AnswerKind(Enum):
    """Kind of a final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class SetupAccepted(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="t"):
    """A set-up was accepted. deadline_ms: Unix ms."""

    call: str
    service_class: str
    host: str
    deadline_ms: int
    tenant: str = ""


class AttemptSent(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="s"):
    """An attempt was sent."""

    call: str
    number: int
    server: str


class AttemptClosed(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="c"):
    """An attempt ended without an answer."""

    call: str
    number: int


class AnswerGiven(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="a"):
    """The final answer was given. description: of a served call, if it is short enough to be journalled."""

    call: str
    kind: AnswerKind
    server: str = ""
    description: str | None = None
    truncated: bool = False  # the description was too long and is not journalled


class CallEnded(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="o"):
    """An established call has ended."""

    call: str


Record = SetupAccepted | AttemptSent | AttemptClosed | AnswerGiven | CallEnded
_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Record).decode


def encode(record: Record) -> bytes:
    return _encode(record)


def decode(data: bytes) -> Record:
    """Decode a record. Raises ValueError."""
    try:
        return _decode(data)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def must_be_durable(record: Record) -> bool:
    """Whether the record must be durable before its effect becomes visible."""
    return isinstance(record, AttemptSent | AnswerGiven)


def served_answer(call: str, server: str, description: str | None) -> AnswerGiven:
    """Record of a served call, with its description unless that is too long to be journalled."""
    short = description is None or len(description.encode()) <= MAX_DESCRIPTION_BYTES
    return AnswerGiven(call, AnswerKind.SERVED, server, description if short else None, not short)


@dataclass(slots=True)
class OpenCall:
    """An open call. server, number: of the attempt in flight or established; answer: set once it is established."""

    setup: SetupAccepted
    server: str = ""
    number: int = -1
    answer: AnswerGiven | None = None


class CallJournal:
    """State of the calls, built from records in service and in recovery alike; records of unknown calls are ignored."""

    def __init__(self) -> None:
        self.calls: dict[str, OpenCall] = {}
        self.answers: OrderedDict[str, AnswerGiven] = OrderedDict()  # of ended calls, oldest first
        self.dropped = 0  # calls not journalled, as too many were open

    def apply(self, record: Record) -> None:
        match record:
            case SetupAccepted(call=call):
                if call in self.calls or len(self.calls) >= MAX_OPEN_CALLS:
                    self.dropped += call not in self.calls
                    return
                self.answers.pop(call, None)
                self.calls[call] = OpenCall(record)
            case AttemptSent(call=call, number=number, server=server):
                if (open_call := self.calls.get(call)) is not None and open_call.answer is None:
                    open_call.server, open_call.number = server, number
            case AttemptClosed(call=call, number=number):
                if (
                    (open_call := self.calls.get(call)) is not None
                    and open_call.number == number
                    and open_call.answer is None
                ):
                    open_call.server, open_call.number = "", -1
            case AnswerGiven(call=call, kind=AnswerKind.SERVED):
                if (open_call := self.calls.get(call)) is not None:
                    open_call.answer, open_call.server = record, record.server
            case AnswerGiven(call=call):
                self._close(call, record)
            case CallEnded(call=call):
                open_call = self.calls.get(call)
                self._close(call, open_call.answer if open_call is not None else None)

    def _close(self, call: str, answer: AnswerGiven | None) -> None:
        known = self.calls.pop(call, None) is not None
        if answer is not None and known:
            self.answers[call] = answer
            while len(self.answers) > MAX_REMEMBERED_ANSWERS:
                self.answers.popitem(last=False)

    def snapshot(self) -> bytes:
        """Encode the records that rebuild this state."""
        records: list[Record] = []
        for call, answer in self.answers.items():
            records += [SetupAccepted(call, "", "", 0), answer]
            if answer.kind is AnswerKind.SERVED:
                records.append(CallEnded(call))
        for open_call in self.calls.values():
            records.append(open_call.setup)
            if open_call.server:
                records.append(AttemptSent(open_call.setup.call, open_call.number, open_call.server))
            if open_call.answer is not None:
                records.append(open_call.answer)
        return msgspec.msgpack.encode(records)

    @classmethod
    def restore(cls, snapshot: bytes, records: Iterable[bytes]) -> CallJournal:
        """Rebuild the state from disk. Raises ValueError if the data can not be decoded."""
        journal = cls()
        if snapshot:
            try:
                for record in msgspec.msgpack.decode(snapshot, type=list[Record]):
                    journal.apply(record)
            except msgspec.MsgspecError as error:
                raise ValueError(str(error)) from None
        for data in records:
            journal.apply(decode(data))
        return journal


Effect = Callable[[], None]


@dataclass(slots=True)
class _Waiting:
    number: int
    since: float
    effect: Effect


@dataclass(slots=True)
class WriteAheadGate:
    """Holds an effect back until its record is durable, for at most hold_ms: a stalled disk does not delay an answer
    further. late_effects: number of effects that became visible before their records were durable.
    """

    journal: CallJournal
    hold_ms: float = 50.0
    late_effects: int = 0
    log_usable: bool = True  # the log accepts records
    _waiting: list[_Waiting] = field(default_factory=list)

    def append(self, now: float, number: int, record: Record, effect: Effect | None = None) -> list[Effect]:
        """Apply a record and return the effects to run now. number: of the record in the log."""
        self.journal.apply(record)
        if effect is None:
            return []
        if not must_be_durable(record):
            return [effect]
        if not self.log_usable or len(self._waiting) >= MAX_WAITING_EFFECTS:
            self.late_effects += 1
            return [effect]
        self._waiting.append(_Waiting(number, now, effect))
        return []

    def on_durable(self, number: int) -> list[Effect]:
        """All records up to that number are durable; returns the effects to run."""
        ready = [waiting.effect for waiting in self._waiting if waiting.number <= number]
        self._waiting = [waiting for waiting in self._waiting if waiting.number > number]
        return ready

    def release_overdue(self, now: float) -> list[Effect]:
        """Return the effects that were held for hold_ms."""
        ready = [waiting.effect for waiting in self._waiting if now - waiting.since >= self.hold_ms]
        self._waiting = [waiting for waiting in self._waiting if now - waiting.since < self.hold_ms]
        self.late_effects += len(ready)
        return ready

    def on_log_failure(self) -> list[Effect]:
        """The log accepts no more records: returns all effects, and holds none from now on."""
        self.log_usable = False
        ready, self._waiting = [waiting.effect for waiting in self._waiting], []
        self.late_effects += len(ready)
        return ready


# After a restart


class SetupAction(Enum):
    """How to handle a set-up, by what is known of its id."""

    NEW = "new"
    REPEAT_ANSWER = "again"  # the answer that was given before
    WAIT = "wait"  # refused for now: an attempt may still be in flight at a server
    REPLACE = "anew"  # the established call is released, then the set-up is handled as new


@dataclass(frozen=True, slots=True)
class SetupDecision:
    """Reply to a set-up; answer: the known one, to be repeated; wait_ms: after which the caller should retry."""

    action: SetupAction
    answer: AnswerGiven | None = None
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Resume:
    """The call continues: its caller is connected and its server has confirmed it."""

    open_call: OpenCall


@dataclass(frozen=True, slots=True)
class Release:
    """The call is to be released at its server."""

    call: str
    server: str


@dataclass(frozen=True, slots=True)
class Forget:
    """The call exists at no server; nothing is to be done."""

    call: str


RecoveryAction = Resume | Release | Forget


class Reconciler:
    """Reconciles the journalled calls with servers and connected callers. Times: one monotonic clock, ms.

    An established call continues if its server confirms it and its caller's host connects within limit_ms; otherwise it
    is released. The release guard runs from the start for every attempt that may have been in flight, whatever the
    journal says.
    """

    def __init__(self, journal: CallJournal, now: float, guard_ms: float, limit_ms: float) -> None:
        self.journal, self.guard_ms, self.guard_until, self.deadline = journal, guard_ms, now + guard_ms, now + limit_ms
        self.guards: dict[str, float] = {}  # end of the guard of each call released since the start
        self.confirmed: dict[str, bool] = {}  # calls that their servers have confirmed
        self.hosts: set[str] = set()
        self.unresolved = {call for call, open_call in journal.calls.items() if open_call.answer is not None}
        self.in_doubt = {call for call, open_call in journal.calls.items() if open_call.answer is None}
        self.resumed: set[str] = set()
        self.established_before = frozenset(self.unresolved)

    def pending_queries(self) -> dict[str, list[str]]:
        """Calls to ask each server for: established ones, and attempts that were in flight there."""
        queries: dict[str, list[str]] = {}
        for call in sorted(
            (self.unresolved | {call for call in self.in_doubt if self.journal.calls[call].server})
            - self.confirmed.keys()
        ):
            queries.setdefault(self.journal.calls[call].server, []).append(call)
        return queries

    def on_server_reply(self, now: float, call: str, established: bool) -> list[RecoveryAction]:
        """A server has replied for a call; one that was established there without a journalled answer is released."""
        if call in self.in_doubt and established:
            server = self.journal.calls[call].server
            self.in_doubt.discard(call)
            self._forget(call)
            self.guards[call] = now + self.guard_ms
            return [Release(call, server)]
        if call not in self.unresolved:
            return []
        if not established:
            return self._forget(call)
        self.confirmed[call] = True
        return self._resume_if_confirmed(call)

    def on_host_connected(self, host: str) -> list[RecoveryAction]:
        """A caller has connected from that host."""
        if host in self.hosts:
            return []
        self.hosts.add(host)
        return [
            action
            for call in sorted(self.unresolved & self.confirmed.keys())
            for action in self._resume_if_confirmed(call)
        ]

    def _resume_if_confirmed(self, call: str) -> list[RecoveryAction]:
        open_call = self.journal.calls[call]
        if call not in self.confirmed or open_call.setup.host not in self.hosts:
            return []
        self.unresolved.discard(call)
        self.resumed.add(call)
        return [Resume(open_call)]

    def _forget(self, call: str) -> list[RecoveryAction]:
        self.unresolved.discard(call)
        self.journal.apply(CallEnded(call))
        return [Forget(call)]

    def on_tick(self, now: float) -> list[RecoveryAction]:
        """Apply the guard and the deadline."""
        actions: list[RecoveryAction] = []
        if now >= self.guard_until:
            for call in sorted(self.in_doubt):
                self.journal.calls.pop(call, None)
            self.in_doubt.clear()
        if now >= self.deadline:
            for call in sorted(self.unresolved):
                server = self.journal.calls[call].server
                self._forget(call)
                self.guards[call] = now + self.guard_ms
                # Also sent to a server that did not reply: the call could otherwise continue there for ever.
                actions.append(Release(call, server))
        return actions

    def is_done(self, now: float) -> bool:
        """Whether no call is in doubt any more."""
        return not self.unresolved and now >= self.guard_until

    def on_setup(self, now: float, call: str) -> tuple[SetupDecision, list[RecoveryAction]]:
        """A set-up with that id has arrived; `on_host_connected` was called for its caller before."""
        answer = self.journal.answers.get(call)
        if answer is not None:
            # A served call that has ended is reported as failed: a caller that retries got no answer, and `served`
            # would be false by now.
            return SetupDecision(
                SetupAction.REPEAT_ANSWER,
                answer if answer.kind is not AnswerKind.SERVED else AnswerGiven(call, AnswerKind.FAILED),
            ), []
        open_call = self.journal.calls.get(call)
        if open_call is not None and open_call.answer is not None:
            if call in self.unresolved and call not in self.resumed:  # not confirmed yet
                return SetupDecision(SetupAction.WAIT, None, max(1.0, min(self.guard_ms, self.deadline - now))), []
            if not open_call.answer.truncated or call not in self.established_before:
                return SetupDecision(SetupAction.REPEAT_ANSWER, open_call.answer), []
            # The description is lost: release that call, and set up another one after the release guard.
            server = open_call.server
            self._forget(call)
            self.journal.answers.pop(call, None)
            self.resumed.discard(call)
            self.guards[call] = now + self.guard_ms
            return SetupDecision(SetupAction.REPLACE, None, self.guard_ms), [Release(call, server)]
        until = max(self.guard_until, self.guards.get(call, 0.0))
        if now < until:
            return SetupDecision(SetupAction.WAIT, None, until - now), []
        return SetupDecision(SetupAction.NEW), []
