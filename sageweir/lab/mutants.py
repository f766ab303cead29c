"""Views with a mutant each, and two plainer ways to know a fleet: what checks and figures are held against."""

from __future__ import annotations

from msgspec import structs

from sageweir.cluster.membership import Action, Member, Membership
from sageweir.cluster.messages import GossipUpdate, Kind, Packet, Record, State


class NoRefutation(Membership):
    """Does not contradict when it is called dead."""

    def _on_record_of_self(self, record: Record) -> None:
        if record.boot != self.local_record.boot:
            super()._on_record_of_self(record)


class SameIncarnation(Membership):
    """Contradicts without raising its incarnation."""

    def _raise_incarnation(self, incarnation: int, why: str) -> None:
        super()._raise_incarnation(self.local_record.incarnation if why.startswith("refuted") else incarnation, why)


class DeadNotCalled(Membership):
    """Never calls the dead again, nor the join list."""

    def _reconnect(self) -> None:
        pass


class BuriesAfterStops(Membership):
    """Does not notice that it stood still: suspicions that ran out meanwhile bury their members."""

    def _on_stall(self, late: float) -> None:
        self.protocol_ms += late


class NoSuspicion(Membership):
    """Takes whoever does not answer for dead."""

    def _set_record(
        self, member: Member, record: Record, by: str, why: str, age_ms: float = 0.0, first: bool = False, sent: int = 0
    ) -> None:
        if record.state is State.SUSPECT and by == self.local_record.name:
            record = record.with_state(State.DEAD)
        super()._set_record(member, record, by, why, age_ms, first, sent)


class OldWordsCount(Membership):
    """Believes whatever it hears last."""

    def _merge(self, news: GossipUpdate, sender: str, from_exchange: bool) -> None:
        member = self.members.get(news.record.name)
        if member is not None and news.record.rank < member.record.rank and news.record.incarnation:
            self._set_record(member, news.record, news.reporter, f"told by {sender}", news.age_ms)
        else:
            super()._merge(news, sender, from_exchange)


class RaisesOthers(Membership):
    """Raises another's incarnation to have the last word."""

    def _set_record(
        self, member: Member, record: Record, by: str, why: str, age_ms: float = 0.0, first: bool = False, sent: int = 0
    ) -> None:
        if record.state is State.SUSPECT and by == self.local_record.name:
            record = structs.replace(record, incarnation=record.incarnation + 1)
        super()._set_record(member, record, by, why, age_ms, first, sent)


class DigestForgets(Membership):
    """Leaves what it doubts in the digest as it was."""

    def _update_totals(self, record: Record, by: int) -> None:
        digest = self.digest
        super()._update_totals(record, by)
        if record.state is State.SUSPECT:
            self.digest = digest


class StrangersWelcome(Membership):
    """Does not look at the fleet's name."""

    def on_packet(self, now: float, packet: Packet) -> list[Action]:
        return super().on_packet(
            now,
            Packet(
                self.fleet,
                packet.kind,
                packet.source,
                packet.sequence,
                packet.probe,
                packet.digest,
                packet.target,
                packet.updates,
            ),
        )


class NeverYields(Membership):
    """Fights another process for its name."""

    def _on_name_conflict(self, source: Record) -> None:
        if source.boot != self.local_record.boot and source.rank > self.local_record.rank:
            self._raise_incarnation(source.incarnation + 1, "mine")


MUTANTS: dict[str, type[Membership]] = {
    "refutation is off": NoRefutation,
    "the incarnation is not raised": SameIncarnation,
    "the dead are never called again": DeadNotCalled,
    "a stop of its own is not noticed": BuriesAfterStops,
    "no suspicion before death": NoSuspicion,
    "old words count": OldWordsCount,
    "another's incarnation is raised": RaisesOthers,
    "the digest leaves out suspicion": DigestForgets,
    "strangers are taken in": StrangersWelcome,
    "a name is fought for": NeverYields,
}


class Heartbeats(Membership):
    """All-to-all heartbeats: each tells each every period, and whoever is silent for `patience` periods is dead.

    Joins, exchanges and records are the view's own; nobody suspects, and a heartbeat brings the dead back to life.
    """

    patience = 10.0

    def _on_period(self) -> None:
        super()._on_period()
        if self.local_record.incarnation == 0:
            return
        for member in self.members.values():
            self._send(member.record, Kind.GOSSIP, 0)
            silent = self.protocol_ms - max(member.liveness_since_ms, member.last_heard_ms or 0.0)
            if member.record.is_live and silent > self.patience * self.tuning.period_ms:
                self._set_record(
                    member,
                    member.record.with_state(State.DEAD),
                    self.local_record.name,
                    f"suspected for {silent:.0f} ms, 0 agreed",
                )

    def _on_self_report(self, source: Record) -> None:
        member = self.members.get(source.name)
        if member is not None and not member.record.is_live and member.record.incarnation == source.incarnation:
            self._set_record(member, source, source.name, f"told by {source.name}")
        super()._on_self_report(source)

    def _merge(self, news: GossipUpdate, sender: str, from_exchange: bool) -> None:
        if news.record.state is State.ALIVE or news.record.state is State.LEFT:  # each judges for itself
            super()._merge(news, sender, from_exchange)

    def _send_gossip(self) -> None:
        pass

    def _next_target(self) -> Member | None:
        return None

    def _reconnect(self) -> None:
        pass
