"""Messages between an old process and its successor, and the state of the handover; no I/O.

Messages are JSON lines. One that is truncated, foreign or too long raises HandoverError; the process that receives it
starts, or goes on, without the other. One of a known type with a field that can't be used is skipped, and the messages
after it count: what a caller or server sent is in such fields, and must not part the two processes. Old and new builds
exchange them: field names and `msg` values stay.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from math import isfinite
from sys import float_info
from typing import Any

import orjson

from dahliabridge import interface as api
from sageweir.messages import MAX_CAUSE

VERSION = 1


class HandoverError(ValueError):
    """The other process has violated the handover protocol."""


class UnusableMessageError(HandoverError):
    """A message of a known type has a field that can't be used; those after it can be read."""


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the new process; settings: digest of the settings that it was given.

    takes_listeners, reads_sent_calls: it reads `PassedListener` and `SentCalls`, which are sent to no other build.
    """

    name: str
    settings: str
    takes_listeners: bool = False
    reads_sent_calls: bool = False


@dataclass(frozen=True, slots=True)
class HelloReply:
    """Reply to `Hello`; learned: what the decision module has learned, None if the settings differ.

    reads_sent_calls: as in `Hello`.
    """

    learned: api.Learned | None
    reads_sent_calls: bool = False


@dataclass(frozen=True, slots=True)
class EstablishedCall:
    """An established call that the new process takes over; since: Unix ms of its set-up; host: of its caller.

    kept: the old process keeps the call until it exits, as its server drains and may accept no new connection.
    ended_cause: None, or the call has ended and its caller is to be notified of this cause until release_until (Unix
    ms). The server is empty then: a build that does not know these fields notifies the caller too, of a reset.
    """

    call: str
    service_class: str
    server: str
    since: float
    host: str
    kept: bool = False
    ended_cause: int | None = None
    release_until: float = 0.0


@dataclass(frozen=True, slots=True)
class TakeOver:
    """The old process accepts no more; the new one gets the handover socket and all descriptors for callers."""


@dataclass(frozen=True, slots=True)
class PassedConnection:
    """A caller's connection, sent with its descriptor; times are Unix ms.

    rest: received bytes of an incomplete message (Latin-1); standing: established calls on it; owed: calls that the old
    process is still to answer, with their classes; spoke: a complete message was received; served: it has had an
    established call; faults: bad messages since the last good one; begun_at: start of the incomplete message.
    """

    rest: str
    spoke: bool
    served: bool
    faults: int
    opened_at: float
    heard_at: float
    begun_at: float | None
    standing: tuple[str, ...]
    owed: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PassedListener:
    """A listening socket, sent with its descriptor before the reply to `Hello`; key: of its address in the settings."""

    key: str


@dataclass(frozen=True, slots=True)
class RelayedMessage:
    """A message of the old process to a caller whose connection it has passed on; word: value of a `Kind`."""

    call: str
    word: str
    cause: int
    fields: dict[str, str]
    text: str | None


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call has ended that the other process may hold; returned: the report came from there and is sent back."""

    call: str
    cause: int
    by_caller: bool
    returned: bool


@dataclass(frozen=True, slots=True)
class SentCalls:
    """Calls that the sender has sent to clearing servers, so that the other process does not run them as well."""

    calls: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UnusableMessage:
    """A received message that can't be used, to be skipped; message_type: what it was meant as."""

    message_type: type
    reason: str


HandoverMessage = (
    Hello
    | HelloReply
    | EstablishedCall
    | TakeOver
    | PassedConnection
    | PassedListener
    | RelayedMessage
    | CallEnded
    | SentCalls
)
_MESSAGE_TYPES: dict[str, type] = {
    "hello": Hello,
    "known": HelloReply,
    "standing": EstablishedCall,
    "yours": TakeOver,
    "passed": PassedConnection,
    "listener": PassedListener,
    "told": RelayedMessage,
    "over": CallEnded,
    "sent": SentCalls,
}
_MAX_MESSAGE_CHARS = 16 * 1024  # as much as callers and servers may send in one message
_MESSAGE_NAMES = {kind: name for name, kind in _MESSAGE_TYPES.items()}


