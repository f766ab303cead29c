"""Parameters of the membership protocol, and how its times follow from the fleet's size and local health. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log, log10


@dataclass(frozen=True, slots=True)
class Tuning:
    """Parameters of SWIM and Lifeguard. Times are in protocol periods, except those named `_ms`."""

    period_ms: float = 500.0  # one probe per member (SWIM's T')
    ack_fraction: float = 0.4  # of a period: the wait for an ack before helpers are asked, and the helpers' own wait
    helpers: int = 3  # members asked for an indirect probe (SWIM's k)
    extra_probes: int = 2  # beyond the one of a period; each starts when the previous one got no ack in time
    suspicion_min_factor: float = 2.5  # shortest suspicion, once enough members confirm: times log10 of the fleet size
    suspicion_max_ratio: float = 4.0  # longest suspicion, without confirmation, over the shortest (Lifeguard's beta: 6)
    confirmations: int = 1  # that shorten a suspicion to the shortest (Lifeguard's K: 3)
    health_max: int = 8  # upper bound of the local health score (Lifeguard's S); 0 disables it
    gossip_fanout: int = 2  # members that get gossip twice a period, besides the updates on probes
    gossip_repeats: float = 4.0  # times log10 of the fleet size: how often an update is sent
    exchange_periods: float = 30.0  # between regular full exchanges of a member, in a fleet of up to 8
    digest_mismatches: int = 4  # consecutive contacts with another digest that trigger an extra exchange
    mismatch_gap_periods: float = 3.0  # least time between extra exchanges
    remember_ms: float = 86_400_000.0  # how long the dead are remembered, and pinged in case they come back
    conflict_periods: float = 3.0  # silence after which another process that claimed the own name counts as gone
    displaced_periods: float = 10.0  # added to conflict_periods while this member has lost its name
    members_max: int = 2000  # known at once
    reorder_window: int = 1024  # how far a datagram's sequence may be behind its sender's newest; older is a replay
    buddy_system: bool = True  # a suspected member is told so first (Lifeguard)
    detect_stalls: bool = True  # time in which this process stalled does not count against others

    def min_suspicion_ms(self, members: int) -> float:
        """The shortest duration of a suspicion."""
        return self.suspicion_min_factor * max(1.0, log10(max(members, 1))) * self.period_ms

    def suspicion_ms(self, members: int, confirmed: int) -> float:
        """How long a member stays suspected before it counts as dead; confirmed: further members that suspect it.

        Source: Lifeguard (Dadgar, Phillips, Currey 2017), section IV-B.
        """
        shortest_ms = self.min_suspicion_ms(members)
        needed = min(self.confirmations, members - 2)
        if needed < 1 or not self.health_max:  # no other member could confirm, or plain SWIM
            return shortest_ms
        longest_ms = self.suspicion_max_ratio * shortest_ms
        return max(shortest_ms, longest_ms - (longest_ms - shortest_ms) * log(confirmed + 1) / log(needed + 1))

    def gossip_sends(self, members: int) -> int:
        """How often one update is sent."""
        return ceil(self.gossip_repeats * max(1.0, log10(members + 1)))

    def exchange_interval_ms(self, members: int) -> float:
        """Time between regular full exchanges. It grows with the fleet, as exchanges do; digests reveal differences."""
        return self.exchange_periods * max(1.0, members / 8) * self.period_ms

    def settle_ms(self, members: int) -> float:
        """Time without a change after which the membership may count as settled."""
        return (3 + ceil(log10(members + 1))) * self.period_ms


class Health:
    """Lifeguard's local health multiplier: a member that is slow itself gives others more time."""

    def __init__(self, max_score: int) -> None:
        self.max_score, self.score = max_score, 0

    def adjust(self, change: int) -> None:
        self.score = min(self.max_score, max(0, self.score + change))

    @property
    def multiplier(self) -> int:
        return self.score + 1
