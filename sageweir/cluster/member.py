"""This process as a fleet member: drives the membership core over the link, and notifies the other components."""

from __future__ import annotations

import asyncio
import errno
import logging
import secrets
from collections.abc import Callable, Mapping
from io import FileIO
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import orjson

from sageweir.clock import Clock, Timer
from sageweir.cluster.audit import change_row, snapshot
from sageweir.cluster.failpoints import Failpoint, Failpoints, no_failpoint
from sageweir.cluster.link import Link
from sageweir.cluster.membership import Action, Membership, SendPacket, StateChange
from sageweir.cluster.messages import FullState, Packet, Record, State
from sageweir.cluster.tuning import Tuning
from sageweir.config import ClusterConfig, ConfigError, read_address
from sageweir.limits import Limits

if TYPE_CHECKING:  # loaded only where cluster.json names electors
    from sageweir.cluster.changes.service import RolloutService
    from sageweir.cluster.leases.service import LeaseService, RoleHandler
    from sageweir.cluster.ledger.service import Ledger

log = logging.getLogger("sageweir.cluster")


class AuditFile:
    """Writes rows as JSON lines, until the file reaches max_bytes or a write fails."""

    def __init__(self, path: Path, max_bytes: int) -> None:
        self._bytes_left = max_bytes
        self._file: FileIO | None = None
        try:
            self._file = FileIO(path, "a")
        except OSError as error:
            log.warning("cannot open audit file: file=%s why=%s", path, error.strerror)

    def write(self, row: dict[str, object]) -> None:
        if self._file is None:
            return
        line = orjson.dumps(row) + b"\n"
        self._bytes_left -= len(line)
        try:
            if self._bytes_left >= 0:
                self._file.write(line)
                return
            why = "size limit reached"
        except OSError as error:
            why = str(error.strerror)
        log.warning("audit file closed: why=%s", why)
        self.close()

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None


