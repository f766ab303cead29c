"""Staged rollouts in one process: connects register, engine and follower to disk, network, exchange and operators.

The decisions are made in register, plan, gate, engine and follower, which do no I/O.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from random import Random
from typing import Annotated, Any, ClassVar, Protocol, TypeVar

import msgspec
from msgspec import Meta

from dahliabridge import interface as api
from dahliabridge.brain import RuleSet
from sageweir.attempts import Request
from sageweir.clock import Timer
from sageweir.cluster import failpoints
from sageweir.cluster.changes import program
from sageweir.cluster.changes.disk import Blob, Disk, MemberRecord, Record, ReplicaRecord
from sageweir.cluster.changes.document import DOCUMENT_BYTES, RefusedError, digest, read_rules
from sageweir.cluster.changes.engine import INACTIVE, Engine, LeaseTiming
from sageweir.cluster.changes.follower import DISK_REASON, Action, Apply, Fetch, Follower, Persist
from sageweir.cluster.changes.forms import OWN
from sageweir.cluster.changes.gate import Bounds, Gate
from sageweir.cluster.changes.messages import (
    NOT_WRITTEN_YET,
    PROGRAM,
    ROLE,
    RULES,
    Announcement,
    Digest,
    Phase,
    Prepare,
    RecoveryQuery,
    RegisterReply,
    Report,
    RolloutLease,
    Text,
    Write,
)
from sageweir.cluster.changes.plan import FleetStatus, Member, decode_plan, encode_plan
from sageweir.cluster.changes.program import ProgramSelector, fingerprint, read_program
from sageweir.cluster.changes.register import Out, Replica, Writer
from sageweir.cluster.changes.tally import Tally, memory_kb
from sageweir.cluster.group_commit import GroupCommit
from sageweir.cluster.leases.messages import Name
from sageweir.cluster.member import FleetMember
from sageweir.cluster.messages import State
from sageweir.config import ChangesConfig, ClusterConfig, ConfigError
from sageweir.exchange import Exchange

T = TypeVar("T")
log = logging.getLogger("sageweir.cluster")
PAGE_PREFIX = b"content-"  # of the names under which other members fetch contents
# First word of the failpoints of disk writes (`keeper's disk`), by record.
DISK_FAILPOINTS: dict[type, str] = {ReplicaRecord: "keeper", MemberRecord: "member", Blob: "content"}
# Fractions of a lease.
TICK_FRACTION = 1 / 20  # interval of the timer
FETCH_FRACTION = 1 / 3  # minimum time between two attempts to fetch a content


class OperatorCommand(msgspec.Struct, frozen=True, gc=False, tag="asked"):
    """An operator's command, sent to the holder. do: propose, go or halt."""

    failpoint: ClassVar[str] = "Asked"
    do: Name
    kind: Name = ""
    digest: Digest = ""
    reason: Text = msgspec.field(default="", name="why")


class OperatorReply(msgspec.Struct, frozen=True, gc=False, tag="answered"):
    """The holder's reply to an operator's command."""

    failpoint: ClassVar[str] = "Answered"
    text: Annotated[str, Meta(max_length=300)]


Body = Prepare | Write | RecoveryQuery | RegisterReply | OperatorCommand | OperatorReply
_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Body).decode


def _decode_as(data: bytes, kind: type[T]) -> T | None:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError:
        return None


class RolloutKind(Protocol):
    """A kind of rollout other than rules. required_dual_reads: as in Engine."""

    name: str
    required_dual_reads: int

    def owns(self, data: bytes) -> bool:
        """Whether a content is of this kind."""

    def check(self, data: bytes) -> str:
        """Why a content is invalid, or ""."""

    def apply(self, action: Apply, data: bytes) -> None:
        """Put a content into force; no data: the built-in default."""

    def agreed(self) -> tuple[int, ...]:
        """Dual reads that agreed, by kind of question, for reports."""

    def halt_reason(self) -> str:
        """Why the rollout under way must halt, or ""."""

    def on_setup(self, request: Request) -> None:
        """A new set-up has arrived."""

    def on_lease(self, lease: RolloutLease) -> None:
        """Handle the holder's reply to a report of this member."""

    def running_number(self, latest: int) -> int | None:
        """The rollout that runs here on a lease; None: ask the follower. latest: latest rollout known."""

    def show(self) -> dict[str, Any]:
        """Status for operators."""


