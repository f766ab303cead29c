"""How far each owner is in this member's rows, and what it is sent next. Pure; clocks are monotonic, ms.

One page is out to an owner at a time, of rows as of one epoch; what was not answered in time is sent again as it was.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sageweir.cluster.ledger.account import Account, Rows, pages
from sageweir.cluster.ledger.messages import ROWS_PAGE, Give, Got
from sageweir.cluster.ledger.shards import Shard

Target = tuple[str, int, int]  # an owner and a range


@dataclass(slots=True)
class Progress:
    """have: the epoch that the owner is known to hold; None: not known."""

    have: int | None = None
    base: int = 0
    seq: int = 0
    out: list[Rows] = field(default_factory=list)  # pages of one epoch, those done left out
    page: int = 0
    count: int = 0
    sent_at: float = float("-inf")
    waits: bool = False


class Sender:
    """again_ms: a page that is not answered by then is sent again; beat_ms: an owner hears that often at least."""

    def __init__(
        self, member: str, boot: int, account: Account, again_ms: float, beat_ms: float, page_rows: int = ROWS_PAGE
    ) -> None:
        self.member, self.boot, self.account, self.page_rows = member, boot, account, page_rows
        self.again_ms, self.beat_ms = again_ms, beat_ms
        self.progress: dict[Target, Progress] = {}

    def targets(self, shards: Iterable[Shard]) -> None:
        """Owners and ranges that get this member's rows from now on."""
        wanted = {(owner, shard.first, shard.last) for shard in shards for owner in shard.owners}
        self.progress = {target: self.progress.get(target, Progress()) for target in sorted(wanted)}

    def due(self, now: float) -> list[tuple[str, Give]]:
        """Pages to be sent now."""
        found = []
        for (owner, first, last), one in self.progress.items():
            if one.waits and 0 <= now - one.sent_at < self.again_ms:
                continue
            if not one.out:
                if one.have == self.account.seq and 0 <= now - one.sent_at < self.beat_ms:
                    continue
                one.base, rows = self.account.since(one.have or 0, first, last)
                one.seq, one.out, one.page = self.account.seq, pages(rows, self.page_rows), 0
                one.count = len(one.out)
            one.sent_at, one.waits = now, True
            found.append(
                (owner, Give(self.member, self.boot, first, last, one.base, one.seq, one.page, one.count, one.out[0]))
            )
        return found

    def got(self, owner: str, give: Give, got: Got) -> None:
        """An owner's answer to a page."""
        one = self.progress.get((owner, give.first, give.last))
        if one is None or not one.waits or (give.base, give.seq, give.page) != (one.base, one.seq, one.page):
            return  # late, or doubled
        one.waits = False
        if not got.ok:
            one.have, one.out = got.have, []
            return
        one.out = one.out[1:]
        one.page += 1
        if not one.out:
            one.have = got.have
