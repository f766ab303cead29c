"""Fleet membership as one member sees it: SWIM with Lifeguard's extensions, gossip and anti-entropy. Pure.

Events come in with the time of a monotonic clock (ms, any origin); actions go out: datagrams to send and full exchanges
to start. The random number generator is passed in. Sources: SWIM (Das, Gupta, Motivala 2002); Lifeguard (Dadgar,
Phillips, Currey 2017).

All durations are measured in protocol time, which follows the clock except over stalls and clock jumps: what a member
missed while its process was stopped does not count against others. Membership is eventually consistent; it is not a
consensus, and nothing that needs mutual exclusion may rest on it.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from random import Random
from typing import NamedTuple

from sageweir.cluster.gossip import GossipQueue
from sageweir.cluster.messages import (
    DIGEST_MASK,
    INCARNATION_MAX,
    MAX_DATAGRAM_BYTES,
    FullState,
    GossipUpdate,
    Kind,
    Packet,
    Record,
    State,
)
from sageweir.cluster.size import SizeEstimate, SizeSample
from sageweir.cluster.tuning import Health, Tuning

FIXED_BYTES = 100  # upper bound of a datagram's encoded size, without its strings and updates
MAX_TARGET_BYTES = 66  # upper bound of the encoded name of the target
HISTORY_SIZE = 1000  # state changes kept
MAX_RELAYED_PROBES = 256  # indirect probes made for others at once
SUSPECT_PROBES_PER_PERIOD = 3.0  # by the whole fleet, to each suspect, beyond the probes in turn
SEED_PINGS_PER_PERIOD = 3.0  # by the whole fleet, to addresses of the join list where no live member is known
STALL_REASON = "stood still"  # prefix of the reason of a local stall; audits of older builds are matched by it too
SUSPICION_REASON = "suspected"  # prefix of the reason of a death that this member declared; likewise


class SendPacket(NamedTuple):
    """Send a datagram. name: of the member at that address, empty where unknown."""

    name: str
    host: str
    port: int
    packet: Packet


class StartExchange(NamedTuple):
    """Start a full exchange with that address and pass the reply to on_full_state(). name: as in SendPacket."""

    name: str
    host: str
    port: int


Action = SendPacket | StartExchange


class StateChange(NamedTuple):
    """A change of one member's record, with the reason. Numbers have no gaps."""

    number: int
    clock_ms: float  # time of the clock that is passed in
    protocol_ms: float
    name: str
    previous: State | None  # None: not known before
    record: Record | None  # None: forgotten
    reason: str


@dataclass(slots=True)
class Suspicion:
    """When the suspicion of a member started, and which members share it."""

    started_ms: float
    accusers: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Member:
    """Another member as this one sees it, in protocol time."""

    record: Record
    liveness_since_ms: float  # last change between live and not live
    reporter: str  # the member that set the record's state
    last_heard_ms: float | None = None  # last message from the member itself; None: never
    sequence_boot: int = -1  # boot to which newest_sequence belongs
    newest_sequence: int = -1
    past_boots: tuple[int, ...] = ()  # of earlier processes of this name
    suspicion: Suspicion | None = None
    initial_age_ms: float = 0.0  # how long it had been dead when its record arrived


@dataclass(slots=True)
class Probe:
    """A probe by this member. extra_index: how many probes before it in the same period got no ack in time."""

    number: int
    target: str
    extra_index: int
    helpers_asked: int = 0
    nacks: int = 0
    acked: bool = False
    is_void: bool = False  # this process stalled meanwhile, so a missing ack means nothing


@dataclass(slots=True)
class RelayedProbe:
    """An indirect probe made for another member."""

    requester: Record
    number: int  # of the requester's probe
    target: str
    acked: bool = False


@dataclass(slots=True)
class NameConflict:
    """Another process that claims this member's name."""

    record: Record
    last_heard_ms: float
    probe: int = 0  # number of the last ping sent to it