class ProgramKind:
    """Rollouts of the program: the program of this process, and the one that its starter has to run."""

    name, required_dual_reads = PROGRAM, 0

    def __init__(self, fleet: FleetMember, permit_ms: float) -> None:
        self.fleet, self.phase = fleet, Phase.NONE
        root = Path(__file__).resolve().parents[3]
        sources = [path for top in ("dahliabridge", "sageweir") for path in (root / top).rglob("*.py")]
        own = fingerprint((str(path.relative_to(root)), path.read_bytes()) for path in sources)
        self.selector = ProgramSelector(own, fleet.clock.now(), permit_ms)

    def owns(self, data: bytes) -> bool:
        return b'"program"' in data[:DOCUMENT_BYTES] and b'"replaces"' in data[:DOCUMENT_BYTES]

    def check(self, data: bytes) -> str:
        try:
            self.selector.documents[digest(data)] = read_program(data)
        except program.RefusedError as error:
            return str(error)
        return ""

    def apply(self, action: Apply, data: bytes) -> None:
        try:
            document = read_program(data) if data else None
        except program.RefusedError as error:
            log.error("program document rejected: change=%d why=%s", action.number, error)
            return
        self.selector.on_applied(action.number, document, action.leased)

    def agreed(self) -> tuple[int, ...]:
        return ()

    def halt_reason(self) -> str:
        return ""

    def on_setup(self, request: Request) -> None:
        pass

    def on_lease(self, lease: RolloutLease) -> None:
        self.selector.on_lease(lease)

    def running_number(self, latest: int) -> int | None:
        self.selector.latest_number = latest
        return self.selector.running_number()

    def show(self) -> dict[str, Any]:
        now = self.fleet.clock.now()
        return {
            "own": self.selector.own,
            "wanted": self.selector.wanted_program(now),
            "state": self.selector.starter_state(now, self.phase),
        }


