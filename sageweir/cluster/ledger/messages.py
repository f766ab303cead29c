"""Messages between members and the owners of shards: count updates, queries and their replies. Types only, no I/O."""

from __future__ import annotations

from typing import Annotated, ClassVar

import msgspec
from msgspec import Meta

from sageweir.cluster.leases.messages import Name, Number

MAX_KEY_CHARS = 80
MAX_PAGE_ROWS = 400
MAX_PAGES = 4000
MAX_MEMBERS = 8000
# Kinds of questions.
NUMBER = "number"
PREFIX = "prefix"
BUSIEST = "busiest"
TENANT = "tenant"
KINDS = (NUMBER, PREFIX, BUSIEST, TENANT)
MAX_BUSIEST = 100
Key = Annotated[str, Meta(min_length=3, max_length=MAX_KEY_CHARS)]
Position = Annotated[int, Meta(ge=0, le=1 << 32)]  # of a key's hash


# `failpoint` of a message names the failpoints `send ...` and `receive ...` that fault scripts refer to.


class Row(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Counts of a called number or tenant at one member.

    established: established calls; setups: recent call set-ups; busy: 1 while the number's lines are busy.
    """

    established: Number = 0
    setups: Number = 0
    busy: Number = 0


class Stamp(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Version of a member's counts: the member's boot number, and its epoch."""

    boot: Number
    epoch: Number


Vector = dict[Name, Stamp]


class RowsUpdate(msgspec.Struct, frozen=True, gc=False, tag="give"):
    """One page of a member's rows in a range of key hashes, as of an epoch.

    base: epoch that the rows are changes from, 0: they are all rows of the range. A row of None is deleted. The pages
    of one base and epoch are applied together once all of them have arrived.
    """

    failpoint: ClassVar[str] = "Give"
    member: Name
    boot: Number
    first: Position
    last: Position
    base: Number
    epoch: Number = msgspec.field(name="seq")
    page: Annotated[int, Meta(ge=0, lt=MAX_PAGES)]
    pages: Annotated[int, Meta(ge=1, le=MAX_PAGES)]
    rows: Annotated[dict[Key, Row | None], Meta(max_length=MAX_PAGE_ROWS)]


class UpdateReply(msgspec.Struct, frozen=True, gc=False, tag="got"):
    """An owner's reply to a RowsUpdate.

    ok: the page was accepted; held_epoch: latest epoch of the sender's current boot that the owner holds completely,
    0: none.
    """

    failpoint: ClassVar[str] = "Got"
    ok: bool
    held_epoch: Number = msgspec.field(name="have")


class Question(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A question about call counts: of a number, of all numbers with a prefix, of a tenant, or the `limit` busiest."""

    kind: Name
    subject: Annotated[str, Meta(max_length=MAX_KEY_CHARS)] = ""
    limit: Annotated[int, Meta(ge=1, le=MAX_BUSIEST)] = 1


class ShardQuery(msgspec.Struct, frozen=True, gc=False, tag="ask"):
    """A question to an owner of a shard.

    question: None asks only for the owner's vector; asof: count only these members, as of these epochs.
    """

    failpoint: ClassVar[str] = "Ask"
    first: Position
    last: Position
    question: Question | None = None
    asof: Annotated[dict[Name, Stamp], Meta(max_length=MAX_MEMBERS)] | None = None


class Found(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """One line of a result: the counts of a key or prefix, summed over members."""

    key: str
    established: Number
    setups: Number
    busy: Number


class QueryReply(msgspec.Struct, frozen=True, gc=False, tag="reply"):
    """An owner's reply to a ShardQuery.

    known: the owner holds the range, and can answer as of the requested epochs; missing: live members without a recent
    update at this owner.
    """

    failpoint: ClassVar[str] = "Reply"
    known: bool
    found: tuple[Found, ...] = ()
    vector: Annotated[dict[Name, Stamp], Meta(max_length=MAX_MEMBERS)] = msgspec.field(default_factory=dict)
    missing: tuple[Name, ...] = ()


Body = RowsUpdate | UpdateReply | ShardQuery | QueryReply
