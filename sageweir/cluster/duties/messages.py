"""What seekers, electors, holders and those that are acted on say to each other. Types only, no I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

TERM_MAX = 1 << 56
JUMP = 1 << 20  # terms that may have been lost from disks, where no elector's memory outlived them
Word = Annotated[str, Meta(max_length=64)]
Term = Annotated[int, Meta(ge=0, lt=TERM_MAX)]
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]
STATE_BYTES, DUTIES_MAX, ELECTORS_MAX = 1000, 8, 8
State = Annotated[bytes, Meta(max_length=STATE_BYTES)]
Place = Annotated[str, Meta(min_length=3, max_length=52)]
Electors = Annotated[dict[Word, Place], Meta(min_length=1, max_length=ELECTORS_MAX)]


class Ask(msgspec.Struct, frozen=True, gc=False, tag="ask"):
    """A seeker asks for a term of a duty. dry: only whether it would be granted. number: echoed by the answer.

    freed, freed_by, freed_boot: the term, and its holder, that was handed to this seeker; that one acts no more.
    """

    duty: Word
    term: Term
    seeker: Word
    boot: Number
    number: Number
    version: Number  # of the list of electors
    dry: bool = False
    freed: Term = 0
    freed_by: Word = ""
    freed_boot: Number = 0


class Say(msgspec.Struct, frozen=True, gc=False, tag="say"):
    """An elector's answer. seen: the highest term it promised; wait_ms: how long it is bound to another at most."""

    duty: Word
    term: Term
    elector: Word
    number: Number
    granted: bool
    seen: Term
    wait_ms: float = 0.0
    holder: Word = ""  # to whom it is bound
    version: Number = 0


class Free(msgspec.Struct, frozen=True, gc=False, tag="free"):
    """A seeker gives a term back. next: for whom the duty is kept a moment, where it is handed on."""

    duty: Word
    term: Term
    seeker: Word
    boot: Number
    next: Word = ""


class Recall(msgspec.Struct, frozen=True, gc=False, tag="recall"):
    """An elector that has started asks the others what they remember. number: its boot, echoed by the answer."""

    elector: Word
    number: Number


class Memory(msgspec.Struct, frozen=True, gc=False, tag="memory"):
    """The answer: terms by duty. intact: it has been up, and held them, since before it last granted anything."""

    elector: Word
    number: Number
    intact: bool
    terms: Annotated[dict[Word, Term], Meta(max_length=DUTIES_MAX)]


class Hand(msgspec.Struct, frozen=True, gc=False, tag="hand"):
    """A holder hands its duty on: first the state (answered by the same with `back`), then the word to go."""

    duty: Word
    term: Term
    seeker: Word
    boot: Number
    state: State = b""
    go: bool = False
    back: bool = False


class Notice(msgspec.Struct, frozen=True, gc=False, tag="notice"):
    """A holder's word to all, an act under its term; count: its acts so far; why: how it came to hold the duty. What
    it says by `state` is the duty's own affair.
    """

    duty: Word
    term: Term
    seeker: Word
    boot: Number
    count: Number
    state: State = b""
    why: Annotated[str, Meta(max_length=200)] = ""


class Want(msgspec.Struct, frozen=True, gc=False, tag="want"):
    """A member asks the holder for something; number: echoed by the answer."""

    duty: Word
    member: Word
    number: Number
    state: State = b""


class Part(msgspec.Struct, frozen=True, gc=False, tag="part"):
    """The holder's answer to a Want, an act under its term."""

    duty: Word
    term: Term
    seeker: Word
    boot: Number
    count: Number
    number: Number
    state: State = b""


class Above(msgspec.Struct, frozen=True, gc=False, tag="above"):
    """Refuses an act: the highest term that was seen there."""

    duty: Word
    term: Term


class Wish(msgspec.Struct, frozen=True, gc=False, tag="wish"):
    """An operator wishes that the holder hands its duty to that member."""

    duty: Word
    to: Word


class Propose(msgspec.Struct, frozen=True, gc=False, tag="propose"):
    """A list of electors that should follow the present one: by name, where they are reached."""

    version: Number
    electors: Electors
    number: Number


class Accepted(msgspec.Struct, frozen=True, gc=False, tag="accepted"):
    """An elector's answer: whether it will take no other list of that version. installed: the version in force there.

    state: of the list asked about: "accepted", "installed", or why neither.
    """

    elector: Word
    number: Number
    version: Number
    installed: Number
    state: Annotated[str, Meta(max_length=120)]


class Commit(msgspec.Struct, frozen=True, gc=False, tag="commit"):
    """A list that a majority of the one before has accepted: it is in force. number: 0, or to be echoed by Accepted."""

    version: Number
    electors: Electors
    number: Number = 0


class Lists(msgspec.Struct, frozen=True, gc=False, tag="lists"):
    """Asks for the list that is in force there; the answer is a Commit."""

    version: Number


class Aside(msgspec.Struct, frozen=True, gc=False, tag="aside"):
    """What the parts of one duty say to each other, in words of their own; nobody's act unless they say so."""

    duty: Word
    data: Annotated[bytes, Meta(max_length=1120)]


Message = (
    Ask
    | Say
    | Free
    | Recall
    | Memory
    | Hand
    | Notice
    | Want
    | Part
    | Above
    | Wish
    | Propose
    | Accepted
    | Commit
    | Lists
    | Aside
)


class Letter(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """One of them on its way; host, port: where its sender is reached."""

    fleet: Word
    to: Word
    sender: Word
    host: Annotated[str, Meta(min_length=1, max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    body: Message