class RolloutService:
    """Handler of the role `changer`, and each member's side of rollouts."""

    def __init__(
        self,
        fleet: FleetMember,
        exchange: Exchange,
        config: ClusterConfig,
        changes: ChangesConfig,
        others: Iterable[RolloutKind] = (),
    ) -> None:
        """others: kinds other than rules and programs. Raises ConfigError if the state directory can't be opened."""
        self.program = ProgramKind(fleet, changes.permit_ms)
        self.kinds: dict[str, RolloutKind] = {kind.name: kind for kind in (*others, self.program)}
        assert config.state is not None
        self.fleet, self.exchange, self.clock = fleet, exchange, fleet.clock
        self.me, self.rng = fleet.membership.local_record, Random(fleet.membership.local_record.boot ^ 0x5A17)
        self.lease_ms = config.lease_ms
        try:
            self.disk = Disk(Path(config.state) / f"changes-{self.me.name}", self.me.name)
        except OSError as error:
            raise ConfigError(f"cluster.json: state: {error.strerror or error}") from None
        self._settings = exchange.controller.settings
        self._default_rules = RuleSet(self._settings).rules
        now = self.clock.now()
        self.started_at = now
        voters = tuple(config.electors)
        self.replica: Replica | None = None
        self._set_replicas(voters)
        self.bounds = Bounds(
            changes.window_ms,
            changes.least_ms,
            changes.longest_ms,
            changes.least_calls,
            changes.block_ms,
            changes.settle_ms,
            soak_ms=changes.soak_ms,
            margin=changes.margin,
        )
        self.tally = Tally(self._settings, exchange.clock.now, self._on_attempt, self._on_setup)
        exchange.observer = self.tally
        writer = Writer(self.me.name, voters, config.lease_ms, self.rng.getrandbits(40))
        self.engine = Engine(
            self.me.name,
            writer,
            LeaseTiming(changes.permit_ms, config.drift),
            self.bounds,
            self._make_gate,
            Random(self.rng.getrandbits(60)),
        )
        self.engine.required_dual_reads = max((kind.required_dual_reads for kind in self.kinds.values()), default=0)
        self.follower = Follower(frozenset({RULES, *self.kinds}), self.disk.member_state)
        for name, data in self.disk.blobs.items():
            self._register_content(name, data)
        fleet.link.serve_page = self._serve_content
        self.rules = self._default_rules
        self.operator_reply = ""  # the holder's last reply to an operator of this member
        self.announcement: Announcement | None = None  # the  last one
        self._left_members: set[str] = set()
        # Sender, rollout number and reply, which is sent once that rollout is in the register.
        self._pending_proposal: tuple[str, int, str] | None = None
        self._last_wait_reason = ""
        self._fetch_times: dict[str, float] = {}
        self._writer = ThreadPoolExecutor(1, "changes-disk")
        self._replica_commits = GroupCommit(self._write, ReplicaRecord.covers, fleet.limits.cluster_writes)
        self._pending_writes = 0
        self._timer: Timer | None = None
        self._closed = False
        self._audited_step = -1

    def start(self) -> None:
        self._audit("runs", program=self.program.selector.own)
        self._run_actions(self.follower.start())
        self._tick()

    def close(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._writer.shutdown(wait=False, cancel_futures=True)

    def _set_replicas(self, voters: tuple[str, ...]) -> None:
        if self.me.name not in voters:
            self.replica = None
        elif self.replica is not None:
            self.replica.install(voters)
        else:
            self.replica = Replica(
                self.me.name, voters, self.lease_ms, self.clock.now(), self.me.boot, self.disk.replica_state
            )

    def _make_gate(self, now: float) -> Gate:
        return Gate(self.bounds, self.tally.names, self.tally.late_worths, self.tally.weights, 192.0, now)

    # Time

    def _tick(self) -> None:
        if self._closed:
            return
        now = self.clock.now()
        self._timer = self.clock.after(self.lease_ms * TICK_FRACTION, self._tick)
        self._run_actions(self.follower.tick(now))
        if self.replica is not None:
            self._send_all(self.replica.poll(now))
        for name, member in self.fleet.membership.members.items():
            if member.record.state is State.LEFT:
                self._left_members.add(name)
        if self._acting_term() is None:
            return
        out, state = self.engine.tick(now, self._fleet_status(now))
        self._send_all(out)
        if state is not None and self._acting_term() is not None:
            try:
                self._send_all(self.engine.write(now, state))
            except ValueError as error:
                log.error("state not written to the register: change=%d why=%s", state.number, error)
        self._report_state()
        self._report_wait()
        if self.engine.missing_plan:
            self._fetch(RULES, self.engine.missing_plan)

    def _report_wait(self) -> None:
        """Report to the operator why an accepted rollout doesn't start yet."""
        reason = self.engine.verdict.reason
        if (
            self._pending_proposal is not None
            and self.engine.request.start is not None
            and reason != self._last_wait_reason
        ):
            self._last_wait_reason = reason
            sender, number, _ = self._pending_proposal
            self._send(sender, OperatorReply(f"change {number} waits, and {NOT_WRITTEN_YET}: {reason}"[:300]))

    def _report_state(self) -> None:
        """Log and audit each committed state, and reply to the operator who proposed it."""
        state = self.engine.state
        if not self.engine.is_register_read or state.step == self._audited_step:
            return
        plan = self.engine.plan
        if plan is None and state.phase in (Phase.RUNNING, Phase.SWITCHBACK):
            return  # a new holder grants no leases before it has fetched the plan
        self._audited_step = state.step
        # Guards against a reply to the operator that the holder's crash would make untrue.
        if self._pending_proposal is not None and state.number >= self._pending_proposal[1]:
            sender, number, text = self._pending_proposal
            self._pending_proposal = None
            if number == state.number:
                self._send(sender, OperatorReply(text))
        names = sorted(plan.members_through(state.stage)) if plan is not None else []
        names += ["*"] if self.engine.admits_newcomers else []  # members that are not in the plan
        log.info(
            "change=%d kind=%s phase=%s stage=%d on=%s members=%d why=%r",
            state.number,
            state.kind,
            state.phase.value,
            state.stage,
            str(state.enabled).lower(),
            len(names),
            state.reason,
        )
        self._audit(
            "book",
            step=state.step,
            number=state.number,
            floor=state.floor,
            phase=state.phase.value,
            stage=state.stage,
            on=state.enabled,
            allowed=names,
            why=state.reason,
            proven={baseline.kind: [baseline.number, baseline.digest] for baseline in state.baselines},
        )

    def _audit(self, did: str, **more: object) -> None:
        self.fleet.write_lease_audit(
            {
                "me": self.me.name,
                "boot": self.me.boot,
                "duty": ROLE,
                "do": did,
                "term": 0,
                "real_ms": time.monotonic() * 1000,
                **more,
            }
        )

    def _acting_term(self) -> int | None:
        return self.fleet.leases.acting_term(ROLE) if self.fleet.leases is not None else None

    def _fleet_status(self, now: float) -> FleetStatus:
        controller, unix_ms = self.exchange.controller, self.exchange.clock.now()
        members = tuple(Member(record.name, record.zone) for record in self.fleet.membership.live_records)
        listed = [server for server in controller.servers.values() if server.is_in_service()]
        in_slow_start = sum(server.ramp_progress(controller.settings, unix_ms) < 1 for server in listed)
        silent = sum(server.consecutive_failures > 0 and bool(server.pending_sends()) for server in listed)
        return FleetStatus(
            self.fleet.membership.size.settled,
            members,
            len(listed),
            in_slow_start,
            silent,
            0,
            self.engine.failing_members(now),
        )

    # Role handler

    def on_acquired(self, now: float, term: int, state: bytes) -> None:
        self._send_all(self.engine.on_lease_acquired(now, term))

    def on_lost(self, now: float) -> None:
        self.engine.on_lease_lost()
        self._audited_step, self._pending_proposal = -1, None

    def transfer_state(self, now: float) -> bytes:
        return b""  # all state is in the register

    def heartbeat(self, now: float) -> bytes | None:
        announcement = self.engine.announcement()
        if announcement is None:
            return None
        self.announcement, self.program.phase = announcement, announcement.phase
        self._run_actions(self.follower.on_announcement(now, announcement))
        return msgspec.msgpack.encode(announcement)

    def on_heartbeat(self, now: float, term: int, holder: str, state: bytes) -> None:
        announcement = _decode_as(state, Announcement) if state else None
        if announcement is not None:
            self.announcement, self.program.phase = announcement, announcement.phase
            self._run_actions(self.follower.on_announcement(now, announcement))

    def request(self, now: float) -> bytes | None:
        follower = self.follower
        if self.program.selector.runs_non_baseline and not follower.latest_number:
            return None  # its rollout's number is not known yet; a report of 0 would hide a crash
        numbers = [kind.running_number(follower.latest_number) for kind in self.kinds.values()]
        running_number = next((number for number in numbers if number is not None), follower.running_number)
        return msgspec.msgpack.encode(
            Report(
                self.me.boot,
                running_number,
                follower.latest_number,
                follower.persisted.floor,
                int(max(0.0, now - self.started_at)),
                self.tally.report(),
                memory_kb(),
                self.fleet.membership.stalls,
                next(
                    (
                        reason
                        for reason in (follower.reason, *(kind.halt_reason() for kind in self.kinds.values()))
                        if reason
                    ),
                    "",
                )[:160],
                next((agreed for kind in self.kinds.values() if (agreed := kind.agreed())), ()),
                OWN,
            )
        )

    def on_request(self, now: float, member: str, state: bytes) -> bytes | None:
        report = _decode_as(state, Report)
        if report is None:
            return None
        record = self.me if member == self.me.name else None
        if record is None and (found := self.fleet.membership.members.get(member)) is not None:
            record = found.record
        self._report_state()  # audit the state before any lease is granted by it
        left = member in self._left_members
        self._left_members.discard(member)
        lease = self.engine.on_report(now, member, record.zone if record is not None else "", report, left)
        return msgspec.msgpack.encode(lease) if lease is not None else None

    def on_reply(self, now: float, requested_at: float, state: bytes) -> None:
        lease = _decode_as(state, RolloutLease)
        if lease is not None:
            self._run_actions(self.follower.on_lease(now, requested_at, lease))
            for kind in self.kinds.values():
                kind.on_lease(lease)

    def on_voters_changed(self, voters: tuple[str, ...]) -> None:
        self._set_replicas(voters)
        self.engine.writer.install(voters)

    def show(self, now: float) -> dict[str, Any]:
        return {}

    # Messages

    def _send_all(self, out: Out) -> None:
        for to, message in out:
            self._send(to, message)

    def _send(self, to: str, body: Body) -> None:
        if (leases := self.fleet.leases) is not None and not self._closed:
            fault = self.fleet.failpoint(f"send {body.failpoint}")
            failpoints.send_with_fault(
                fault,
                lambda: leases.send_role_message(ROLE, to, _encode(body)),
                partial(self.clock.after, 2 * self.lease_ms),
            )

    def on_message(self, now: float, sender: str, data: bytes) -> None:
        """Handle a message of another member."""
        try:
            body = _decode(data)
        except msgspec.MsgspecError as error:
            log.warning("rollout message dropped: from=%s why=%s", sender, str(error)[:120])
            return
        fault = self.fleet.failpoint(f"receive {body.failpoint}")
        if fault != "lost":
            self._on_message(now, sender, body)
        failpoints.operation_done(fault)

    def _on_message(self, now: float, sender: str, body: Body) -> None:
        replica = self.replica
        match body:
            case Prepare() if replica is not None:
                self._reply_when_written(replica.on_prepare(now, body), sender)
            case Write() if replica is not None:
                missing = [name for name in body.blobs if name not in self.disk.blobs]
                for name in missing:
                    self._fetch(RULES, name, sender)  # the holder repeats the Write until the content is here
                if not missing:
                    self._reply_when_written(replica.on_write(now, body), sender)
            case RecoveryQuery() if replica is not None:
                self._send(sender, replica.on_recovery_query(body))
            case RegisterReply():
                if replica is not None:
                    replica.on_recovery_reply(now, body)
                if self._acting_term() is not None:
                    self._send_all(self.engine.writer.on_reply(now, body))
                    self._report_state()
            case OperatorCommand():
                self._on_command(now, sender, body)
            case OperatorReply():
                self.operator_reply = body.text

    def _reply_when_written(self, reply: RegisterReply, to: str) -> None:
        """Send a replica's reply once its state is on the disk; if the write fails, send nothing."""
        if not reply.ok or self.replica is None:
            self._send(to, reply)
            return
        state = self.replica.persisted_state()
        self._replica_commits.submit(
            ReplicaRecord(state.promised, *state.entry.ballot, state.entry.body),
            lambda: self._send(to, reply),
            lambda reason: log.warning("register reply not sent, its state is not on the disk: why=%s", reason),
        )

    def _write(self, record: Record, on_success: Callable[[], None], on_failure: Callable[[str], None]) -> None:
        if self._closed:
            return
        if self._pending_writes >= self.fleet.limits.cluster_writes:
            on_failure(f"{self._pending_writes} writes wait for the disk")
            return
        self._pending_writes += 1
        fault = self.fleet.failpoint(f"{DISK_FAILPOINTS[type(record)]}'s disk")
        write = partial(failpoints.write_with_fault, fault, partial(self.disk.write, record))
        task = asyncio.get_running_loop().run_in_executor(self._writer, write)

        def on_written(task: asyncio.Future[None]) -> None:
            failpoints.operation_done(fault)
            self._pending_writes -= 1
            if self._closed or task.cancelled():
                return
            if (error := task.exception()) is not None:
                log.warning("rollout state not written to the disk: why=%s", error)
                on_failure(str(error))
            else:
                on_success()

        task.add_done_callback(on_written)

    # Contents

    def _serve_content(self, name: bytes) -> bytes:
        return (
            self.disk.blobs.get(name.removeprefix(PAGE_PREFIX).decode("ascii", "replace"), b"")
            if name.startswith(PAGE_PREFIX)
            else b""
        )

    def _fetch(self, kind: str, name: str, where: str = "") -> None:
        """Fetch a content from `where`, the holder or a random voter; each call may start another attempt."""
        now, leases = self.clock.now(), self.fleet.leases
        if (data := self.disk.blobs.get(name)) is not None:
            self.clock.soon(partial(self._on_content, kind, name, data))
            return
        if leases is None or now - self._fetch_times.get(name, float("-inf")) < self.lease_ms * FETCH_FRACTION:
            return
        if len(self._fetch_times) > 64:
            self._fetch_times.clear()
        self._fetch_times[name] = now
        sources = [
            source
            for source in (where, leases.holder(ROLE) or "", *leases.voter_addresses)
            if source and source != self.me.name
        ]
        for source in dict.fromkeys(sources[:1] + self.rng.sample(sources[1:], min(1, len(sources[1:])))):
            if (address := leases.address_of(source)) is not None:
                self.fleet.link.fetch(*address, PAGE_PREFIX + name.encode(), partial(self._on_fetched, kind, name))

    def _on_fetched(self, kind: str, name: str, data: bytes) -> None:
        if self._closed or not data or name in self.disk.blobs:
            return
        if digest(data) != name:
            log.warning("content dropped: name=%s why=its digest differs", name)
            return
        self._write(
            Blob(name, data),
            lambda: self._on_content(kind, name, data),
            lambda reason: self._run_actions(
                self.follower.on_content_rejected(self.clock.now(), kind, name, f"{DISK_REASON}{reason}")
            ),
        )

    def _register_content(self, name: str, data: bytes) -> str:
        """Check and register a content; the result is why it can't be put into force, or "". Plans go to the engine."""
        try:
            plan = decode_plan(data)
        except ValueError:
            pass
        else:
            if len(self.engine.plans) > 8:
                self.engine.plans = {self.engine.state.plan: plan} if name == self.engine.state.plan else {}
            self.engine.plans[name] = plan
            return "it is a plan"
        kind, reason = self._kind_of(data)
        if reason:
            self.follower.rejected[name] = reason[:160]
        else:
            self.follower.contents[name] = kind
        return reason

    def _kind_of(self, data: bytes) -> tuple[str, str]:
        """The kind of a content, and why it can't be used here, or ""."""
        kind = next((kind for kind in self.kinds.values() if kind.owns(data)), None)
        if kind is not None:
            return kind.name, kind.check(data)
        try:
            read_rules(data, self._settings, 0)
        except RefusedError as error:
            return RULES, str(error)
        return RULES, ""

    def _on_content(self, kind: str, name: str, data: bytes) -> None:
        if self._closed:
            return
        now = self.clock.now()
        if reason := self._register_content(name, data):
            if name not in self.engine.plans:
                log.warning("content rejected: name=%s why=%s", name, reason)
                self._run_actions(self.follower.on_content_rejected(now, kind, name, reason))
            return
        self._run_actions(self.follower.on_content(now, self.follower.contents.get(name, kind), name))

    # Actions of the follower

    def _run_actions(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Fetch(kind, name):
                    self._fetch(kind, name)
                case Persist(state):
                    self._write(MemberRecord(state.floor, state.baselines), self._on_persisted, self._on_persist_failed)
                case Apply():
                    self._apply(action)

    def _on_persisted(self) -> None:
        self._run_actions(self.follower.on_persisted(self.clock.now()))

    def _on_persist_failed(self, reason: str) -> None:
        self._run_actions(self.follower.on_persist_failed(self.clock.now(), reason))

    def _apply(self, action: Apply) -> None:
        if action.kind != RULES:
            fault = self.fleet.failpoint("apply")
            self.kinds[action.kind].apply(action, self.disk.blobs.get(action.digest, b"") if action.number else b"")
            self._audit("applied", number=action.number, digest=action.digest, unproven=action.leased)
            failpoints.operation_done(fault)
            return
        if not action.number:
            rules = self._default_rules
        else:
            try:
                rules = read_rules(self.disk.blobs.get(action.digest, b""), self._settings, action.number)
            except RefusedError as error:
                log.error("rules rejected, the built-in rules are in force: change=%d why=%s", action.number, error)
                rules = self._default_rules
        fault = self.fleet.failpoint("apply")
        self.rules = rules
        self.exchange.on_peer_event(api.RulesChanged(rules))
        log.info("rules: change=%d digest=%s proven=%s", action.number, action.digest, str(not action.leased).lower())
        self._audit("applied", number=action.number, digest=action.digest, unproven=action.leased)
        failpoints.operation_done(fault)

    def _on_setup(self, request: Request) -> None:
        for kind in self.kinds.values():
            kind.on_setup(request)

    def _on_attempt(self, call: str, rules: int) -> None:
        self._audit("sent", call=call, rules=rules)

    # Operators

    def run_operator_command(self, words: list[str]) -> str:
        """Run a command; the result is why it fails, or "". The holder's reply comes later, in `operator_reply`."""
        match words:
            case ["propose", kind, *rest] if kind in self.follower.kinds and rest:
                path = Path(" ".join(rest))
                try:
                    with path.open("rb") as file:
                        data = file.read(DOCUMENT_BYTES + 1)
                except OSError as error:
                    return f"{path}: {error.strerror}"
                found_kind, reason = self._kind_of(data)
                if reason or found_kind != kind:
                    return f"{path.name}: {reason or f'it holds {found_kind}, not {kind}'}"
                name = digest(data)
                self.operator_reply = ""
                self._write(
                    Blob(name, data), lambda: self._on_proposal_written(kind, name, data), self._on_proposal_not_written
                )
                return ""
            case ["go"]:
                return self._send_to_holder(OperatorCommand("go"))
            case ["halt", *reason]:
                return self._send_to_holder(OperatorCommand("halt", reason=" ".join(reason)[:100] or "no reason given"))
        return f"change wants: propose {'|'.join(sorted(self.follower.kinds))} FILE, go, or halt [WHY]"

    def _on_proposal_not_written(self, reason: str) -> None:
        self.operator_reply = f"not proposed, its disk: {reason}"[:300]

    def _on_proposal_written(self, kind: str, name: str, data: bytes) -> None:
        self._on_content(kind, name, data)
        if reason := self._send_to_holder(OperatorCommand("propose", kind, name)):
            self.operator_reply = reason

    def _send_to_holder(self, command: OperatorCommand) -> str:
        leases = self.fleet.leases
        holder = leases.holder(ROLE) if leases is not None else None
        if holder is None:
            return "no member is known to hold the lease"
        self.operator_reply = ""
        self._send(holder, command)
        return ""

    def _on_command(self, now: float, sender: str, command: OperatorCommand) -> None:
        if self._acting_term() is None:
            self._send(sender, OperatorReply("the lease has moved to another member, ask again"))
            return
        engine, text = self.engine, ""
        match command.do:
            case "go":
                engine.request.go = True
                text = "as soon as nothing hinders it"
            case "halt":
                if engine.state.phase in INACTIVE:
                    text = "nothing is under way"
                else:
                    engine.request.halt, text = command.reason, "it goes back"
            case "propose":
                text = self._propose(now, sender, command)
            case _:
                text = f"unknown: {command.do!r:.40}"
        if text:
            self._send(sender, OperatorReply(text[:300]))

    def _propose(self, now: float, sender: str, command: OperatorCommand) -> str:
        if command.digest not in self.disk.blobs:
            self._fetch(command.kind, command.digest, sender)
            self.clock.after(self.lease_ms / 10, lambda: self._retry_command(sender, command))
            return ""
        if command.digest in self.follower.rejected:
            return f"not proposed: {self.follower.rejected[command.digest]}"
        reason, plan = self.engine.propose(now, command.kind, command.digest, self._fleet_status(now))
        if plan is None:
            return f"not proposed: {reason}"
        data = encode_plan(plan)
        name = digest(data)
        self._write(
            Blob(name, data),
            lambda: self.engine.start_rollout(name, plan, command.kind, command.digest),
            lambda reason: self._send(sender, OperatorReply(f"not proposed, the holder's disk: {reason}"[:300])),
        )
        self._pending_proposal = sender, plan.number, f"change {plan.number} is proposed: {len(plan.stages)} stages"
        return f"change {plan.number} is accepted, and {NOT_WRITTEN_YET}"

    def _retry_command(self, sender: str, command: OperatorCommand, tries: int = 0) -> None:
        if self._closed:
            return
        if command.digest in self.disk.blobs:
            self._on_command(self.clock.now(), sender, command)
        elif tries < 20:
            self._fetch(command.kind, command.digest, sender)
            self.clock.after(self.lease_ms / 10, lambda: self._retry_command(sender, command, tries + 1))
        else:
            self._send(sender, OperatorReply("not proposed: its content could not be fetched"))

    def rollout_status(self) -> dict[str, Any]:
        """Status for operators."""
        follower = self.follower
        status: dict[str, Any] = {
            "rules": self.rules.version,
            "unproven": follower.running_number,
            "floor": follower.persisted.floor,
            "proven": {baseline.kind: [baseline.number, baseline.digest] for baseline in follower.persisted.baselines},
            "latest": follower.latest_number,
            **{kind.name: kind.show() for kind in self.kinds.values() if kind.name == PROGRAM},
            "why_not": follower.reason,
            "told": self.operator_reply,
            "holder": None,
            "phase": "",
            "why": "",
        }
        if self.announcement is not None:
            status |= {
                "phase": self.announcement.phase.value,
                "why": self.announcement.reason,
                "form": self.announcement.format_version,
            }
        if self.replica is not None:
            status["keeper"] = {
                "takes_part": self.replica.intact,
                "promised": self.replica.promised,
                "entry": list(self.replica.entry.ballot),
            }
        if self.engine.holds_lease:
            status["holder"] = dict(self.engine.show())
        return status
