"""What the changes' holder, keepers and members say to each other. Types only, no I/O."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from sageweir.cluster.duties.messages import Number, Term, Word

DUTY = "changer"
RULES, SHARDS, PROGRAM = "rules", "shards", "program"  # kinds of changes
BODY_BYTES = 900
NOT_YET = "not written yet"  # on a majority of disks: a word to operators
MEMBERS_MAX, STAGES_MAX, KINDS_MAX = 2000, 64, 4
Digest = Annotated[str, Meta(max_length=32)]
Body = Annotated[bytes, Meta(max_length=BODY_BYTES)]
Text = Annotated[str, Meta(max_length=160)]


class Claim(msgspec.Struct, frozen=True, gc=False, tag="claim"):
    """The holder of a term asks a keeper for its entry; it takes nothing from lower terms afterwards."""

    term: Term
    holder: Word
    number: Number  # echoed by the answer


class Put(msgspec.Struct, frozen=True, gc=False, tag="put"):
    """The holder has a keeper write an entry. blobs: what it must have on its disk first, by content."""

    term: Term
    turn: Number
    body: Body
    holder: Word
    number: Number
    blobs: Annotated[tuple[Digest, ...], Meta(max_length=2)] = ()


class Recount(msgspec.Struct, frozen=True, gc=False, tag="recount"):
    """A keeper that has started asks another what it holds. number: its boot, echoed by the answer."""

    keeper: Word
    number: Number


class Held(msgspec.Struct, frozen=True, gc=False, tag="held"):
    """A keeper's answer to each of these. ok: it did what was asked; promised: it takes no lower term."""

    keeper: Word
    number: Number
    ok: bool
    promised: Term
    term: Term
    turn: Number
    body: Body
    intact: bool


class Phase(Enum):
    """Where a change stands."""

    NONE = "none"  # nothing is under way
    RUN = "run"  # its stages go on
    DOUBT = "doubt"  # switched back and on again, to find out
    BACK = "back"  # halted; members return to what is proven, newest first
    HALTED = "halted"
    DONE = "done"  # what it brought is proven


class Proven(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """What everybody starts with, of one kind: the change that brought it, and the content's name."""

    kind: Word
    number: Number
    digest: Digest


class Book(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """The register's entry: all that is decided. It only ever goes forward (`after` in register).

    number: of the latest change; floor: of the latest change that has ended, however; stage: members of stages up to
    this one may have it, -1: none; block: of a switchback; on: whether members have it in this block; step: grows with
    each entry.
    """

    step: Number = 0
    number: Number = 0
    floor: Number = 0
    kind: Word = ""
    digest: Digest = ""
    plan: Digest = ""
    stage: Annotated[int, Meta(ge=-1, le=STAGES_MAX)] = -1
    phase: Phase = Phase.NONE
    block: Number = 0
    on: bool = True
    why: Text = ""
    proven: Annotated[tuple[Proven, ...], Meta(max_length=KINDS_MAX)] = ()

    def of(self, kind: str) -> Proven:
        """What is proven of a kind; number 0 and no content: what each member brought along."""
        return next((one for one in self.proven if one.kind == kind), Proven(kind, 0, ""))


class Plan(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Who takes a change up, and when. stages: names; zones: of each stage; blind: no comparison can be made."""

    number: Number
    stages: Annotated[tuple[tuple[Word, ...], ...], Meta(max_length=STAGES_MAX)]
    zones: Annotated[tuple[Word, ...], Meta(max_length=STAGES_MAX)]
    apart: Annotated[tuple[Word, ...], Meta(max_length=MEMBERS_MAX)] = ()  # kept on the old to the last stage

    def allowed(self, stage: int) -> frozenset[str]:
        """Members that may have it at a stage."""
        return frozenset(name for names in self.stages[: stage + 1] for name in names)

    @property
    def last_stages(self) -> int:
        """Of those kept apart."""
        return sum(names[0] in self.apart for names in self.stages)


class Row(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A class or tenant at one member since it started: calls, and how they ended. delay_ms: summed over the served."""

    taken: Number = 0
    served: Number = 0  # in time
    late: Number = 0
    refused: Number = 0
    failed: Number = 0
    attempts: Number = 0
    delay_ms: Number = 0


class Report(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A member's word to the holder. has: the change that it runs, of what is not proven; 0: none. number: the latest
    change that it knows of; floor: up to which all have ended; why: it can't take the change up.
    """

    boot: Number
    has: Number
    number: Number
    floor: Number
    up_ms: Number
    rows: Annotated[tuple[Row, ...], Meta(max_length=16)]  # classes, then tenants, as the settings order them
    memory_kb: Number = 0
    stalls: Number = 0
    why: Text = ""
    # Dual reads of the whole fleet that agreed, by kind of question, since it runs the change of shards.
    agreed: Annotated[tuple[Number, ...], Meta(max_length=4)] = ()
    forms: tuple[Number, Number] = (1, 1)  # of messages that it can read, from and to (`forms`)


class Permit(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """The holder's answer: the member may run the change for so long from when it asked; lasts_ms 0: it may not."""

    number: Number
    kind: Word
    digest: Digest
    lasts_ms: Annotated[int, Meta(ge=0, le=3_600_000)]


class News(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """The holder's word to all: what is proven, and up to which number all changes have ended."""

    floor: Number
    proven: Annotated[tuple[Proven, ...], Meta(max_length=KINDS_MAX)]
    number: Number
    phase: Phase
    why: Text = ""
    form: Number = 1  # of messages that the fleet speaks


Message = Claim | Put | Recount | Held
