"""Messages between candidates, voters, holders and members for granting leader leases of roles. Types only, no I/O.

A role is a job that one member does for all members, as the holder of that role's leader lease. What a holder sends in
its role (an act) carries the lease's term. The class attribute `failpoint` names a message in failpoints.
"""

from __future__ import annotations

from typing import Annotated, ClassVar

import msgspec
from msgspec import Meta

TERM_MAX = 1 << 56
# Added to the highest term found on disk when no voter kept its terms in memory: more terms than disks can have lost.
TERM_JUMP = 1 << 20
Name = Annotated[str, Meta(max_length=64)]
Term = Annotated[int, Meta(ge=0, lt=TERM_MAX)]
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]
MAX_STATE_BYTES = 1000
MAX_ROLES = 8
MAX_VOTERS = 8
RoleState = Annotated[bytes, Meta(max_length=MAX_STATE_BYTES)]
Address = Annotated[str, Meta(min_length=3, max_length=52)]
VoterAddresses = Annotated[dict[Name, Address], Meta(min_length=1, max_length=MAX_VOTERS)]
# Field names in the encoded messages, where they differ from the attribute names: older builds decode them.
WIRE_NAMES = {
    "role": "duty",
    "candidate": "seeker",
    "voter": "elector",
    "voters": "electors",
    "pre_vote": "dry",
    "highest_term": "seen",
    "recovered": "intact",
    "released_term": "freed",
    "released_by": "freed_by",
    "released_boot": "freed_boot",
    "next_holder": "next",
    "commit": "go",
    "ack": "back",
}


class LeaseRequest(msgspec.Struct, frozen=True, gc=False, tag="ask", rename=WIRE_NAMES):
    """A candidate asks a voter to grant or renew a term of a role. number: echoed by the reply.

    pre_vote: only asks whether the term would be granted. released_term, released_by, released_boot: the term that was
    transferred to this candidate and its former holder, which no longer acts under it.
    """

    failpoint: ClassVar[str] = "Ask"

    role: Name
    term: Term
    candidate: Name
    boot: Number
    number: Number
    version: Number  # of the voter list
    pre_vote: bool = False
    released_term: Term = 0
    released_by: Name = ""
    released_boot: Number = 0


class LeaseReply(msgspec.Struct, frozen=True, gc=False, tag="say", rename=WIRE_NAMES):
    """A voter's reply to a LeaseRequest.

    highest_term: the highest term that it promised; wait_ms: the longest time that it stays bound to another candidate.
    """

    failpoint: ClassVar[str] = "Say"

    role: Name
    term: Term
    voter: Name
    number: Number
    granted: bool
    highest_term: Term
    wait_ms: float = 0.0
    holder: Name = ""  # the candidate that the voter is bound to
    version: Number = 0


class LeaseRelease(msgspec.Struct, frozen=True, gc=False, tag="free", rename=WIRE_NAMES):
    """A candidate gives a term back. next_holder: the member for which the role stays reserved during a transfer."""

    failpoint: ClassVar[str] = "Free"

    role: Name
    term: Term
    candidate: Name
    boot: Number
    next_holder: Name = ""


class TermsQuery(msgspec.Struct, frozen=True, gc=False, tag="recall", rename=WIRE_NAMES):
    """A voter that has started asks the other voters for their terms. number: its boot, echoed by the reply."""

    failpoint: ClassVar[str] = "Recall"

    voter: Name
    number: Number


class TermsReply(msgspec.Struct, frozen=True, gc=False, tag="memory", rename=WIRE_NAMES):
    """Reply to a TermsQuery: terms by role.

    recovered: the voter has held these terms in memory since before it last granted anything.
    """

    failpoint: ClassVar[str] = "Memory"

    voter: Name
    number: Number
    recovered: bool
    terms: Annotated[dict[Name, Term], Meta(max_length=MAX_ROLES)]


class Transfer(msgspec.Struct, frozen=True, gc=False, tag="hand", rename=WIRE_NAMES):
    """Transfers a lease: the holder sends the state, the next holder replies with `ack`, the holder sends `commit`."""

    failpoint: ClassVar[str] = "Hand"

    role: Name
    term: Term
    candidate: Name
    boot: Number
    state: RoleState = b""
    commit: bool = False
    ack: bool = False


