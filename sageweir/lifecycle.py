"""Lifecycle of the process: readiness, and how callers' connections are treated while it drains or stops; no I/O.

Events carry the clock's time (ms). The listeners and connections ask here and keep no state of their own.

    starting --serving--> ready --drain--> draining --resume--> ready;  any --stop--> stopping --end--> ending
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sageweir.limits import Limits


class Phase(Enum):
    """State of the process."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPING = "stopping"
    ENDING = "ending"


class Disposition(Enum):
    """How a caller's connection is to be treated now."""

    KEEP = "keep"
    CLOSE_AFTER_ANSWERS = "close after the outstanding answers"
    REFUSE_NEW = "the same, and refuse new set-ups that may outlast the process"
    CLOSE = "close now"


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """State of a caller's connection.

    owed_answers: requests without an answer; partial_message: an incomplete message was received; has_received: a
    complete message was received; established_calls: calls that were answered on it and have not ended.
    """

    owed_answers: int
    partial_message: bool
    has_received: bool
    opened_at: float
    established_calls: int = 0


@dataclass(frozen=True, slots=True)
class Remaining:
    """Work that is left to a stopping process.

    unanswered: requests; pending_releases: ended calls whose callers were not notified yet; input_pending: a connection
    or request is on its way in.
    """

    unanswered: int
    established_calls: int
    pending_releases: int
    input_pending: bool


class Lifecycle:
    """State machine of the process; a stop is final."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.phase, self.since = Phase.STARTING, 0.0
        self.listener_shared = False  # another process accepts on the same listener

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase, self.since = phase, now

    # Events; operators' commands return the reason if they are refused, otherwise an empty string

    def on_serving(self, now: float) -> None:
        """All listeners are up."""
        if self.phase is Phase.STARTING:
            self._enter(Phase.READY, now)

    def drain(self, now: float) -> str:
        """Send clients away. Granted again during a drain, which keeps its start time."""
        if self.phase in (Phase.STARTING, Phase.STOPPING, Phase.ENDING):
            return str(self.phase.value)
        if self.phase is Phase.READY:
            self._enter(Phase.DRAINING, now)
        return ""

    def resume(self, now: float) -> str:
        """End the drain; also granted without one, as the requested state is reached."""
        if self.phase in (Phase.STARTING, Phase.STOPPING, Phase.ENDING):
            return str(self.phase.value)
        if self.phase is Phase.DRAINING:
            self._enter(Phase.READY, now)
        return ""

    def stop(self, now: float, shared: bool) -> None:
        """Stop the process; shared: another one accepts on the same listener."""
        if self.phase not in (Phase.STOPPING, Phase.ENDING):
            self.listener_shared = shared
            self._enter(Phase.STOPPING, now)

    def end(self) -> None:
        """Refuse all further set-ups, just before the process exits."""
        self.phase = Phase.ENDING

    # Queries

    def is_ready(self) -> bool:
        """Whether new clients may connect."""
        return self.phase is Phase.READY

    def disposition(self, use: ConnectionUse, now: float) -> Disposition:
        """How to treat a caller's connection."""
        age, limits = now - self.since, self.limits
        if self.phase is Phase.DRAINING:
            # A load balancer sends new connections until its next readiness check.
            settle, refuse = limits.drain_settle_ms, limits.drain_refuse_ms
        elif self.phase is Phase.STOPPING and self.listener_shared:
            settle, refuse = 0.0, limits.stop_open_ms
        else:
            return Disposition.KEEP
        if age < settle:
            return Disposition.KEEP
        # Keeps the connection while calls are established on it: a caller that is sent away opens no other one here, so
        # their release could not be delivered. In an upgrade it reconnects to the other process, and on this connection
        # its new set-ups would only be refused.
        if use.owed_answers or use.partial_message or (use.established_calls and not self.listener_shared):
            return Disposition.REFUSE_NEW if age >= refuse else Disposition.CLOSE_AFTER_ANSWERS
        if not use.has_received and now - use.opened_at < limits.fresh_ms:
            return Disposition.REFUSE_NEW if age >= refuse else Disposition.CLOSE_AFTER_ANSWERS
        return Disposition.CLOSE

    def accepts_setup(self, disposition: Disposition, left_ms: float, now: float) -> bool:
        """Whether a new set-up with that much time left is accepted on a connection with that disposition."""
        if self.phase is Phase.ENDING:
            return False
        if disposition is not Disposition.REFUSE_NEW:
            return True
        # In an upgrade the old process still accepts set-ups that it is sure to answer before it is killed, as no other
        # process can answer on that connection.
        return self.listener_shared and now + left_ms <= self.since + self.limits.stop_killed_ms - self.limits.fresh_ms

    def is_past_deadline(self, now: float) -> bool:
        """Whether open calls have to be ended now, as the platform kills this process soon after."""
        return (
            self.phase is Phase.STOPPING
            and not self.listener_shared
            and now - self.since >= self.limits.stop_standing_ms
        )

    def may_exit(self, now: float, remaining: Remaining) -> bool:
        """Whether a stopping process may exit."""
        if self.phase is not Phase.STOPPING or remaining.unanswered:
            return False
        # Requests still arrive for a while after the signal; established calls are released as time allows. In an
        # upgrade they outlive this process, so it must not end them and stays as long as it may.
        age = now - self.since
        if age < self.limits.stop_open_ms:
            return False
        if age >= self.limits.stop_standing_ms:
            return not self.listener_shared or not remaining.established_calls
        return not remaining.established_calls and not remaining.pending_releases and not remaining.input_pending
