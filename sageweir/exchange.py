"""Call state machine between callers, the decision module and clearing servers, independent of any wire protocol.

It feeds events to the decision module and executes the actions that the module returns. Whatever the module or a peer
does, a request gets exactly one final answer and has at most one attempt in flight.
"""

from __future__ import annotations

import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from dahliabridge import interface as api
from dahliabridge.adapter import read_report
from dahliabridge.brain import Controller
from sageweir.attempts import (
    Attempt,
    AttemptResult,
    AttemptState,
    Call,
    Caller,
    Presence,
    Request,
    RequestObserver,
    SendDecision,
    ServerTransport,
)
from sageweir.clock import Clock
from sageweir.counters import Counters, RequestResult
from sageweir.handover import EstablishedCall
from sageweir.limits import Limits
from sageweir.messages import Cause
from sageweir.obligations import calls_without_end, differences_from_module
from sageweir.predecessor_calls import PredecessorCalls

log = logging.getLogger("sageweir.exchange")


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """The end of a call that its caller must be notified of; until: when that is given up.

    announced: the other process of an upgrade was told of the call, and must learn that it is over.
    """

    call: str
    service_class: str
    caller: Caller
    cause: int
    until: float
    announced: bool = False


class Exchange:
    """Holds the open calls and their attempts, and drives the decision module."""

    def __init__(self, clock: Clock, limits: Limits, settings: api.Settings, seed: int) -> None:
        self.clock, self.limits = clock, limits
        self.controller = Controller(settings, seed)
        self.servers: ServerTransport | None = None
        # Reports the end of a call that is not open here to the other process of an upgrade; True if it was reported.
        self.notify_other_process: Callable[[str, int, bool], bool] | None = None
        self.predecessor_calls = PredecessorCalls()
        self.calls: dict[str, Call] = {}
        self.unanswered = 0
        self.open_request_bytes = 0  # of all calls, as callers have said them
        self.pending_releases: dict[str, PendingRelease] = {}  # ended calls whose caller was not notified yet
        # Reports to the other process of an upgrade that a call was sent to a server; None if there is none.
        self.report_sent_call: Callable[[str], None] | None = None
        self._sent_elsewhere: OrderedDict[str, None] = OrderedDict()  # calls that the other process has sent
        self.counters = Counters(c.name for c in settings.classes)
        self.observer: RequestObserver | None = None
        # Upper bound of the time for which the input of this loop turn waited to be read.
        self.input_delay_ms: Callable[[], float] = lambda: 0.0
        self.in_flight: dict[tuple[str, int], Attempt] = {}
        self._ended_ids: OrderedDict[str, bool] = OrderedDict()  # ended calls, oldest first; whether a server had them
        self._inbox: deque[api.Event] = deque()
        self._scheduled = False

    # Events to the decision module and its actions

    def _post(self, event: api.Event) -> None:
        # Events wait until all input of this loop turn has been processed, while list changes are handled at once
        # (on_list_change): otherwise a send could be decided on an outdated server list.
        self._inbox.append(event)
        if not self._scheduled:
            self._scheduled = True
            self.clock.soon(self._process_inbox)

    def on_fleet_size(self, members: int) -> None:
        """The number of session controllers that are, or may be, in the fleet has changed."""
        self._post(api.FleetSize(members))

    def test_server(self, server: str, done: Callable[[bool], None]) -> None:
        """Send a protocol-level test to a clearing server; `done` is called once, with whether it passed in time."""
        if self.servers is None:
            done(False)
        else:
            self.servers.test_server(server, done)

    def on_peer_event(self, event: api.SlowStartAllotment | api.ProbeResult | api.RulesChanged) -> None:
        """Pass on what another session controller did, or decided for the whole fleet."""
        self._post(event)

    def _process_inbox(self) -> None:
        self._scheduled = False
        while self._inbox:
            self._handle(self._inbox.popleft())

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.controller.handle(event, self.clock.now())
        except Exception:  # an error in one call ends only that call
            log.exception("decision module failed on event %r", event)
            call = getattr(event, "call", None)
            if isinstance(call, str):
                self._fail_unanswered_call(call)
            elif isinstance(event, api.TimerFired):
                self._set_timer(event.timer, 100.0)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # the remaining actions, of timers and other calls, must still run
                log.exception("action %r failed", action)
                call = getattr(action, "call", None)
                if isinstance(call, str):
                    self._fail_unanswered_call(call)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send(call_id, server, timeout_ms, rules):
                if self.observer is not None:
                    self.observer.on_attempt(call_id, server, rules)
                self._send(call_id, server, timeout_ms)
            case api.Refuse(call_id, wait_ms):
                self._give_final_answer(
                    call_id, RequestResult.DECLINED, lambda call: call.caller.refuse(call_id, wait_ms)
                )
            case api.Fail(call_id):
                self._give_final_answer(call_id, RequestResult.ABORTED, lambda call: call.caller.fail(call_id))
            case api.Cancel(call_id, number):
                self._cancel(call_id, number)
            case api.SetTimer(timer, after_ms):
                self._set_timer(timer, after_ms)
            case api.Note(text):
                log.info("%s", text)
            case api.MessagePeer():
                log.debug("peer message dropped: there are no peers in this process")

    def _set_timer(self, timer: int, after_ms: float) -> None:
        self.clock.after(after_ms, lambda: self._post(api.TimerFired(timer)))

    def _send(self, call_id: str, server: str, timeout_ms: float) -> None:
        call, now = self.calls.get(call_id), self.clock.now()
        number = call.attempt_count if call else 0
        if call is None or self.servers is None:  # the caller has ended it in this turn
            self._post(api.AttemptEnded(call_id, number, server, api.Outcome.NOT_SENT, 0.0, True))
            return
        call.attempt_count += 1
        if call.current_attempt is not None or now < call.not_before or number >= self.limits.max_attempts:
            # Enforces at most one attempt in flight, the release guard and the attempt limit, whatever the module asks.
            log.error("call %s: attempt %d to %s rejected by the attempt rules", call_id, number, server)
            self._post(api.AttemptEnded(call_id, number, server, api.Outcome.NOT_SENT, 0.0, False))
            return
        attempt = Attempt(call.request, number, server, now, timeout_ms)
        call.current_attempt = self.in_flight[call_id, number] = attempt
        attempt.timer = self.clock.after(timeout_ms, lambda: self._on_attempt_timeout(attempt))
        self.servers.send(attempt)

    def send_decision(self, attempt: Attempt) -> SendDecision:
        """Decide whether an attempt may be written now; to be asked immediately before the set-up is written.

        Prevents a set-up from being sent for a caller that closed or cancelled while the event loop was blocked, or
        while the attempt waited for a connection.
        """
        call_id = attempt.request.call
        call = self.calls.get(call_id)
        if (
            attempt.state is not AttemptState.IN_FLIGHT
            or call is None
            or call.current_attempt is not attempt
            or self.time_left_ms(attempt) < 1.0
        ):
            return SendDecision.DROP
        presence = call.caller.presence()
        if presence is Presence.DISCONNECTED:
            log.info("call %s: caller has closed its connection, attempt to %s not sent", call_id, attempt.server)
            self.on_caller_release(call_id)
            call.caller.fail(call_id)  # after a half-close it can still read
            return SendDecision.DROP
        if presence is Presence.SENDING:
            return SendDecision.AWAIT_INPUT
        if presence is Presence.UNREAD_INPUT and attempt.deferrals < self.limits.send_deferrals:
            attempt.deferrals += 1
            return SendDecision.DEFER
        return SendDecision.SEND

    def send_once_read(self, attempt: Attempt) -> None:
        """Send an attempt once its caller's input has been read; does nothing if it is over by then."""
        call, servers = self.calls.get(attempt.request.call), self.servers
        if call is not None and servers is not None:
            call.caller.when_read(lambda: servers.send(attempt))

    def on_attempt_written(self, attempt: Attempt) -> None:
        """The set-up was handed to a connection: the server may execute it."""
        attempt.written = True
        if self.report_sent_call is not None:
            self.report_sent_call(attempt.request.call)

    def time_left_ms(self, attempt: Attempt) -> float:
        """Time until the attempt's timeout."""
        return attempt.sent_at + attempt.timeout_ms - self.clock.now()

    def _cancel(self, call_id: str, number: int) -> None:
        attempt = self.in_flight.get((call_id, number))
        if attempt is not None and self.servers is not None:
            self._close_attempt(
                attempt, AttemptResult(api.Outcome.CANCELLED if attempt.written else api.Outcome.NOT_SENT)
            )
            self.servers.abandon(attempt)

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if attempt.state is AttemptState.IN_FLIGHT and self.servers is not None:
            # Nothing can have run for an attempt that was never written, so no release guard is needed.
            outcome = api.Outcome.TIMED_OUT if attempt.written else api.Outcome.CONNECT_FAILED
            self._close_attempt(attempt, AttemptResult(outcome))
            self.servers.abandon(attempt)

    def _close_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt; the module is notified once."""
        if attempt.state is AttemptState.ENDED:
            return
        attempt.state = AttemptState.ENDED
        call_id, now = attempt.request.call, self.clock.now()
        self.in_flight.pop((call_id, attempt.number), None)
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.written and call_id in self._ended_ids:
            self._ended_ids[call_id] = True
        call = self.calls.get(call_id)
        if call is not None and call.current_attempt is attempt:
            call.current_attempt = None
            call.was_sent_before |= attempt.written
            if result.outcome in (api.Outcome.TIMED_OUT, api.Outcome.RESET, api.Outcome.CANCELLED):
                call.not_before = now + self.limits.guard_ms
        rate, share = read_report(result.report)
        self._post(
            api.AttemptEnded(
                call_id,
                attempt.number,
                attempt.server,
                result.outcome,
                now - attempt.sent_at,
                call is None,
                max_rate=rate,
                hold_back=share,
            )
        )

    def _give_final_answer(self, call_id: str, result: RequestResult, send_answer: Callable[[Call], bool]) -> None:
        """Give the final answer unless one was given."""
        call = self.calls.get(call_id)
        if call is None or call.is_established:
            return
        self._remove_call(call_id)
        self._count_result(call.request, result)
        try:
            send_answer(call)
        finally:
            if call.current_attempt is not None:
                self._cancel(call_id, call.current_attempt.number)

    def _count_result(self, request: Request, result: RequestResult) -> None:
        self.counters.count_result(request.service_class, result)
        if self.observer is not None:
            self.observer.on_final_answer(request, result)

    def _remove_call(self, call_id: str) -> None:
        call = self.calls.pop(call_id, None)
        if call is None:
            return
        if not call.is_established:
            self.unanswered -= 1
        self.open_request_bytes -= call.request.size
        if call.watchdog is not None:
            call.watchdog.cancel()
        call.caller.forget_call(call_id)
        self._ended_ids[call_id] = call.was_sent
        if len(self._ended_ids) > self.limits.kept_ids:
            self._ended_ids.popitem(last=False)

    def _fail_unanswered_call(self, call_id: str) -> None:
        """Fail a call without a decision of the module, which is notified that the caller is gone."""
        call = self.calls.get(call_id)
        if call is not None and not call.is_established:
            self._give_final_answer(call_id, RequestResult.ABORTED, lambda c: c.caller.fail(call_id))
            self._post(api.CallerGone(call_id))

    def _on_answer_overdue(self, call_id: str) -> None:
        # Last resort in case the module never decides on a request. Queued events go first: an attempt timeout that is
        # due in the same loop turn is the module's to decide on.
        self._process_inbox()
        call = self.calls.get(call_id)
        if call is not None and not call.is_established:
            log.warning(
                "call %s: failed, undecided near its deadline: time limit %.0f ms, %d attempts",
                call_id,
                call.request.time_left_ms,
                call.attempt_count,
            )
            self._fail_unanswered_call(call_id)

    # Events from callers

    def on_setup_request(self, request: Request, caller: Caller, turned_away: bool = False) -> bool:
        """Accept or refuse a set-up; False if its id is in use, in which case only the first set-up is answered.

        turned_away: refuse it at once, as callers are being sent to other controllers.
        """
        call_id = request.call
        if self._is_known(call_id):
            log.warning("call %s: duplicate set-up not accepted, the id is in use or was used", call_id)
            return False
        if turned_away or self._is_full(request):
            log.warning(
                "call %s: refused: %s",
                call_id,
                "callers are being sent to other controllers"
                if turned_away
                else f"{len(self.calls)} calls open, of {self.open_request_bytes} bytes",
            )
            self.counters.count_result(request.service_class, RequestResult.DECLINED)
            caller.refuse(call_id, 0.0)
            return True
        # After the event loop was blocked, the caller has already waited for that time.
        delay = self.input_delay_ms()
        if delay >= self.limits.stalled_ms:
            request = replace(request, time_left_ms=max(0.0, request.time_left_ms - delay))
        call = Call(request, caller)
        self.calls[call_id] = call
        self.unanswered += 1
        self.open_request_bytes += request.size
        if self.observer is not None:
            self.observer.on_request(request)
        call.watchdog = self.clock.after(
            request.time_left_ms - self.limits.answer_margin_ms, lambda: self._on_answer_overdue(call_id)
        )
        self._post(
            api.SetupRequest(
                call_id,
                request.service_class,
                request.time_left_ms,
                request.first_choice,
                request.key,
                request.tenant,
                was_dropped=request.was_cut,
            )
        )
        return True

    def _is_known(self, call_id: str) -> bool:
        """Whether the call is open, or a clearing server may have run it."""
        return (
            call_id in self.calls
            or call_id in self.predecessor_calls
            or call_id in self._sent_elsewhere
            or self._ended_ids.get(call_id, False)
        )

    def _is_full(self, request: Request) -> bool:
        """Whether the open calls leave no room for another request."""
        return (
            len(self.calls) >= self.limits.open_calls
            or self.open_request_bytes + request.size > self.limits.open_request_bytes
        )

    def fail_request(self, call_id: str) -> None:
        """Fail a request whose connection is about to be closed."""
        self._fail_unanswered_call(call_id)

    def on_caller_release(self, call_id: str, cause: int = Cause.NORMAL) -> bool:
        """The caller ends a call, before or after its answer; False if no such call is open."""
        call = self.calls.get(call_id)
        if call is None:
            if not self.on_unknown_call_end(call_id, cause, by_caller=True):
                log.warning("call %s: release by a caller ignored, the call is unknown", call_id)
            return False
        attempt = call.current_attempt
        if attempt is not None and attempt.state is AttemptState.ESTABLISHED:
            self._remove_call(call_id)
            self._close_attempt(attempt, AttemptResult(api.Outcome.CANCELLED))
            if self.servers is not None:
                self.servers.release(attempt, cause)
            if call.is_announced:
                self._report_over(call_id, cause)
        else:
            self._remove_call(call_id)
            self._post(api.CallerGone(call_id))
            # Cancelled at once instead of on the module's decision, as nothing more may be sent for a caller that is
            # gone. An attempt that was written may have run; it is cancelled only if the platform allows that.
            if attempt is not None and (not attempt.written or self.controller.settings.may_cancel):
                self._cancel(call_id, attempt.number)
        return True

    def outstanding(self) -> int:
        """Number of calls that have not ended: unanswered or established."""
        return len(self.calls) + len(self.predecessor_calls.unanswered())

    def server_counts(self) -> tuple[int, int]:
        """Number of listed clearing servers, and of those that the decision module avoids now."""
        return len(self.controller.servers), len(self.controller.avoided_servers())

    # Handover of calls between an old and a new process

    def sent_calls(self) -> list[str]:
        """The calls that this process has sent to a server, as far as it remembers them."""
        ended = [call_id for call_id, was_sent in self._ended_ids.items() if was_sent]
        return [*ended, *(call_id for call_id, call in self.calls.items() if call.was_sent)]

    def on_calls_sent_elsewhere(self, call_ids: Iterable[str]) -> None:
        """The other process has sent these calls to a server: they may not be run here as well."""
        self._sent_elsewhere.update(dict.fromkeys(call_ids))
        while len(self._sent_elsewhere) > self.limits.kept_ids:
            self._sent_elsewhere.popitem(last=False)

    def on_unknown_call_end(self, call_id: str, cause: int, by_caller: bool) -> bool:
        """A call that is not open here has ended; True if it is known, here or in the other process."""
        return call_id in self._ended_ids or (
            self.notify_other_process is not None and self.notify_other_process(call_id, cause, by_caller)
        )

    def _report_over(self, call_id: str, cause: int) -> None:
        """Report that a call is over which the other process knows, and that its caller needs no notification."""
        if self.notify_other_process is not None:
            self.notify_other_process(call_id, cause, True)

    def forget_announcements(self) -> None:
        """The successor is gone, with what it was told."""
        for call in self.calls.values():
            call.is_announced = False

    def hand_over_calls(self) -> list[EstablishedCall]:
        """Detach the established calls for the successor; the result also names, once, those that stay here.

        Ended calls whose callers were not notified yet go too, as the callers come back to the successor.
        """
        handed_over = [
            EstablishedCall(
                call_id,
                pending.service_class,
                "",
                self.clock.now(),
                pending.caller.host,
                ended_cause=pending.cause,
                release_until=pending.until,
            )
            for call_id, pending in self.pending_releases.items()
        ]
        self.pending_releases.clear()
        for call_id, call in list(self.calls.items()):
            attempt = call.current_attempt
            if attempt is None or not call.is_established or self.servers is None:
                continue
            # A draining server may accept no connection from the successor; only this process would then learn how
            # its calls end.
            kept = not self.servers.detach(attempt)
            if kept and call.is_announced:
                continue
            call.is_announced = kept
            handed_over.append(
                EstablishedCall(
                    call_id, call.request.service_class, attempt.server, attempt.sent_at, call.caller.host, kept
                )
            )
            if not kept:
                # Not added to _ended_ids: messages for it from now on belong to the other process.
                del self.calls[call_id]
                self.open_request_bytes -= call.request.size
                attempt.state = AttemptState.ENDED
                call.caller.forget_call(call_id)
                self._post(api.CallerGone(call_id))
        return handed_over

    def adopt(self, established: EstablishedCall, caller: Caller) -> bool:
        """Take over an established call; False if its server is gone, in which case its caller is notified."""
        call_id = established.call
        if call_id in self.calls:
            return True
        request = Request(call_id, established.service_class, 0.0)
        if established.ended_cause is not None:
            self.notify_caller(
                call_id, caller, established.ended_cause, established.service_class, established.release_until
            )
            return True
        attempt = Attempt(request, 0, established.server, established.since, 0.0, AttemptState.ESTABLISHED)
        if self.servers is None or not self.servers.adopt(attempt):
            self.notify_caller(call_id, caller, Cause.RESET, established.service_class)
            return False
        self.calls[call_id] = Call(request, caller, 1, attempt)
        self.open_request_bytes += request.size
        return True

    def notify_caller(
        self, call_id: str, caller: Caller, cause: int, service_class: str = "", until: float = float("inf")
    ) -> None:
        """Notify the caller of the end of a call of the other process; until: when that is given up."""
        until = min(until, self.clock.now() + self.limits.release_for_ms)
        self._deliver_release(PendingRelease(call_id, service_class, caller, cause, until))

    def on_call_end_elsewhere(self, call_id: str, cause: int, by_caller: bool) -> bool:
        """The other process has learned that a call ended; True if the call is known here."""
        call = self.calls.get(call_id)
        if by_caller and call is not None:
            return self.on_caller_release(call_id, cause)
        if call is None or call.current_attempt is None or not call.is_established or self.servers is None:
            return call_id in self._ended_ids
        attempt = call.current_attempt
        self.servers.discard(attempt)
        self.on_attempt_end(
            attempt, AttemptResult(api.Outcome.RESET if cause == Cause.RESET else api.Outcome.COMPLETED, cause)
        )
        return True

    # Events from clearing servers

    def on_list_change(self, entries: Iterable[api.Server], complete: bool) -> None:
        """The server list has changed; handled before all queued events."""
        self._handle(api.ListChange(tuple(entries), complete))

    def on_server_report(self, server: str, report: Mapping[str, float]) -> None:
        """A clearing server has sent a load report outside any call."""
        self._post(api.ServerReport(server, *read_report(report)))

    def on_answer(self, attempt: Attempt, description: str | None) -> None:
        """A clearing server has answered a set-up: the call is established."""
        call_id = attempt.request.call
        call = self.calls.get(call_id)
        if attempt.state is AttemptState.ESTABLISHED:
            log.warning("call %s: duplicate answer from %s dropped", call_id, attempt.server)
        elif attempt.state is AttemptState.ENDED or call is None or call.current_attempt is not attempt:
            # The attempt was given up: the server's call is released and its answer never delivered.
            log.info("call %s: late answer from %s, releasing the call there", call_id, attempt.server)
            self._close_attempt(attempt, AttemptResult(api.Outcome.CANCELLED))
            if self.servers is not None:
                self.servers.release(attempt, Cause.NORMAL)
        else:
            attempt.state = AttemptState.ESTABLISHED
            self.in_flight.pop((call_id, attempt.number), None)
            self.unanswered -= 1
            for timer in (attempt.timer, call.watchdog):
                if timer is not None:
                    timer.cancel()
            self._post(api.Answered(call_id, attempt.number, attempt.server, self.clock.now() - attempt.sent_at))
            self._forget_description(call, attempt)
            if call.caller.answer(call_id, description):
                self._count_result(call.request, RequestResult.SUCCEEDED)
            else:
                log.info("call %s: released, the answer could not be delivered to its caller", call_id)
                self.on_caller_release(call_id)

    def _forget_description(self, call: Call, attempt: Attempt) -> None:
        """Only attempts that may still be sent need it."""
        self.open_request_bytes -= call.request.size
        call.request = attempt.request = replace(call.request, description=None)
        self.open_request_bytes += call.request.size

    def on_attempt_end(self, attempt: Attempt, result: AttemptResult) -> None:
        """The clearing server has ended an attempt, before or after its answer."""
        if attempt.state is AttemptState.ENDED:
            return
        call_id, was_established = attempt.request.call, attempt.state is AttemptState.ESTABLISHED
        call = self.calls.get(call_id)
        if was_established:
            self._remove_call(call_id)
        self._close_attempt(attempt, result)
        if was_established and call is not None:
            until = self.clock.now() + self.limits.release_for_ms
            self._deliver_release(
                PendingRelease(call_id, call.request.service_class, call.caller, result.cause, until, call.is_announced)
            )

    def _deliver_release(self, pending: PendingRelease) -> None:
        # The caller's connection may be down when its call ends: retried for a while, on any connection of its host.
        call_id = pending.call
        self.pending_releases.pop(call_id, None)
        if pending.caller.release(call_id, pending.cause):
            if pending.announced:
                self._report_over(call_id, pending.cause)
            return
        if self.clock.now() >= pending.until:
            log.warning("call %s: release not delivered, no connection to its caller", call_id)
        else:
            self.pending_releases[call_id] = pending
            self.clock.after(self.limits.release_retry_ms, lambda: self._retry_release(pending))

    def _retry_release(self, pending: PendingRelease) -> None:
        if self.pending_releases.get(pending.call) is pending:  # else the successor has it
            self._deliver_release(pending)

    # Shutdown of the process

    def fail_unanswered(self) -> None:
        """Fail all unanswered requests now."""
        for call_id, call in list(self.calls.items()):
            if not call.is_established:
                log.warning("call %s: failed, this process is stopping", call_id)
                self._fail_unanswered_call(call_id)

    def release_established(self) -> None:
        """End all established calls at both ends, as this process stops."""
        for call_id, call in list(self.calls.items()):
            attempt = call.current_attempt
            if attempt is not None and call.is_established:
                if self.servers is not None:
                    self.servers.release(attempt, Cause.NORMAL)
                self.on_attempt_end(attempt, AttemptResult(api.Outcome.RESET))
                log.info("call %s: released, this process is stopping", call_id)

    def open_obligations(self) -> list[str]:
        """Describe each request or attempt that has not ended, one line each; empty if there is none.

        An audit at the end of the process and of tests; it compares the exchange's state with the module's.
        """
        self._process_inbox()
        return [*calls_without_end(self), *differences_from_module(self)]
