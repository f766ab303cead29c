"""Calls that the old process of an upgrade still holds, as its successor knows them; no I/O.

One entry a call, from the time at which the old process names it until the call is this process's own or is over.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from sageweir.attempts import Caller
from sageweir.handover import EstablishedCall
from sageweir.messages import Message


class PassedCaller(Caller, Protocol):
    """A caller whose connection the old process has passed on."""

    def send(self, message: Message) -> bool: ...


@dataclass(slots=True)
class PredecessorCall:
    """One call of the old process.

    caller: its connection, if that was passed on; service_class: set while the old process owes the answer; kept: the
    established call as the old process has announced it, to be adopted if that process ends first.
    """

    caller: PassedCaller | None = None
    service_class: str | None = None
    kept: EstablishedCall | None = None


class PredecessorCalls:
    """The table of these calls."""

    def __init__(self) -> None:
        self._calls: dict[str, PredecessorCall] = {}

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._calls

    def unanswered(self) -> list[str]:
        """The calls that the old process has still to answer."""
        return [call_id for call_id, call in self._calls.items() if call.service_class is not None]

    def find(self, call_id: str) -> PredecessorCall | None:
        return self._calls.get(call_id)

    def add_caller(self, call_id: str, caller: PassedCaller, service_class: str | None = None) -> None:
        """The caller's connection was passed on; service_class: of a request without an answer."""
        call = self._calls.setdefault(call_id, PredecessorCall())
        call.caller, call.service_class = caller, service_class

    def keep(self, established: EstablishedCall) -> None:
        """The old process keeps an established call until it ends."""
        self._calls.setdefault(established.call, PredecessorCall()).kept = established

    def remove(self, call_id: str) -> PredecessorCall | None:
        """The call is over, or this process's own from now on."""
        return self._calls.pop(call_id, None)

    def remove_all(self) -> dict[str, PredecessorCall]:
        """The old process has ended; what it still held."""
        calls, self._calls = self._calls, {}
        return calls
