"""The lease holder's side of a rollout: starts, watches, halts and rolls back stages. No I/O.

Each step is written to the register as a new state and acted on only once a majority has it (`writer.state`). A new
holder reads the register first and continues from there. The evidence of the gate is lost with the previous holder, so
that the minimum time and calls of a stage count again from zero, which is safe and costs time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from msgspec import structs

from sageweir.cluster.changes.forms import FormatNegotiation
from sageweir.cluster.changes.gate import CANARY, CONTROL, OTHER_ZONES, Bounds, Decision, Gate, Verdict, report_delta
from sageweir.cluster.changes.history import MemberHistory
from sageweir.cluster.changes.messages import (
    MAX_BODY_BYTES,
    PROGRAM,
    RULES,
    SHARDS,
    Announcement,
    Baseline,
    Phase,
    Plan,
    Report,
    RolloutLease,
    RolloutState,
)
from sageweir.cluster.changes.plan import FleetStatus, Member, blocking_reason, create_plan
from sageweir.cluster.changes.register import Out, Writer, encode

IDLE_VERDICT = Verdict(Decision.WAIT, "nothing is under way")
# Phases without a rollout under way.
INACTIVE = (Phase.NONE, Phase.HALTED, Phase.DONE)
RESTART_SLOT_LEASES = 10  # a member may take so many rollout leases to start another program
RESTART_FRACTION = 0.1  # of a zone's members that start another program at a time, at least one
HISTORY_SOAKS = 2  # members must have been watched for so many soak times before a program rollout; `go` ends the wait
REPORT_MAX_AGE_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """rollout_lease_ms: duration of a rollout lease by the member's clock; drift: bound on clock drift."""

    rollout_lease_ms: float = 6000.0
    drift: float = 0.05

    @property
    def expiry_ms(self) -> float:
        """By the holder's clock, every lease granted earlier has certainly expired after so long."""
        return self.rollout_lease_ms * (1 + 2 * self.drift)


@dataclass(slots=True)
class MemberStatus:
    """A member's last report. since: when its `running_number` last changed."""

    report: Report
    reported_at: float
    since: float
    zone: str
    calls_per_s: float = 0.0


@dataclass(slots=True)
class OperatorRequest:
    """An operator's pending request. start: kind and digest of a rollout; halt: the reason."""

    start: tuple[str, str] | None = None
    halt: str = ""
    go: bool = False


