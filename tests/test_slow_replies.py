"""Leases where voters reply late: because of a slow disk, a busy machine, or a slow network."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from sageweir.cluster.changes.disk import ReplicaRecord
from sageweir.cluster.group_commit import GroupCommit
from sageweir.cluster.leases.candidate import Candidate, Stage
from sageweir.cluster.leases.messages import TERM_MAX, LeaseRelease, LeaseReply, LeaseRequest, Message
from sageweir.cluster.leases.round_trip import RoundTripEstimate
from sageweir.cluster.leases.store import PersistedState
from sageweir.cluster.leases.term_reservation import RESERVED_TERMS, covers, reserve
from sageweir.cluster.leases.voter import Timing, Voter
from sageweir.cluster.show import lease_lines

VOTERS = ("v0", "v1", "v2")
TIMING = Timing(lease_ms=1000.0)
STEP_MS = 5.0


class LateVoters:
    """Three recovered voters and one candidate in virtual time; each reply comes `late_ms` after its request."""

    def __init__(self, late_ms: float, seed: int = 1) -> None:
        self.late_ms, self.now = late_ms, 0.0
        self.voters = [Voter(name, VOTERS, TIMING, 0.0, 5) for name in VOTERS]
        for voter in self.voters:
            voter.recovered = True
        self.candidate = Candidate("d", "a", 1, VOTERS, TIMING, Random(seed))
        self.candidate.start(0.0)
        self.on_their_way: list[tuple[float, LeaseReply]] = []
        self.held_ms = 0.0
        self.terms: set[int] = set()

    def _send(self, out: list[tuple[str, Message]]) -> None:
        for name, message in out:
            voter = self.voters[VOTERS.index(name)]
            if isinstance(message, LeaseRequest):
                reply = voter.on_lease_request(self.now, message)
                self.on_their_way.append((self.now + self.late_ms, reply))
            elif isinstance(message, LeaseRelease):
                voter.on_release(self.now, message)

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += STEP_MS
            for voter in self.voters:
                voter.poll(self.now)
            due = [reply for at, reply in self.on_their_way if at <= self.now]
            self.on_their_way = [one for one in self.on_their_way if one[0] > self.now]
            for reply in due:
                self._send(self.candidate.on_lease_reply(self.now, reply))
            self._send(self.candidate.wake(self.now))
            if (term := self.candidate.held_term(self.now)) is not None:
                self.held_ms += STEP_MS
                self.terms.add(term)


@pytest.mark.parametrize("late_ms", [5.0, 100.0, 200.0, 300.0, 350.0])
def test_voters_that_reply_late_elect_a_holder_which_keeps_its_lease(late_ms: float) -> None:
    """Otherwise a candidate gives each term up before the grants arrive, and asks for the next one, without end.

    Up to nearly half of what a holder may act for: it cannot renew before it knows of the grant.
    """
    assert late_ms < TIMING.holder_ms / 2
    for seed in range(10):
        fleet = LateVoters(late_ms, seed)
        fleet.run(5_000.0)  # 20 protocol periods of 250 ms
        assert fleet.held_ms > 0, seed
        fleet.held_ms, fleet.terms = 0.0, set()
        fleet.run(20_000.0)
        assert fleet.held_ms >= 20_000.0 - STEP_MS and len(fleet.terms) == 1, (seed, fleet.held_ms, fleet.terms)


def test_a_late_reply_to_a_request_that_was_given_up_is_no_grant() -> None:
    one = Candidate("d", "a", 1, VOTERS, TIMING, Random(1))
    fleet = LateVoters(0.0)
    fleet.candidate = one
    one.start(0.0)
    fleet.run(400.0)
    assert one.stage is Stage.HOLDING
    other = Candidate("d", "b", 2, VOTERS, TIMING, Random(2))
    other.start(0.0)
    requests = other.wake(500.0)
    replies = [
        fleet.voters[VOTERS.index(name)].on_lease_request(500.0, message)
        for name, message in requests
        if isinstance(message, LeaseRequest)
    ]
    other.wake(900.0)
    assert other.stage is Stage.IDLE and "no reply from v0, v1, v2" in other.last_failure
    for reply in replies:
        assert not other.on_lease_reply(950.0, reply)
    assert other.stage is Stage.IDLE and other.held_term(950.0) is None and other.round_trip.smoothed_ms == 450.0


def test_a_round_trip_estimate_follows_its_samples() -> None:
    estimate = RoundTripEstimate()
    assert estimate.timeout_ms == 0.0
    estimate.add(100.0)
    assert estimate.timeout_ms == 300.0
    for _ in range(100):
        estimate.add(20.0)
    assert 20.0 <= estimate.timeout_ms < 25.0
    estimate.add(400.0)
    assert estimate.timeout_ms > 400.0


def test_an_operator_is_told_why_nobody_holds_a_role() -> None:
    one = Candidate("d", "a", 1, VOTERS, TIMING, Random(1))
    one.start(0.0)
    one.wake(300.0)
    one.wake(600.0)
    status = {"holder": None, "here": "idle", "why_here": one.why, "last_failure": one.last_failure}
    voter = {"takes_part": True, "bound_to": {}, "last_write_ms": 412.0}
    shown = {"duties": {"d": status}, "electors": VOTERS, "electors_version": 1, "electors_told": "", "elector": voter}
    first, _, last = lease_lines(shown)
    assert first.endswith("pre-vote for term 1 failed: no reply from v0, v1, v2; after 300 ms, replies take 0 ms")
    assert last.endswith("its last write took 412 ms")


class SlowDisk:
    """Writes end when the test says so."""

    def __init__(self) -> None:
        self.written: list[PersistedState] = []
        self.ends: list[tuple[Callable[[], None], Callable[[str], None]]] = []

    def write(self, state: PersistedState, on_success: Callable[[], None], on_failure: Callable[[str], None]) -> None:
        self.written.append(state)
        self.ends.append((on_success, on_failure))


def state(**terms: int) -> PersistedState:
    return PersistedState(dict(terms), 1, {"v0": "127.0.0.1:1"})


def test_replies_wait_for_one_write_at_a_time_and_not_for_terms_that_are_reserved() -> None:
    disk, told = SlowDisk(), list[str]()
    commits = GroupCommit(disk.write, covers, 3, reserve)

    def submit(what: str, one: PersistedState, required: PersistedState | None = None) -> None:
        commits.submit(one, lambda: told.append(what), lambda why: told.append(f"{what}: {why}"), required)

    submit("first", state(d=1))
    submit("second", state(d=2))
    far = state(d=2, e=2 * RESERVED_TERMS)
    submit("far", far)
    submit("too many", state(d=3))
    assert told == ["too many: 3 writes wait for the disk"] and len(disk.written) == 1
    disk.ends[0][0]()
    assert told[1:] == ["first", "second"] and len(disk.written) == 2
    submit("part", far, state(d=2))
    assert told[-1] == "part"  # another role's term does not delay it
    disk.ends[1][1]("no space")
    assert told[-1] == "far: no space" and commits.durable is None
    submit("after", state(d=4))
    assert told[-1] != "after"  # nothing is certain after a failed write
    disk.ends[2][0]()
    assert told[-1] == "after"


def test_a_state_on_disk_covers_lower_terms_with_the_same_lists() -> None:
    high = reserve(state(d=5))
    assert covers(high, state(d=6, new=7)) and not covers(state(d=5), state(d=6)) and not covers(state(d=5), state(e=1))
    assert not covers(high, PersistedState({"d": 5}, 2, {"v0": "127.0.0.1:1"}))
    assert max(reserve(state(d=TERM_MAX - 1)).terms.values()) == TERM_MAX - 1


def test_a_replicas_record_covers_earlier_promises_and_entries() -> None:
    later = ReplicaRecord(7, 5, 2, b"x")
    assert later.covers(later) and later.covers(ReplicaRecord(6, 5, 1, b"y"))
    assert not later.covers(ReplicaRecord(8, 5, 2, b"x")) and not later.covers(ReplicaRecord(7, 5, 3, b"z"))