def encode(message: HandoverMessage) -> bytes:
    """Encode a message, with its line end."""
    return orjson.dumps({"v": VERSION, "msg": _MESSAGE_NAMES[type(message)], **asdict(message)}) + b"\n"


def _text(raw: Any, max_chars: int = 256) -> str:
    if not isinstance(raw, str) or len(raw) > max_chars:
        raise HandoverError(f"not a string of at most {max_chars} characters: {raw!r:.40}")
    return raw


def _number(raw: Any, minimum: float = 0.0, maximum: float = 1e15) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float) or not isfinite(raw) or not minimum <= raw <= maximum:
        raise HandoverError(f"not a number from {minimum:g} to {maximum:g}: {raw!r:.40}")
    return float(raw)


def _integer(raw: Any, minimum: int, maximum: int) -> int:
    if not isinstance(raw, int):
        raise HandoverError(f"not an integer: {raw!r:.40}")
    return int(_number(raw, minimum, maximum))


def _boolean(raw: Any) -> bool:
    if not isinstance(raw, bool):
        raise HandoverError(f"not a boolean: {raw!r:.40}")
    return raw


def _list(raw: Any, max_items: int) -> list[Any]:
    if not isinstance(raw, list) or len(raw) > max_items:
        raise HandoverError(f"not a list of at most {max_items} items: {raw!r:.40}")
    return raw


def _optional(parse: Callable[[Any], float], raw: Any) -> float | None:
    return None if raw is None else parse(raw)


def _rate(raw: Any) -> float:
    return _number(raw, maximum=float_info.max)  # as a clearing server has reported it


def _server_learned(raw: Any) -> api.ServerLearned:
    return api.ServerLearned(
        _text(raw["name"]),
        _number(raw["started_ms"]),
        _optional(_number, raw["floor"]),
        _number(raw["current"]),
        _optional(_rate, raw["max_rate"]),
        _number(raw["hold_back"], maximum=1.0),
        _number(raw["errors"], maximum=1.0),
        _integer(raw["bad"], 0, 1 << 30),
        _number(raw["closed_until"]),
        tuple(_number(rate) for rate in _list(raw["rates"], 256)),
        tuple(_number(rate) for rate in _list(raw["sent"], 256)),
    )


def _learned(raw: Any) -> api.Learned:
    return api.Learned(
        _number(raw["arrived"]),
        _number(raw["first"]),
        tuple((_integer(n, -(1 << 31), 1 << 31), _number(rate)) for n, rate in _list(raw["named"], 10_000)),
        tuple(_server_learned(row) for row in _list(raw["servers"], 10_000)),
    )


def _hello(raw: Any) -> Hello:
    return Hello(
        _text(raw["name"]),
        _text(raw["settings"]),
        _boolean(raw.get("takes_listeners", False)),
        _boolean(raw.get("reads_sent_calls", False)),
    )


def _hello_reply(raw: Any) -> HelloReply:
    learned = None if raw["learned"] is None else _learned(raw["learned"])
    return HelloReply(learned, _boolean(raw.get("reads_sent_calls", False)))


def _established_call(raw: Any) -> EstablishedCall:
    return EstablishedCall(
        _text(raw["call"]),
        _text(raw["service_class"]),
        _text(raw["server"]),
        _number(raw["since"]),
        _text(raw["host"]),
        _boolean(raw["kept"]),
        None if raw.get("ended_cause") is None else _integer(raw["ended_cause"], 0, MAX_CAUSE),
        _number(raw.get("release_until", 0.0)),
    )


def _passed_connection(raw: Any) -> PassedConnection:
    return PassedConnection(
        _text(raw["rest"], _MAX_MESSAGE_CHARS),
        _boolean(raw["spoke"]),
        _boolean(raw["served"]),
        _integer(raw["faults"], 0, 1 << 30),
        _number(raw["opened_at"]),
        _number(raw["heard_at"]),
        _optional(_number, raw["begun_at"]),
        tuple(_text(call) for call in _list(raw["standing"], 100_000)),
        tuple((_text(call), _text(name)) for call, name in _list(raw["owed"], 100_000)),
    )


