"""Replicates this member's rows to the owners of shards. No I/O; times are monotonic milliseconds.

One page at a time is in flight to each owner and range. A page without a reply in time is sent again unchanged.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sageweir.cluster.ledger.account import MemberCounts, Rows, pages
from sageweir.cluster.ledger.messages import MAX_PAGE_ROWS, RowsUpdate, UpdateReply
from sageweir.cluster.ledger.shards import Shard

Target = tuple[str, int, int]  # owner, and first and last position of the range


@dataclass(slots=True)
class Progress:
    """State of replication to one target. held_epoch: latest epoch that the owner confirmed, None: unknown."""

    held_epoch: int | None = None
    base: int = 0
    epoch: int = 0
    pending: list[Rows] = field(default_factory=list)  # unconfirmed pages of one epoch
    page: int = 0
    count: int = 0
    sent_at: float = float("-inf")
    awaiting_reply: bool = False


class Sender:
    """Decides which pages to send.

    resend_ms: time after which a page without a reply is sent again; interval_ms: longest time between pages to an
    owner, even if nothing has changed.
    """

    def __init__(
        self,
        member: str,
        boot: int,
        member_counts: MemberCounts,
        resend_ms: float,
        interval_ms: float,
        page_rows: int = MAX_PAGE_ROWS,
    ) -> None:
        self.member, self.boot, self.member_counts, self.page_rows = member, boot, member_counts, page_rows
        self.resend_ms, self.interval_ms = resend_ms, interval_ms
        self.progress: dict[Target, Progress] = {}

    def set_targets(self, shards: Iterable[Shard]) -> None:
        """Replicate to the owners of these shards from now on."""
        wanted = {(owner, shard.first, shard.last) for shard in shards for owner in shard.owners}
        self.progress = {target: self.progress.get(target, Progress()) for target in sorted(wanted)}

    def due(self, now: float) -> list[tuple[str, RowsUpdate]]:
        """Pages to send now, with their owners."""
        found = []
        for (owner, first, last), progress in self.progress.items():
            if progress.awaiting_reply and 0 <= now - progress.sent_at < self.resend_ms:
                continue
            if not progress.pending:
                if progress.held_epoch == self.member_counts.epoch and 0 <= now - progress.sent_at < self.interval_ms:
                    continue
                progress.base, rows = self.member_counts.since(progress.held_epoch or 0, first, last)
                progress.epoch = self.member_counts.epoch
                progress.pending = pages(rows, self.page_rows)
                progress.page = 0
                progress.count = len(progress.pending)
            progress.sent_at, progress.awaiting_reply = now, True
            found.append(
                (
                    owner,
                    RowsUpdate(
                        self.member,
                        self.boot,
                        first,
                        last,
                        progress.base,
                        progress.epoch,
                        progress.page,
                        progress.count,
                        progress.pending[0],
                    ),
                )
            )
        return found

    def on_reply(self, owner: str, update: RowsUpdate, reply: UpdateReply) -> None:
        """Process an owner's reply to a page."""
        progress = self.progress.get((owner, update.first, update.last))
        if (
            progress is None
            or not progress.awaiting_reply
            or (update.base, update.epoch, update.page) != (progress.base, progress.epoch, progress.page)
        ):
            return  # late or duplicate reply
        progress.awaiting_reply = False
        if not reply.ok:
            progress.held_epoch, progress.pending = reply.held_epoch, []
            return
        progress.pending = progress.pending[1:]
        progress.page += 1
        if not progress.pending:
            progress.held_epoch = reply.held_epoch
