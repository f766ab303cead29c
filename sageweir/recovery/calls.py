"""Calls as a journalled machine: each step is a record, and says what must be durable before its effect is seen. Pure.

An attempt must be on the disk before its server hears of it, and a final answer before its caller does: else a call may
stand at a server that nobody asks for it, and whoever asks again with the same id may hear another word. A set-up that
was taken need not be: its caller asks again. After a start all that may have been out is guarded from the start on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

CALLS_MAX, TOLD_MAX, WAITING_MAX = 50_000, 50_000, 10_000
ANSWER_BYTES = 2048  # of a served call's description, that can be told again


class How(Enum):
    """The final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Taken(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="t"):
    """A set-up came. until_ms: its deadline, unix."""

    call: str
    service_class: str
    host: str
    until_ms: int
    tenant: str = ""


class Sent(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="s"):
    """An attempt is out."""

    call: str
    number: int
    server: str


class Closed(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="c"):
    """It is over, without an answer."""

    call: str
    number: int


class Told(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="a"):
    """The final answer. description: of a call that is served, where it is short enough to be kept."""

    call: str
    how: How
    server: str = ""
    description: str | None = None
    cut: bool = False  # the description was too long


class Over(msgspec.Struct, frozen=True, gc=False, array_like=True, tag="o"):
    """A call that stood has ended."""

    call: str


Record = Taken | Sent | Closed | Told | Over
_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Record).decode


def encode(record: Record) -> bytes:
    return _encode(record)


def decode(data: bytes) -> Record:
    """Raises ValueError."""
    try:
        return _decode(data)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def must_last(record: Record) -> bool:
    """Whether its effect may be seen only once it is durable."""
    return isinstance(record, Sent | Told)


def served(call: str, server: str, description: str | None) -> Told:
    """With its description, unless that is too long to be kept."""
    short = description is None or len(description.encode()) <= ANSWER_BYTES
    return Told(call, How.SERVED, server, description if short else None, not short)


@dataclass(slots=True)
class Kept:
    """A call that is open. server, number: of the attempt that is out, or stands; told: it stands."""

    taken: Taken
    server: str = ""
    number: int = -1
    told: Told | None = None


class Book:
    """State by records, the same in service and in recovery. Calls that are not known were left out, and are let be."""

    def __init__(self) -> None:
        self.calls: dict[str, Kept] = {}
        self.told: OrderedDict[str, Told] = OrderedDict()  # of calls that are not open any more
        self.left_out = 0  # calls over the bound

    def apply(self, record: Record) -> None:
        match record:
            case Taken(call=call):
                if call in self.calls or len(self.calls) >= CALLS_MAX:
                    self.left_out += call not in self.calls
                    return
                self.told.pop(call, None)
                self.calls[call] = Kept(record)
            case Sent(call=call, number=number, server=server):
                if (kept := self.calls.get(call)) is not None and kept.told is None:
                    kept.server, kept.number = server, number
            case Closed(call=call, number=number):
                if (kept := self.calls.get(call)) is not None and kept.number == number and kept.told is None:
                    kept.server, kept.number = "", -1
            case Told(call=call, how=How.SERVED):
                if (kept := self.calls.get(call)) is not None:
                    kept.told, kept.server = record, record.server
            case Told(call=call):
                self._close(call, record)
            case Over(call=call):
                kept = self.calls.get(call)
                self._close(call, kept.told if kept is not None else None)

    def _close(self, call: str, told: Told | None) -> None:
        known = self.calls.pop(call, None) is not None
        if told is not None and known:
            self.told[call] = told
            while len(self.told) > TOLD_MAX:
                self.told.popitem(last=False)

    def snapshot(self) -> bytes:
        """Records that make this state."""
        out: list[Record] = []
        for call, told in self.told.items():
            out += [Taken(call, "", "", 0), told]
            if told.how is How.SERVED:
                out.append(Over(call))
        for kept in self.calls.values():
            out.append(kept.taken)
            if kept.server:
                out.append(Sent(kept.taken.call, kept.number, kept.server))
            if kept.told is not None:
                out.append(kept.told)
        return msgspec.msgpack.encode(out)

    @classmethod
    def read(cls, snapshot: bytes, records: Iterable[bytes]) -> Book:
        """What a disk held. Raises ValueError where it is not ours to read."""
        book = cls()
        if snapshot:
            try:
                for record in msgspec.msgpack.decode(snapshot, type=list[Record]):
                    book.apply(record)
            except msgspec.MsgspecError as error:
                raise ValueError(str(error)) from None
        for data in records:
            book.apply(decode(data))
        return book


Effect = Callable[[], None]


@dataclass(slots=True)
class _Waiting:
    number: int
    since: float
    effect: Effect


@dataclass(slots=True)
class Desk:
    """Holds an effect back until its record is durable, and never for long: a final answer is not withheld because a
    disk stalls. hold_ms: at most so long; late: effects that were seen before their records were durable.
    """

    book: Book
    hold_ms: float = 50.0
    late: int = 0
    lasts: bool = True  # the log takes records
    _waiting: list[_Waiting] = field(default_factory=list)

    def note(self, now: float, number: int, record: Record, effect: Effect | None = None) -> list[Effect]:
        """A step. number: of its record in the log; what may be seen at once."""
        self.book.apply(record)
        if effect is None:
            return []
        if not must_last(record):
            return [effect]
        if not self.lasts or len(self._waiting) >= WAITING_MAX:
            self.late += 1
            return [effect]
        self._waiting.append(_Waiting(number, now, effect))
        return []

    def durable(self, number: int) -> list[Effect]:
        """All up to that record is on the disk."""
        ready = [one.effect for one in self._waiting if one.number <= number]
        self._waiting = [one for one in self._waiting if one.number > number]
        return ready

    def look(self, now: float) -> list[Effect]:
        """What has waited long enough."""
        ready = [one.effect for one in self._waiting if now - one.since >= self.hold_ms]
        self._waiting = [one for one in self._waiting if now - one.since < self.hold_ms]
        self.late += len(ready)
        return ready

    def distrusted(self) -> list[Effect]:
        """The log takes nothing more: what waits is said, and nothing waits from now on."""
        self.lasts = False
        ready, self._waiting = [one.effect for one in self._waiting], []
        self.late += len(ready)
        return ready