def _relayed_message(raw: Any) -> RelayedMessage:
    fields, text = raw["fields"], raw["text"]
    if not isinstance(fields, dict) or len(fields) > 16:
        raise HandoverError(f"not an object of at most 16 fields: {fields!r:.40}")
    return RelayedMessage(
        _text(raw["call"]),
        _text(raw["word"]),
        _integer(raw["cause"], 0, MAX_CAUSE),
        {_text(k): _text(v, _MAX_MESSAGE_CHARS) for k, v in fields.items()},
        None if text is None else _text(text, _MAX_MESSAGE_CHARS),
    )


def _call_ended(raw: Any) -> CallEnded:
    return CallEnded(
        _text(raw["call"]),
        _integer(raw["cause"], 0, MAX_CAUSE),
        _boolean(raw["by_caller"]),
        _boolean(raw["returned"]),
    )


_READERS: dict[type, Callable[[Any], HandoverMessage]] = {
    Hello: _hello,
    HelloReply: _hello_reply,
    EstablishedCall: _established_call,
    TakeOver: lambda raw: TakeOver(),
    PassedConnection: _passed_connection,
    PassedListener: lambda raw: PassedListener(_text(raw["key"])),
    RelayedMessage: _relayed_message,
    CallEnded: _call_ended,
    SentCalls: lambda raw: SentCalls(tuple(_text(call) for call in _list(raw["calls"], 100_000))),
}


def _read_type(line: bytes) -> tuple[type, Any]:
    """The type of a message, and its fields as they came. Raises HandoverError where it is no message."""
    try:
        raw = orjson.loads(line)
        if raw["v"] != VERSION:
            raise HandoverError(f"version {raw['v']!r:.40}, not {VERSION}")
        return _MESSAGE_TYPES[raw["msg"]], raw
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise _handover_error(HandoverError, error) from None


def _handover_error(kind: type[HandoverError], error: Exception) -> HandoverError:
    return kind(str(error) if isinstance(error, HandoverError) else f"invalid message: {error!r:.80}")


def decode(line: bytes) -> HandoverMessage:
    """Decode a message. Raises HandoverError for any invalid line, and nothing else."""
    kind, raw = _read_type(line)
    try:
        return _READERS[kind](raw)
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise _handover_error(UnusableMessageError, error) from None


class LineDecoder:
    """Splits a byte stream into messages; one over the size limit is rejected before it is complete."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes, self._buffer = max_bytes, bytearray()

    def feed(self, data: bytes | memoryview) -> Iterator[HandoverMessage | UnusableMessage]:
        """Add bytes and yield the messages that are complete. Raises HandoverError."""
        self._buffer += data
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            try:
                yield decode(line)
            except UnusableMessageError as error:
                yield UnusableMessage(_read_type(line)[0], str(error))
        if len(self._buffer) > self._max_bytes:
            raise HandoverError(f"message longer than {self._max_bytes} bytes")


class Succession:
    """Whether this process has a predecessor and a successor, and what follows from that."""

    def __init__(self, name: str, settings: str) -> None:
        self.name, self.settings = name, settings
        self.has_predecessor, self.has_successor = False, False  # whether one is connected
        self.predecessor_leaving = False  # it accepts no more connections and calls
        self.owns_socket = False  # whether the handover socket is this process's

    def on_hello(self, hello: Hello) -> bool:
        """A new process has connected; True if its settings are the same. Raises HandoverError if it is rejected."""
        if hello.name != self.name:
            raise HandoverError(f"the process is {hello.name!r:.40}, not {self.name!r:.40}")
        if self.has_successor:
            raise HandoverError("another successor is already connected")
        self.has_successor = True
        return hello.settings == self.settings

    def on_predecessor_leaving(self) -> None:
        """The predecessor accepts no more connections and calls."""
        self.predecessor_leaving = True

    def descriptor_share(self) -> float:
        """This process's share of the descriptors for callers: two processes may run, and count together as one."""
        return 0.5 if self.has_successor or (self.has_predecessor and not self.predecessor_leaving) else 1.0

    def should_forward(self, ended: CallEnded) -> bool:
        """Whether to report the end of a call that is not open here to the other process; reports are not sent back."""
        return (self.has_predecessor or self.has_successor) and not ended.returned
