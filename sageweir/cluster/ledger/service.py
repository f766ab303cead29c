"""Runs the ledger in a member: counts calls, sends rows to owners, holds shards as an owner, and answers questions.

Updates and queries travel over the fleet link, one stream each, with the reply on the same stream. The logic is in
account, owner, sender, reading and watch; the shard map arrives through staged rollouts.
"""

from __future__ import annotations

import json
import logging
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from sageweir.attempts import Request
from sageweir.clock import Timer
from sageweir.cluster import failpoints
from sageweir.cluster.changes.follower import Apply
from sageweir.cluster.changes.messages import ROLE, SHARDS, RolloutLease
from sageweir.cluster.ledger.account import MemberCounts, number_key, tenant_key
from sageweir.cluster.ledger.messages import (
    BUSIEST,
    KINDS,
    MAX_BUSIEST,
    Body,
    Found,
    QueryReply,
    Question,
    RowsUpdate,
    ShardQuery,
    UpdateReply,
)
from sageweir.cluster.ledger.owner import ShardCounts
from sageweir.cluster.ledger.reading import Comparison, DualRead, Reading, Requests, shards_for, target_shards
from sageweir.cluster.ledger.sender import Sender
from sageweir.cluster.ledger.shards import InvalidMapError, ShardMap, diff_maps, read_map, single_shard
from sageweir.cluster.ledger.watch import Watch
from sageweir.cluster.member import FleetMember
from sageweir.config import ChangesConfig, ClusterConfig
from sageweir.exchange import Exchange

log = logging.getLogger("sageweir.cluster")
REQUEST_PREFIX = b"ledger-"
MAX_HELD_SHARDS = 16  # ranges that this member holds as an owner
FRESH_INTERVALS = 8  # a member without an update for so long is reported as missing
RESEND_INTERVALS = 4
TIMEOUT_INTERVALS = 4
MAX_READS = 64  # concurrent questions and dual reads
MAX_KEPT_DISAGREEMENTS = 64
_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Body).decode


