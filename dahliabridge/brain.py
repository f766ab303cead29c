"""Decides which call set-ups go to which clearing server, when, and which are refused. Does no I/O.

Each session controller has one Controller. Its types are in dahliabridge/interface.py, its design is in
docs/design.md.
"""

from __future__ import annotations

import random
from math import ceil, inf

from dahliabridge import interface as api
from dahliabridge.recent_numbers import RecentNumbers

# Values marked SEDA are those of the adaptive overload controller of Welsh and Culler (USITS 2003).

# Intervals apply at this shortest objective and shrink in proportion below it: calls that must be established
# sooner need faster control, as queues build and clear within the objective.
REFERENCE_OBJECTIVE_MS = 1200.0

# Rate controller
SMOOTHING = 0.7  # weight of the old value in a moving average; SEDA
PERCENTILE = 0.9  # of the set-up delays; SEDA
MIN_EVENTS = 4.0  # a rate is averaged over at least this many events
MAX_SPAN = 4.0  # in control runs: the most that one run may stand for
INCREASE_BELOW = -0.5  # a rate increases while the relative error is below this; SEDA
INCREASE_GAIN_PER_S = 0.28  # as a fraction of the even arrival rate
INCREASE_OFFSET = 0.1  # SEDA
DECREASE_DIVISOR = 1.2  # SEDA, whose 10 for lower classes is too rough on few samples
MISSES_BEFORE_DECREASE = 20  # with all lower classes at the minimum rate; SEDA
MIN_RATE_PER_S = 0.3  # set-ups over all session controllers; SEDA's 0.05 at 6 controllers
MAX_RATE_PER_S = 5000.0  # set-ups of one session controller
CONTROL_INTERVAL_MS = 500.0  # half of SEDA's, as samples are few
DEPTH_MS = 500.0  # depth of a token bucket, in time at its rate
MAX_MIN_DEPTH = 2.5  # tokens: limit of a minimum depth, which exceeds 1 where pauses exceed a second
QUOTA_DEPTH_MS = 5000.0  # depth of a tenant's bucket, in time at its rate; at least MIN_EVENTS tokens
MAX_RATE_OVER_USE = 2.0  # a rate stops increasing at this multiple of its use or of the even arrival rate

# Target of the set-up delay
TARGET_OF_OBJECTIVE = 0.35  # fraction of the class's objective
TARGET_OF_RESEND = 0.7  # fraction of the retransmission interval

# Routing
LATE_SKIP_MS = 250.0  # shortest pause of a server after a late answer
MAX_SKIP_MS = 4000.0  # longest pause of a server after a late answer
MAX_BACKOFF_SKIPS = 16.0  # longest backoff after failures, in pauses
FAILURES_BEFORE_TRIALS = 3  # consecutive failures after which a server gets trial calls only
ERROR_WEIGHT = 0.2  # weight of one answer in a server's share of errors
FAILING_ERROR_SHARE = 0.3  # above it, errors are attributed to the server, not to the calls
MAX_IN_FLIGHT_MS = 750.0  # even arrivals of this time, or two while none is over target, may be unanswered
SLOW_START_SHARE = 0.8  # of a server's ramp that is sent to it
BUDGET_SHARE = 0.6  # of overload_multiple that slow start uses, bursts included
MAX_SIZE_RATIO = 3.0  # of the mean server to the smallest; overload_multiple must absorb it in slow start

# Calls
OVERRUN_FRACTION = 0.3  # of the objective: how long an attempt may continue past it
DEADLINE_MARGIN_MS = 15.0  # final answers are given this long before the caller's timeout
BUSY_NUMBER_MS = 10_000.0  # calls to a number that was busy rank lowest for this long
MAX_BUSY_NUMBERS = 64  # busy numbers that are remembered
MAX_UNSERVED_NUMBERS = 10_000  # numbers not served that are remembered
RETRY_AFTER_FRACTION = 0.5  # of the longest advised wait: the advice to calls that are not of low priority
DEMOTED_WEIGHT = 0.1  # rank of calls to a busy number or over a quota, as a fraction of their class's
PEERS_MESSAGED = 2  # peers that get a message in each control run
PEER_WEIGHT = 0.1  # weight of one peer message in the mean rates
DISPATCH_INTERVAL_MS = 20.0  # between checks of waiting calls
PROBE_RESULT_MS = 1500.0  # no trial calls for this long after a peer reports an unanswered probe
CONTROL_TIMER = 1
DISPATCH_TIMER = 2
FAILURE_OUTCOMES = (api.Outcome.TIMED_OUT, api.Outcome.CONNECT_FAILED, api.Outcome.RESET, api.Outcome.FULL)
FINAL_OUTCOMES = (api.Outcome.NUMBER_BUSY, api.Outcome.NOT_SENT, api.Outcome.CANCELLED)
OUTCOMES_IN_DOUBT = (api.Outcome.TIMED_OUT, api.Outcome.RESET, api.Outcome.CANCELLED)