class Membership:
    """The protocol core. Methods that take `now` return the actions to carry out; on_timer() is to be called after
    next_timer_ms().
    """

    def __init__(
        self,
        fleet: str,
        local_record: Record,
        seeds: tuple[tuple[str, int], ...],
        tuning: Tuning,
        rng: Random,
        floor: int = 1,
    ) -> None:
        """seeds: addresses of the join list; floor: the configured size of the fleet, as in SizeEstimate."""
        self.fleet, self.local_record, self.tuning, self.rng = fleet, local_record, tuning, rng
        self.seeds = tuple(seed for seed in seeds if seed != (local_record.host, local_record.port))
        texts = (fleet, local_record.name, local_record.host, local_record.zone)
        self._max_updates_bytes = (
            MAX_DATAGRAM_BYTES - FIXED_BYTES - MAX_TARGET_BYTES - sum(2 + len(text.encode()) for text in texts)
        )
        self.members: dict[str, Member] = {}  # all others, including the dead that are remembered
        self.digest = local_record.hash()
        self.health, self.gossip, self.size = Health(tuning.health_max), GossipQueue(), SizeEstimate(floor)
        self.history: deque[StateChange] = deque(maxlen=HISTORY_SIZE)
        self.dropped = dict.fromkeys(("foreign", "replayed", "full", "no word"), 0)
        self.displaced = False  # another process holds this name: this one is not a member
        self.stalls = 0
        self.protocol_ms = 0.0
        self._clock_ms = 0.0
        self._last_number = 0  # of a datagram, probe or timer: one sequence for all
        self._last_change_ms = 0.0
        self._last_change_number = 0
        self._equal_digests = 0  # consecutive contacts with a digest equal to the local one
        self._different_digests = 0  # consecutive contacts with another digest
        self._live_count = 1  # including this member
        self._suspected_count = 0
        self._dead_count = 0
        self._probe_order: list[str] = []
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._probes: dict[int, Probe] = {}
        self._relayed_probes: dict[int, RelayedProbe] = {}
        self._conflict: NameConflict | None = None
        self._last_exchange_ms = self._last_displaced_notice_ms = -1e12
        self._actions: list[Action] = []
        self._has_contact = False  # a message or exchange of another member has arrived
        self._join_periods = 0  # periods spent joining, before the name is claimed

    # Time

    def start(self, now: float) -> list[Action]:
        """Start the protocol and join the fleet."""
        self._clock_ms = now
        self._join()
        self._schedule(self.tuning.period_ms * self.rng.uniform(0.1, 1.0), self._on_period)
        return self._finish()

    def next_timer_ms(self) -> float:
        """Time from the last event until on_timer() is due."""
        return max(0.0, self._timers[0][0] - self.protocol_ms) if self._timers else self.tuning.period_ms

    def on_timer(self, now: float) -> list[Action]:
        """Run the timers that are due."""
        self._advance_to(now)
        while self._timers and self._timers[0][0] <= self.protocol_ms:
            heapq.heappop(self._timers)[2]()
        return self._finish()

    def _advance_to(self, now: float) -> None:
        passed_ms = max(0.0, now - self._clock_ms)  # the clock may go back
        self._clock_ms = now
        if self.tuning.detect_stalls and self._timers:
            due_ms = max(self._timers[0][0], self.protocol_ms)
            late_ms = self.protocol_ms + passed_ms - due_ms
            if late_ms > self.tuning.ack_fraction * self.tuning.period_ms:
                # After a stop of this process or a jump of its clock, acks are missing and suspicions overdue without
                # any fault of the others. Protocol time skips that span, so that live members are not declared dead.
                self.protocol_ms = due_ms
                self._on_stall(late_ms)
                return
        self.protocol_ms += passed_ms

    def _on_stall(self, late_ms: float) -> None:
        self.stalls += 1
        self.health.adjust(1)
        self._record_change(
            self.local_record.name, self.local_record.state, self.local_record, f"{STALL_REASON} for {late_ms:.0f} ms"
        )
        for probe in self._probes.values():
            probe.is_void = True  # its ack may have been lost meanwhile
        shortest_ms = self.tuning.min_suspicion_ms(self._live_count)
        for name, member in self.members.items():
            if member.suspicion is not None:
                member.suspicion = Suspicion(self.protocol_ms, member.suspicion.accusers)
                self._schedule(shortest_ms, self._suspicion_timeout(name, member.suspicion))

    def _schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._last_number += 1
        heapq.heappush(self._timers, (self.protocol_ms + delay_ms, self._last_number, callback))

    def _finish(self) -> list[Action]:
        actions, self._actions = self._actions, []
        self.size.update(
            SizeSample(
                0 if self.displaced else self._live_count,
                self._suspected_count,
                self._dead_count,
                self.protocol_ms - self._last_change_ms,
                self._equal_digests,
                self.health.score,
                self._has_contact or not self.seeds,
            ),
            self.tuning.settle_ms(self._live_count),
        )
        return actions

    # Protocol period

    def _on_period(self) -> None:
        tuning, period_ms = self.tuning, self.tuning.period_ms
        self._schedule(period_ms * self.health.multiplier, self._on_period)
        if self._conflict is not None:
            self._check_name_conflict(self._conflict)
        if self.displaced or self.local_record.state is State.LEFT:
            return
        if self.local_record.incarnation == 0:
            # The seeds are asked before the name is claimed, so that it is not taken from a process that holds it.
            self._join_periods += 1
            if self._conflict is None and (not self.seeds or self._join_periods > self.tuning.conflict_periods):
                self._raise_incarnation(1, "no seed answered, starting alone" if self.seeds else "begins")
            else:
                self._join()
            return
        self._probe_next(0)
        self._send_gossip()
        self._schedule(0.5 * period_ms, self._send_gossip)
        self._reconnect()
        self._forget_expired()
        if self._live_count == 1:
            self._join()
        elif self.protocol_ms - self._last_exchange_ms >= tuning.exchange_interval_ms(
            self._live_count
        ) * self.rng.uniform(0.8, 1.2):
            self._start_exchange(self._sample_live(1)[0])

    def _send_gossip(self) -> None:
        """Send gossip beyond the updates on probes: an update must spread faster than a suspicion times out."""
        if self.gossip and self.local_record.state is State.ALIVE and not self.displaced:
            for record in self._sample_live(self.tuning.gossip_fanout):
                self._send(record, Kind.GOSSIP, 0)

    def _probe_next(self, extra_index: int) -> None:
        if (target := self._next_target()) is None:
            return
        self._last_number += 1
        probe = self._probes[self._last_number] = Probe(self._last_number, target.record.name, extra_index)
        self._send(target.record, Kind.PING, probe.number)
        period_ms = self.tuning.period_ms * self.health.multiplier
        self._schedule(self.tuning.ack_fraction * period_ms, lambda: self._request_indirect_probes(probe))
        self._schedule(period_ms, lambda: self._on_probe_end(probe))

    def _on_probe_end(self, probe: Probe) -> None:
        """Evaluate a probe at the end of its period."""
        del self._probes[probe.number]
        member = self.members.get(probe.target)
        if probe.is_void:
            return
        if probe.acked or member is None:
            self.health.adjust(-1)
            return
        # Without even a nack from a helper, the fault is likely on this member's side: its own health score rises.
        # Lifeguard counts each missing nack, which slows down the live members when half of the fleet is dead.
        self.health.adjust(not probe.nacks)
        if member.record.state is State.ALIVE:
            reason = f"no ack, {probe.helpers_asked} helpers asked, {probe.nacks} nacks"
            self._set_record(member, member.record.with_state(State.SUSPECT), self.local_record.name, reason)
        elif member.record.state is State.SUSPECT:
            self._confirm_suspicion(member, self.local_record.name)

    def _next_target(self) -> Member | None:
        """The next member to probe: each live one once a round, in shuffled order (SWIM, section 4.3).

        Suspects that lack confirmations are also probed out of turn; otherwise, confirming a suspicion would take
        longer the larger the fleet is.
        """
        needed = self.tuning.confirmations
        if self._suspected_count and self.rng.random() < min(
            0.5, SUSPECT_PROBES_PER_PERIOD * self._suspected_count / self._live_count
        ):
            unconfirmed = [
                m
                for m in self.members.values()
                if m.suspicion is not None
                and len(m.suspicion.accusers) <= needed
                and self.local_record.name not in m.suspicion.accusers
            ]
            if unconfirmed:
                return self.rng.choice(unconfirmed)
        for _ in range(2 * len(self._probe_order) + 2):
            if not self._probe_order:
                self._probe_order = [name for name, m in self.members.items() if m.record.is_live]
                self.rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self.members.get(self._probe_order.pop())
            if member is not None and member.record.is_live:
                return member
        return None

    def _sample_live(self, count: int, exclude: str = "") -> list[Record]:
        """Random other live members."""
        live = [m.record for name, m in self.members.items() if m.record.is_live and name != exclude]
        return self.rng.sample(live, min(count, len(live)))

    def _request_indirect_probes(self, probe: Probe) -> None:
        member = self.members.get(probe.target)
        if probe.acked or probe.is_void or member is None:
            return
        helpers = self._sample_live(self.tuning.helpers, probe.target)
        probe.helpers_asked = len(helpers)
        for helper in helpers:
            self._send(helper, Kind.PING_REQ, probe.number, probe.target)
        # One probe per period would take long to find many dead members; a member with a poor health score stays slow.
        if probe.extra_index < self.tuning.extra_probes and self.health.score <= 1:
            self._probe_next(probe.extra_index + 1)

    def _reconnect(self) -> None:
        """Ping a dead member now and then, so that partitions merge: each once per period by the whole fleet."""
        dead = [m.record for m in self.members.values() if m.record.state is State.DEAD] if self._dead_count else []
        if dead and self.rng.random() < len(dead) / self._live_count:
            self._last_number += 1
            self._send(self.rng.choice(dead), Kind.PING, self._last_number)
        # Partitions that have forgotten each other merge through seed addresses where no live member is known.
        if not self.seeds or self.rng.random() >= SEED_PINGS_PER_PERIOD / self._live_count:
            return
        known = {(m.record.host, m.record.port) for m in self.members.values() if m.record.is_live}
        if unknown := [seed for seed in self.seeds if seed not in known]:
            self._last_number += 1
            host, port = self.rng.choice(unknown)
            self._actions.append(SendPacket("", host, port, self._build_packet(Kind.PING, self._last_number, None, "")))

    def _forget_expired(self) -> None:
        if self._dead_count == 0 and len(self.members) < self._live_count:
            return
        remember_ms = self.tuning.remember_ms
        for name in [n for n, m in self.members.items() if not m.record.is_live and self._age_ms(m) > remember_ms]:
            member = self.members.pop(name)
            self._dead_count -= member.record.state is State.DEAD
            self.gossip.drop(name)
            self._record_change(name, member.record.state, None, f"not live for {remember_ms:.0f} ms")

    def _age_ms(self, member: Member) -> float:
        return self.protocol_ms - member.liveness_since_ms + member.initial_age_ms

    # Joining and full exchanges

    def _join(self) -> None:
        for host, port in self.rng.sample(self.seeds, min(2, len(self.seeds))):
            self._actions.append(StartExchange("", host, port))

    def _start_exchange(self, record: Record) -> None:
        self._last_exchange_ms = self.protocol_ms
        self._actions.append(StartExchange(record.name, record.host, record.port))

    def full_state(self) -> FullState:
        """All records known, for one side of an exchange."""
        updates = [
            GossipUpdate(m.record, m.reporter, int(self._age_ms(m)) if not m.record.is_live else 0)
            for m in self.members.values()
        ]
        return FullState(self.fleet, self.local_record, self.digest, tuple(updates))

    def on_full_state(self, now: float, full: FullState) -> list[Action]:
        """Merge the other side of an exchange, whichever side started it."""
        self._advance_to(now)
        if full.fleet != self.fleet:
            self.dropped["foreign"] += 1
            return self._finish()
        self._has_contact = True
        if full.source.name == self.local_record.name:
            self._on_name_conflict(full.source)
        else:
            self._on_self_report(full.source)
        for update in full.updates:
            self._merge(update, full.source.name, from_exchange=True)
        if self.local_record.incarnation == 0 and self._conflict is None and not self.displaced:
            self._raise_incarnation(1, f"joined through {full.source.name}")
            self._last_number += 1
            self._send(full.source, Kind.PING, self._last_number)
        return self._finish()

    # Datagrams

    def on_packet(self, now: float, packet: Packet) -> list[Action]:
        """Process a datagram."""
        self._advance_to(now)
        source = packet.source
        if packet.fleet != self.fleet:
            self.dropped["foreign"] += 1
        elif self.local_record.state is State.LEFT:
            pass
        elif source.name == self.local_record.name:
            self._on_name_conflict(source)
            if packet.kind is Kind.PING and packet.target in ("", self.local_record.name):
                self._send(source, Kind.ACK, packet.probe)
        elif self.displaced:
            pass
        elif not self._is_fresh(packet):
            self.dropped["replayed"] += 1
            self._notify_displaced(source)
        else:
            self._has_contact = True
            self._on_self_report(source)
            self._record_sequence(source, packet.sequence)
            for update in packet.updates:
                self._merge(update, source.name, from_exchange=False)
            self._reply(packet)
            self._compare_digest(packet)
        return self._finish()

    def _is_fresh(self, packet: Packet) -> bool:
        """Whether a datagram is not a replay; each sender numbers its datagrams in ascending order."""
        member, boot = self.members.get(packet.source.name), packet.source.boot
        if member is None:
            return True
        if boot in member.past_boots:
            # Two processes claim one name: the earlier one may have raised its incarnation above the later one's.
            return packet.source.incarnation > member.record.incarnation
        # An unknown boot is a new process, whose sequence starts anew.
        return member.sequence_boot != boot or packet.sequence > member.newest_sequence - self.tuning.reorder_window

    def _notify_displaced(self, source: Record) -> None:
        """Tell a process that another one holds its name now, which it may have missed while stopped or cut off.

        At most once per period.
        """
        member = self.members.get(source.name)
        if (
            member is None
            or source.boot not in member.past_boots
            or not member.record.is_live
            or self.protocol_ms - self._last_displaced_notice_ms < self.tuning.period_ms
        ):
            return
        self._last_displaced_notice_ms = self.protocol_ms
        self._last_number += 1
        updates = (GossipUpdate(member.record, member.reporter),)
        packet = Packet(
            self.fleet, Kind.GOSSIP, self.local_record, self._last_number, 0, self.digest, source.name, updates
        )
        self._actions.append(SendPacket("", source.host, source.port, packet))

    def _record_sequence(self, source: Record, sequence: int) -> None:
        member = self.members.get(source.name)
        if member is not None and member.record.boot == source.boot:
            member.newest_sequence = (
                max(member.newest_sequence, sequence) if member.sequence_boot == source.boot else sequence
            )
            member.sequence_boot = source.boot

    def _on_self_report(self, source: Record) -> None:
        """Merge a member's record of itself; incarnation 0 means that it has not claimed its name yet."""
        if source.incarnation == 0:
            return
        self._merge(GossipUpdate(source, source.name), source.name, from_exchange=False)
        member = self.members.get(source.name)
        if member is not None and member.record.boot == source.boot:
            member.last_heard_ms = self.protocol_ms

    def _reply(self, packet: Packet) -> None:
        source = packet.source
        match packet.kind:
            case Kind.PING if packet.target in ("", self.local_record.name):
                self._send(source, Kind.ACK, packet.probe)
            case Kind.PING_REQ:
                known = self.members.get(packet.target)
                if known is None or len(self._relayed_probes) >= MAX_RELAYED_PROBES:
                    self._send(source, Kind.NACK, packet.probe)
                    return
                self._last_number += 1
                number, relayed = self._last_number, RelayedProbe(source, packet.probe, packet.target)
                self._relayed_probes[number] = relayed
                self._send(known.record, Kind.PING, number)
                self._schedule(
                    self.tuning.ack_fraction * self.tuning.period_ms, lambda: self._send_relayed_nack(number)
                )
                self._schedule(self.tuning.period_ms, lambda: self._drop_relayed_probe(number))
            case Kind.ACK:
                relayed = self._relayed_probes.get(packet.probe)  # type: ignore[assignment]
                if relayed is not None and relayed.target == source.name:
                    relayed.acked = True
                    self._send(relayed.requester, Kind.ACK, relayed.number, source.name)
                probe = self._probes.get(packet.probe)
                if probe is not None and probe.target in (source.name, packet.target):
                    probe.acked = True
            case Kind.NACK if packet.probe in self._probes:
                self._probes[packet.probe].nacks += 1

    def _drop_relayed_probe(self, number: int) -> None:
        self._relayed_probes.pop(number, None)

    def _send_relayed_nack(self, number: int) -> None:
        relayed = self._relayed_probes.get(number)
        if relayed is not None and not relayed.acked:
            self._send(relayed.requester, Kind.NACK, relayed.number)

    def _compare_digest(self, packet: Packet) -> None:
        """Start an exchange when other members' digests have differed from the local one several times in a row."""
        if packet.digest == self.digest:
            self._equal_digests, self._different_digests = self._equal_digests + 1, 0
            return
        self._equal_digests, self._different_digests = 0, self._different_digests + 1
        member = self.members.get(packet.source.name)
        gap_ms = self.tuning.mismatch_gap_periods * self.tuning.period_ms
        if (
            member is not None
            and self._different_digests >= self.tuning.digest_mismatches
            and self.protocol_ms - self._last_exchange_ms >= gap_ms
        ):
            self._different_digests = 0
            self._start_exchange(member.record)

    def _send(self, to: Record, kind: Kind, probe: int, target: str = "") -> None:
        known = self.members.get(to.name)
        record = known.record if known and known.record.boot == to.boot else to
        packet = self._build_packet(kind, probe, known.record if known else None, target or to.name)
        self._actions.append(SendPacket(to.name, record.host, record.port, packet))

    def _build_packet(self, kind: Kind, probe: int, to: Record | None, target: str) -> Packet:
        """to: the receiver's record as known here. Unless it is ALIVE, it goes first, for the receiver to refute."""
        self._last_number += 1
        updates, max_bytes = list[GossipUpdate](), self._max_updates_bytes
        if to is not None and to.state is not State.ALIVE and self.tuning.buddy_system:
            member = self.members.get(to.name)
            updates.append(GossipUpdate(to, member.reporter if member else "", 0))
            max_bytes -= updates[0].max_bytes()
        updates += self.gossip.take(max_bytes, self.tuning.gossip_sends(self._live_count), self._with_current_age)
        return Packet(
            self.fleet, kind, self.local_record, self._last_number, probe, self.digest, target, tuple(updates)
        )

    def _with_current_age(self, update: GossipUpdate) -> GossipUpdate:
        member = self.members.get(update.record.name)
        if update.record.is_live or member is None:
            return update
        return GossipUpdate(update.record, update.reporter, int(self._age_ms(member)))

    # Updates about other members

    def _merge(self, update: GossipUpdate, sender: str, from_exchange: bool) -> None:
        """Apply an update if it takes precedence. from_exchange: it came in a full exchange, which holds old deaths."""
        record = update.record
        if record.name == self.local_record.name:
            self._on_record_of_self(record)
            return
        member = self.members.get(record.name)
        if member is None:
            if record.is_live or update.age_ms <= self.tuning.remember_ms:
                self._add_member(record, update, sender, from_exchange)
            return
        old = member.record
        if from_exchange and record.state is State.DEAD and old.is_live and record.rank > old.rank:
            # A partition that was cut off has declared all others dead, which may be alive. Such members are suspected
            # only, for the shortest time, so that they can refute it.
            record = record.with_state(State.SUSPECT)
            if record.rank > old.rank:
                self._set_record(member, record, update.reporter or sender, f"reported dead by {sender}")
            if member.suspicion is not None:
                for i in range(self.tuning.confirmations):
                    self._confirm_suspicion(member, f"{sender}/{i}")
        elif record.rank > old.rank:
            self._set_record(member, record, update.reporter or sender, f"told by {sender}", update.age_ms)
        elif record.rank == old.rank and record.state is State.SUSPECT:
            self._confirm_suspicion(member, update.reporter)

    def _add_member(self, record: Record, update: GossipUpdate, sender: str, from_exchange: bool) -> None:
        if len(self.members) + 1 >= self.tuning.members_max:
            self.dropped["full"] += 1
            return
        member = self.members[record.name] = Member(record.with_state(State.LEFT), self.protocol_ms, sender)
        self._probe_order.insert(self.rng.randrange(len(self._probe_order) + 1), record.name)
        # Most others know what an exchange holds: such an update is sent only twice.
        sent = max(0, self.tuning.gossip_sends(self._live_count) - 2) if from_exchange else 0
        self._set_record(member, record, update.reporter or sender, f"told by {sender}", update.age_ms, True, sent)

    def _set_record(
        self,
        member: Member,
        record: Record,
        reporter: str,
        reason: str,
        age_ms: float = 0.0,
        is_new: bool = False,
        sent: int = 0,
    ) -> None:
        old = member.record
        if not is_new:
            self._update_totals(old, -1)
        self._update_totals(record, 1)
        if is_new or old.is_live != record.is_live:
            member.liveness_since_ms = self.protocol_ms
        if old.boot != record.boot:
            member.past_boots = tuple(boot for boot in (*member.past_boots, old.boot)[-8:] if boot != record.boot)
        member.record, member.reporter, member.initial_age_ms, member.suspicion = record, reporter, age_ms, None
        if record.state is State.SUSPECT:
            # The timeout runs from here; later confirmations shorten it.
            member.suspicion = Suspicion(self.protocol_ms, {reporter})
            timeout_ms = self.tuning.suspicion_ms(self._live_count, 0)
            self._schedule(timeout_ms, self._suspicion_timeout(record.name, member.suspicion))
        if record.is_live or not is_new:
            self.gossip.put(GossipUpdate(record, reporter, 0), sent)
        self._record_change(record.name, None if is_new else old.state, record, reason)

    def _update_totals(self, record: Record, sign: int) -> None:
        """Add a record to the counts and the digest (sign 1), or remove it (sign -1)."""
        self._suspected_count += sign * (record.state is State.SUSPECT)
        self._dead_count += sign * (record.state is State.DEAD)
        if record.is_live:
            self._live_count += sign
            self.digest = (self.digest + sign * record.hash()) & DIGEST_MASK

    def _record_change(self, name: str, previous: State | None, record: Record | None, reason: str) -> None:
        self._last_change_number += 1
        self._last_change_ms, self._equal_digests = self.protocol_ms, 0
        self.history.append(
            StateChange(self._last_change_number, self._clock_ms, self.protocol_ms, name, previous, record, reason)
        )

    def _confirm_suspicion(self, member: Member, accuser: str) -> None:
        """Another member suspects it too (Lifeguard): shorten the timeout, and gossip the confirmation.

        accuser: "NAME/i" where a death reported by NAME supplies all confirmations at once; these are not gossiped.
        """
        suspicion = member.suspicion
        if suspicion is None or accuser in suspicion.accusers or len(suspicion.accusers) > self.tuning.confirmations:
            return
        suspicion.accusers.add(accuser)
        if "/" not in accuser:
            self.gossip.put(GossipUpdate(member.record, accuser, 0))
        ends_ms = suspicion.started_ms + self.tuning.suspicion_ms(self._live_count, len(suspicion.accusers) - 1)
        self._schedule(max(0.0, ends_ms - self.protocol_ms), self._suspicion_timeout(member.record.name, suspicion))

    def _suspicion_timeout(self, name: str, suspicion: Suspicion) -> Callable[[], None]:
        """A timer callback that declares the member dead if this suspicion has lasted long enough."""

        def on_timeout() -> None:
            member = self.members.get(name)
            if member is None or member.suspicion is not suspicion:
                return
            elapsed_ms = self.protocol_ms - suspicion.started_ms
            remaining_ms = self.tuning.suspicion_ms(self._live_count, len(suspicion.accusers) - 1) - elapsed_ms
            if remaining_ms > 1e-6:  # the fleet has grown meanwhile
                self._schedule(remaining_ms, on_timeout)
                return
            confirmed = len(suspicion.accusers) - 1
            self._set_record(
                member,
                member.record.with_state(State.DEAD),
                self.local_record.name,
                f"{SUSPICION_REASON} for {elapsed_ms:.0f} ms, {confirmed} agreed",
            )

        return on_timeout

    # Updates about this member

    def _raise_incarnation(self, incarnation: int, reason: str) -> None:
        """Announce this member as alive under a higher incarnation. Only the process itself does so for its name."""
        if incarnation >= INCARNATION_MAX:
            self.dropped["no word"] += 1
            return
        previous = self.local_record
        self.digest = (self.digest - previous.hash()) & DIGEST_MASK
        self.local_record = Record(
            previous.name, incarnation, previous.boot, State.ALIVE, previous.host, previous.port, previous.zone
        )
        self.digest = (self.digest + self.local_record.hash()) & DIGEST_MASK
        self.gossip.put(GossipUpdate(self.local_record, self.local_record.name, 0))
        self._record_change(self.local_record.name, previous.state, self.local_record, reason)

    def _on_record_of_self(self, record: Record) -> None:
        if self.local_record.state is State.LEFT or record.rank <= self.local_record.rank:
            return
        if record.boot == self.local_record.boot:
            self.health.adjust(1)
            self._raise_incarnation(record.incarnation + 1, f"refuted: called {record.state.name.lower()}")
        elif not record.is_live or (record.host, record.port) == (self.local_record.host, self.local_record.port):
            self._raise_incarnation(record.incarnation + 1, "replaces an earlier process of this name")
        elif self._conflict is None or self._conflict.record.rank < record.rank:
            # Another process may be running under this name: it is pinged, and keeps the name if it replies.
            self._conflict = NameConflict(record, self.protocol_ms)
            self._ping_conflicting(self._conflict)

    def _ping_conflicting(self, conflict: NameConflict) -> None:
        self._last_number += 1
        conflict.probe = self._last_number
        packet = self._build_packet(Kind.PING, conflict.probe, None, self.local_record.name)
        self._actions.append(SendPacket("", conflict.record.host, conflict.record.port, packet))

    def _check_name_conflict(self, conflict: NameConflict) -> None:
        silent_periods = (self.protocol_ms - conflict.last_heard_ms) / self.tuning.period_ms
        if silent_periods > (self.tuning.displaced_periods if self.displaced else 0) + self.tuning.conflict_periods:
            self._conflict, self.displaced = None, False
            highest = max(self.local_record.incarnation, conflict.record.incarnation)
            self._raise_incarnation(highest + 1, "no reply from the other process of this name")
            self._join()
        else:
            self._ping_conflicting(conflict)

    def _on_name_conflict(self, source: Record) -> None:
        """Another process uses this name: the record of higher rank keeps it, the other process yields."""
        if source.boot == self.local_record.boot or source.rank <= self.local_record.rank:
            return  # the other process gets this record in the same way, and yields
        if self._conflict is None or self._conflict.record.boot != source.boot:
            self._conflict = NameConflict(source, self.protocol_ms)
        self._conflict.record, self._conflict.last_heard_ms = source, self.protocol_ms
        if not self.displaced:
            self.displaced = True
            self._record_change(
                self.local_record.name,
                self.local_record.state,
                self.local_record,
                f"name held by another process at {source.host}:{source.port}",
            )

    # Leaving

    def leave(self, now: float) -> list[Action]:
        """Announce that this member leaves, and ignore what comes afterwards. Call again to repeat the announcement."""
        self._advance_to(now)
        if not self.displaced:
            if self.local_record.state is not State.LEFT:
                self.digest = (self.digest - self.local_record.hash()) & DIGEST_MASK
                self.local_record = self.local_record.with_state(State.LEFT)
                self._record_change(self.local_record.name, State.ALIVE, self.local_record, "leaving")
            for record in self._sample_live(max(8, self.tuning.gossip_sends(self._live_count))):
                self._last_number += 1
                self._send(record, Kind.PING, self._last_number)
        return self._finish()

    # Queries

    @property
    def last_sequence(self) -> int:
        """Upper bound of the sequence numbers of datagrams sent so far."""
        return self._last_number

    @property
    def live_records(self) -> list[Record]:
        """Records of the live members, including this one, sorted by name."""
        records = [m.record for m in self.members.values() if m.record.is_live]
        if not self.displaced and self.local_record.state is State.ALIVE and self.local_record.incarnation:
            records.append(self.local_record)
        return sorted(records, key=lambda record: record.name)

    def changes_after(self, number: int) -> tuple[list[StateChange], bool]:
        """Changes after that number, and whether they are complete: older ones are discarded."""
        count = self._last_change_number - number
        changes = list(islice(self.history, max(0, len(self.history) - count), None))
        return changes, count <= len(self.history)