# After a start


class Say(Enum):
    """What becomes of a set-up that comes with an id."""

    NEW = "new"
    AGAIN = "again"  # the same word as before
    WAIT = "wait"  # refused for so long: it may still be out somewhere
    ANEW = "anew"  # the call that stands is released, then as a new one


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a caller hears that asks again: `told` where its answer is known, wait_ms where it should come later."""

    say: Say
    told: Told | None = None
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class TakeBack:
    """The call goes on: the caller is there, and its server says that it stands."""

    kept: Kept


@dataclass(frozen=True, slots=True)
class Release:
    """Its server is told that it is over."""

    call: str
    server: str


@dataclass(frozen=True, slots=True)
class Forget:
    """Nothing is owed: a call that no server has."""

    call: str


Act = TakeBack | Release | Forget


class Reconciler:
    """What the disk knew of calls, against servers and callers that are there. Times of one monotonic clock, ms.

    A call that stood goes on if its server says that it stands and its caller's host is there, within limit_ms; else it
    is released. All that may have been out is guarded from the start on, whatever the disk says of it.
    """

    def __init__(self, book: Book, now: float, guard_ms: float, limit_ms: float) -> None:
        self.book, self.guard_ms, self.guard_until, self.until = book, guard_ms, now + guard_ms, now + limit_ms
        self.guards: dict[str, float] = {}  # of calls that were released since
        self.stands: dict[str, bool] = {}  # by servers' word
        self.hosts: set[str] = set()
        self.open = {call for call, kept in book.calls.items() if kept.told is not None}
        self.out = {call for call, kept in book.calls.items() if kept.told is None}
        self.taken_back: set[str] = set()
        self.before = frozenset(self.open)  # calls that stood before the start

    def questions(self) -> dict[str, list[str]]:
        """Which servers are to be asked for which calls: those that stood, and those that were out at them."""
        found: dict[str, list[str]] = {}
        for call in sorted(
            (self.open | {call for call in self.out if self.book.calls[call].server}) - self.stands.keys()
        ):
            found.setdefault(self.book.calls[call].server, []).append(call)
        return found

    def server_says(self, now: float, call: str, stands: bool) -> list[Act]:
        """Of a call that it was asked for. One that came to stand when nobody here knew is released."""
        if call in self.out and stands:
            server = self.book.calls[call].server
            self.out.discard(call)
            self._forget(call)
            self.guards[call] = now + self.guard_ms
            return [Release(call, server)]
        if call not in self.open:
            return []
        if not stands:
            return self._forget(call)
        self.stands[call] = True
        return self._joined(call)

    def host_is_here(self, host: str) -> list[Act]:
        """A caller's connection came from there."""
        if host in self.hosts:
            return []
        self.hosts.add(host)
        return [act for call in sorted(self.open & self.stands.keys()) for act in self._joined(call)]

    def _joined(self, call: str) -> list[Act]:
        kept = self.book.calls[call]
        if call not in self.stands or kept.taken.host not in self.hosts:
            return []
        self.open.discard(call)
        self.taken_back.add(call)
        return [TakeBack(kept)]

    def _forget(self, call: str) -> list[Act]:
        self.open.discard(call)
        self.book.apply(Over(call))
        return [Forget(call)]

    def look(self, now: float) -> list[Act]:
        """Time has passed."""
        acts: list[Act] = []
        if now >= self.guard_until:
            for call in sorted(self.out):
                self.book.calls.pop(call, None)
            self.out.clear()
        if now >= self.until:
            for call in sorted(self.open):
                server = self.book.calls[call].server
                self._forget(call)
                self.guards[call] = now + self.guard_ms
                # Guards against a call that goes on at a server and that nobody ends: also where it did not answer.
                acts.append(Release(call, server))
        return acts

    def over(self, now: float) -> bool:
        """Nothing is in doubt any more."""
        return not self.open and now >= self.guard_until

    def asked(self, now: float, call: str) -> tuple[Verdict, list[Act]]:
        """A set-up with that id. Its caller is there, which is told before (`host_is_here`)."""
        told = self.book.told.get(call)
        if told is not None:
            # Guards against `served` for a call that is over: who asks has heard no word, and hears one that is true.
            return Verdict(Say.AGAIN, told if told.how is not How.SERVED else Told(call, How.FAILED)), []
        kept = self.book.calls.get(call)
        if kept is not None and kept.told is not None:
            if call in self.open and call not in self.taken_back:  # its server has not said yet that it stands
                return Verdict(Say.WAIT, None, max(1.0, min(self.guard_ms, self.until - now))), []
            if not kept.told.cut or call not in self.before:
                return Verdict(Say.AGAIN, kept.told), []
            # Its words are lost: that call is released, and another set up once the release is sure.
            server = kept.server
            self._forget(call)
            self.book.told.pop(call, None)
            self.taken_back.discard(call)
            self.guards[call] = now + self.guard_ms
            return Verdict(Say.ANEW, None, self.guard_ms), [Release(call, server)]
        until = max(self.guard_until, self.guards.get(call, 0.0))
        if now < until:
            return Verdict(Say.WAIT, None, until - now), []
        return Verdict(Say.NEW), []
