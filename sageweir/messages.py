"""Call control messages, independent of any wire format."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """Message types; also the values of `word` in handover messages."""

    SET_UP = "set-up"
    PROGRESS = "progress"
    ANSWER = "answer"
    REFUSAL = "refusal"  # a final answer; the caller may safely retry
    FAILURE = "failure"  # a final answer
    RELEASE = "release"  # ends a call or cancels a set-up; an incoming one may be a refusal, depending on its cause
    RELEASE_ACK = "release heard"
    TEST = "test"
    TEST_RESULT = "tested"
    STATUS = "status"
    ERROR = "error"  # the peer's input was not a valid message


class Cause:
    """Release cause codes that this program sends or interprets."""

    NORMAL = 16
    BUSY = 17
    FULL = 34
    RESET = 41
    CONGESTION = 42
    ERROR = 47
    MALFORMED = 95
    TIMER_EXPIRED = 102


MAX_CAUSE = (1 << 31) - 1


def usable_cause(cause: int) -> int:
    """A cause as it was received; NORMAL in place of one that is out of range."""
    return cause if 0 <= cause <= MAX_CAUSE else Cause.NORMAL


RETRYABLE_CAUSES = frozenset(
    {Cause.FULL, Cause.CONGESTION, Cause.TIMER_EXPIRED}
)  # refusals: the caller may safely retry


@dataclass(frozen=True, slots=True)
class Message:
    """One message; cause and description are set only for the kinds that carry them."""

    kind: Kind
    call: str = ""
    fields: dict[str, str] = field(default_factory=dict)
    cause: int = 0
    description: str | None = None


@dataclass(frozen=True, slots=True)
class MalformedInput:
    """Input that could not be parsed as a message; call: the call id, if that could be read."""

    reason: str
    call: str = ""
    is_setup: bool = False  # it was meant as a set-up, so the caller must get an answer
    closes_connection: bool = False  # no further input can be parsed; messages may be sent before the close


def parse_pairs(text: str) -> dict[str, float]:
    """Parse 'name:number;name:number'; pairs without a valid number are skipped."""
    found = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        try:
            if colon:
                found[name.strip()] = float(value)
        except ValueError:
            continue
    return found