class HolderHeartbeat(msgspec.Struct, frozen=True, gc=False, tag="notice", rename=WIRE_NAMES):
    """A holder's heartbeat to all members, an act under its term.

    count: the holder's acts so far; state: content that the role defines; why: how it came to hold the lease.
    """

    failpoint: ClassVar[str] = "Notice"

    role: Name
    term: Term
    candidate: Name
    boot: Number
    count: Number
    state: RoleState = b""
    why: Annotated[str, Meta(max_length=200)] = ""


class RoleRequest(msgspec.Struct, frozen=True, gc=False, tag="want", rename=WIRE_NAMES):
    """A member's request to the holder of a role; number: echoed by the reply."""

    failpoint: ClassVar[str] = "Want"

    role: Name
    member: Name
    number: Number
    state: RoleState = b""


class RoleReply(msgspec.Struct, frozen=True, gc=False, tag="part", rename=WIRE_NAMES):
    """The holder's reply to a RoleRequest, an act under its term."""

    failpoint: ClassVar[str] = "Part"

    role: Name
    term: Term
    candidate: Name
    boot: Number
    count: Number
    number: Number
    state: RoleState = b""


class StaleTerm(msgspec.Struct, frozen=True, gc=False, tag="above", rename=WIRE_NAMES):
    """Refuses an act under a stale term; term: the highest one that the receiver of the act has seen."""

    failpoint: ClassVar[str] = "Above"

    role: Name
    term: Term


class TransferRequest(msgspec.Struct, frozen=True, gc=False, tag="wish", rename=WIRE_NAMES):
    """Forwards an operator's request that the holder transfers its lease to that member."""

    failpoint: ClassVar[str] = "Wish"

    role: Name
    to: Name


class Propose(msgspec.Struct, frozen=True, gc=False, tag="propose", rename=WIRE_NAMES):
    """Proposes the voter list that follows the present one; voters: addresses by name."""

    failpoint: ClassVar[str] = "Propose"

    version: Number
    voters: VoterAddresses
    number: Number


class Accepted(msgspec.Struct, frozen=True, gc=False, tag="accepted", rename=WIRE_NAMES):
    """A voter's reply to a Propose or Commit. installed: the version in force there.

    state: "accepted" (the voter will accept no other list of that version), "installed", or the reason for neither.
    """

    failpoint: ClassVar[str] = "Accepted"

    voter: Name
    number: Number
    version: Number
    installed: Number
    state: Annotated[str, Meta(max_length=120)]


class Commit(msgspec.Struct, frozen=True, gc=False, tag="commit", rename=WIRE_NAMES):
    """A voter list that is in force, as a majority of the previous voters accepted it.

    number: 0, or a number that the reply (Accepted) echoes.
    """

    failpoint: ClassVar[str] = "Commit"

    version: Number
    voters: VoterAddresses
    number: Number = 0


class VoterListQuery(msgspec.Struct, frozen=True, gc=False, tag="lists", rename=WIRE_NAMES):
    """Asks for the voter list that is in force at the receiver; the reply is a Commit."""

    failpoint: ClassVar[str] = "Lists"

    version: Number


class RoleMessage(msgspec.Struct, frozen=True, gc=False, tag="aside", rename=WIRE_NAMES):
    """A message between the handlers of one role; data: content that the role defines. Not an act under a term."""

    failpoint: ClassVar[str] = "Aside"

    role: Name
    data: Annotated[bytes, Meta(max_length=1120)]


Message = (
    LeaseRequest
    | LeaseReply
    | LeaseRelease
    | TermsQuery
    | TermsReply
    | Transfer
    | HolderHeartbeat
    | RoleRequest
    | RoleReply
    | StaleTerm
    | TransferRequest
    | Propose
    | Accepted
    | Commit
    | VoterListQuery
    | RoleMessage
)


class Envelope(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A message with its addressing; host, port: the sender's address."""

    fleet: Name
    to: Name
    sender: Name
    host: Annotated[str, Meta(min_length=1, max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    body: Message
