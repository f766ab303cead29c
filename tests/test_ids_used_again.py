"""Ids of calls that come again: a clearing server must not run a call twice."""

from __future__ import annotations

import pytest

from tests.scenario import play

# Each begins with call A at s0. By the protocol a retry has a new id; one that was never sent may come again.
ENDS = {
    "its caller left": ("c: close",),
    "its caller cancelled it": ("c> release A", "s0< release A"),
    "it was answered, and its caller left": ("s0> answer A", "c< answer A", "c: close"),
    "it is over": ("s0> answer A", "c< answer A", "s0> release A cause=16", "c< release A"),
    "its attempt was reset, and its caller left": ("s0: break", "c: close"),
}


@pytest.mark.parametrize("transport", ["lines", "websocket"])
@pytest.mark.parametrize("end", ENDS)
def test_a_call_whose_id_comes_again_is_not_run_twice(end: str, transport: str) -> None:
    """Failure: an id ran twice when it came again after its client had left, without the guard between the two."""
    course = ("c> setup A", "s0< setup A", *ENDS[end], "c2> setup A dest=1", "wait 1000", "c2< release A cause=95")
    log = play("\n".join(course), transport)
    assert [row[1] for row in log if row[2] == "setup"] == ["s0"]


def test_a_call_that_was_never_sent_may_come_again_with_its_id() -> None:
    """A set-up that crosses a close comes again once, on a new connection."""
    course = ("s0: reset", "s1: reset", "c> setup A", "wait 100", "c: close", "s0: return", "wait 1000")
    play("\n".join((*course, "c2> setup A", "s0< setup A")), "lines")