class RateMeter:
    """Events per second, averaged over time, and over at least MIN_EVENTS events where they are rare."""

    def __init__(self) -> None:
        self.count = 0  # events since the last update
        self.events = 0.0  # weighted
        self.seconds = 0.0  # weighted
        self.rate = 0.0

    def update(self, seconds: float) -> None:
        """Include the events counted in the last interval, which took this long."""
        keep = min(1.0, max(SMOOTHING, MIN_EVENTS / self.events)) if self.events else SMOOTHING
        self.events = keep * self.events + self.count
        self.seconds = keep * self.seconds + seconds
        self.count = 0
        self.rate = self.events / self.seconds

    def restore(self, rate: float) -> RateMeter:
        """Continue from a rate that another process measured, as if over MIN_EVENTS events or two seconds."""
        self.rate = rate
        self.seconds = max(2.0, MIN_EVENTS / max(rate, 1e-3))
        self.events = rate * self.seconds
        return self


class TokenBucket:
    """Token bucket with an adaptive rate, e.g. of one class towards one server."""

    def __init__(self, now: float, least: float = 1.0, depth_ms: float = DEPTH_MS) -> None:
        self.rate = MAX_RATE_PER_S
        self.tokens = least
        self.refilled_at = now
        self.min_depth = least  # tokens
        self.depth_ms = depth_ms
        self.sent = RateMeter()
        self.suppressed = False  # a worthier class missed its target in the last run
        self.held_runs = 0.0  # consecutive misses in which all lower classes were at the minimum rate

    def refill(self, now: float) -> bool:
        """Add the tokens for the time elapsed. Returns whether the bucket is full."""
        depth = max(self.min_depth, self.rate * self.depth_ms / 1000)
        self.tokens = min(depth, self.tokens + self.rate * (now - self.refilled_at) / 1000)
        self.refilled_at = now
        return self.tokens >= depth

    def decrease(self, divisor: float, least: float) -> None:
        # A rate far above its use would need many decreases to take effect, so it starts from the use; saved
        # tokens would delay the effect as well.
        self.rate = max(least, min(self.rate, max(self.sent.rate, least)) / divisor)
        self.tokens = min(self.tokens, 1.0)

    def increase(self, error: float, gain: float, even_rate: float) -> None:
        if self.rate < MAX_RATE_OVER_USE * max(self.sent.rate, even_rate):
            self.rate = min(MAX_RATE_PER_S, self.rate - (error + INCREASE_OFFSET) * gain)


class ServerView:
    """What this session controller knows of one server: list entry, reports and measured delays."""

    def __init__(self, entry: api.Server, classes: int, now: float, depth_ms: float) -> None:
        self.entry = entry
        self.buckets = [TokenBucket(now, depth_ms=depth_ms) for _ in range(classes)]
        self.delay_samples: list[float] = []  # ms, since the last control run
        self.min_delay_ms = inf  # least delay seen: the round trip and the set-up's own work
        self.delay_ms = 0.0  # smoothed 90th percentile
        self.max_rate = inf  # set-ups per second from all senders, as last reported
        self.hold_back = 0.0  # share of set-ups that each sender is asked to hold back, as last reported
        self.in_flight: dict[tuple[str, int], float] = {}  # unanswered: (call, attempt) -> time of sending
        self.closed_until = -inf  # end of the current pause or backoff
        self.consecutive_failures = 0
        self.sampled_at = now  # last control run that had a delay sample
        self.error_share = 0.0  # smoothed share of errors among its answers
        self.answered_send_at = -inf  # latest time of sending among all answered attempts
        self.slow_start_bucket = TokenBucket(now, 0.0)  # shared by all classes during slow start
        self.allotment = 0.0, -inf  # slow-start rate given by the allocator, per second, and its expiry

    def is_failing(self) -> bool:
        """Whether errors are so frequent that they are the server's own, not those of the calls."""
        return self.error_share > FAILING_ERROR_SHARE

    def on_report(self, max_rate: float | None, hold_back: float | None) -> None:
        self.max_rate = self.max_rate if max_rate is None else max_rate
        self.hold_back = self.hold_back if hold_back is None else hold_back

    def pending_sends(self) -> list[float]:
        """Times of sending of the attempts that the server still has to answer, if it answers in order.

        An answer to a later attempt shows that an earlier one, or its answer, was lost or damaged on the way,
        which says nothing about the server's delay.
        """
        return [sent for sent in self.in_flight.values() if sent >= self.answered_send_at]

    def is_in_service(self) -> bool:
        return self.entry.state is api.ServerState.IN_SERVICE

    def ramp_progress(self, settings: api.Settings, now: float) -> float:
        """Fraction of its capacity that the server is sure to have this long after its start."""
        if self.entry.started_ms <= 0 or settings.slow_start_ms <= 0:
            return 1.0
        age = max(0.0, now - self.entry.started_ms) / settings.slow_start_ms
        return min(1.0, settings.slow_start_min_fraction + (1 - settings.slow_start_min_fraction) * age)

    def delay_beyond_least(self, took_ms: float, limit_ms: float) -> float:
        """Part of a set-up's time that exceeds the least delay seen, of which at most the limit is left out.

        With a target close to an idle server's delay, rates that were decreased once could never increase
        again.
        """
        return took_ms - min(self.min_delay_ms, limit_ms) if self.min_delay_ms < inf else took_ms

    def take_delay_sample(self, now: float, target: float, limit_ms: float) -> float | None:
        """Remove the samples of a control run and return their 90th percentile; None if there are none.

        The delay of an unanswered attempt counts as a sample once it exceeds the target.
        """
        delays = [self.delay_beyond_least(now - sent, limit_ms) for sent in self.pending_sends()]
        samples = sorted(self.delay_samples + [delay for delay in delays if delay > target])
        self.delay_samples = []
        return samples[ceil(PERCENTILE * len(samples)) - 1] if samples else None


