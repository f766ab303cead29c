"""The lease service of one process: connects its voter, candidates, fence and role handlers to clock, link and disk.

Decisions are made in voter, candidate, fence and voter_change, and in each role's handler. The service is given the
handlers, a function that sends datagrams and the fleet's live members; it also carries out operators' commands.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, Protocol

from sageweir.clock import Clock, Timer
from sageweir.cluster.failpoints import Failpoint, no_failpoint, operation_done, send_with_fault, write_with_fault
from sageweir.cluster.group_commit import GroupCommit
from sageweir.cluster.leases.candidate import Candidate, Stage
from sageweir.cluster.leases.fence import Fence
from sageweir.cluster.leases.messages import (
    MAX_ROLES,
    MAX_STATE_BYTES,
    Accepted,
    Commit,
    Envelope,
    HolderHeartbeat,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    Message,
    Propose,
    RoleMessage,
    RoleReply,
    RoleRequest,
    StaleTerm,
    TermsQuery,
    TermsReply,
    Transfer,
    TransferRequest,
    VoterListQuery,
)
from sageweir.cluster.leases.store import PersistedState, VoterStore
from sageweir.cluster.leases.term_reservation import RESERVED_TERMS, covers, replace_terms, reserve
from sageweir.cluster.leases.voter import Timing, Voter
from sageweir.cluster.leases.voter_change import VoterListChange
from sageweir.cluster.leases.wire import decode_envelope, encode_envelope
from sageweir.cluster.wire import DecodeError
from sageweir.config import ClusterConfig, ConfigError, read_address
from sageweir.limits import Limits

log = logging.getLogger("sageweir.cluster")

POLLS_PER_LEASE = 20  # at least this often the service checks what is due
HEARTBEATS_PER_LEASE = 6
Out = Iterable[tuple[str, Message]]


def _nothing() -> None:
    """Stands in where nobody waits for a write."""


def _ignore_reason(reason: str) -> None:
    """Stands in where a failed write is told elsewhere."""


class RoleHandler(Protocol):
    """The logic of one role: what its holder does, and how other members use the holder's messages. Pure."""

    def on_acquired(self, now: float, term: int, state: bytes) -> None:
        """This process now holds the role under that term; state: of the last holder if it transferred the lease."""

    def on_lost(self, now: float) -> None:
        """This process no longer holds the role."""

    def transfer_state(self, now: float) -> bytes:
        """Returns the state for the next holder."""

    def heartbeat(self, now: float) -> bytes | None:
        """Returns the content of the holder's heartbeat; None if there is none."""

    def on_heartbeat(self, now: float, term: int, holder: str, state: bytes) -> None:
        """Handles the holder's heartbeat, whose term the fence has accepted."""

    def request(self, now: float) -> bytes | None:
        """Returns this member's request to the holder at this heartbeat interval; None if there is none."""

    def on_request(self, now: float, member: str, state: bytes) -> bytes | None:
        """Handles a member's request as the holder; returns the reply, None if there is none."""

    def on_reply(self, now: float, requested_at: float, state: bytes) -> None:
        """Handles the holder's reply, whose term the fence has accepted; requested_at: when the request was sent."""

    def on_message(self, now: float, sender: str, data: bytes) -> None:
        """Handles a message from the same role's handler at another member."""

    def on_voters_changed(self, voters: tuple[str, ...]) -> None:
        """Another voter list is in force."""

    def show(self, now: float) -> dict[str, Any]:
        """Returns the status for operators."""


@dataclass(slots=True)
class LocalRole:
    """One role in this process."""

    candidate: Candidate
    handler: RoleHandler
    term: int | None = None  # under which the role was held at the last check
    acts: int = 0  # numbers the acts of this process
    heartbeat_at: float = 0.0  # when the next one is due
    skipped: bool = True  # the last heartbeat was left out
    requests: dict[int, float] = field(default_factory=dict)  # open requests by number: when they were sent


@dataclass(frozen=True, slots=True)
class Identity:
    """How other members know this process."""

    fleet: str
    name: str
    boot: int
    host: str
    port: int


