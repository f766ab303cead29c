"""Messages and stored records of staged rollouts, exchanged by the lease holder, register replicas and members."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, ClassVar

import msgspec
from msgspec import Meta

from sageweir.cluster.leases.messages import Name, Number, Term

ROLE = "changer"  # the role whose holder runs rollouts
# Kinds of rollouts.
RULES = "rules"
SHARDS = "shards"
PROGRAM = "program"
MAX_BODY_BYTES = 900
# Part of replies to operators while a rollout is not yet on a majority of disks.
NOT_WRITTEN_YET = "not written yet"
MAX_MEMBERS = 2000
MAX_STAGES = 64
MAX_KINDS = 4
Digest = Annotated[str, Meta(max_length=32)]
Body = Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]
Text = Annotated[str, Meta(max_length=160)]


# `failpoint` of a message names the failpoints `send ...` and `receive ...` that fault scripts refer to.


class Prepare(msgspec.Struct, frozen=True, gc=False, tag="claim"):
    """Paxos prepare: the holder of a term asks a replica for its entry and for a promise to reject lower terms.

    number: request number, echoed in the reply.
    """

    failpoint: ClassVar[str] = "Claim"
    term: Term
    holder: Name
    number: Number


class Write(msgspec.Struct, frozen=True, gc=False, tag="put"):
    """Paxos accept: the holder asks a replica to write an entry.

    blobs: digests of content that the replica must have on its disk before it accepts.
    """

    failpoint: ClassVar[str] = "Put"
    term: Term
    sequence: Number = msgspec.field(name="turn")
    body: Body
    holder: Name
    number: Number
    blobs: Annotated[tuple[Digest, ...], Meta(max_length=2)] = ()


class RecoveryQuery(msgspec.Struct, frozen=True, gc=False, tag="recount"):
    """A restarted replica asks another for its entry. number: boot number of the sender, echoed in the reply."""

    failpoint: ClassVar[str] = "Recount"
    replica: Name = msgspec.field(name="keeper")
    number: Number


class RegisterReply(msgspec.Struct, frozen=True, gc=False, tag="held"):
    """A replica's reply to Prepare, Write and RecoveryQuery.

    ok: the request was carried out; promised: lowest term that the replica still accepts; intact: the replica has
    recovered since its start and takes part in rounds.
    """

    failpoint: ClassVar[str] = "Held"
    replica: Name = msgspec.field(name="keeper")
    number: Number
    ok: bool
    promised: Term
    term: Term
    sequence: Number = msgspec.field(name="turn")
    body: Body
    intact: bool


class Phase(Enum):
    """State of the latest rollout."""

    NONE = "none"  # no rollout yet
    RUNNING = "run"  # stages advance
    SWITCHBACK = "doubt"  # switched off and on in turn, to measure its effect
    ROLLING_BACK = "back"  # halted; members return to the baseline, last stage first
    HALTED = "halted"  # all members are back on the baseline
    DONE = "done"  # its content is the new baseline


class Baseline(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Content of one kind that every member starts with: the rollout that introduced it, and its digest."""

    kind: Name
    number: Number
    digest: Digest


class RolloutState(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """The register's entry: every decision on rollouts so far. `transition_error` in register lists what may follow it.

    step: increases with each entry; number: latest rollout; floor: latest rollout that has ended, with whatever result;
    plan: digest of its plan; stage: members of stages up to this one may run it, -1: none; block: current block of a
    switchback; enabled: whether members run the rollout in this block.
    """

    step: Number = 0
    number: Number = 0
    floor: Number = 0
    kind: Name = ""
    digest: Digest = ""
    plan: Digest = ""
    stage: Annotated[int, Meta(ge=-1, le=MAX_STAGES)] = -1
    phase: Phase = Phase.NONE
    block: Number = 0
    enabled: bool = True
    reason: Text = ""
    baselines: Annotated[tuple[Baseline, ...], Meta(max_length=MAX_KINDS)] = ()

    def baseline(self, kind: str) -> Baseline:
        """Baseline of a kind; number 0 and no digest: the default that is built into each member."""
        return next((baseline for baseline in self.baselines if baseline.kind == kind), Baseline(kind, 0, ""))


class Plan(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Members of each stage of a rollout.

    stages: member names by stage; zones: zone of each stage; holdback: members that stay on the baseline until the last
    stages, as a control group.
    """

    number: Number
    stages: Annotated[tuple[tuple[Name, ...], ...], Meta(max_length=MAX_STAGES)]
    zones: Annotated[tuple[Name, ...], Meta(max_length=MAX_STAGES)]
    holdback: Annotated[tuple[Name, ...], Meta(max_length=MAX_MEMBERS)] = ()

    def members_through(self, stage: int) -> frozenset[str]:
        """Members of all stages up to and including `stage`."""
        return frozenset(name for names in self.stages[: stage + 1] for name in names)

    @property
    def holdback_stages(self) -> int:
        """Number of stages made up of holdback members; they are the last ones."""
        return sum(names[0] in self.holdback for names in self.stages)


class OutcomeCounts(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Calls of one class or tenant at one member since its start, by outcome.

    served: within the latency objective; late: after it; delay_ms: set-up times of served and late calls, summed.
    """

    taken: Number = 0
    served: Number = 0
    late: Number = 0
    refused: Number = 0
    failed: Number = 0
    attempts: Number = 0
    delay_ms: Number = 0


class Report(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A member's report to the holder.

    running_number: the rollout that the member runs on a rollout lease, 0: none; number: latest rollout it knows of;
    floor: all rollouts up to this number have ended; rows: classes, then tenants, in the order of the settings;
    reason: why the member can't run the rollout; agreed: dual reads of the whole fleet that agreed since the member
    runs a rollout of shards, by kind of question; format_versions: lowest and highest message format that it reads.
    """

    failpoint: ClassVar[str] = "Report"
    boot: Number
    running_number: Number
    number: Number
    floor: Number
    uptime_ms: Number
    rows: Annotated[tuple[OutcomeCounts, ...], Meta(max_length=16)]
    memory_kb: Number = 0
    stalls: Number = 0
    reason: Text = ""
    agreed: Annotated[tuple[Number, ...], Meta(max_length=4)] = ()
    format_versions: tuple[Number, Number] = (1, 1)


class RolloutLease(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """The holder's reply to a report: the member may run the rollout for duration_ms from its request on, 0: not."""

    failpoint: ClassVar[str] = "Permit"
    number: Number
    kind: Name
    digest: Digest
    duration_ms: Annotated[int, Meta(ge=0, le=3_600_000)]


class Announcement(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """The holder's periodic message to all members: the baselines, and the state of the latest rollout.

    floor: all rollouts up to this number have ended; format_version: message format in use by the fleet.
    """

    failpoint: ClassVar[str] = "News"
    floor: Number
    baselines: Annotated[tuple[Baseline, ...], Meta(max_length=MAX_KINDS)]
    number: Number
    phase: Phase
    reason: Text = ""
    format_version: Number = 1


Message = Prepare | Write | RecoveryQuery | RegisterReply
