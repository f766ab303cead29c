"""What stand-ins hold a controller to, knowing the protocol alone: an audit of all that they saw of one call."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

from sageweir.messages import Kind, Message
from tests.scenario import LIMITS, Seen, Side

GONE_SLACK_MS = 100.0  # after which no attempt begins for a caller that closed or cancelled
ANSWER_SLACK_MS = 20.0  # after the deadline, in which a final answer still counts
LEFT_SLACK_MS = 150.0  # by which the time passed to a server may exceed what the caller has left
ENDS = (Kind.RELEASE, Kind.REFUSAL, Kind.FAILURE)


@dataclass(slots=True)
class Attempt:
    """A set-up as its server saw it."""

    seen: Seen
    message: Message
    ended_at: float | None = None
    in_doubt: bool = False
    answered: bool = False


@dataclass(frozen=True, slots=True)
class Terms:
    """What holds for the call: when it was sent, until when its caller waits, whether and when the caller went away.

    answer_owed: its final answer can still reach the caller.
    """

    sent_at: float
    deadline: float
    gone_at: float | None
    answer_owed: bool


def attempts_of(call: str, seen: list[Seen]) -> list[Attempt]:
    """The set-ups that came to servers, with how each ended there; two that are out at once are a fault."""
    found: list[Attempt] = []
    for one in seen:
        if one.home.startswith("c"):
            continue
        if one.side is Side.LOST:
            for attempt in found:
                if attempt.seen.connection == one.connection and attempt.ended_at is None:
                    attempt.ended_at, attempt.in_doubt = one.at, True
            continue
        message = one.message
        if message is None or message.call != call:
            continue
        own = [a for a in found if a.seen.home == one.home and a.ended_at is None]
        if one.side is Side.GOT and message.kind is Kind.SET_UP:
            open_ones = [a for a in found if a.ended_at is None]
            assert not open_ones, f"a second attempt is out: {open_ones[0].seen} and {one}"
            found.append(Attempt(one, message))
        elif message.kind in ENDS:
            for attempt in own:
                attempt.ended_at, attempt.in_doubt = one.at, one.side is Side.GOT and not attempt.answered
        elif one.side is Side.SAID and message.kind is Kind.ANSWER:
            for attempt in own:
                attempt.answered = True
    return found


def check_servers(call: str, seen: list[Seen], terms: Terms) -> list[Attempt]:
    """One live attempt, the release guard, the time left, and nothing for a caller that has gone."""
    found = attempts_of(call, seen)
    for earlier, later in pairwise(found):
        assert earlier.ended_at is not None
        if earlier.in_doubt:
            assert later.seen.at - earlier.ended_at >= LIMITS.guard_ms - 1e-6, f"no guard before {later.seen}"
    for attempt in found:
        left = float(attempt.message.fields["left"])
        assert attempt.seen.at + left <= terms.deadline + LEFT_SLACK_MS, f"left={left} is too long in {attempt.seen}"
        if terms.gone_at is not None:
            assert attempt.seen.at <= terms.gone_at + GONE_SLACK_MS, f"sent for a caller that has gone: {attempt.seen}"
    assert len(found) <= LIMITS.max_attempts
    for attempt in found:
        assert attempt.ended_at is not None, f"never ended: {attempt.seen}"
    return found


def check_caller(call: str, seen: list[Seen], terms: Terms) -> None:
    """One final answer, in time, and one release of what stood."""
    told = [
        one
        for one in seen
        if one.home.startswith("c") and one.side is Side.GOT and one.message is not None and one.message.call == call
    ]
    finals, stood, released = 0, False, 0
    for one in told:
        assert one.message is not None
        if one.message.kind is Kind.ANSWER:
            finals, stood = finals + 1, True
        elif one.message.kind in ENDS and stood:
            released += 1
        elif one.message.kind in ENDS:
            finals += 1
        if finals == 1 and not stood:
            assert one.at <= terms.deadline + ANSWER_SLACK_MS, f"late: {one}"
    assert finals <= 1 and released <= 1, f"{finals} final answers, {released} releases: {told}"
    if terms.answer_owed:
        assert finals == 1, f"no final answer: {told}"
    if terms.gone_at is None:
        assert released == stood, f"{released} releases of a call that stood: {told}"
