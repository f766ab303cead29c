"""Each member's side of a rollout: what it runs, and until when. No I/O; monotonic clocks, ms.

A member starts on the baseline, whatever it ran before. It runs a rollout that is not the baseline only on a rollout
lease, which expires; its duration counts from before the member's request. A rollout that has ended, by any message the
member ever received, never comes back: its number and the baselines are on the disk before they are acted on.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from sageweir.cluster.changes.messages import Announcement, Baseline, RolloutLease

EXPIRED = float("-inf")
DISK_REASON = "its disk: "  # prefix of reasons that may be temporary


@dataclass(frozen=True, slots=True)
class MemberState:
    """State on a member's disk. floor: all rollouts up to this number have ended; baselines: one per kind."""

    floor: int = 0
    baselines: tuple[Baseline, ...] = ()

    def baseline(self, kind: str) -> Baseline:
        return next((baseline for baseline in self.baselines if baseline.kind == kind), Baseline(kind, 0, ""))


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch and check a content, then call `on_content` or `on_content_rejected`."""

    kind: str
    digest: str


@dataclass(frozen=True, slots=True)
class Persist:
    """Write a state to the disk, then call `on_persisted` or `on_persist_failed`."""

    state: MemberState


@dataclass(frozen=True, slots=True)
class Apply:
    """Put a content into force; number 0 and no digest: the built-in default. leased: on a rollout lease."""

    kind: str
    number: int
    digest: str
    leased: bool


Action = Fetch | Persist | Apply


@dataclass(slots=True)
class ActiveLease:
    """A rollout lease and its expiry by the member's clock."""

    lease: RolloutLease
    expires_at: float


