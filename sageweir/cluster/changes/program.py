"""Rollouts of the program itself: selects which program a member's starter has to run. No I/O; monotonic clocks, ms.

A process can't replace itself: its starter (the supervisor that runs it) polls it, and replaces it by the selected
program. Programs are identified by the fingerprint of their sources. A process that runs neither a leased program nor
the baseline returns when the holder says so, stage by stage; without any message from the holder for long, it selects
the previous program by itself. It serves until it is replaced.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

import orjson

from sageweir.cluster.changes.messages import PROGRAM, Phase, RolloutLease

MAX_NAME_CHARS = 64
LEASES_WAITED = 5  # rollout leases that a process waits for the holder before it selects the previous program
KEYS = frozenset({"program", "replaces", "note"})


class RefusedError(ValueError):
    """An invalid document; the text names the key."""


@dataclass(frozen=True, slots=True)
class Document:
    """A program rollout. replaces: the program to return to while there is no baseline."""

    program: str
    replaces: str


def read_program(data: bytes) -> Document:
    """Decode and check a document. Raises RefusedError."""
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise RefusedError(f"not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise RefusedError("must be an object")
    if unknown := sorted(raw.keys() - KEYS):
        raise RefusedError(f"{unknown[0]}: unknown key")
    for key in ("program", "replaces"):
        value = raw.get(key)
        if not isinstance(value, str) or not 1 <= len(value) <= MAX_NAME_CHARS or not value.isascii():
            raise RefusedError(f"{key}: must be 1 to {MAX_NAME_CHARS} ASCII characters, got {value!r:.80}")
    if raw["program"] == raw["replaces"]:
        raise RefusedError("replaces: is the same as `program`")
    return Document(raw["program"], raw["replaces"])


def fingerprint(files: Iterable[tuple[str, bytes]]) -> str:
    """Name of a program: a hash of the paths and contents of its source files."""
    digest = hashlib.sha256()
    for name, data in sorted(files):
        digest.update(f"{len(name)}:{name}:{len(data)}:".encode())
        digest.update(data)
    return digest.hexdigest()[:16]


@dataclass(slots=True)
class ProgramSelector:
    """Selects the program that a member's starter has to run.

    own: program of this process; documents: stored documents by digest; leased: rollout number and document of the
    current lease; latest_number: latest rollout known; told_to_return: the holder has ended the lease.
    """

    own: str
    started_at: float
    rollout_lease_ms: float
    documents: dict[str, Document] = field(default_factory=dict)
    leased: tuple[int, Document] | None = None
    baseline: Document | None = None
    latest_number: int = 0
    told_to_return: bool = False
    last_leased_at: float | None = None

    def on_applied(self, number: int, document: Document | None, leased: bool) -> None:
        """The follower has put a document into force; None: there is no baseline."""
        if leased and document is not None:
            self.leased, self.told_to_return = (number, document), False
        else:
            self.leased, self.baseline = None, document

    def on_lease(self, lease: RolloutLease) -> None:
        """Handle the holder's reply to a report of this member."""
        if lease.kind == PROGRAM and lease.duration_ms == 0 and lease.number >= self.latest_number:
            self.told_to_return = True

    @property
    def runs_non_baseline(self) -> bool:
        """Whether this process runs the program of some rollout that is not the baseline."""
        if self.baseline is not None and self.baseline.program == self.own:
            return False
        return any(document.program == self.own for document in self.documents.values())

    def running_number(self) -> int | None:
        """The rollout that this process runs on a lease, 0: none; None: not known here, other kinds decide."""
        if self.leased is not None:
            number, document = self.leased
            return number if document.program == self.own else 0
        return self.latest_number if self.runs_non_baseline else None

    def wanted_program(self, now: float) -> str:
        """The program that the starter has to run."""
        if self.leased is not None:
            self.last_leased_at = now
            return self.leased[1].program
        if self.baseline is not None:
            target = self.baseline.program
        else:
            target = next(
                (document.replaces for document in self.documents.values() if document.program == self.own), self.own
            )
        if target == self.own or not self.runs_non_baseline:
            return target
        # Guards against leaving a program that was started on a lease before the holder's first message arrives.
        waited = now - (self.last_leased_at if self.last_leased_at is not None else self.started_at)
        return target if self.told_to_return or not 0 <= waited < LEASES_WAITED * self.rollout_lease_ms else self.own

    def starter_state(self, now: float, phase: Phase | None) -> str:
        """What the starter has to do: `go` to the wanted program, `stay`, or `halted`: no replacement will come."""
        if self.wanted_program(now) != self.own:
            return "go"
        return "halted" if phase in (Phase.ROLLING_BACK, Phase.HALTED) and not self.runs_non_baseline else "stay"
