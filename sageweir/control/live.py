"""The snapshot of a session controller that handles calls itself, for its polled discovery. No I/O but the clock."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from dahliabridge.brain import Controller
from sageweir.clock import Clock
from sageweir.config import Address
from sageweir.control.fleet import Member
from sageweir.control.resources import bodies
from sageweir.control.shares import Demand, plan
from sageweir.control.snapshot import Snapshot, SnapshotStore


class LiveSnapshot:
    """Computes the current snapshot on each poll, as polls are rare compared with calls."""

    def __init__(self, clock: Clock, module: Controller, addresses: Callable[[], Mapping[str, Address]]) -> None:
        self._clock, self._module, self._addresses = clock, module, addresses
        self._store = SnapshotStore(f"{int(clock.now()):x}")

    def present(self) -> Snapshot:
        """Resources from the decision module's current state; a version changes only with its content."""
        now, views, addresses = self._clock.now(), self._module.servers, self._addresses()
        members = {name: Member(view.entry, addresses[name]) for name, view in views.items() if name in addresses}
        base = sum(member.entry.size for member in members.values())
        shares = plan(self._module.settings, views, members, Demand(), base, now)
        self._store.update(bodies(shares, self._module.settings), shares.stopped)
        return self._store.present