class Ledger:
    """The rollout kind `shards`, and the service that uses its shard map."""

    name = SHARDS

    required_dual_reads = 20  # dual reads of each kind of question that must agree before the cut-over

    def __init__(self, fleet: FleetMember, exchange: Exchange, config: ClusterConfig, changes: ChangesConfig) -> None:
        self.fleet, self.exchange, self.clock = fleet, exchange, fleet.clock
        self.me = fleet.membership.local_record
        self.interval_ms = config.period_ms
        self.linger_ms = 2 * changes.permit_ms
        self.rng = Random(self.me.boot ^ 0x1ED6E5)
        self.member_counts = MemberCounts()
        self.sender = Sender(
            self.me.name, self.me.boot, self.member_counts, RESEND_INTERVALS * self.interval_ms, 2 * self.interval_ms
        )
        self.default_map = single_shard(config.electors)
        self.baseline, self.number = self.default_map, 0
        self.candidate: ShardMap | None = None  # map under rollout, on a rollout lease
        self.watch = Watch()
        self.previous: ShardMap | None = None  # baseline before the last cut-over, still served for linger_ms
        self._previous_until = 0.0
        self.shard_counts: dict[tuple[int, int], ShardCounts] = {}
        self.disagreements: list[dict[str, Any]] = []
        self._file = Path(config.state) / f"shards-{self.me.name}.jsonl" if config.state is not None else None
        self.last_answer = ""  # to an operator's question, as JSON
        self._reads = 0
        self._timer: Timer | None = None
        self._next_handler: Callable[[bytes], bytes] | None = None
        self._closed = False

    def start(self) -> None:
        """Start serving requests on the link; requests without this service's prefix go to the previous handler."""
        self._next_handler = self.fleet.link.serve_page
        self.fleet.link.serve_page = self._serve
        self._update_targets()
        self._tick()

    def close(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    # Rollout kind

    def owns(self, data: bytes) -> bool:
        return b'"shards"' in data[: 64 * 1024]

    def check(self, data: bytes) -> str:
        try:
            read_map(data)
        except InvalidMapError as error:
            return str(error)
        return ""

    def apply(self, act: Apply, data: bytes) -> None:
        try:
            shards = read_map(data) if data else self.default_map
        except InvalidMapError as error:
            log.error("shard map not applied: change=%d why=%s", act.number, error)
            return
        kind = self.fleet.failpoint("cut-over" if not act.leased else "take a map up")
        if act.leased:
            self.candidate = shards
            self.watch.begin(act.number)
        else:
            if shards != self.baseline:
                # Other members may still read by the old map for a while.
                self.previous, self._previous_until = self.baseline, self.clock.now() + self.linger_ms
            self.baseline, self.number, self.candidate = shards, act.number, None
            self.watch.end()
        self._update_targets()
        log.info(
            "shard map applied: change=%d shards=%d proven=%s",
            act.number,
            len(shards.shards),
            str(not act.leased).lower(),
        )
        failpoints.operation_done(kind)

    def agreed(self) -> tuple[int, ...]:
        return self.watch.agreed

    def halt_reason(self) -> str:
        return self.watch.why

    def on_lease(self, lease: RolloutLease) -> None:
        pass

    def running_number(self, latest: int) -> int | None:
        return None

    # Counts of this member

    def on_setup(self, request: Request) -> None:
        keys = [number_key(request.key)] if request.key else []
        self.member_counts.on_setup([*keys, tenant_key(request.tenant)] if request.tenant else keys)

    def _established(self) -> Counter[str]:
        found: Counter[str] = Counter()
        for call in self.exchange.calls.values():
            if call.is_established:
                found.update([number_key(call.request.key)] if call.request.key else [])
                found.update([tenant_key(call.request.tenant)] if call.request.tenant else [])
        return found

    def _tick(self) -> None:
        if self._closed:
            return
        self._timer = self.clock.after(self.interval_ms, self._tick)
        now = self.clock.now()
        if self.previous is not None and now >= self._previous_until:
            self.previous = None
            self._update_targets()
        unix = self.exchange.clock.now()
        busy = {number_key(number) for number, until in self.exchange.controller.busy_numbers.items() if until > unix}
        self.member_counts.close_epoch(now, self._established(), busy)
        for owner, update in self.sender.due(now):
            self._send(owner, update, partial(self._on_update_reply, owner, update))
        idle = 20 * self.interval_ms + self.linger_ms
        self.shard_counts = {key: one for key, one in self.shard_counts.items() if now - one.updated_at < idle}
        if self.candidate is not None:
            self._compare(self.watch.sample(self.member_counts.rows, self.rng))

    def _update_targets(self) -> None:
        self.sender.set_targets(target_shards(self.baseline, self.candidate, self.previous))

    def _on_update_reply(self, owner: str, update: RowsUpdate, reply: Body | None) -> None:
        if isinstance(reply, UpdateReply):
            self.sender.on_reply(owner, update, reply)

    # As an owner

    def _live_members(self) -> dict[str, int]:
        return {record.name: record.boot for record in self.fleet.membership.live_records}

    def _serve(self, name: bytes) -> bytes:
        """Answer a request of a member: an update or a query."""
        if not name.startswith(REQUEST_PREFIX):
            return self._next_handler(name) if self._next_handler is not None else b""
        try:
            body = _decode(name[len(REQUEST_PREFIX) :])
        except msgspec.MsgspecError as error:
            log.warning("ledger request dropped, it can't be decoded: why=%s", str(error)[:120])
            return b""
        kind = self.fleet.failpoint(f"receive {body.failpoint}")
        if kind == "lost":
            return b""
        reply = self._answer(body)
        failpoints.operation_done(kind)
        return _encode(reply) if reply is not None else b""

    def _answer(self, body: Body) -> Body | None:
        now, living = self.clock.now(), self._live_members()
        match body:
            case RowsUpdate(first=first, last=last):
                counts = self.shard_counts.get((first, last))
                if counts is None:
                    # Limits the memory that requests for arbitrary ranges can take.
                    if not first < last or len(self.shard_counts) >= MAX_HELD_SHARDS:
                        return UpdateReply(False, 0)
                    counts = self.shard_counts[first, last] = ShardCounts(
                        first, last, FRESH_INTERVALS * self.interval_ms
                    )
                return counts.on_update(now, body, living)
            case ShardQuery(first=first, last=last):
                counts = self.shard_counts.get((first, last))
                return counts.on_query(now, body, living) if counts is not None else QueryReply(False)
        return None

    # Requests to owners

    def _send(self, to: str, body: Body, then: Callable[[Body | None], None]) -> None:
        """Send a request. `then` is called once, with the reply, or with None after a timeout."""
        done = False

        def on_data(data: bytes) -> None:
            nonlocal done
            if done or self._closed:
                return
            try:
                reply = _decode(data) if data else None
            except msgspec.MsgspecError:
                reply = None
            kind = self.fleet.failpoint(f"receive {reply.failpoint if reply is not None else 'NoneType'}")
            if kind == "lost":
                return
            done = True
            then(reply)
            failpoints.operation_done(kind)

        def on_timeout() -> None:
            nonlocal done
            if not done and not self._closed:
                done = True
                then(None)

        self.clock.after(TIMEOUT_INTERVALS * self.interval_ms, on_timeout)
        kind = self.fleet.failpoint(f"send {body.failpoint}")
        data = REQUEST_PREFIX + _encode(body)

        def transmit() -> None:
            if self._closed:
                return
            if to == self.me.name:
                self.clock.soon(lambda: on_data(self._serve(data)))
            elif (address := self.fleet.address_of(to)) is not None:
                self.fleet.link.fetch(*address, data, on_data)

        failpoints.send_with_fault(kind, transmit, partial(self.clock.after, 2 * TIMEOUT_INTERVALS * self.interval_ms))

    # Questions

    def read(self, question: Question, then: Callable[[Reading], None]) -> bool:
        """Ask a question by the baseline map. Returns False if too many questions are in progress."""
        if self._reads >= MAX_READS:
            return False
        reading = Reading(question, shards_for(question, self.baseline.shards))
        self._reads += 1
        self._run(reading, reading.start(), lambda: reading.answer() is not None, lambda: then(reading))
        if self.candidate is not None and self.rng.random() < self.candidate.dual:
            self._compare(question)
        return True

    def _run(
        self, read: Reading | DualRead, out: Requests, is_done: Callable[[], bool], then: Callable[[], None]
    ) -> None:
        ended = False

        def on_reply(number: int, reply: Body | None) -> None:
            nonlocal ended
            if ended:
                return
            post(read.on_reply(number, reply if isinstance(reply, QueryReply) else None))
            if is_done() and not ended:
                ended = True
                self._reads -= 1
                then()

        def post(out: Requests) -> None:
            for number, to, query in out:
                self._send(to, query, partial(on_reply, number))

        post(out)

    def _compare(self, question: Question) -> None:
        """Start dual reads of a question in every range that differs between the maps and that it concerns."""
        if self.candidate is None:
            return
        number, living = self.watch.number, self._live_members()
        for diff in diff_maps(self.baseline, self.candidate):
            if self._reads >= MAX_READS or not shards_for(question, diff.old):
                continue
            dual = DualRead(question, diff, living)
            self._reads += 1
            self._run(
                dual,
                dual.start(),
                lambda dual=dual: dual.compared is not None,  # type: ignore[misc]
                partial(self._compared, number, dual),
            )

    def _compared(self, number: int, dual: DualRead) -> None:
        compared = dual.compared
        if compared is None or self._closed:
            return
        if self.watch.compared(number, compared):
            self._report_disagreement(number, compared)

    def _report_disagreement(self, number: int, compared: Comparison) -> None:
        question = compared.question
        row = {
            "change": number,
            "map": self.number,
            "at": time.time(),
            "kind": question.kind,
            "what": question.subject,
            "most": question.limit,
            "why": compared.why,
            "old": _plain(compared.old),
            "new": _plain(compared.new),
            "vector": {name: [stamp.boot, stamp.epoch] for name, stamp in compared.vector.items()},
        }
        log.error(
            "dual reads disagree: change=%d kind=%s what=%s old=%s new=%s",
            number,
            question.kind,
            question.subject,
            row["old"],
            row["new"],
        )
        self.fleet.write_lease_audit(
            {
                "me": self.me.name,
                "boot": self.me.boot,
                "duty": ROLE,
                "do": "disagreed",
                "term": 0,
                "real_ms": time.monotonic() * 1000,
                **row,
            }
        )
        self.disagreements = [*self.disagreements, row][-MAX_KEPT_DISAGREEMENTS:]
        if self._file is not None:
            try:
                self._file.write_text("".join(json.dumps(one) + "\n" for one in self.disagreements))
            except OSError as error:
                log.warning("disagreements not written to disk: why=%s", error.strerror)

    # Operators

    def asked_by_operator(self, words: list[str]) -> str:
        """Start a question of an operator. Returns an error text, or nothing; the answer follows in `last_answer`."""
        match words:
            case ["ask", kind, *rest] if kind in KINDS:
                what = " ".join(rest)
                try:
                    question = (
                        Question(BUSIEST, "", max(1, min(MAX_BUSIEST, int(what or "10"))))
                        if kind == BUSIEST
                        else Question(kind, what[:MAX_SUBJECT_CHARS])
                    )
                except ValueError:
                    return f"busiest wants how many, got {what!r}"
                self.last_answer = ""
                return "" if self.read(question, self._store_answer) else "too many questions are under way"
        return "change shards wants: ask number|prefix|busiest|tenant WHAT"

    def _store_answer(self, reading: Reading) -> None:
        answer = reading.answer()
        if answer is not None:
            self.last_answer = json.dumps(
                {
                    "found": _plain(answer.found),
                    "complete": answer.complete,
                    "missing": list(answer.missing),
                    "shards": f"{len(answer.vectors)} of {len(reading.shards)}",
                }
            )

    def show(self) -> dict[str, Any]:
        """State shown to operators."""
        return {
            "map": self.number,
            "shards": [[one.first, one.last, list(one.owners)] for one in self.baseline.shards],
            "coming": self.watch.number,
            "coming_shards": [[one.first, one.last, list(one.owners)] for one in self.candidate.shards]
            if self.candidate is not None
            else [],
            "epoch": self.member_counts.epoch,
            "rows": len(self.member_counts.rows),
            "left_out": self.member_counts.left_out,
            "holds": {
                f"{first:x}-{last:x}": {"members": len(one.rows_by_member), "keys": len(one.sums)}
                for (first, last), one in self.shard_counts.items()
            },
            "agreed": dict(self.watch.counts),
            "verdicts": dict(self.watch.verdicts),
            "flaw": self.watch.flaw,
            "disagreements": self.disagreements[-8:],
            "told": self.last_answer,
        }


MAX_SUBJECT_CHARS = 70


def _plain(found: tuple[Found, ...]) -> list[list[Any]]:
    return [[one.key, one.established, one.setups, one.busy] for one in found]
