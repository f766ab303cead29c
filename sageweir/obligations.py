"""Audit of an exchange: what it still owes, and where its state differs from the decision module's."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sageweir.exchange import Exchange


def calls_without_end(exchange: Exchange) -> Iterator[str]:
    """Describe each call, attempt or release that is open, one line each."""
    for call_id, call in exchange.calls.items():
        yield f"call {call_id}: {'established' if call.is_established else 'no final answer'}"
    for call_id, number in exchange.in_flight:
        yield f"call {call_id}: attempt {number} is in flight"
    for call_id in exchange.pending_releases:
        yield f"call {call_id}: its caller was not notified of the release"
    for call_id in exchange.predecessor_calls.unanswered():
        yield f"call {call_id}: to be answered by another process"
    if exchange.unanswered != sum(not call.is_established for call in exchange.calls.values()):
        yield f"{exchange.unanswered} requests counted as unanswered"


def differences_from_module(exchange: Exchange) -> Iterator[str]:
    """Describe each call or attempt that only the decision module knows, one line each."""
    module = exchange.controller
    for call_id in module.calls:
        if call_id not in exchange.calls:
            yield f"call {call_id}: known to the decision module only"
    for call_id in module.waiting:
        if call_id not in exchange.calls:
            yield f"call {call_id}: waiting in the decision module only"
    for server, state in module.servers.items():
        for key in state.in_flight:
            if key not in exchange.in_flight:
                yield f"call {key[0]}: the decision module counts attempt {key[1]} at {server}"