@dataclass(slots=True)
class Engine:
    """The state machine of rollouts.

    writer: the register; make_gate: creates the gate of a rollout that starts now; rng: draws plans and block order.
    """

    name: str
    writer: Writer
    timing: LeaseTiming
    bounds: Bounds
    make_gate: Callable[[float], Gate]
    rng: Random
    plans: dict[str, Plan] = field(default_factory=dict)  # by digest
    gate: Gate | None = None
    members: dict[str, MemberStatus] = field(default_factory=dict)
    request: OperatorRequest = field(default_factory=OperatorRequest)
    verdict: Verdict = IDLE_VERDICT
    state_since: float = 0.0  # when the current state came into force here
    applied_step: int = -1  # `step` of the state in force here; -1: none yet
    highest_number: int = 0  # highest rollout number that members have reported
    missing_plan: str = ""  # digest of a plan that has to be fetched
    holds_lease: bool = False
    history: MemberHistory = field(default_factory=MemberHistory)
    formats: FormatNegotiation = field(default_factory=FormatNegotiation)
    required_dual_reads: int = 0  # of each kind of question, that must agree before shards are cut over
    restart_slots: dict[str, float] = field(default_factory=dict)  # members that may start another program, since when
    _next_plan_digest: str = ""
    _blocked_since: float | None = None  # since when members block the stage
    # Dual reads that had agreed when the current state came into force, by member and boot.
    _agreed_at_start: dict[tuple[str, int], tuple[int, ...]] = field(default_factory=dict)

    # Lease

    def on_lease_acquired(self, now: float, term: int) -> Out:
        self.gate, self.applied_step, self.holds_lease, self.request = None, -1, True, OperatorRequest()
        self.members.clear()
        self.formats = FormatNegotiation()
        return self.writer.on_lease_acquired(now, term)

    def on_lease_lost(self) -> None:
        self.writer.on_lease_lost()
        self.gate, self.holds_lease = None, False

    @property
    def state(self) -> RolloutState:
        return self.writer.state

    @property
    def plan(self) -> Plan | None:
        return self.plans.get(self.state.plan)

    @property
    def is_register_read(self) -> bool:
        """Whether the register has been read under this term."""
        return self.holds_lease and (self.writer.ready or self.applied_step >= 0)

    # Members

    def on_report(self, now: float, name: str, zone: str, report: Report, left: bool = False) -> RolloutLease | None:
        """Record a member's report; the result is the lease to send, or None to send nothing.

        left: an earlier process of that name announced that it left, so that another boot number is no crash.
        """
        last = self.members.get(name)
        crashed = last is not None and last.report.boot != report.boot and not left
        if (
            last is not None
            and self.is_register_read
            and self.state.kind == PROGRAM
            and last.report.running_number != report.running_number
        ):
            crashed = False  # replaced by the other program, as intended
        rate = last.calls_per_s if last is not None else 0.0
        if (
            last is not None
            and last.report.boot == report.boot
            and report.rows
            and report.uptime_ms > last.report.uptime_ms
        ):
            taken = sum(row.taken for row in report.rows) - sum(row.taken for row in last.report.rows)
            rate += 0.1 * (1000.0 * max(0, taken) / (report.uptime_ms - last.report.uptime_ms) - rate)
        unchanged = last is not None and last.report.running_number == report.running_number and not crashed
        self.members[name] = MemberStatus(
            report, now, last.since if unchanged and last is not None else now, zone, rate
        )
        self.highest_number = max(self.highest_number, report.number, report.floor)
        if not self.is_register_read:
            return None
        state, plan = self.state, self.plan
        allowed = self.allowed_members()
        if self.gate is not None and plan is not None:
            self.gate.on_report(
                now, name, zone, report, crashed, state.number, self.group(name, zone), self.counts_for_block(now)
            )
        elif (
            state.phase in INACTIVE
            and last is not None
            and not report.running_number
            and not last.report.running_number
        ):
            rows = report_delta(report, last.report)
            if rows is not None:
                self.history.add(name, rows, max(0, report.uptime_ms - last.report.uptime_ms))
        if state.phase in INACTIVE:
            # Guards against stopping a member that runs the new baseline on a lease and does not know of it yet.
            ended = report.running_number and report.running_number != state.baseline(state.kind).number
            return RolloutLease(state.floor, state.kind, state.digest, 0) if ended else None
        if plan is None and state.phase is not Phase.ROLLING_BACK:
            return None  # until the plan is fetched, a new holder has no reason to stop what members run
        if state.kind == PROGRAM and not self._may_restart(now, name, zone, report.running_number):
            return None
        newcomer = plan is not None and self.admits_newcomers and name not in plan.members_through(len(plan.stages))
        permitted = (name in allowed or newcomer) and not report.reason
        if (
            not permitted
            and not report.running_number
            and name not in (plan.members_through(state.stage) if plan is not None else ())
        ):
            return None
        return RolloutLease(
            state.number, state.kind, state.digest, int(self.timing.rollout_lease_ms) if permitted else 0
        )

    def group(self, name: str, zone: str) -> str:
        """The group that a member's calls count for in a switchback."""
        state, plan = self.state, self.plan
        if plan is None or zone not in self._zones_so_far(plan, state):
            return OTHER_ZONES
        return CANARY if name in plan.members_through(state.stage) else CONTROL

    def counts_for_block(self, now: float) -> bool:
        """Whether calls that end now count for the current block of the switchback."""
        return self.state.phase is Phase.SWITCHBACK and now - self.state_since >= self._settle_ms()

    def _settle_ms(self) -> float:
        return max(self.bounds.settle_ms, self.timing.expiry_ms if not self.state.enabled else 0.0)

    def _may_restart(self, now: float, name: str, zone: str, running_number: int) -> bool:
        """For a program rollout: whether the member may be sent a lease now.

        Only a few members of a zone restart at a time; in a rollback, only members of the stage that returns and of
        later stages.
        """
        state, plan = self.state, self.plan
        target = 0 if state.phase is Phase.ROLLING_BACK else state.number
        if plan is not None and state.phase is Phase.ROLLING_BACK and name in plan.members_through(state.stage - 1):
            return False
        if running_number == target or (target and name not in self.allowed_members()):
            self.restart_slots.pop(name, None)
            return True
        slot_ms = RESTART_SLOT_LEASES * self.timing.rollout_lease_ms
        self.restart_slots = {
            member: since
            for member, since in self.restart_slots.items()
            if now - since < slot_ms and member in self.members and self.members[member].report.running_number != target
        }
        if name in self.restart_slots:
            return True
        zone_members = sum(status.zone == zone for status in self.members.values())
        if sum(self.members[member].zone == zone for member in self.restart_slots) >= max(
            1, int(RESTART_FRACTION * zone_members)
        ):
            return False
        self.restart_slots[name] = now
        return True

    def _members_not_switched(self) -> str:
        """For a program rollout: which members of the stages so far don't run it yet, as a text, or ""."""
        plan, state = self.plan, self.state
        if state.kind != PROGRAM or plan is None:
            return ""
        names = sorted(
            name
            for name in plan.members_through(state.stage)
            if name in self.members and self.members[name].report.running_number != state.number
        )
        return f"{', '.join(names[:4])} of {len(names)} have not changed over yet" if names else ""

    def allowed_members(self) -> frozenset[str]:
        """Members that may run the rollout now."""
        state, plan = self.state, self.plan
        if plan is None or state.phase not in (Phase.RUNNING, Phase.SWITCHBACK) or not state.enabled:
            return frozenset()
        return plan.members_through(state.stage)

    @property
    def admits_newcomers(self) -> bool:
        """Whether members that are not in the plan may run the rollout: shards, once all planned members may.

        Without their reports, the counts of a new owner can't agree with those of the old owner, which has them.
        """
        state, plan = self.state, self.plan
        return (
            state.kind == SHARDS
            and state.phase is Phase.RUNNING
            and plan is not None
            and state.stage + 1 >= len(plan.stages)
        )

    @staticmethod
    def _zones_so_far(plan: Plan, state: RolloutState) -> set[str]:
        return {zone for zone, _ in zip(plan.zones, range(state.stage + 1), strict=False)}

    def announcement(self) -> Announcement | None:
        """The message to all members at each heartbeat, once the register has been read."""
        state = self.state
        return (
            Announcement(
                state.floor, state.baselines, state.number, state.phase, state.reason, self.formats.format_version
            )
            if self.is_register_read
            else None
        )

    # Operators

    def propose(self, now: float, kind: str, digest: str, fleet: FleetStatus) -> tuple[str, Plan | None]:
        """Plan a rollout; the result is why it can't start, or its plan.

        The plan must be on the disk, by content, before `start_rollout` is called.
        """
        if not self.is_register_read or not self.writer.ready:
            return "the register has not been read yet, or is being written", None
        if self.state.phase not in INACTIVE:
            return f"change {self.state.number} is under way ({self.state.phase.value})", None
        if self.request.start is not None:
            return "another was proposed just now", None
        if self.state.baseline(kind).digest == digest:
            return "it is in force already", None
        self._negotiate_formats(fleet)
        if reason := self.formats.blocking_reason(kind):
            return reason, None
        rates = {name: status.calls_per_s for name, status in self.members.items()}
        members = [Member(member.name, member.zone, rates.get(member.name, 0.0)) for member in fleet.members]
        try:
            return "", create_plan(max(self.state.number, self.highest_number) + 1, members, self.rng)
        except ValueError as error:
            return str(error), None

    def start_rollout(self, plan_digest: str, plan: Plan, kind: str, digest: str) -> None:
        """Request the start of a rollout whose plan and content are on the disk."""
        self.plans[plan_digest] = plan
        self.request = OperatorRequest((kind, digest))
        self._next_plan_digest = plan_digest

    # Time

    def tick(self, now: float, fleet: FleetStatus) -> tuple[Out, RolloutState | None]:
        """Messages to send, and the state to write next with `write`, if any."""
        if not self.holds_lease:
            return [], None
        out = self.writer.tick(now)
        if not self.writer.ready:
            return out, None
        self._negotiate_formats(fleet)
        if self.applied_step != self.state.step:
            self._on_new_state(now)
        if self.gate is not None:
            self.gate.close_window(now)
        return out, self._decide(now, fleet)

    def _negotiate_formats(self, fleet: FleetStatus) -> None:
        """Negotiate the message format; only current members count."""
        reported = {name: status.report.format_versions for name, status in self.members.items()}
        self.formats.update([member.name for member in fleet.members], reported, self.state.phase in INACTIVE)

    def write(self, now: float, state: RolloutState) -> Out:
        """Write a state to the register. Raises ValueError if it may not follow the current one."""
        blobs = tuple(name for name in (state.plan, state.digest) if name and state.phase not in INACTIVE)
        return self.writer.write(now, state, blobs)

    def _on_new_state(self, now: float) -> None:
        """The committed state has changed."""
        previous_step, self.applied_step, state = self.applied_step, self.state.step, self.state
        self._agreed_at_start = {
            (name, status.report.boot): status.report.agreed for name, status in self.members.items()
        }
        newly_acquired = previous_step < 0
        self.state_since = now
        self.restart_slots.clear()
        self.request.go, self._blocked_since = False, None
        if state.phase in INACTIVE:
            if self.gate is not None and state.phase is Phase.DONE:
                self.history.clear()
            self.gate = None
            self.request.halt = ""
        elif self.gate is None:
            self.gate = self.make_gate(now)
            self.gate.last_reports = {name: status.report for name, status in self.members.items()}
            self.gate.expected = self.history.expected(self.gate.late_worths, self.gate.weights)
            if state.kind == PROGRAM:
                self.gate.switchable = False  # a program can't be switched at once: strong evidence halts it
        elif state.phase is Phase.RUNNING:
            self.gate.start_stage(now)
        if newly_acquired and self.gate is not None:
            self.gate.discard_block()
        self.missing_plan = (
            state.plan if state.plan and state.phase not in INACTIVE and state.plan not in self.plans else ""
        )

    def _next_state(self, reason: str, **change: Any) -> RolloutState:
        """The next state; its reason is truncated to fit MAX_BODY_BYTES."""
        state = structs.replace(self.state, step=self.state.step + 1, reason=reason[:150], **change)
        while len(encode(state)) > MAX_BODY_BYTES and state.reason:
            state = structs.replace(state, reason=state.reason[: len(state.reason) // 2])
        return state

    def _decide(self, now: float, fleet: FleetStatus) -> RolloutState | None:
        state = self.state
        match state.phase:
            case Phase.NONE | Phase.HALTED | Phase.DONE:
                return self._start(now, fleet)
            case Phase.ROLLING_BACK:
                return self._roll_back(now)
            case _ if self.plan is None:
                self.missing_plan = state.plan
                return None
            case _ if self.request.halt:
                return self._halt(f"by the operator: {self.request.halt}")
            case Phase.RUNNING:
                return self._advance(now, fleet)
            case Phase.SWITCHBACK:
                return self._switchback(now)
        return None

    def _start(self, now: float, fleet: FleetStatus) -> RolloutState | None:
        if self.request.start is None:
            return None
        if reason := blocking_reason(fleet):
            self.verdict = Verdict(Decision.WAIT, reason)
            return None
        kind, digest = self.request.start
        history_ms, required_ms = (
            self.history.mean_observed_ms([member.name for member in fleet.members]),
            HISTORY_SOAKS * self.bounds.soak_ms,
        )
        if kind == PROGRAM and history_ms < required_ms and not self.request.go:
            # A program can't be switched off and on, so the standing differences between members must be known before.
            self.verdict = Verdict(Decision.WAIT, f"{history_ms:.0f} of {required_ms:.0f} ms of member history")
            return None
        plan = self.plans[self._next_plan_digest]
        self.request = OperatorRequest()
        if plan.number <= max(self.state.number, self.highest_number):
            self.verdict = Verdict(Decision.WAIT, f"number {plan.number} is taken")
            return None
        return self._next_state(
            "proposed",
            number=plan.number,
            floor=max(self.state.floor, plan.number - 1),
            kind=kind,
            digest=digest,
            plan=self._next_plan_digest,
            stage=0,
            phase=Phase.RUNNING,
            block=0,
            enabled=True,
        )

    def _halt(self, reason: str) -> RolloutState:
        self.verdict = Verdict(Decision.HALT, reason)
        return self._next_state(reason, phase=Phase.ROLLING_BACK, floor=self.state.number)

    def _member_refusal(self) -> str:
        """Why some member of the stages so far can't run the rollout, or ""."""
        allowed = self.plan.members_through(self.state.stage) if self.plan is not None else frozenset()
        return next(
            (
                f"{name}: {status.report.reason}"
                for name, status in self.members.items()
                if name in allowed and status.report.reason
            ),
            "",
        )

    def _advance(self, now: float, fleet: FleetStatus) -> RolloutState | None:
        state, plan, gate = self.state, self.plan, self.gate
        assert plan is not None and gate is not None
        if reason := self._member_refusal():
            return self._halt(reason)
        self.verdict = gate.comparison_verdict(now)
        reason = self._members_not_switched() or self.formats.blocking_reason(state.kind)
        # Guards against halting a stage that has soaked for long because a member has just restarted or joined.
        self._blocked_since = (now if self._blocked_since is None else self._blocked_since) if reason else None
        if self._blocked_since is not None and self.verdict.decision is Decision.GO:
            if now - self._blocked_since > self.bounds.longest_ms:
                return self._halt(reason)
            self.verdict = Verdict(Decision.WAIT, reason)
        match self.verdict.decision:
            case Decision.HALT:
                return self._halt(self.verdict.reason)
            case Decision.DOUBT:
                return self._start_switchback(self.verdict.reason)
            case Decision.GO if self._is_trial_due():
                gate.in_trial = True
                return self._start_switchback(f"trial without a doubt: {self.verdict.reason}")
            case Decision.GO if state.stage + 1 < len(plan.stages):
                # Soak before the holdback stages: late effects can be seen only while there is a control group.
                holdback_next = state.stage + 1 == len(plan.stages) - plan.holdback_stages
                if holdback_next and plan.holdback and self._is_soaking(now, gate):
                    return None
                if reason := blocking_reason(fleet):
                    self.verdict = Verdict(Decision.WAIT, reason)
                    return None
                return self._next_state(self.verdict.reason, stage=state.stage + 1)
            case Decision.GO:
                if not plan.holdback and self._is_soaking(now, gate):
                    return None
                if reason := self._missing_dual_reads():
                    if now - self.state_since > self.bounds.longest_ms:
                        return self._halt(reason)
                    self.verdict = Verdict(Decision.WAIT, reason)
                    return None
                baselines = [baseline for baseline in state.baselines if baseline.kind != state.kind]
                baselines.append(Baseline(state.kind, state.number, state.digest))
                return self._next_state(
                    self.verdict.reason,
                    phase=Phase.DONE,
                    floor=state.number,
                    baselines=tuple(sorted(baselines, key=lambda baseline: baseline.kind)),
                )
        if self.request.go and state.stage + 1 < len(plan.stages) and not blocking_reason(fleet):
            return self._next_state("by the operator", stage=state.stage + 1)
        return None

    def _start_switchback(self, reason: str) -> RolloutState:
        """Start a switchback with a pair of blocks in random order; the first block of a pair has an even number."""
        block = self.state.block
        return self._next_state(
            reason, phase=Phase.SWITCHBACK, block=block - block % 2 + 2, enabled=self.rng.random() < 0.5
        )

    def _is_trial_due(self) -> bool:
        """Whether the trial is due: at the stage at which the first zone is closest to half and half.

        Old and new members share servers; a rollout that takes capacity from others shows most clearly there.
        """
        state, plan, gate = self.state, self.plan, self.gate
        if (
            state.kind != RULES
            or plan is None
            or gate is None
            or gate.trial_done
            or not self.bounds.effective_trial_pairs
        ):
            return False
        stage_sizes = [
            len(names)
            for names, zone in zip(plan.stages, plan.zones, strict=True)
            if zone == plan.zones[0] and names[0] not in plan.holdback
        ]
        zone_size = sum(stage_sizes) + sum(
            len(names)
            for names, zone in zip(plan.stages, plan.zones, strict=True)
            if zone == plan.zones[0] and names[0] in plan.holdback
        )
        fractions = [sum(stage_sizes[: stage + 1]) / zone_size for stage in range(len(stage_sizes))]
        return (
            max(range(len(stage_sizes)), key=lambda i: fractions[i] * (1 - fractions[i]))
            <= state.stage
            < len(stage_sizes)
        )

    def _missing_dual_reads(self) -> str:
        """Why shards can't be cut over yet: too few dual reads of some kind agreed since all members run it."""
        if self.state.kind != SHARDS or not self.required_dual_reads:
            return ""
        agreed = [0] * 4
        for name, status in self.members.items():
            at_start = self._agreed_at_start.get((name, status.report.boot), ())
            for i, count in enumerate(status.report.agreed):
                agreed[i] += max(0, count - (at_start[i] if i < len(at_start) else 0))
        if min(agreed) >= self.required_dual_reads:
            return ""
        return f"dual reads agreed so far, by kind of question: {agreed}, {self.required_dual_reads} of each are wanted"

    def _is_soaking(self, now: float, gate: Gate) -> bool:
        """Whether the soak time is not over yet; an operator's `go` ends it."""
        soaked = now - gate.stage_started
        bounds, enough_bursts = self.bounds, gate.burst_windows >= self.bounds.busy_windows
        if soaked >= max(gate.soak_ms, 0 if enough_bursts else 2 * bounds.soak_ms) or self.request.go:
            return False
        reason = f"{soaked:.0f} of {gate.soak_ms:.0f} ms of soaking"
        if soaked >= gate.soak_ms:
            reason = f"{gate.burst_windows} of {bounds.busy_windows} windows under a burst, {soaked:.0f} ms of soaking"
        self.verdict = Verdict(Decision.WAIT, reason)
        return True

    def _switchback(self, now: float) -> RolloutState | None:
        state, gate = self.state, self.gate
        assert gate is not None
        if reason := self._member_refusal():
            return self._halt(reason)
        if (halt := gate.halt_verdict()) is not None:
            return self._halt(halt.reason)
        if now - self.state_since < self.bounds.block_ms + self._settle_ms():
            return None
        first_block = state.block % 2 == 0
        gate.end_block(state.enabled, first_block)
        self.verdict = gate.switchback_verdict() if not first_block else self.verdict
        if not first_block:
            if self.verdict.decision is Decision.HALT:
                return self._halt(self.verdict.reason)
            if self.verdict.decision is Decision.CLEAR:
                gate.trial_done = gate.trial_done or self._is_trial_due()
                gate.end_switchback(now)
                return self._next_state(self.verdict.reason, phase=Phase.RUNNING, enabled=True)
        enabled = not state.enabled if first_block else self.rng.random() < 0.5
        return self._next_state(
            self.verdict.reason if not first_block else state.reason, block=state.block + 1, enabled=enabled
        )

    def _roll_back(self, now: float) -> RolloutState | None:
        """Roll back stage by stage, last first, as soon as a stage's members report it or their leases have expired."""
        state, plan = self.state, self.plan
        if plan is None and now - self.state_since < self.timing.expiry_ms:
            self.missing_plan = state.plan
            return None
        names: Sequence[str] = plan.stages[state.stage] if plan is not None and state.stage >= 0 else ()
        # A program runs until its starter has replaced it, even after its lease has expired.
        expired = now - self.state_since >= (self.bounds.longest_ms if state.kind == PROGRAM else self.timing.expiry_ms)
        if not expired and not all(self._has_returned(name) for name in names):
            return None
        if plan is not None and state.stage > 0:
            return self._next_state(state.reason, stage=state.stage - 1)
        return self._next_state(state.reason, stage=-1, phase=Phase.HALTED)

    def _has_returned(self, name: str) -> bool:
        status = self.members.get(name)
        if status is None or status.reported_at <= self.state_since:
            return False
        return status.report.running_number == 0 and status.report.floor >= self.state.floor

    def failing_members(self, now: float) -> tuple[str, ...]:
        """Members at which most calls have failed, by the totals of their last reports."""
        found = []
        for name, status in self.members.items():
            ended = sum(row.served + row.late + row.refused + row.failed for row in status.report.rows)
            failed = sum(row.failed for row in status.report.rows)
            if now - status.reported_at < REPORT_MAX_AGE_MS and ended >= 20 and failed > 0.5 * ended:
                found.append(name)
        return tuple(found)

    def show(self) -> Mapping[str, Any]:
        """Status for operators."""
        state, plan = self.state, self.plan
        stage = plan.stages[state.stage] if plan is not None and 0 <= state.stage < len(plan.stages) else ()
        return {
            "known": self.is_register_read,
            "number": state.number,
            "floor": state.floor,
            "kind": state.kind,
            "digest": state.digest,
            "phase": state.phase.value,
            "stage": state.stage,
            "stages": len(plan.stages) if plan is not None else 0,
            "members_of_stage": list(stage),
            "zone": plan.zones[state.stage] if stage and plan is not None else "",
            "on": state.enabled,
            "block": state.block,
            "step": state.step,
            "why": state.reason,
            "verdict": self.verdict.decision.value,
            "verdict_why": self.verdict.reason,
            "form": self.formats.format_version,
            "forms": self.formats.reason,
            "have_it": sorted(n for n, s in self.members.items() if s.report.running_number),
            "proven": {baseline.kind: [baseline.number, baseline.digest] for baseline in state.baselines},
            "gate": self.gate.show() if self.gate is not None else None,
        }