class RuleSet:
    """Rules and the values derived from them. A call keeps the rule set that it was admitted under."""

    def __init__(self, settings: api.Settings, rules: api.Rules | None = None) -> None:
        classes = len(settings.classes)
        tenants = len(settings.tenants)
        defaults = (TARGET_OF_OBJECTIVE,) * classes, (1.0,) * classes, (1.0,) * tenants, SLOW_START_SHARE, 1.0
        self.rules = rules or api.Rules(0, *defaults, settings.max_attempts, settings.release_guard_ms)
        resend_limit_ms = settings.resend_ms * TARGET_OF_RESEND if settings.resend_ms > 0 else inf
        fractions = zip(settings.classes, self.rules.target_fractions, strict=True)
        objective_targets_ms = [c.objective_ms * fraction for c, fraction in fractions]
        self.targets_ms = [min(target, resend_limit_ms) for target in objective_targets_ms]
        self.min_target_ms = min(self.targets_ms)
        # An idle server may take longer than the retransmission interval, but not than an objective allows.
        self.least_delay_limit_ms = min(objective_targets_ms)
        self.tenant_weights = {
            tenant.name: tenant_weight
            for tenant, tenant_weight in zip(settings.tenants, self.rules.tenant_weights, strict=True)
        }


class CallState:
    """A call that is established or waits for its final answer."""

    def __init__(
        self,
        request: api.SetupRequest,
        class_index: int,
        first_dialled_at: float,
        now: float,
        rule_set: RuleSet,
    ):
        self.request = request
        self.class_index = class_index
        self.first_dialled_at = first_dialled_at
        self.rule_set = rule_set
        self.target_ms = rule_set.targets_ms[class_index]
        self.number = request.number or request.call  # calls without a number share no history
        self.objective_at = self.deadline_at = now + request.timeout_ms - DEADLINE_MARGIN_MS
        self.attempts = 0
        self.ready_at = now  # earliest time of the next attempt
        self.in_flight = False  # an attempt is in flight
        self.established = False
        self.rank = 0.0
        self.late = False  # can't meet its objective any more
        self.low_priority = False
        self.bucket_index = class_index