class LeaseService:
    """Takes part in granting and holding the leases of all roles.

    send: sends bytes to an address; find: returns a member's address by the membership, which entitles to nothing;
    living: returns the names of the live members; audit: takes rows of what was done.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        config: ClusterConfig,
        me: Identity,
        handlers: Mapping[str, RoleHandler],
        send: Callable[[str, int, bytes], None],
        find: Callable[[str], tuple[str, int] | None],
        living: Callable[[], list[str]],
        audit: Callable[[dict[str, object]], None],
        point: Failpoint = no_failpoint,
    ) -> None:
        """point: failpoints of sends, receipts and writes. Raises ConfigError if the state directory cannot be made."""
        self.point = point
        self.clock, self.limits, self.me, self.rng = clock, limits, me, Random(me.boot)
        self._send_datagram, self._find_member, self._live_members, self._audit = send, find, living, audit
        self.timing = Timing(config.lease_ms, config.drift)
        self.store = VoterStore(self._state_file(config.state, me.name))
        persisted = self.store.read()
        self.voter_addresses = {name: str(place) for name, place in config.electors.items()}
        self.version = config.electors_version
        if persisted is not None and persisted.version > self.version and persisted.voters:
            self.voter_addresses, self.version = dict(persisted.voters), persisted.version
        now = clock.now()
        self.voter: Voter | None = None
        self._accepted_list: dict[str, str] = {}  # the next voter list, as accepted by this voter
        self._commits = GroupCommit(self._write, covers, limits.cluster_writes, reserve)
        if me.name in self.voter_addresses:
            self._create_voter(now, persisted)
        self.fence = Fence()
        # By role: the last known holder, its term, and when it was last heard.
        self.holders: dict[str, tuple[str, int, float]] = {}
        self.holder_reasons: dict[str, str] = {}  # by role: how the last known holder came to hold it
        self.roles = {
            role: LocalRole(
                Candidate(
                    role,
                    me.name,
                    me.boot,
                    tuple(self.voter_addresses),
                    self.timing,
                    Random(self.rng.getrandbits(60)),
                    self.version,
                ),
                handler,
            )
            for role, handler in handlers.items()
        }
        self.voter_change: VoterListChange | None = None
        self.change_report = ""  # for operators: progress of the last change of the voter list
        self.unreadable = self.refused = self.sent = 0
        self._writer = ThreadPoolExecutor(1, "electors-file")
        self._timer: Timer | None = None
        self._list_queried_at = float("-inf")
        self._change_poll_at = 0.0
        self._closed = False

    @staticmethod
    def _state_file(folder: Path | None, name: str) -> Path | None:
        if folder is None:
            return None
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise ConfigError(f"cluster.json: state: cannot make {folder}: {error.strerror}") from None
        return folder / f"elector-{name}"

    def _create_voter(self, now: float, persisted: PersistedState | None) -> None:
        self.voter = Voter(
            self.me.name,
            tuple(self.voter_addresses),
            self.timing,
            now,
            self.me.boot,
            persisted.terms if persisted is not None else None,
            self.version,
            int(time.time()),
        )
        if persisted is not None and persisted.accepted is not None:
            self.voter.accepted = (persisted.accepted[0], frozenset(persisted.accepted[1]))
            self._accepted_list = dict(persisted.accepted[1])

    def start(self) -> None:
        """Starts to request roles."""
        now = self.clock.now()
        log.info(
            "lease service started: electors=%s version=%d elector=%s",
            ",".join(self.voter_addresses),
            self.version,
            str(self.voter is not None).lower(),
        )
        for local in self.roles.values():
            local.candidate.start(now)
        self._poll()

    # Time

    def _poll(self) -> None:
        """Does what is due and schedules the next poll."""
        self._timer = None
        if self._closed:
            return
        now = self.clock.now()
        if self.voter is not None:
            if (persisted := self.voter.poll(now)) is not None:
                self._on_recovered(persisted)
            self._send_all(self.voter.terms_queries(now))
        for role, local in self.roles.items():
            self._send_all(local.candidate.wake(now))
            self._update_lease(role, local)
            # The second condition holds if the clock stepped back.
            if now >= local.heartbeat_at or local.heartbeat_at - now > self.timing.lease_ms:
                local.heartbeat_at = now + self.timing.lease_ms / HEARTBEATS_PER_LEASE
                self._heartbeat(role, local, now)
        if self.voter_change is not None and now >= self._change_poll_at:
            self._change_poll_at = now + self.timing.lease_ms / POLLS_PER_LEASE
            self._send_all(self.voter_change.pending_messages())
            self._check_change()
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        now = self.clock.now()
        due = min([local.candidate.due() for local in self.roles.values()], default=now + self.timing.lease_ms)
        self._timer = self.clock.after(min(max(1.0, due - now), self.timing.lease_ms / POLLS_PER_LEASE), self._poll)

    def _terms(self) -> dict[str, int]:
        """Returns the highest term of each role that this voter has promised; for operators."""
        return {role: one.term for role, one in self.voter.promises.items() if role} if self.voter else {}

    def _on_recovered(self, persisted: object) -> None:
        log.info("voter recovered, it now grants leases: terms=%s", self._terms())
        self._persist(None)

    # Holding

    def _update_lease(self, role: str, local: LocalRole) -> None:
        """Checks whether the role is held now; notifies the handler, the log and the audit of a change."""
        checked_ms, now = time.monotonic() * 1000, self.clock.now()
        term = local.candidate.held_term(now)
        if term == local.term:
            return
        before, local.term = local.term, term
        if before is not None:
            log.info("lease lost: duty=%s term=%d why=%r", role, before, local.candidate.why)
            self._audit_row(role, "lost", before, real_ms=checked_ms, why=local.candidate.why)
            local.handler.on_lost(now)
        if term is not None:
            log.info("lease acquired: duty=%s term=%d why=%r", role, term, local.candidate.why)
            self._audit_row(role, "won", term, real_ms=checked_ms, why=local.candidate.why)
            local.handler.on_acquired(now, term, local.candidate.state)
            local.heartbeat_at = 0.0

    def _heartbeat(self, role: str, local: LocalRole, now: float) -> None:
        if local.term is not None:
            state = local.handler.heartbeat(now)
            local.skipped = not local.skipped and not state
            for name in self._live_members():
                # Without content every other heartbeat is enough: it tells members who holds the role.
                if name != self.me.name and not local.skipped and (act := self._next_act(role, local)) is not None:
                    self._send_all(
                        [
                            (
                                name,
                                HolderHeartbeat(
                                    role, *act, (state or b"")[:MAX_STATE_BYTES], local.candidate.why[:200]
                                ),
                            )
                        ]
                    )
        if (state := local.handler.request(now)) is not None:
            number = self.rng.getrandbits(60)
            local.requests = {n: at for n, at in local.requests.items() if now - at < self.timing.lease_ms}
            local.requests[number] = now
            self._audit_row(role, "want", 0, real_ms=time.monotonic() * 1000, state=state.hex())
            if local.term is not None:
                self._on_role_request(RoleRequest(role, self.me.name, number, state), self.me.name)
            elif (holder := self.holder(role)) is not None:
                self._send_all([(holder, RoleRequest(role, self.me.name, number, state))])

    def _next_act(self, role: str, local: LocalRole) -> tuple[int, str, int, int] | None:
        """Checks the lease once more and numbers an act under it; returns None if it is no longer held."""
        checked_ms = time.monotonic() * 1000
        term = local.candidate.held_term(self.clock.now())
        if term is None or term != local.term:
            return None
        local.acts += 1
        self._audit_row(role, "act", term, real_ms=checked_ms, count=local.acts)
        return term, self.me.name, self.me.boot, local.acts

    def send_heartbeat_now(self, role: str) -> None:
        """Sends the holder's heartbeat at once, if its content must not wait for the next interval."""
        if not self._closed and (local := self.roles[role]).term is not None:
            local.skipped, local.heartbeat_at = True, self.clock.now() + self.timing.lease_ms / HEARTBEATS_PER_LEASE
            self._heartbeat(role, local, self.clock.now())

    def acting_term(self, role: str) -> int | None:
        """Checks the lease once more; returns the term under which this process may act now, None if it may not."""
        local = self.roles[role]
        term = local.candidate.held_term(self.clock.now())
        return term if term is not None and term == local.term else None

    def send_role_message(self, role: str, to: str, data: bytes) -> None:
        """Sends a message to the role's handler at another member or in this process."""
        self._send_all([(to, RoleMessage(role, data))])

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Returns the address of a member."""
        return self._address_of(name)

    def holder(self, role: str) -> str | None:
        """Returns the holder of a role as far as known here; this entitles nobody to act."""
        local = self.roles.get(role)
        if local is not None and local.term is not None:
            return self.me.name
        name, _, at = self.holders.get(role, ("", 0, float("-inf")))
        return name if name and self.clock.now() - at < self.timing.lease_ms else None

    def _check_fence(self, role: str, term: int, holder: str, boot: int, count: int) -> bool:
        """Checks an act against the fence: acts under a stale term are refused."""
        checked_ms = time.monotonic() * 1000
        if why := self.fence.check(role, term):
            self.refused += 1
            log.warning("act refused: from=%s why=%s", holder, why)
            self._audit_row(
                role,
                "refused",
                term,
                real_ms=checked_ms,
                by=holder,
                of_boot=boot,
                count=count,
                highest=self.fence.highest[role],
            )
            return False
        self._audit_row(role, "took", term, real_ms=checked_ms, by=holder, of_boot=boot, count=count)
        self.holders[role] = (holder, term, self.clock.now())
        return True

    def _audit_row(self, role: str, did: str, term: int, **more: object) -> None:
        self._audit({"me": self.me.name, "boot": self.me.boot, "duty": role, "do": did, "term": term, **more})

    # Messages

    def on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handles a received datagram with the prefix of an envelope."""
        if self._closed:
            return
        try:
            envelope = decode_envelope(data)
        except DecodeError as error:
            self.unreadable += 1
            log.warning("envelope dropped: from=%s:%s why=%s", sender[0], sender[1], error)
            return
        if envelope.fleet != self.me.fleet or envelope.to != self.me.name:
            log.warning(
                "envelope dropped: from=%s:%s why=addressed to %s of fleet %s",
                sender[0],
                sender[1],
                envelope.to,
                envelope.fleet,
            )
            return
        self._receive(envelope)
        self._schedule()

    def _receive(self, envelope: Envelope) -> None:
        kind = "" if isinstance(envelope.body, RoleMessage) else self.point(f"receive {envelope.body.failpoint}")
        if kind != "lost":
            self._handle(envelope)
        operation_done(kind)

    def _handle(self, envelope: Envelope) -> None:
        now, body, voter = self.clock.now(), envelope.body, self.voter
        reply = partial(self._reply, envelope)
        match body:
            case LeaseRequest() if voter is not None and self._accepts_role(voter.promises, body.role):
                lease_reply = voter.on_lease_request(now, body)
                if lease_reply.granted and not body.pre_vote:
                    self._audit_row(
                        body.role,
                        "granted",
                        body.term,
                        to=body.candidate,
                        to_boot=body.boot,
                        real_ms=time.monotonic() * 1000,
                    )
                    self._persist(lambda: reply(lease_reply), body.role)
                else:
                    reply(lease_reply)
            case LeaseRelease() if voter is not None:
                voter.on_release(now, body)
            case TermsQuery() if voter is not None:
                # Sent first: a voter with an older list must know what a majority is before it counts replies.
                reply(Commit(self.version, self.voter_addresses))
                reply(voter.on_terms_query(body))
            case TermsReply() if voter is not None:
                if (persisted := voter.on_terms_reply(now, body)) is not None:
                    self._on_recovered(persisted)
            case LeaseReply() if (local := self.roles.get(body.role)) is not None:
                if body.version > self.version:
                    self._query_voter_list(envelope, now)
                self._send_all(local.candidate.on_lease_reply(now, body))
                self._update_lease(body.role, local)
            case Transfer() if (local := self.roles.get(body.role)) is not None:
                self._send_all(local.candidate.on_transfer(now, body))
                self._update_lease(body.role, local)
            case HolderHeartbeat() if (local := self.roles.get(body.role)) is not None:
                if self._check_fence(body.role, body.term, body.candidate, body.boot, body.count):
                    self.holder_reasons[body.role] = body.why
                    local.candidate.on_heartbeat(now, body.term, body.candidate)
                    local.handler.on_heartbeat(now, body.term, body.candidate, body.state)
                else:
                    reply(StaleTerm(body.role, self.fence.highest[body.role]))
            case StaleTerm() if (local := self.roles.get(body.role)) is not None:
                self._send_all(local.candidate.on_stale_term(now, body.term))
                self._update_lease(body.role, local)
            case RoleRequest():
                self._on_role_request(body, envelope.sender)
            case RoleReply() if (local := self.roles.get(body.role)) is not None:
                requested_at = local.requests.pop(body.number, None)
                if requested_at is not None and self._check_fence(
                    body.role, body.term, body.candidate, body.boot, body.count
                ):
                    local.handler.on_reply(now, requested_at, body.state)
            case RoleMessage() if (local := self.roles.get(body.role)) is not None:
                local.handler.on_message(now, envelope.sender, body.data)
            case TransferRequest() if body.role in self.roles:
                self.transfer(body.role, body.to)
            case Propose() if voter is not None:
                state = voter.on_propose(tuple(body.voters), body.version)
                if not state:
                    self._accepted_list = dict(body.voters)
                answer = Accepted(self.me.name, body.number, body.version, self.version, state[:120] or "accepted")
                self._persist(lambda: reply(answer))
            case Commit():
                self._install(body, now)
                if body.number:
                    answer = Accepted(self.me.name, body.number, body.version, self.version, "installed")
                    self._persist(lambda: reply(answer))
            case Accepted() if self.voter_change is not None:
                self._send_all(self.voter_change.on_accepted(body))
                self._check_change()
            case VoterListQuery() if body.version < self.version:
                reply(Commit(self.version, self.voter_addresses))

    @staticmethod
    def _accepts_role(promises: Mapping[str, object], role: str) -> bool:
        """Guards against an unbounded number of role names in requests."""
        return role in promises or len(promises) < MAX_ROLES

    def _on_role_request(self, request: RoleRequest, member: str) -> None:
        local = self.roles.get(request.role)
        # Guards against replies after the state was sent to the next holder, which would not count them.
        transferring = local is not None and local.candidate.stage is Stage.TRANSFERRING
        if local is None or local.term is None or transferring or request.member != member:
            return
        now = self.clock.now()
        checked_ms = time.monotonic() * 1000
        self._audit_row(request.role, "heard", local.term, real_ms=checked_ms, by=member, state=request.state.hex())
        state = local.handler.on_request(now, member, request.state)
        if state is not None:
            self._audit_row(request.role, "gave", local.term, real_ms=checked_ms, to=member, state=state.hex())
        if state is None or (act := self._next_act(request.role, local)) is None:
            return
        if member == self.me.name:
            requested_at = local.requests.pop(request.number, None)
            if requested_at is not None:
                local.handler.on_reply(now, requested_at, state)
        else:
            self._send_all([(member, RoleReply(request.role, *act, request.number, state))])

    def _reply(self, envelope: Envelope, body: Message) -> None:
        self._send(envelope.sender, envelope.host, envelope.port, body)

    def _send_all(self, out: Out) -> None:
        for to, body in out:
            if to == self.me.name:
                self.clock.soon(partial(self._receive_own, body))
            elif (address := self._address_of(to)) is not None:
                self._send(to, *address, body)

    def _receive_own(self, body: Message) -> None:
        if not self._closed:
            self._receive(Envelope(self.me.fleet, self.me.name, self.me.name, self.me.host, self.me.port, body))
            self._schedule()

    def _address_of(self, name: str) -> tuple[str, int] | None:
        if (text := self.voter_addresses.get(name)) is None and self.voter_change is not None:
            text = self.voter_change.new.get(name) or self.voter_change.old.get(name)
        if text is not None:
            address = read_address(text, name)
            return address.host, address.port
        return self._find_member(name)

    def _send(self, to: str, host: str, port: int, body: Message) -> None:
        if to == self.me.name:
            self.clock.soon(partial(self._receive_own, body))
            return
        try:
            data = encode_envelope(Envelope(self.me.fleet, to, self.me.name, self.me.host, self.me.port, body))
        except ValueError as error:
            log.warning("envelope not sent: to=%s why=%s", to, error)
            return
        self.sent += 1
        # Role messages have failpoints of their own in the role's handler, which knows their content.
        kind = "" if isinstance(body, RoleMessage) else self.point(f"send {body.failpoint}")
        send_with_fault(
            kind, lambda: self._send_datagram(host, port, data), partial(self.clock.after, 2 * self.timing.lease_ms)
        )

    # The disk

    def _persist(self, then: Callable[[], None] | None, role: str = "") -> None:
        """Persists the voter's state, then calls `then`; does not call it if the write fails.

        role: `then` waits for this role's term only; by default for the whole state.
        """
        then = then if then is not None else _nothing
        if self.voter is None or self.store.path is None:
            then()
            return
        state = PersistedState(
            self.voter.persisted_terms().terms,
            self.version,
            self.voter_addresses,
            (self.voter.accepted[0], self._accepted_list) if self.voter.accepted is not None else None,
        )
        required = replace_terms(state, {role: state.terms[role]}) if role else state
        self._commits.submit(state, then, self._on_not_persisted, required)
        # Ahead of time, so that grants need not wait for the disk.
        self._commits.submit(reserve(state, RESERVED_TERMS // 2), _nothing, _ignore_reason)

    def _write(self, state: PersistedState, on_success: Callable[[], None], on_failure: Callable[[str], None]) -> None:
        kind = self.point("elector's disk")
        write = partial(write_with_fault, kind, partial(self.store.write, state))
        task = asyncio.get_running_loop().run_in_executor(self._writer, write)

        def on_written(task: asyncio.Future[None]) -> None:
            operation_done(kind)
            if self._closed or task.cancelled():
                return
            if (error := task.exception()) is not None:
                on_failure(str(error))
            else:
                on_success()

        task.add_done_callback(on_written)

    def _on_not_persisted(self, reason: str) -> None:
        log.warning("voter does not reply, its state file cannot be written: file=%s why=%s", self.store.path, reason)

    # The voter list

    def _query_voter_list(self, envelope: Envelope, now: float) -> None:
        if now - self._list_queried_at >= self.timing.lease_ms / POLLS_PER_LEASE:
            self._list_queried_at = now
            self._reply(envelope, VoterListQuery(self.version))

    def _install(self, commit: Commit, now: float) -> None:
        if commit.version <= self.version:
            return
        self.voter_addresses, self.version = dict(commit.voters), commit.version
        voters = tuple(self.voter_addresses)
        log.info("voter list installed: version=%d electors=%s", self.version, ",".join(voters))
        if self.me.name not in self.voter_addresses:
            self.voter = None
        elif self.voter is None:
            self._create_voter(now, None)
        else:
            self.voter.install_voters(voters, self.version)
        for local in self.roles.values():
            self._send_all(local.candidate.install_voters(now, voters, self.version))
            local.handler.on_voters_changed(voters)
        self._persist(None)

    def change_voters(self, name: str, address: str | None) -> str:
        """Starts to add a voter at an address, or to remove one if that is None; returns "" or why it cannot."""
        if self.voter_change is not None:
            return "a change of electors is under way"
        if (name in self.voter_addresses) != (address is None):
            return f"{name} is {'an' if address else 'no'} elector"
        new = (
            {**self.voter_addresses, name: address}
            if address
            else {n: p for n, p in self.voter_addresses.items() if n != name}
        )
        if not 2 <= len(new) <= 7:
            return "there must be 3 to 7 electors; 2 are allowed between two changes"
        self.voter_change = VoterListChange(dict(self.voter_addresses), new, self.version + 1, self.rng.getrandbits(60))
        self.change_report = f"electors: version {self.version + 1} is proposed"
        self._change_poll_at = 0.0
        return ""

    def _check_change(self) -> None:
        change = self.voter_change
        if change is None:
            return
        if change.accepted_by_majority and change.version > self.version:
            self._install(Commit(change.version, change.new), self.clock.now())
        if change.done:
            self.change_report = (
                f"electors: version {change.version} is in force at {', '.join(sorted(change.installed))}"
            )
        elif change.failed:
            why = "; ".join(f"{name}: {text}" for name, text in change.refused.items()) or "no majority replies"
            self.change_report = f"electors: version {change.version} was not accepted: {why}"
        else:
            return
        log.info("%s", self.change_report)
        self.voter_change = None

    # Operators

    def request_transfer(self, role: str, to: str) -> str:
        """Transfers a role to a member, or to any if `to` is empty, for an operator; returns "" or why it cannot."""
        if role not in self.roles:
            return f"no duty {role!r:.70}, known are {', '.join(self.roles)}"
        holder = self.holder(role)
        if holder is None:
            return "no holder is known"
        to = to or self._other_member(holder)
        if not to or to == holder:
            return f"it is held by {holder}, and no other member is alive" if not to else f"it is held by {holder}"
        if to not in self._live_members():
            return f"{to!r:.70} is not known as a live member"
        if holder == self.me.name:
            return self.transfer(role, to)
        self._send_all([(holder, TransferRequest(role, to))])
        return ""

    def _other_member(self, holder: str) -> str:
        others = [name for name in self._live_members() if name != holder]
        return self.rng.choice(others) if others else ""

    def transfer(self, role: str, to: str) -> str:
        """Starts to transfer a role that is held here to another member; returns "" or why it cannot."""
        local, now = self.roles[role], self.clock.now()
        out = local.candidate.transfer(now, to, local.handler.transfer_state(now)[:MAX_STATE_BYTES])
        self._send_all(out)
        self._schedule()
        return "" if out else "it is not held here, or is being transferred already"

    def step_down(self) -> None:
        """Transfers all held roles and requests none: for a drain, or before the process ends."""
        now = self.clock.now()
        for role, local in self.roles.items():
            to = self._other_member(self.me.name) if local.term is not None else ""
            self._send_all(local.candidate.step_down(now, to, local.handler.transfer_state(now)[:MAX_STATE_BYTES]))
            self._update_lease(role, local)
        self._schedule()

    def resume(self) -> None:
        """Requests roles again."""
        for local in self.roles.values():
            local.candidate.enabled = True

    @property
    def all_released(self) -> bool:
        """Whether no role is held here or being transferred."""
        return all(local.candidate.stage not in (Stage.HOLDING, Stage.TRANSFERRING) for local in self.roles.values())

    def close(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._writer.shutdown(wait=False, cancel_futures=True)

    def show(self) -> dict[str, Any]:
        """Returns the status for operators."""
        now, voter = self.clock.now(), self.voter
        roles = {}
        for role, local in self.roles.items():
            _, term, at = self.holders.get(role, ("", 0, 0.0))
            own_term = local.candidate.held_term(now)
            roles[role] = {
                "holder": self.holder(role),
                "term": own_term if own_term is not None else term or None,
                "said_ms_ago": None if own_term is not None or not term else round(now - at),
                "here": local.candidate.stage.value,
                "why_here": local.candidate.why,
                "last_failure": local.candidate.last_failure,
                "why": local.candidate.why if own_term is not None else self.holder_reasons.get(role, ""),
                "acts": local.acts,
                "fence": self.fence.highest.get(role, 0),
                "seen": local.candidate.highest_term,
                "work": local.handler.show(now),
            }
        status: dict[str, Any] = {
            "duties": roles,
            "electors": self.voter_addresses,
            "electors_version": self.version,
            "electors_told": self.change_report,
            "lease_ms": self.timing.lease_ms,
            "acts_refused": self.refused,
            "letters_sent": self.sent,
            "letters_unreadable": self.unreadable,
            "elector": None,
        }
        if voter is not None:
            status["elector"] = {
                "takes_part": voter.recovered,
                "terms": self._terms(),
                "bound_to": {
                    d: p.next_holder or p.candidate for d, p in voter.promises.items() if p.until > voter.elapsed_ms
                },
                "writes": self.store.writes,
                "last_write_ms": round(self.store.last_write_ms, 1),
            }
        return status