class FleetMember:
    """Runs the membership protocol. clock: monotonic; on_size: called with each new estimate of the fleet's size."""

    def __init__(
        self, clock: Clock, limits: Limits, config: ClusterConfig, name: str, floor: int, on_size: Callable[[int], None]
    ) -> None:
        """floor: the configured size of the fleet, as in SizeEstimate. Raises ConfigError."""
        if not (1 <= len(name) <= 64 and name.isascii()):
            raise ConfigError(f"name: must have 1 to 64 ASCII characters in a fleet, got {name!r:.80}")
        self.clock, self.limits, self.config, self._on_size = clock, limits, config, on_size
        boot, address = secrets.randbits(60), config.advertise or config.listen
        local_record = Record(name, 0, boot, State.ALIVE, address.host, address.port, config.zone)
        tuning = Tuning(period_ms=config.period_ms, remember_ms=config.remember_ms, members_max=config.members_max)
        seeds = tuple((seed.host, seed.port) for seed in config.join)
        self.membership = Membership(config.fleet, local_record, seeds, tuning, Random(boot), floor)
        self.link = Link(limits, config.via, self._on_packet, self._on_exchange)
        self._audit = AuditFile(config.audit, limits.cluster_audit_bytes) if config.audit is not None else None
        self._last_change = 0  # number of the last state change that was logged and audited
        self._size, self._settled = 0, False  # the last estimate that was reported
        self._dropped = dict(self.membership.dropped)
        self._timer: Timer | None = None
        self._closed = self._waits_for_port = False
        self.leases: LeaseService | None = None
        self.rollouts: RolloutService | None = None
        self.ledger: Ledger | None = None
        self.failpoints = Failpoints(config.faults) if config.faults is not None else None
        self.failpoint: Failpoint = self.failpoints if self.failpoints is not None else no_failpoint
        self._lease_audit: AuditFile | None = None

    def enable_leases(self, handlers: Mapping[str, RoleHandler]) -> None:
        """Set up leader leases for the given roles; handlers: what each role does. Raises ConfigError."""
        from sageweir.cluster.leases.service import Identity, LeaseService
        from sageweir.cluster.leases.wire import MAGIC

        local, audit = self.membership.local_record, self.config.audit
        if audit is not None:
            self._lease_audit = AuditFile(audit.with_name(audit.name + ".duties"), self.limits.cluster_audit_bytes)
        self.leases = LeaseService(
            self.clock,
            self.limits,
            self.config,
            Identity(self.config.fleet, local.name, local.boot, local.host, local.port),
            handlers,
            self.link.send_bytes,
            self._find_address,
            lambda: [record.name for record in self.membership.live_records],
            self.write_lease_audit,
            self.failpoint,
        )
        self.link.envelope_handler = (MAGIC, self.leases.on_datagram)

    def write_lease_audit(self, row: dict[str, object]) -> None:
        """Write a row to the audit file of leases, if there is one."""
        if self._lease_audit is not None:
            self._lease_audit.write(row)

    def address_of(self, name: str) -> tuple[str, int] | None:
        """The address of a member, live or not, as the membership knows it."""
        return self._find_address(name)

    def _find_address(self, name: str) -> tuple[str, int] | None:
        member = self.membership.members.get(name)
        return (member.record.host, member.record.port) if member is not None else None

    async def start(self) -> None:
        """Bind the port and join the fleet. While another process holds the port, as in an upgrade, this is retried."""
        try:
            await self.link.listen(self.config.listen)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise ConfigError(f"cluster.json: listen: cannot listen: {error.strerror or error}") from None
            if not self._waits_for_port:
                log.warning("the fleet's port is taken, will retry: listen=%s", self.config.listen)
            self._waits_for_port = True
            self._timer = self.clock.after(self.limits.cluster_listen_ms, self._retry_start)
            return
        log.info(
            "joining the fleet: fleet=%s name=%s listen=%s boot=%d",
            self.config.fleet,
            self.membership.local_record.name,
            self.config.listen,
            self.membership.local_record.boot,
        )
        self._perform(self.membership.start(self.clock.now()))
        if self.leases is not None:
            self.leases.start()
        if self.rollouts is not None:
            self.rollouts.start()
        if self.ledger is not None:
            self.ledger.start()

    def _retry_start(self) -> None:
        if not self._closed:
            self._starting = asyncio.ensure_future(self.start())

    # Events

    def _on_packet(self, packet: Packet) -> None:
        if not self._closed:
            self._perform(self.membership.on_packet(self.clock.now(), packet))

    def _on_exchange(self, full: FullState) -> FullState:
        reply = self.membership.full_state()
        self._on_full_state(full)
        return reply

    def _on_full_state(self, full: FullState) -> None:
        if not self._closed:
            self._perform(self.membership.on_full_state(self.clock.now(), full))

    def _on_timer(self) -> None:
        self._timer = None
        self._perform(self.membership.on_timer(self.clock.now()))

    def leave(self) -> None:
        """Announce to the others that this process leaves, so that they need not detect it as a failure."""
        if not self._closed and self.link.transport is not None:
            self._perform(self.membership.leave(self.clock.now()))

    def release_leases(self) -> str:
        """Transfer all leases held here and acquire none. Returns the reason of a refusal; this is never refused."""
        if self.leases is not None and not self._closed:
            self.leases.step_down()
        return ""

    def resume_leases(self) -> str:
        """Acquire leases again."""
        if self.leases is not None:
            self.leases.resume()
        return ""

    @property
    def leases_released(self) -> bool:
        """Whether no lease is held or being transferred here."""
        return self._closed or self.leases is None or self.leases.all_released

    def close_when_released(self) -> None:
        """Close as soon as no lease is held; a transfer takes a fraction of a lease at most."""
        if self.leases_released:
            self.close()
        else:
            self.clock.after(5.0, self.close_when_released)

    def close(self) -> None:
        """Close without leaving: the others detect it, or a successor at the same address continues."""
        if self.ledger is not None:
            self.ledger.close()
        if self.rollouts is not None:
            self.rollouts.close()
        if self.leases is not None:
            self.leases.close()
        if self._lease_audit is not None:
            self._lease_audit.close()
        if self._timer is not None:
            self._timer.cancel()
        self._closed = True
        self.link.close()
        if self._audit is not None:
            self._audit.close()

    # Actions and reports

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPacket):
                self.link.send(action.host, action.port, action.packet)
            else:
                self.link.exchange(action.host, action.port, self.membership.full_state(), self._on_full_state)
        self._report_changes()
        if self._timer is not None:
            self._timer.cancel()
        if not self._closed:
            self._timer = self.clock.after(self.membership.next_timer_ms() + 0.5, self._on_timer)

    def _report_changes(self) -> None:
        changes, complete = self.membership.changes_after(self._last_change)
        if not complete:
            log.warning("state changes missing from the audit: from=%d", self._last_change + 1)
        for change in changes:
            self._last_change = change.number
            self._log_change(change)
            if self._audit is not None:
                self._audit.write(change_row(self.membership.local_record, change))
        size = self.membership.size
        if (size.members, size.settled) != (self._size, self._settled):
            log.info(
                "the fleet: size=%d settled=%s living=%d",
                size.members,
                str(size.settled).lower(),
                len(self.membership.live_records),
            )
            if size.members != self._size:
                self._on_size(size.members)
            self._size, self._settled = size.members, size.settled
        for why, count in self.membership.dropped.items():
            if count != self._dropped[why]:
                self._dropped[why] = count
                log.warning("message dropped: why=%s so_far=%d", why, count)

    def _log_change(self, change: StateChange) -> None:
        previous = "none" if change.previous is None else change.previous.name.lower()
        if (record := change.record) is None:
            log.info("member=%s before=%s state=forgotten why=%r", change.name, previous, change.reason)
            return
        log.info(
            "member=%s before=%s state=%s incarnation=%d address=%s:%d zone=%s why=%r",
            change.name,
            previous,
            record.state.name.lower(),
            record.incarnation,
            record.host,
            record.port,
            record.zone,
            change.reason,
        )

    def show(self) -> str:
        """The reply to show-cluster: one line of JSON, and the end marker."""
        shown = snapshot(self.membership) | {
            "own_ms": round(self.membership.protocol_ms, 1),
            "period_ms": self.membership.tuning.period_ms,
            "unreadable": self.link.unreadable,
            "unsent": self.link.unsent,
        }
        if self.leases is not None:
            shown |= self.leases.show()
        if self.failpoints is not None:
            shown["points"] = self.failpoints.show()
        if self.rollouts is not None:
            shown["changes"] = self.rollouts.rollout_status()
        if self.ledger is not None:
            shown["shards"] = self.ledger.show()
        return orjson.dumps(shown).decode() + "\nEOT"

    # Operators' commands: each returns the reason of a refusal, or an empty text

    def transfer_command(self, arguments: list[str]) -> str:
        """hand-over DUTY [MEMBER]: transfer a lease."""
        if self.leases is None:
            return "no electors are named in cluster.json"
        if not 1 <= len(arguments) <= 2:
            return "hand-over wants a duty, and a member if it matters which"
        return self.leases.request_transfer(arguments[0], arguments[1] if len(arguments) > 1 else "")

    def rollout_command(self, arguments: list[str]) -> str:
        """change propose KIND FILE, change go, change halt [WHY], or change shards ask KIND WHAT."""
        if self.rollouts is None or self.ledger is None:
            return "cluster.json has no `changes`"
        if arguments[:1] == ["shards"]:
            return self.ledger.asked_by_operator(arguments[1:])
        return self.rollouts.run_operator_command(arguments)

    def voters_command(self, arguments: list[str]) -> str:
        """electors add NAME HOST:PORT, or electors remove NAME."""
        if self.leases is None:
            return "no electors are named in cluster.json"
        match arguments:
            case ["add", name, host_port]:
                try:
                    address = read_address(host_port, "address")
                except ConfigError as error:
                    return str(error)
                return self.leases.change_voters(name, str(address))
            case ["remove", name]:
                return self.leases.change_voters(name, None)
        return "electors wants: add NAME HOST:PORT, or remove NAME"