class Controller:
    """Decides for one session controller: handle(event, now_ms) returns the actions to take."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.class_indices = {c.name: i for i, c in enumerate(settings.classes)}
        self.classes_by_worth = sorted(self.class_indices.values(), key=lambda i: -settings.classes[i].worth)
        self.rule_set = RuleSet(settings)
        self.longest_deadline_ms = max(c.deadline_ms for c in settings.classes)
        self.servers: dict[str, ServerView] = {}
        self.calls: dict[str, CallState] = {}
        self.waiting: dict[str, CallState] = {}  # calls without an attempt in flight
        self.last_good: str | None = None  # server that last answered within the target
        self.round_robin_position = self.rng.randrange(1 << 16)
        self.time_scale = min(1.0, min(c.objective_ms for c in settings.classes) / REFERENCE_OBJECTIVE_MS)
        self.control_interval_ms = CONTROL_INTERVAL_MS * self.time_scale
        self.min_skip_ms = LATE_SKIP_MS * self.time_scale
        self.even_arrival_rate = 0.0  # calls per second and server, were they spread evenly
        self.skip_ms = self.min_skip_ms  # pause of a server after a late answer
        self.controlled_at = -inf  # last control run
        self.mean_delay_ms = 0.0  # mean of the servers' smoothed delays
        self.even_first_try_rate = 0.0  # first tries per second and server, were they spread evenly
        self.arrivals = RateMeter()
        self.first_tries = RateMeter()
        self.arrivals_by_choice = dict[int, RateMeter]()  # by number of the server chosen first
        self.controller_count = settings.controller_count  # the latest known
        self.join_factor = 1.0  # of slow-start rates; reduced for a while after controllers joined
        self.peer_reports = 0
        self.mean_peer_rates = [0.0] * (1 + len(settings.tenants))  # calls per second: all, then by tenant
        self.busy_numbers = RecentNumbers(MAX_BUSY_NUMBERS)  # until when they count as busy
        self.unserved = RecentNumbers(MAX_UNSERVED_NUMBERS)  # last call not served: when first dialled
        self.quotas = {t.name: TokenBucket(0.0, MIN_EVENTS, QUOTA_DEPTH_MS) for t in settings.tenants}
        self.tick_pending = False  # a DISPATCH_TIMER is set
        self.actions: list[api.Action] = []

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Process one event and return the actions to take, in order."""
        self.actions = []
        if self.controlled_at == -inf:
            self.controlled_at = now_ms
            self.schedule_control(self.rng.uniform(0.2, 1.2))
        match event:
            case api.SetupRequest():
                self.on_setup_request(event, now_ms)
            case api.Answered():
                self.on_answered(event, now_ms)
            case api.AttemptEnded():
                self.on_attempt_ended(event, now_ms)
            case api.CallerGone(call):
                self.on_caller_gone(call)
            case api.ListChange():
                self.on_list_change(event, now_ms)
            case api.ServerReport(server, max_rate, hold_back) if server in self.servers:
                self.servers[server].on_report(max_rate, hold_back)
            case api.PeerMessage(_, text):
                self.on_peer_message(text)
            case api.FleetSize(members):
                self.on_fleet_size(members)
            case api.SlowStartAllotment(server, rate, valid_ms) if server in self.servers:
                self.servers[server].allotment = rate, now_ms + valid_ms
            case api.RulesChanged(rules):
                self.rule_set = RuleSet(self.settings, rules)
            case api.ProbeResult(server, silent, since) if server in self.servers:
                view = self.servers[server]
                pause_ms = PROBE_RESULT_MS if silent else self.skip_ms * self.rng.random()
                # A peer's report doesn't close a server that has answered here since.
                if view.answered_send_at < since:
                    view.closed_until = now_ms + pause_ms
            case api.TimerFired(timer) if timer == CONTROL_TIMER:
                self.run_control(now_ms)
            case api.TimerFired(timer) if timer == DISPATCH_TIMER:
                self.tick_pending = False
                self.dispatch(now_ms)
        if self.waiting and not self.tick_pending:
            self.tick_pending = True
            self.actions.append(api.SetTimer(DISPATCH_TIMER, DISPATCH_INTERVAL_MS))
        return self.actions

    # Calls

    def on_setup_request(self, request: api.SetupRequest, now: float) -> None:
        class_index = self.class_indices.get(request.service_class)
        if class_index is None:
            return self.actions.append(api.Refuse(request.call))
        self.arrivals.count += 1
        spec = self.settings.classes[class_index]
        # Prevents redials from crowding out calls still within their objective: it counts from the first try.
        first_dialled_at = self.unserved.get(request.number, -inf if request.redialled else now)
        if request.was_dropped:
            first_dialled_at = now
        call = CallState(request, class_index, first_dialled_at, now, self.rule_set)
        self.first_tries.count += call.first_dialled_at == now
        self.arrivals_by_choice.get(request.first_choice, RateMeter()).count += 1
        late = call.first_dialled_at + spec.objective_ms - call.target_ms < now
        call.objective_at = call.deadline_at if late else call.first_dialled_at + spec.objective_ms
        demoted = self.busy_numbers.get(request.number, -inf) > now
        quota = self.quotas.get(request.tenant)
        if quota:
            quota.refill(now)
            demoted = demoted or quota.tokens < 1
            quota.sent.count = quota.sent.count + 1
            quota.tokens = quota.tokens - (quota.tokens >= 1)
        # Prevents floods to one number and tenants over their quota from displacing other calls: such calls
        # go only to servers well below their target.
        call.late = late
        call.low_priority = late or demoted
        call.bucket_index = self.classes_by_worth[-1] if call.low_priority else class_index
        call.rank = spec.worth * (spec.late_worth if late else 1.0) * (DEMOTED_WEIGHT if demoted else 1.0)
        call.rank *= self.rule_set.rules.class_weights[class_index] * self.rule_set.tenant_weights.get(
            request.tenant, 1.0
        )
        self.calls[request.call] = call
        if call.deadline_at <= now:  # no time is left: answer in this very batch
            return self.finish(call, now, failed=False)
        view = None if self.waiting else self.choose_server(call, now)
        self.waiting[request.call] = call
        if view:
            self.send(call, view, now)

    def on_caller_gone(self, name: str) -> None:
        call = self.forget(name)
        if call and not call.established:
            self.unserved.set(call.number, call.first_dialled_at)
            if call.in_flight and self.settings.may_cancel:
                self.actions.append(api.Cancel(name, call.attempts - 1))

    def on_answered(self, event: api.Answered, now: float) -> None:
        view = self.servers.get(event.server)
        sent = view.in_flight.pop((event.call, event.attempt), None) if view else None
        if view and sent is not None:
            view.min_delay_ms = min(view.min_delay_ms, event.took_ms)
            view.answered_send_at = max(view.answered_send_at, sent)
            delay = view.delay_beyond_least(event.took_ms, self.rule_set.least_delay_limit_ms)
            view.delay_samples.append(delay)
            view.consecutive_failures = 0
            call = self.calls.get(event.call)
            view.error_share *= 1 - ERROR_WEIGHT
            if delay > (call.target_ms if call else self.rule_set.targets_ms[0]):
                view.closed_until = max(view.closed_until, now + self.skip_ms)
            else:
                self.last_good = event.server
        if event.call in self.calls:
            self.calls[event.call].established = True
            self.waiting.pop(event.call, None)

    def on_attempt_ended(self, event: api.AttemptEnded, now: float) -> None:
        view = self.servers.get(event.server)
        call = self.calls.get(event.call)
        if view:
            view.on_report(event.max_rate, event.hold_back)
            sent = view.in_flight.pop((event.call, event.attempt), None)
            if sent is not None:
                self.record_outcome(view, event, sent, now)
        if event.outcome is api.Outcome.NUMBER_BUSY and call:
            self.busy_numbers.set(call.number, now + BUSY_NUMBER_MS)
        if call is None or event.closed:
            self.forget(event.call)
            return
        # The fifth rule: what an attempt in doubt holds may stay taken until the release guard has passed.
        rules = call.rule_set.rules
        call.ready_at = now + (rules.release_guard_ms if event.outcome in OUTCOMES_IN_DOUBT else 0.0)
        call.in_flight = False
        self.waiting[event.call] = call
        # An error of a server that is not failing is final: prevents trying a call that no server can serve
        # at each of them in turn.
        unusable = event.outcome is api.Outcome.ERROR and not (view and view.is_failing())
        over = event.outcome in FINAL_OUTCOMES or unusable or call.attempts >= rules.max_attempts
        # Answered at once: nothing more can be sent in the time that is left.
        if over or call.ready_at >= self.latest_send_at(call):
            self.finish(call, now, failed=True)

    def record_outcome(self, view: ServerView, event: api.AttemptEnded, sent: float, now: float) -> None:
        """Update a server's samples, backoff and error share from an attempt that ended without an answer."""
        if event.outcome is api.Outcome.TIMED_OUT and sent < view.answered_send_at:
            return  # its answer was lost or damaged: the server has answered an attempt that was sent later
        if event.outcome in FAILURE_OUTCOMES:
            full = event.outcome is api.Outcome.FULL
            view.consecutive_failures += 1
            # A connection that breaks at a healthy server says nothing about its delay.
            within_target = event.took_ms <= self.rule_set.min_target_ms
            if (
                event.outcome is api.Outcome.RESET
                and within_target
                and view.consecutive_failures < FAILURES_BEFORE_TRIALS
            ):
                return
            miss_ms = 2 * self.rule_set.min_target_ms
            view.delay_samples.append(miss_ms if full else max(event.took_ms, miss_ms))
            if view.consecutive_failures == FAILURES_BEFORE_TRIALS:
                self.actions.append(api.Note(f"{event.server}: trial calls only"))
            # Exponential backoff from a server that is dead, hung, cut off or refuses at once.
            doublings = min(10, max(0, view.consecutive_failures - (1 if full else FAILURES_BEFORE_TRIALS)))
            backoff_ms = min(MAX_BACKOFF_SKIPS, 2.0**doublings) * self.skip_ms * self.rng.uniform(1.0, 1.4)
            view.closed_until = max(view.closed_until, now + max(backoff_ms, event.retry_after_ms))
        elif event.outcome in (api.Outcome.NUMBER_BUSY, api.Outcome.ERROR):
            view.consecutive_failures = 0
            view.error_share += ERROR_WEIGHT * ((event.outcome is api.Outcome.ERROR) - view.error_share)

    def forget(self, name: str) -> CallState | None:
        self.waiting.pop(name, None)
        return self.calls.pop(name, None)

    def finish(self, call: CallState, now: float, failed: bool) -> None:
        """Give the call its final answer: failed, or refused."""
        self.forget(call.request.call)
        self.unserved.set(call.number, call.first_dialled_at)
        # Prevents redials from returning into the same overload. A call of low priority waits longest: it
        # would gain nothing by an early retry.
        advice_fraction = (
            (1.0 if call.low_priority else RETRY_AFTER_FRACTION) if self.settings.may_advise_retry else 0.0
        )
        retry_after_ms = advice_fraction * self.settings.max_retry_after_ms
        self.actions.append(
            api.Fail(call.request.call) if failed else api.Refuse(call.request.call, retry_after_ms),
        )

    # Waiting calls and routing

    def dispatch(self, now: float) -> None:
        """Send waiting calls by rank, then by objective; end those that can't be sent in time any more."""
        tried: set[tuple[int, bool, int]] = set()
        for call in sorted(self.waiting.values(), key=lambda c: (-c.rank, c.objective_at)):
            if max(now, call.ready_at) >= self.latest_send_at(call):
                self.finish(call, now, failed=call.attempts > 0)
            if call.ready_at > now or call.request.call not in self.waiting:
                continue
            key = (call.class_index, call.low_priority, call.request.first_choice)
            view = None if key in tried else self.choose_server(call, now)
            if view:
                self.send(call, view, now)
            else:
                tried.add(key)

    def latest_send_at(self, call: CallState) -> float:
        """Time from which sending the call is of no use."""
        return min(call.objective_at - call.target_ms, call.deadline_at)

    def choose_server(self, call: CallState, now: float) -> ServerView | None:
        """First choice, then the last server that answered in time, then round robin; failing ones last."""
        allowed = self.settings.classes[call.class_index].allowed
        views = [v for v in self.servers.values() if allowed is None or v.entry.number in allowed]
        self.round_robin_position += 1
        start = self.round_robin_position % max(1, len(views))
        candidates = [v for v in views if v.entry.number == call.request.first_choice]
        candidates += [v for v in views if v.entry.name == self.last_good] + views[start:] + views[:start]
        return next(
            (
                candidate
                for candidate in sorted(candidates, key=ServerView.is_failing)
                if self.may_send(candidate, call, now)
            ),
            None,
        )

    def may_send(self, view: ServerView, call: CallState, now: float) -> bool:
        if not view.is_in_service() or view.closed_until > now:
            return False
        # Limits the set-ups that pile up at a hung or slow server.
        limit = MAX_IN_FLIGHT_MS * self.time_scale * self.even_arrival_rate / 1000
        pending = view.pending_sends()
        rule_set = call.rule_set
        if not pending or (
            view.delay_beyond_least(now - pending[0], rule_set.least_delay_limit_ms) <= rule_set.min_target_ms
        ):
            limit = max(limit, 2.0)
        if len(pending) >= (limit if view.consecutive_failures < FAILURES_BEFORE_TRIALS else 1):
            return False
        bucket = view.buckets[call.bucket_index]
        full = bucket.refill(now)
        # Late calls also wait for the mean delay of all servers.
        delay = max(view.delay_ms, self.mean_delay_ms if call.late else 0.0)
        if call.low_priority and (delay > (1 + INCREASE_BELOW) * call.rule_set.min_target_ms or not full):
            return False
        return bucket.tokens >= 1 and self.passes_slow_start(view, now, call.rule_set.rules.slow_start_share)

    def avoided_servers(self) -> list[str]:
        """Listed servers that get trial calls only, or calls that no other server takes."""
        return [
            name
            for name, view in self.servers.items()
            if view.consecutive_failures >= FAILURES_BEFORE_TRIALS or view.is_failing()
        ]

    def passes_slow_start(self, view: ServerView, now: float, ramp_share: float) -> bool:
        """Whether slow start lets a set-up go to this server now.

        The fourth rule: a server in slow start gets its ramp of the calls whose first choice it is, or of its
        even share of first tries.
        """
        ramp_progress = view.ramp_progress(self.settings, now)
        bucket = view.slow_start_bucket
        if ramp_progress >= 1:
            return True
        # Keeps the sum over many session controllers within the ramp: the bucket starts empty, and a fraction
        # of a token is spent as the probability of a send.
        own_rate = self.join_factor * self.slow_start_rate(view, ramp_progress, ramp_share)
        bucket.rate = view.allotment[0] if now < view.allotment[1] else own_rate
        overload_ms = self.settings.overload_ms
        burst_ms = max(0.0, BUDGET_SHARE * self.settings.overload_multiple - ramp_share) * overload_ms
        # Tokens of at least the time between two calls, else session controllers with few calls lose most.
        call_gap_ms = 1000 / max(self.warm_rate(view), MIN_RATE_PER_S / self.controller_count)
        bucket.depth_ms = max(burst_ms, min(call_gap_ms, overload_ms))
        bucket.refill(now)
        probability = bucket.tokens
        bucket.tokens = max(0.0, bucket.tokens - 1)
        return self.rng.random() < probability

    def slow_start_rate(self, view: ServerView, ramp_progress: float, ramp_share: float) -> float:
        """Set-ups per second that this session controller sends to a server at this point of its ramp."""
        return (
            ramp_share
            * ramp_progress
            * min(1.0, self.settings.overload_multiple / MAX_SIZE_RATIO)
            * self.warm_rate(view)
        )

    def warm_rate(self, view: ServerView) -> float:
        """Set-ups per second that the server would get when warmed up.

        The larger of the calls whose first choice it is and of its even share of first tries.
        """
        return max(self.even_first_try_rate, self.arrivals_by_choice.get(view.entry.number, RateMeter()).rate)

    def send(self, call: CallState, view: ServerView, now: float) -> None:
        bucket = view.buckets[call.bucket_index]
        name = call.request.call
        bucket.tokens = bucket.tokens - 1
        bucket.sent.count = bucket.sent.count + 1
        view.in_flight[name, call.attempts] = now
        call.attempts = call.attempts + 1
        call.in_flight = True
        self.waiting.pop(name, None)
        # An attempt may continue somewhat past the objective: ending it early for another one would waste the
        # server's work.
        attempt_timeout_ms = (
            call.objective_at + OVERRUN_FRACTION * self.settings.classes[call.class_index].objective_ms - now
        )
        attempt_timeout_ms = max(1.0, min(attempt_timeout_ms, call.deadline_at - now))
        version = call.rule_set.rules.version
        self.actions.append(api.Send(name, view.entry.name, attempt_timeout_ms, version))

    # Server list, peers and control runs

    def on_list_change(self, event: api.ListChange, now: float) -> None:
        known = self.servers
        self.servers = {} if event.complete else self.servers
        for entry in event.servers:
            view = known.get(entry.name)
            if view is None or view.entry.started_ms != entry.started_ms:
                view = ServerView(entry, len(self.class_indices), now, DEPTH_MS * self.time_scale)
            view.entry = entry
            self.servers[entry.name] = view
            if entry.state is api.ServerState.GONE:
                del self.servers[entry.name]

    def on_peer_message(self, text: str) -> None:
        """Include a peer's call rates, in all and by tenant. Malformed messages are ignored."""
        try:
            rates = [float(part) for part in text.split()]
        except ValueError:
            return
        if len(rates) == len(self.mean_peer_rates) and all(0 <= rate < MAX_RATE_PER_S for rate in rates):
            self.peer_reports += 1
            weight = max(PEER_WEIGHT, 1 / self.peer_reports)
            self.mean_peer_rates = [
                old + weight * (new - old) for old, new in zip(self.mean_peer_rates, rates, strict=True)
            ]

    def on_fleet_size(self, members: int) -> None:
        """Adapt this session controller's share of common limits to the number of controllers."""
        # Prevents overload of a server in slow start, which would get full shares both from controllers that
        # joined and from those whose calls they took over: measured rates fall only as fast as they are
        # averaged. Where controllers died, the rates of the others rise by themselves.
        self.join_factor *= min(1.0, self.controller_count / members)
        self.controller_count = members

    def local_share(self, which: int, own_rate: float) -> float:
        """This session controller's share of a demand: all calls (0), or tenant number which - 1.

        Peers that reported nothing are taken to be like those that did; without any report shares are even.
        """
        total = own_rate + self.mean_peer_rates[which] * (self.controller_count - 1)
        return own_rate / total if self.peer_reports and total > 0 else 1 / self.controller_count

    def run_control(self, now: float) -> None:
        """Update all rates, once per control interval."""
        seconds = max(now - self.controlled_at, 1.0) / 1000
        self.arrivals_by_choice = {
            number: self.arrivals_by_choice.get(number, RateMeter())
            for number in (view.entry.number for view in self.servers.values())
        }
        for meter in [self.arrivals, self.first_tries, *self.arrivals_by_choice.values()]:
            meter.update(seconds)
        self.unserved.forget_before(now - self.longest_deadline_ms)
        self.controlled_at = now
        self.join_factor = 1 - SMOOTHING * (1 - self.join_factor)
        self.update_even_rates(now)
        for i, tenant in enumerate(self.settings.tenants):
            quota = self.quotas[tenant.name]
            quota.sent.update(seconds)
            quota.rate = tenant.quota_per_s * self.local_share(1 + i, quota.sent.rate)
        for view in self.servers.values():
            self.control_server(view, seconds, now)
        # A few random peers get a message: messages to all would grow with the square of the controllers.
        others = self.settings.controller_count - 1 if self.settings.may_message_peers else 0
        meters = [self.arrivals, *(quota.sent for quota in self.quotas.values())]
        text = " ".join(f"{meter.rate:.2f}" for meter in meters)
        for peer in self.rng.sample(range(others), min(PEERS_MESSAGED, others)):
            self.actions.append(api.MessagePeer(peer + (peer >= self.settings.controller_index), text))
        self.schedule_control(self.rng.uniform(0.9, 1.1))

    def update_even_rates(self, now: float) -> None:
        """Compute the servers' even shares of the calls, and what depends on them."""
        listed = [v for v in self.servers.values() if v.is_in_service()]
        self.mean_delay_ms = sum(v.delay_ms for v in listed) / max(1, len(listed))
        warmed_up = sum(v.ramp_progress(self.settings, now) for v in listed)
        self.even_arrival_rate = self.arrivals.rate / max(1.0, warmed_up)
        self.even_first_try_rate = self.first_tries.rate / max(1.0, warmed_up)
        # Prevents pauses that end before a session controller with few calls would send the next one.
        self.skip_ms = min(
            MAX_SKIP_MS * self.time_scale, max(self.min_skip_ms, 1000 / max(self.even_arrival_rate, 1e-3))
        )

    def schedule_control(self, intervals: float) -> None:
        self.actions.append(api.SetTimer(CONTROL_TIMER, self.control_interval_ms * intervals))

    def control_server(self, view: ServerView, seconds: float, now: float) -> None:
        """One run of the SEDA rate controller for a server, worthier classes first."""
        rule_set = self.rule_set
        sample = view.take_delay_sample(now, rule_set.min_target_ms, rule_set.least_delay_limit_ms)
        # A run stands for all since the last one with a sample: rates adapt as fast where samples are rare.
        span = min(MAX_SPAN, (now - view.sampled_at) / self.control_interval_ms)
        if sample is not None:
            view.delay_ms = sample + SMOOTHING**span * (view.delay_ms - sample)
            view.sampled_at = now
        elif not view.in_flight:  # with nothing sent, an old delay would exclude the server for good
            view.delay_ms *= SMOOTHING ** (self.min_skip_ms / self.skip_ms)  # slowly where sends are rare
        for bucket in view.buckets:
            bucket.sent.update(seconds)
            bucket.min_depth = min(MAX_MIN_DEPTH, max(1.0, self.skip_ms / (DEPTH_MS * self.time_scale) / 2))
        worths = [c.worth for c in self.settings.classes]
        cap = view.max_rate * self.local_share(0, self.arrivals.rate)
        least = MIN_RATE_PER_S / self.controller_count
        missed = inf  # worth of the worthiest class that misses its target
        for i in self.classes_by_worth:
            bucket = view.buckets[i]
            error = view.delay_ms / self.rule_set.targets_ms[i] - 1
            suppressed = worths[i] < missed < inf
            if suppressed and sample is not None:
                bucket.decrease(DECREASE_DIVISOR**span, least)
            elif error > 0 and sample is not None:
                missed = min(missed, worths[i])
                lower = [b for b, worth in zip(view.buckets, worths, strict=True) if worth < worths[i]]
                bucket.held_runs = bucket.held_runs + span if all(b.rate <= least for b in lower) else 0.0
                if not lower or bucket.held_runs >= MISSES_BEFORE_DECREASE:
                    bucket.decrease(DECREASE_DIVISOR**span, least)
            elif error < INCREASE_BELOW and not bucket.suppressed:
                bucket.increase(
                    error,
                    INCREASE_GAIN_PER_S * self.even_arrival_rate * seconds,
                    self.even_arrival_rate,
                )
            bucket.suppressed = suppressed
            if view.hold_back > 0 and i != self.classes_by_worth[0]:  # the worthiest class holds nothing back
                held = min(1.0, view.hold_back * self.rule_set.rules.hold_back_weight)
                asked = bucket.sent.rate * max(0.0, 1 - held * seconds)
                bucket.rate = min(bucket.rate, max(asked, least))
            bucket.rate = min(bucket.rate, max(cap, least))
            cap -= min(cap, bucket.sent.rate) if cap < inf else 0.0
