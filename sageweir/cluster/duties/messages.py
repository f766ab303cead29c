"""What seekers and electors say to each other. Types only, no I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

TERM_MAX = 1 << 56
JUMP = 1 << 20  # terms that may have been lost from disks, where no elector's memory outlived them
Word = Annotated[str, Meta(max_length=64)]
Term = Annotated[int, Meta(ge=0, lt=TERM_MAX)]
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]


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
    terms: dict[str, int]


class Hand(msgspec.Struct, frozen=True, gc=False, tag="hand"):
    """A holder hands its duty on: first the state (answered by the same with `back`), then the word to go."""

    duty: Word
    term: Term
    seeker: Word
    boot: Number
    state: bytes = b""
    go: bool = False
    back: bool = False


Message = Ask | Say | Free | Recall | Memory | Hand
