"""Handler of the role `publisher`: its holder publishes snapshots, which the other instances fetch."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from sageweir.cluster.leases.role_handlers import BaseRoleHandler
from sageweir.cluster.member import FleetMember
from sageweir.control.line import ROLE, VersionSequence
from sageweir.control.service import ControlService

log = logging.getLogger("sageweir.control")
PUBLISHED_PAGE, PAGE_BYTES = b"published", 1 << 23  # unpacked at most


class Publisher(BaseRoleHandler):
    """Publishes while this instance holds the role, otherwise fetches what the holder announces in heartbeats."""

    def __init__(self, service: ControlService, fleet: FleetMember) -> None:
        self.fleet, self.adopted = fleet, 0
        self.sequence = service.sequence = VersionSequence(service.store, self._published, service.changed)
        fleet.link.serve_page = self._page

    def _page(self, name: bytes) -> bytes:
        return self.sequence.blob() if name == PUBLISHED_PAGE else b""

    def _published(self) -> None:
        if self.fleet.leases is not None:
            self.fleet.leases.send_heartbeat_now(ROLE)

    def on_acquired(self, now: float, term: int, state: bytes) -> None:
        self.sequence.start_publishing(term)

    def on_lost(self, now: float) -> None:
        self.sequence.stop_publishing()

    def heartbeat(self, now: float) -> bytes | None:
        return msgspec.msgpack.encode(self.sequence.published_version) if self.sequence.published_version else None

    def on_heartbeat(self, now: float, term: int, holder: str, state: bytes) -> None:
        try:
            at = msgspec.msgpack.decode(state, type=tuple[int, int]) if state else ()
        except msgspec.MsgspecError:
            return
        leases = self.fleet.leases
        if (
            at > self.sequence.published_version
            and leases is not None
            and (address := leases.address_of(holder)) is not None
        ):
            self.fleet.link.fetch(*address, PUBLISHED_PAGE, self._fetched)

    def _fetched(self, blob: bytes) -> None:
        leases = self.fleet.leases
        least = leases.fence.highest.get(ROLE, 0) if leases is not None else 0
        if reason := self.sequence.adopt(blob, least, PAGE_BYTES):
            log.info("published snapshot rejected: why=%s", reason)
        else:
            self.adopted += 1

    def show(self, now: float) -> dict[str, Any]:
        return {
            "at": list(self.sequence.published_version),
            "told": list(self.sequence.served_version),
            "taken": self.adopted,
            "feed": self.sequence.feed,
            "refused": self.sequence.refused,
        }