@dataclass(slots=True)
class Follower:
    """A member's state machine; each method returns actions to be done in order.

    kinds: kinds of rollouts that this program supports.
    """

    kinds: frozenset[str]
    persisted: MemberState = MemberState()
    active: ActiveLease | None = None
    pending: ActiveLease | None = None  # its content is being fetched
    latest_number: int = 0  # latest rollout known
    reason: str = ""  # why the rollout can't run here
    applied: dict[str, tuple[Baseline, bool]] = field(default_factory=dict)
    contents: dict[str, str] = field(default_factory=dict)  # stored and checked: kind by digest
    rejected: dict[str, str] = field(default_factory=dict)  # can't be used here: reason by digest
    writing: MemberState | None = None  # being written to the disk
    queued: MemberState | None = None  # waits for its contents, or for the write before it
    _last_tick: float = EXPIRED

    def start(self) -> list[Action]:
        """Put the baselines on the disk into force, each as soon as its content has been read."""
        return self._apply_baselines()

    def tick(self, now: float) -> list[Action]:
        """End leases that have expired. Called first by each method that takes the time."""
        if now < self._last_tick and self.active is not None:
            self.active.expires_at = EXPIRED  # the clock went back: the expiry can't be told any more
        self._last_tick = max(now, self._last_tick) if now >= self._last_tick else now
        if self.pending is not None and now >= self.pending.expires_at:
            self.pending = None
        if self.active is not None and now >= self.active.expires_at:
            return self._revert()
        return []

    @property
    def running_number(self) -> int:
        """The rollout that runs on a lease; 0: none."""
        return self.active.lease.number if self.active is not None else 0

    def on_lease(self, now: float, asked_at: float, lease: RolloutLease) -> list[Action]:
        """Handle the holder's reply to a report, after the check of its fencing token."""
        actions = self.tick(now)
        self._note_number(lease.number)
        expires_at = asked_at + lease.duration_ms
        if lease.number <= self._floor() or lease.duration_ms == 0:
            # Guards against running a rollout that has ended, or that a switchback has turned off.
            self.pending = None
            if self.active is not None and lease.number >= self.active.lease.number:
                actions += self._revert()
            return actions
        if lease.kind not in self.kinds or now >= expires_at or asked_at > now:
            return actions
        if self.active is not None and self.active.lease.number == lease.number:
            self.active.expires_at = max(self.active.expires_at, expires_at)
            return actions
        if self.active is not None:
            if lease.number < self.active.lease.number:
                return actions
            actions += self._revert()
        self.pending = ActiveLease(lease, expires_at)
        if self.contents.get(lease.digest) == lease.kind:
            return actions + self._activate(now)
        if lease.digest in self.rejected:
            self.reason = self.rejected[lease.digest]
            return actions
        return [*actions, Fetch(lease.kind, lease.digest)]

    def _note_number(self, number: int) -> None:
        """Note the latest rollout number; a reason against an earlier rollout doesn't hold for a later one."""
        if number > self.latest_number:
            self.latest_number, self.reason = number, ""
            # Guards against rejecting a content for good after one disk failure: it may be proposed again.
            self.rejected = {
                name: reason for name, reason in self.rejected.items() if not reason.startswith(DISK_REASON)
            }

    def _activate(self, now: float) -> list[Action]:
        pending, self.pending = self.pending, None
        if pending is None or now >= pending.expires_at or pending.lease.number <= self._floor():
            return []
        self.active, self.reason = pending, ""
        return self._apply(Baseline(pending.lease.kind, pending.lease.number, pending.lease.digest), True)

    def _revert(self) -> list[Action]:
        """End the lease and return to the baseline."""
        ended, self.active = self.active, None
        return self._apply(self.persisted.baseline(ended.lease.kind), False) if ended is not None else []

    def _apply(self, baseline: Baseline, leased: bool) -> list[Action]:
        actions: list[Action] = []
        if baseline.digest and baseline.digest not in self.contents:
            # Guards against a disk that lost the baseline's content: the built-in default is used until it is fetched.
            actions.append(Fetch(baseline.kind, baseline.digest))
            baseline = Baseline(baseline.kind, 0, "")
        if self.applied.get(baseline.kind, (Baseline(baseline.kind, 0, ""), False)) == (baseline, leased):
            return actions
        self.applied[baseline.kind] = baseline, leased
        return [*actions, Apply(baseline.kind, baseline.number, baseline.digest, leased)]

    def on_announcement(self, now: float, announcement: Announcement) -> list[Action]:
        """Handle the holder's message to all members, after the check of its fencing token."""
        actions = self.tick(now)
        self._note_number(announcement.number)
        base = self.queued or self.writing or self.persisted
        baselines = list(base.baselines)
        for baseline in announcement.baselines:
            if baseline.kind in self.kinds and baseline.number > base.baseline(baseline.kind).number:
                baselines = [other for other in baselines if other.kind != baseline.kind] + [baseline]
        updated = MemberState(
            max(base.floor, announcement.floor), tuple(sorted(baselines, key=lambda baseline: baseline.kind))
        )
        if updated != base:
            self.queued = updated
        # At once, before the disk write: stop a rollout that has ended without becoming the baseline.
        if self.active is not None and self.active.lease.number <= updated.floor:
            lease = self.active.lease
            if updated.baseline(lease.kind).number == lease.number:
                # It has become the baseline: keep running it until the baseline is on the disk.
                self.active.expires_at = max(self.active.expires_at, now + 60_000.0)
            else:
                actions += self._revert()
        return actions + self._persist_queued()

    def _floor(self) -> int:
        return max(
            state.floor for state in (self.persisted, self.writing or MemberState(), self.queued or MemberState())
        )

    def _persist_queued(self) -> list[Action]:
        """Write the queued state as soon as all its contents are stored."""
        if self.queued is None or self.writing is not None:
            return []
        missing = [
            baseline for baseline in self.queued.baselines if baseline.digest and baseline.digest not in self.contents
        ]
        actions: list[Action] = [
            Fetch(baseline.kind, baseline.digest) for baseline in missing if baseline.digest not in self.rejected
        ]
        for baseline in missing:
            if baseline.digest in self.rejected:
                self.reason = self.rejected[baseline.digest]
        if missing:
            # The floor doesn't wait for the contents.
            state = replace(self.persisted, floor=self.queued.floor)
            if state != self.persisted:
                self.writing = state
                actions.append(Persist(state))
            return actions
        self.writing, self.queued = self.queued, None
        return [*actions, Persist(self.writing)]

    def on_persisted(self, now: float) -> list[Action]:
        """The state is on the disk."""
        if self.writing is None:
            return []
        self.persisted, self.writing = self.writing, None
        return self._apply_baselines() + self._persist_queued()

    def on_persist_failed(self, now: float, reason: str) -> list[Action]:
        """The disk write failed: the baselines stay as they are, and the next report has the reason."""
        if self.writing is not None:
            base = self.queued or self.writing
            self.queued, self.writing, self.reason = base, None, f"{DISK_REASON}{reason}"[:160]
        return []

    def _apply_baselines(self) -> list[Action]:
        """Put the baselines into force, except for a kind that runs a later rollout on a lease."""
        actions: list[Action] = []
        for baseline in self.persisted.baselines:
            if self.active is not None and self.active.lease.kind == baseline.kind:
                if self.active.lease.number > baseline.number:
                    continue
                self.active = None
            actions += self._apply(baseline, False)
        return actions

    def on_content(self, now: float, kind: str, digest: str) -> list[Action]:
        """A content is stored and checked."""
        if len(self.contents) > 16:
            used = {
                baseline.digest
                for state in (self.persisted, self.writing, self.queued)
                if state
                for baseline in state.baselines
            }
            self.contents = {name: content_kind for name, content_kind in self.contents.items() if name in used}
        self.contents[digest] = kind
        self.rejected.pop(digest, None)
        actions = self.tick(now)
        if self.pending is not None and self.pending.lease.digest == digest:
            actions += self._activate(now)
        return actions + self._apply_baselines() + self._persist_queued()

    def on_content_rejected(self, now: float, kind: str, digest: str, reason: str) -> list[Action]:
        """A content can't be used here. If a baseline names it, the built-in default is used in its place."""
        if len(self.rejected) > 16:
            self.rejected.clear()
        self.rejected[digest] = self.reason = reason[:160]
        if self.pending is not None and self.pending.lease.digest == digest:
            self.pending = None
        return []
