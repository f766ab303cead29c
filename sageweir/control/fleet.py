"""The clearing servers as the control feed lists them, with addresses and generations. No I/O."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from dataclasses import dataclass

from dahliabridge import interface as api
from sageweir.config import Address, Listed, ListEvent

RECENT_SIZE_DECAY_MS = 300_000.0  # time constant of the exponential decay of the remembered fleet size


@dataclass(frozen=True, slots=True)
class Member:
    """A listed clearing server; generation counts its starts and address changes as the feed reported them."""

    entry: api.Server
    address: Address
    generation: int = 1


@dataclass(frozen=True, slots=True)
class Change:
    """What one feed event changed, as server ids."""

    stopped: frozenset[str] = frozenset()  # accept no new set-ups from now on: draining, gone or displaced
    started: frozenset[str] = frozenset()  # new or restarted: assumed to be in slow start
    moved: frozenset[str] = frozenset()  # address changed
    displaced: frozenset[str] = frozenset()  # their address was taken over by another server

    def __bool__(self) -> bool:
        return bool(self.stopped or self.started or self.moved)


class Fleet:
    """The server list, updated by feed events."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.complete_list_received = False
        self._generations: dict[str, int] = {}  # of all servers seen, including removed ones
        self._reported_starts: dict[str, float] = {}  # latest reported start time, by id
        self._recent_size, self._recent_size_at = 0.0, -math.inf

    def apply(self, event: ListEvent, now_ms: float) -> tuple[Change, api.ListChange]:
        """Apply a feed event; returns what changed and the list change for the decision module.

        A removed server that is listed again without a later start time counts as started now, as nothing shows
        that it is still warmed up. A revoked drain leaves the server's state unchanged.
        """
        before = self.members
        members = {} if event.complete else dict(before)
        for listed in event.listed:
            self._apply_listed(members, before, listed, now_ms)
        if event.complete:
            self.complete_list_received = True
        displaced = self._resolve_address_conflicts(members, {listed.entry.name for listed in event.listed})
        self.members = members
        self._update_history(before, now_ms)
        stopped = {
            name
            for name, old in before.items()
            if _in_service(old) and not (name in members and _in_service(members[name]))
        }
        started = {
            name
            for name, new in members.items()
            if _in_service(new) and (name not in before or before[name].entry.started_ms != new.entry.started_ms)
        }
        moved = {name for name, new in members.items() if name in before and before[name].address != new.address}
        change = Change(frozenset(stopped), frozenset(started), frozenset(moved), frozenset(displaced))
        return change, api.ListChange(tuple(m.entry for m in members.values()), complete=True)

    def _apply_listed(
        self, members: dict[str, Member], before: Mapping[str, Member], listed: Listed, now_ms: float
    ) -> None:
        entry, old = listed.entry, before.get(listed.entry.name)
        if entry.state is api.ServerState.GONE:
            members.pop(entry.name, None)
            return
        address = listed.address or (old.address if old else None)
        if address is None:
            return  # unreachable without an address
        if old is None and entry.name in self._generations and entry.started_ms <= self._reported_starts[entry.name]:
            entry = dataclasses.replace(entry, started_ms=now_ms)
        elif old is not None and entry.started_ms <= self._reported_starts[entry.name]:
            entry = dataclasses.replace(entry, started_ms=old.entry.started_ms)
        generation = self._generations.get(entry.name, 0)
        if old is None or old.entry.started_ms != entry.started_ms or old.address != address:
            generation += 1
        self._generations[entry.name] = generation
        self._reported_starts[entry.name] = max(listed.entry.started_ms, self._reported_starts.get(entry.name, 0.0))
        members[entry.name] = Member(entry, address, generation)

    def _resolve_address_conflicts(self, members: dict[str, Member], updated: set[str]) -> set[str]:
        """Give each address to the server reported last with it; returns the ids that lost theirs."""
        holders: dict[Address, str] = {}
        displaced: set[str] = set()
        for name in sorted(members, key=lambda n: (n in updated, members[n].entry.started_ms)):
            old = holders.get(members[name].address)
            if old is not None and _in_service(members[name]):
                displaced.add(old)
                del members[old]
            elif old is not None:  # a draining server does not take over an address
                displaced.add(name)
                del members[name]
                continue
            holders[members[name].address] = name
        return displaced

    def _update_history(self, before: Mapping[str, Member], now_ms: float) -> None:
        until_now = sum(m.entry.size for m in before.values())  # size until this event
        self._recent_size, self._recent_size_at = max(until_now, self.recent_size(now_ms)), now_ms
        # Bounds memory: removed servers are forgotten, first seen first, while over 4096 ids are remembered.
        for name in list(self._generations):
            if len(self._generations) <= 4096:
                break
            if name not in self.members:
                del self._generations[name], self._reported_starts[name]

    def recent_size(self, now_ms: float) -> float:
        """Recent size of the fleet in servers of size 1, from which the demand is estimated.

        Draining servers count, as their demand moves to the others; after the fleet shrinks the value decays slowly.
        """
        present = sum(m.entry.size for m in self.members.values())
        age = max(0.0, now_ms - self._recent_size_at)
        return max(present, self._recent_size * math.exp(-age / RECENT_SIZE_DECAY_MS))


def _in_service(member: Member) -> bool:
    return member.entry.state is api.ServerState.IN_SERVICE
