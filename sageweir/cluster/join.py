"""Assembles a session controller's fleet membership and the services built on it."""

from __future__ import annotations

import asyncio

from sageweir.clock import Clock, MonotonicClock
from sageweir.cluster.faulty import FaultyClock
from sageweir.cluster.member import FleetMember
from sageweir.config import ClusterConfig
from sageweir.exchange import Exchange
from sageweir.limits import Limits


def build_member(
    loop: asyncio.AbstractEventLoop, limits: Limits, config: ClusterConfig, name: str, exchange: Exchange
) -> FleetMember:
    """Build the member without starting it. Raises ConfigError."""
    clock: Clock = MonotonicClock(loop)
    if config.faults is not None:
        clock = FaultyClock(clock, config.faults)
    module = exchange.controller
    member = FleetMember(clock, limits, config, name, module.settings.controller_count, exchange.on_fleet_size)
    if config.electors:
        from sageweir.cluster.leases.role_handlers import role_handlers_of

        handlers = role_handlers_of(exchange, member)
        if config.changes is not None:
            from sageweir.cluster.changes.messages import ROLE
            from sageweir.cluster.changes.service import RolloutService
            from sageweir.cluster.ledger.service import Ledger

            member.ledger = Ledger(member, exchange, config, config.changes)
            rollouts = member.rollouts = RolloutService(member, exchange, config, config.changes, (member.ledger,))
            handlers[ROLE] = rollouts
        member.enable_leases(handlers)
    return member
