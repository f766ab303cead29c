"""Message types of the membership protocol, and the precedence between two records of one member. No I/O.

The types carry bounds, which decoding enforces. Datagrams and exchanges are arrays on the wire: the order of fields,
their types and bounds and the values of enums are shared with other versions of the program.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_DATAGRAM_BYTES = 1400
INCARNATION_MAX = 1 << 40  # below it, a member can refute a false report with a higher incarnation
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]
DIGEST_MASK = (1 << 63) - 1  # 63 bits: the widest integer whose bounds the decoder can check
Digest = Annotated[int, Meta(ge=0, le=DIGEST_MASK)]


class State(IntEnum):
    """State of a member. At equal incarnations the higher value takes precedence (SWIM, section 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    """Kind of a datagram: SWIM's, Lifeguard's NACK, and GOSSIP, which carries updates only and gets no reply."""

    PING = 0
    ACK = 1
    PING_REQ = 2
    NACK = 3
    GOSSIP = 4


class Record(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The state of one member. `boot` is a random number that identifies the process. Only that process raises the
    incarnation, starting from 0, which means that it has not claimed the name yet.
    """

    name: Name
    incarnation: Annotated[int, Meta(ge=0, lt=INCARNATION_MAX)]
    boot: Number
    state: State
    host: Annotated[str, Meta(min_length=1, max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: Annotated[str, Meta(max_length=32)] = ""

    @property
    def rank(self) -> tuple[int, int, int]:
        """Precedence among records of one name: the highest rank wins, records of equal rank are the same."""
        return self.incarnation, self.boot, self.state

    @property
    def is_live(self) -> bool:
        return self.state <= State.SUSPECT

    def with_state(self, state: State) -> Record:
        """A copy with another state; same process, same incarnation."""
        return msgspec.structs.replace(self, state=state)

    def hash(self) -> int:
        """The record's 63-bit contribution to the membership digest."""
        encoded = msgspec.msgpack.encode(self)
        return int.from_bytes(blake2b(encoded, digest_size=8).digest(), "big") & DIGEST_MASK


class GossipUpdate(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A record spread by gossip. reporter: the member that set this state; age_ms: time since a dead member died."""

    record: Record
    reporter: Annotated[str, Meta(max_length=64)] = ""
    age_ms: Number = 0

    def max_bytes(self) -> int:
        """Upper bound of the encoded size: the strings, plus every integer at its longest."""
        texts = (self.record.name, self.record.host, self.record.zone, self.reporter)
        return 36 + sum(2 + len(text.encode()) for text in texts)


class Packet(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A datagram. source: the sender's own record; sequence: grows with each datagram of a sender; probe: a number that
    the reply echoes; target: the intended receiver (PING), the member to probe (PING_REQ), or the member that was
    probed on another's behalf (ACK).
    """

    fleet: Annotated[str, Meta(max_length=64)]
    kind: Kind
    source: Record
    sequence: Number
    probe: Number
    digest: Digest
    target: Annotated[str, Meta(max_length=64)] = ""
    updates: Annotated[tuple[GossipUpdate, ...], Meta(max_length=64)] = ()


class FullState(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """All records that one member holds; both sides of a full exchange (anti-entropy) send it."""

    fleet: Annotated[str, Meta(max_length=64)]
    source: Record
    digest: Digest
    updates: Annotated[tuple[GossipUpdate, ...], Meta(max_length=8192)] = ()
