"""A member's part in one role: it requests the role's lease, holds and renews it, and transfers it to another member.

A holder counts its lease from before it sent the request. It checks the lease again after every wait (`held_term`), as
its process may have been stopped meanwhile: acts after the end of the lease are void even if the holder does not know
yet, and fences refuse them once they saw a later term. Pure; the caller passes in the monotonic time, ms.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from sageweir.cluster.leases.messages import LeaseRelease, LeaseReply, LeaseRequest, Message, Transfer
from sageweir.cluster.leases.round_trip import RoundTripEstimate
from sageweir.cluster.leases.voter import Timing

NEVER = float("-inf")
# Fraction of a lease over which candidates spread their requests after a lease expired; doubles with each failure.
RETRY_SPREAD = 0.01
# How long a candidate waits after the holder's last heartbeat, as fractions of a lease (drawn from this range); an idle
# holder sends a heartbeat each third of a lease.
HEARTBEAT_TIMEOUT = (0.36, 0.44)
# Fractions of a lease: how long a candidate waits for the voters before it knows how long their replies take, at least,
# and at most. The longest leaves the new holder time to renew.
INITIAL_TIMEOUT = 1 / 8
MIN_TIMEOUT = 1 / 16
MAX_TIMEOUT = 1 / 2
TRANSFER_TIMEOUT = 1 / 4  # as long as the role stays reserved for the next holder
EARLIER_ROUNDS = 4  # whose late replies are still used
Out = tuple[str, Message]  # the receiver and the message


class Stage(Enum):
    """The stage of a candidate; the values are shown to operators."""

    IDLE = "idle"  # waits, or is disabled
    PRE_VOTE = "sounding"  # asks voters whether they would grant a term
    REQUESTING = "asking"  # asks voters to grant the term
    HOLDING = "holding"
    TRANSFERRING = "handing on"  # has sent the role's state to the next holder


@dataclass(slots=True)
class Round:
    """The replies to one request to all voters."""

    number: int
    asked_at: float
    grants: set[str] = field(default_factory=set)
    refusals: set[str] = field(default_factory=set)
    waits: list[float] = field(default_factory=list)  # the waiting times in the refusals, ms
    renewal: bool = False  # sent while the lease was held


class Candidate:
    """A candidate for one role. The methods return the messages to send; due() returns when to call wake()."""

    def __init__(
        self,
        role: str,
        name: str,
        boot: int,
        voters: tuple[str, ...],
        timing: Timing,
        rng: Random,
        version: int = 1,
        enabled: bool = True,
    ) -> None:
        self.role, self.name, self.boot, self.voters = role, name, boot, voters
        self.timing, self.rng, self.version, self.enabled = timing, rng, version, enabled
        self.stage, self.term, self.until, self.highest_term = Stage.IDLE, 0, NEVER, 0
        self.holder = ""  # the holder, as last reported by a voter or by the holder itself
        self.state = b""  # the state that the previous holder sent with the transfer
        self.why = "started"
        self.round: Round | None = None
        self.earlier_rounds: deque[Round] = deque(maxlen=EARLIER_ROUNDS)
        self.round_trip = RoundTripEstimate()
        self.last_failure = ""  # what became of the last request that a majority did not grant, for operators
        self.next_holder = ""
        self.failures = 0  # requests without a majority in a row, at most 5
        self.quick_retries = 0  # left after a transfer to this member
        self.released_lease = (0, "", 0)  # the transferred term, and the name and boot of its former holder
        self.latest_transfer = 0  # the latest term of which a transfer to this member began
        self._last = NEVER  # the time last passed in
        self._at = 0.0  # when wake() is due
        self._number = rng.getrandbits(32)

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def held_term(self, now: float) -> int | None:
        """Returns the term under which this member may act at this moment, None if it may not."""
        self._check_clock(now)
        acting = self.stage in (Stage.HOLDING, Stage.TRANSFERRING)
        return self.term if acting and now < self.until else None

    def _check_clock(self, now: float) -> None:
        """Ends the lease if the clock went back; called first by the methods that depend on the time."""
        if now < self._last:
            # After a step back the clock does not tell how old the lease and the open request are: both count as over.
            self.until, self.round = NEVER, None
            self.earlier_rounds.clear()
            self._at = min(self._at, now + self.timing.lease_ms / 4)
        self._last = now

    def due(self) -> float:
        """Returns when to call wake()."""
        return self._at

    def start(self, now: float) -> None:
        self._at = now + self.rng.uniform(0.0, self.timing.lease_ms / 4)

    def wake(self, now: float) -> list[Out]:
        """Handles the passing of time."""
        self._check_clock(now)
        if now < self._at:
            return []
        if self.stage in (Stage.HOLDING, Stage.TRANSFERRING):
            if now >= self.until:
                return self._lose(now, "lease expired")
            if self.stage is Stage.TRANSFERRING:
                return self._release_to(now, "")  # the next holder has not confirmed: any candidate may have it
            return self._renew(now)
        if self.stage is Stage.IDLE:
            return self._start_round(now, pre_vote=True) if self.enabled else self._retry_in(now, self.timing.lease_ms)
        return self._give_up(now)

    def on_lease_reply(self, now: float, reply: LeaseReply) -> list[Out]:
        """Handles a voter's reply."""
        self._check_clock(now)
        if reply.role != self.role or reply.voter not in self.voters:
            return []
        self.highest_term = max(self.highest_term, reply.highest_term)
        if reply.holder:
            self.holder = reply.holder
        round_ = self._round_of(now, reply)
        if round_ is None or reply.term != self.term:
            return []
        if self.stage in (Stage.HOLDING, Stage.TRANSFERRING) and now >= self.until:
            return self._lose(now, "lease expired")  # final: a late reply does not bring the term back
        (round_.grants if reply.granted else round_.refusals).add(reply.voter)
        if not reply.granted:
            round_.waits.append(reply.wait_ms)
        if len(round_.grants) >= self.majority:
            return self._on_majority(now, round_)
        if len(round_.refusals) > len(self.voters) - self.majority and self.stage is not Stage.HOLDING:
            return self._give_up(now)
        return []

    def _round_of(self, now: float, reply: LeaseReply) -> Round | None:
        """Returns the round that a voter's first reply counts for; an earlier round counts if it was a renewal.

        Every first reply tells how long replies take, also one that is too late to count.
        """
        rounds = [*self.earlier_rounds, *([self.round] if self.round is not None else [])]
        round_ = next((one for one in rounds if one.number == reply.number), None)
        if round_ is None or reply.voter in round_.grants or reply.voter in round_.refusals:
            return None
        if reply.voter != self.name:
            self.round_trip.add(now - round_.asked_at)
        if round_ is self.round or (round_.renewal and self.stage is Stage.HOLDING):
            return round_
        (round_.grants if reply.granted else round_.refusals).add(reply.voter)
        return None

    def install_voters(self, now: float, voters: tuple[str, ...], version: int) -> list[Out]:
        """Installs another voter list. A held lease goes on; an open request is given up and sent anew."""
        self._check_clock(now)
        if version <= self.version:
            return []
        out = self._give_up(now) if self.stage in (Stage.PRE_VOTE, Stage.REQUESTING) else []
        self.voters, self.version, self.round = voters, version, None
        self.earlier_rounds.clear()
        if self.stage is Stage.HOLDING:
            self._at = now
        return out

    def on_heartbeat(self, now: float, term: int, holder: str) -> None:
        """Handles a holder's heartbeat: postpones the next request to the voters."""
        self._check_clock(now)
        if self.stage is Stage.IDLE:
            self.holder, self.highest_term = holder, max(self.highest_term, term)
            self._at = max(self._at, now + self.rng.uniform(*HEARTBEAT_TIMEOUT) * self.timing.lease_ms)

    def on_stale_term(self, now: float, term: int) -> list[Out]:
        """Gives the lease up, as a member has seen a higher term and refused an act; the next term will exceed it."""
        self.highest_term = max(self.highest_term, term)
        acting = self.stage in (Stage.HOLDING, Stage.TRANSFERRING) and term > self.term
        return self._lose(now, f"term {term} was seen") if acting else []

    # Requesting

    def _start_round(self, now: float, pre_vote: bool) -> list[Out]:
        self.term = self.highest_term + 1 if pre_vote else self.term
        self.stage = Stage.PRE_VOTE if pre_vote else Stage.REQUESTING
        if not pre_vote:
            # Guards against a second request for a term that was given up: its release may arrive after the new grant.
            self.highest_term = max(self.highest_term, self.term)
        return self._send_request(now, pre_vote, self._timeout())

    def _timeout(self) -> float:
        """Returns how long to wait for the voters, ms: as long as replies take, and longer after failed rounds."""
        shortest = MIN_TIMEOUT if self.round_trip.known else INITIAL_TIMEOUT
        if self.quick_retries:
            shortest = TRANSFER_TIMEOUT
        waited = max(shortest * 2.0**self.failures * self.timing.lease_ms, self.round_trip.timeout_ms)
        return min(waited, MAX_TIMEOUT * self.timing.lease_ms)

    def _send_request(self, now: float, pre_vote: bool, timeout: float) -> list[Out]:
        if self.round is not None:
            self.earlier_rounds.append(self.round)
        self._number += 1
        self.round = Round(self._number, now, renewal=self.stage is Stage.HOLDING)
        self._at = now + timeout
        request = LeaseRequest(
            self.role, self.term, self.name, self.boot, self._number, self.version, pre_vote, *self.released_lease
        )
        return [(one, request) for one in self.voters]

    def _renew(self, now: float) -> list[Out]:
        return self._send_request(now, False, min(self.timing.lease_ms / 6, max(1.0, self.until - now)))

    def _on_majority(self, now: float, round_: Round) -> list[Out]:
        if self.stage is Stage.PRE_VOTE:
            return self._start_round(now, pre_vote=False)
        if self.stage is Stage.REQUESTING:
            source = (
                f"transferred by {self.released_lease[1]}, " if self.released_lease[1] and self.quick_retries else ""
            )
            self.quick_retries = 0
            self.why, self.released_lease = f"{source}granted by {', '.join(sorted(round_.grants))}", (0, "", 0)
        if round_ is self.round:
            self.round = None
        self.failures, self.last_failure = 0, ""
        self.until = max(self.until, round_.asked_at + self.timing.holder_ms)
        if now >= self.until:
            return self._lose(now, "granted too late")
        self.stage, self.holder, self.highest_term = Stage.HOLDING, self.name, max(self.highest_term, self.term)
        self._at = max(now, min(round_.asked_at + self.timing.lease_ms / 3, self.until))
        return []

    def _give_up(self, now: float) -> list[Out]:
        """Ends a round without a majority: releases what was granted and schedules the next try at a random time."""
        asked, waits = self.stage is Stage.REQUESTING, self._voters_free_in(self.round)
        if self.round is not None:
            self.last_failure = self._describe(now, self.round)
            self.earlier_rounds.append(self.round)
        self.stage, self.round = Stage.IDLE, None
        self.failures = min(5, self.failures + 1) if asked or not waits else 0
        if self.quick_retries:
            # The former holder's release may reach voters after this request: try again soon.
            self.quick_retries -= 1
            self._at = now + self.timing.lease_ms / 60
            return self._release("") if asked else []
        # If another candidate holds the lease, try soon after its end; otherwise back off with each failed try.
        spread = RETRY_SPREAD * 2**self.failures * self.timing.lease_ms
        self._at = now + (0.0 if asked else waits) + self.rng.uniform(0.1, 1.0) * spread
        return self._release("") if asked else []

    def _describe(self, now: float, round_: Round) -> str:
        """Returns what became of a round without a majority, for operators."""
        silent = [name for name in self.voters if name not in round_.grants | round_.refusals]
        asked = "pre-vote" if self.stage is Stage.PRE_VOTE else "request"
        replies = [
            f"{word} {', '.join(sorted(names))}"
            for word, names in (
                ("granted by", round_.grants),
                ("refused by", round_.refusals),
                ("no reply from", silent),
            )
            if names
        ]
        waited = f"after {now - round_.asked_at:.0f} ms, replies take {self.round_trip.smoothed_ms:.0f} ms"
        return f"{asked} for term {self.term} failed: {'; '.join(replies)}; {waited}"

    def _voters_free_in(self, round_: Round | None) -> float:
        """Returns when a majority of voters may be free again, by the waiting times in their refusals; ms."""
        waits = sorted([0.0] * len(round_.grants) + round_.waits) if round_ is not None else []
        return waits[min(self.majority, len(waits)) - 1] if waits else 0.0

    def _retry_in(self, now: float, delay: float) -> list[Out]:
        self._at = now + delay
        return []

    def _release(self, to: str) -> list[Out]:
        release = LeaseRelease(self.role, self.term, self.name, self.boot, to)
        return [(one, release) for one in self.voters]

    def _lose(self, now: float, why: str) -> list[Out]:
        self.stage, self.round, self.until, self.why, self.state = Stage.IDLE, None, NEVER, why, b""
        return self._retry_in(now, self.rng.uniform(0.1, 0.5) * self.timing.lease_ms) or self._release("")

    # Transfer

    def transfer(self, now: float, to: str, state: bytes) -> list[Out]:
        """Starts to transfer the lease to another member; returns nothing if it is not held."""
        if self.held_term(now) is None or self.stage is not Stage.HOLDING or to == self.name:
            return []
        self.stage, self.next_holder, self.round = Stage.TRANSFERRING, to, None
        self.earlier_rounds.clear()
        self._at = min(self.until, now + self.timing.lease_ms / 4)
        return [(to, Transfer(self.role, self.term, self.name, self.boot, state))]

    def step_down(self, now: float, to: str, state: bytes) -> list[Out]:
        """Stops requesting the role; transfers a held lease to member `to`, or releases it if that is empty."""
        self.enabled = False
        if self.held_term(now) is None:
            return []
        return self.transfer(now, to, state) if to else self._release_to(now, "")

    def resign(self, now: float) -> list[Out]:
        """Gives the role up as the process ends."""
        return self.step_down(now, "", b"")

    def _release_to(self, now: float, to: str) -> list[Out]:
        """Stops acting, then notifies the voters and the next holder, if there is one."""
        term = self.term
        self.stage, self.until, self.round = Stage.IDLE, NEVER, None
        self.why = f"transferred to {to}" if to else "released"
        self._at = now + self.timing.lease_ms / 2
        out = self._release(to)
        return [*out, (to, Transfer(self.role, term, self.name, self.boot, commit=True))] if to else out

    def on_transfer(self, now: float, message: Transfer) -> list[Out]:
        """Handles a transfer message from the present holder or from the next one."""
        self._check_clock(now)
        if message.role != self.role:
            return []
        if message.ack:
            confirmed = (
                self.stage is Stage.TRANSFERRING and message.term == self.term and message.candidate == self.next_holder
            )
            return self._release_to(now, self.next_holder) if confirmed else []
        # Guards against late messages. Not compared with highest_term: that also counts terms that were only requested.
        if self.stage in (Stage.HOLDING, Stage.TRANSFERRING) or not self.enabled or message.term < self.latest_transfer:
            return []
        self.latest_transfer, self.highest_term = message.term, max(self.highest_term, message.term)
        if not message.commit:
            self.state = message.state
            return [(message.candidate, Transfer(self.role, message.term, self.name, self.boot, ack=True))]
        self.term = self.highest_term + 1
        self.quick_retries = 3
        self.released_lease = (message.term, message.candidate, message.boot)
        return self._start_round(now, pre_vote=False)
