"""Queue of updates to spread by gossip: each is sent a bounded number of times, the least sent first. Pure."""

from __future__ import annotations

from collections.abc import Callable

from sageweir.cluster.messages import GossipUpdate

MAX_SKIPPED = 8  # updates skipped as too long for the space left, before the search ends


class GossipQueue:
    """Holds the newest update of each member, and is thus bounded by the number of known members."""

    def __init__(self) -> None:
        self._updates: dict[str, tuple[GossipUpdate, int]] = {}  # by member name, with how often it was sent
        self._by_send_count: list[dict[str, None]] = [{}]  # names whose update was sent that often, the oldest first

    def __len__(self) -> int:
        return len(self._updates)

    def put(self, update: GossipUpdate, sent: int = 0) -> None:
        """Add an update in place of the member's previous one; sent: how often it counts as sent already."""
        name = update.record.name
        self.drop(name)
        self._updates[name] = update, sent
        self._with_send_count(sent)[name] = None

    def drop(self, name: str) -> None:
        """Remove the update of a member, if there is one."""
        if name in self._updates:
            del self._by_send_count[self._updates.pop(name)[1]][name]

    def _with_send_count(self, sent: int) -> dict[str, None]:
        while len(self._by_send_count) <= sent:
            self._by_send_count.append({})
        return self._by_send_count[sent]

    def take(
        self, max_bytes: int, max_sends: int, refresh_age: Callable[[GossipUpdate], GossipUpdate]
    ) -> list[GossipUpdate]:
        """Updates that fit into max_bytes, the least sent first; one that was sent max_sends times is removed.

        refresh_age: returns an update with its current age.
        """
        taken, skipped = list[GossipUpdate](), 0
        chosen: list[str] = []
        for names in self._by_send_count:
            for name in names:
                update = self._updates[name][0]
                if update.max_bytes() <= max_bytes:
                    max_bytes -= update.max_bytes()
                    chosen.append(name)
                elif (skipped := skipped + 1) >= MAX_SKIPPED:
                    break
            if skipped >= MAX_SKIPPED:
                break
        for name in chosen:
            update, sent = self._updates[name]
            taken.append(refresh_age(update))
            if sent + 1 >= max_sends:
                self.drop(name)
            else:
                self.put(update, sent + 1)
        return taken
