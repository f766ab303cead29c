"""Which call set-ups go to which core server, when, and which are refused. All decisions are here.

Types: dahliabridge/interface.py. Design: docs/design.md. Each gateway has one Controller, which does no I/O.
"""

from __future__ import annotations

import random
from math import ceil, inf

from dahliabridge import interface as api

# Intervals hold at a shortest aim of so much, ms, and shrink with it: calls that must stand sooner need
# a quicker hand, as queues build and clear within the aim; measured.
PACE_AIM_MS = 1200.0
# Rate controller
SMOOTH, PERCENTILE = 0.7, 0.9  # weight of the old percentile, and which one; paper
FEW, SPAN_MAX = 4.0, 4.0  # events that an average goes over at least; runs that one run may stand for
RAISE_BELOW = -0.5  # relative error under which a rate rises; paper
RAISE_GAIN, RAISE_OFFSET = 0.28, 0.1  # a second, as a part of the even part; measured, paper
CUT = 1.2  # divisor of a rate on a miss; paper, whose 10 for lower classes is too rough on few samples
HELD_RUNS = 20  # misses with all lower rates at the minimum before the own rate is cut; paper
RATE_MIN, RATE_MAX = 0.3, 5000.0  # set-ups a second over all gateways, and of one; the paper's 0.05 at 6
RUN_MS = 500.0  # control interval, ms; half the paper's, as few samples come
DEPTH_MS, LEAST = 500.0, 2.5  # bucket depth at its rate; in tokens at least where skips last over a second
SHARE_DEPTH_MS = 5000.0  # the same of a customer's share, at least a few tokens
USE_MULTIPLE = 2.0  # a rate rises no further than this above use, or the even part
# Target of the set-up delay
TARGET_OF_AIM, TARGET_OF_RESEND = 0.35, 0.7  # parts of the class's aim and of the repeat time
# Routing and guards
LATE_SKIP_MS, SKIP_MAX_MS, GAP_MAX = 250.0, 4000.0, 16.0  # skip (DESIGN), longest; pause in skips
BAD_ENDS = 3  # bad ends in a row before only trial calls go
ERROR_WEIGHT, ERRING = 0.2, 0.3  # weight of one answer in a server's share of errors; share that blames it
UNANSWERED_MS = 750.0  # time of own even sends that may be unanswered, or two while none is over target
COLD_PART, FALL_PART = 0.8, 0.6  # of its ramp that a cold server is sent; of the fourth rule's budget
UNEVEN = 3.0  # servers may be so much smaller than the mean; the rule's multiple forgives it
# Calls
LATE_STAY = 0.3  # part of the aim that an attempt may stay past it
DEADLINE_MARGIN_MS = 15.0  # final answers come so long before the caller's time is up
HOT_MS, HOT_KEYS = 10_000.0, 64  # a busy number ranks lowest so long; numbers remembered
ADVICE_PART = 0.5  # of the longest wait that a refused call is told of, where it is not cheap
LOW_WORTH = 0.1  # rank of calls to a busy number or over a share, as a part of their class's
PEERS_TOLD, PEER_WEIGHT = 2, 0.1  # told each run, drawn by seed; weight of what one tells in the mean
TICK_MS = 20.0  # looks at waiting calls
PROBED_MS = 1500.0  # no trial calls so long after another has told that its own stay unanswered
STALL_MS = 100.0  # an own timer so late shows that this gateway stood still
CONTROL_TIMER, WAIT_TIMER = 1, 2
BAD = (api.Outcome.TIMED_OUT, api.Outcome.CONNECT_FAILED, api.Outcome.RESET, api.Outcome.FULL)
FINAL = (api.Outcome.NUMBER_BUSY, api.Outcome.NOT_SENT, api.Outcome.CANCELLED)
IN_DOUBT = (api.Outcome.TIMED_OUT, api.Outcome.RESET, api.Outcome.CANCELLED)


class Flow:
    """Events a second, averaged over time, and over a few events where they are rare."""

    def __init__(self) -> None:
        self.new, self.events, self.seconds, self.rate = 0, 0.0, 0.0, 0.0

    def run(self, seconds: float) -> None:
        keep = min(1.0, max(SMOOTH, FEW / self.events)) if self.events else SMOOTH
        self.events, self.seconds, self.new = keep * self.events + self.new, keep * self.seconds + seconds, 0
        self.rate = self.events / self.seconds

    def recall(self, rate: float) -> Flow:
        """Go on from a rate that another process measured, as if over a few events, or two seconds."""
        self.rate, self.seconds = rate, max(2.0, FEW / max(rate, 1e-3))
        self.events = rate * self.seconds
        return self


class Bucket:
    """Token bucket of one class towards one server, and its rate."""

    def __init__(self, now: float, least: float = 1.0, depth_ms: float = DEPTH_MS) -> None:
        self.rate, self.tokens, self.at, self.least, self.depth_ms = RATE_MAX, least, now, least, depth_ms
        self.sent = Flow()
        self.barred, self.held = False, 0.0

    def fill(self, now: float) -> bool:
        """Add the tokens of the time gone by; whether the bucket is full."""
        depth = max(self.least, self.rate * self.depth_ms / 1000)
        self.tokens, self.at = min(depth, self.tokens + self.rate * (now - self.at) / 1000), now
        return self.tokens >= depth

    def cut(self, divisor: float, least: float) -> None:
        # Guards against a rate far above use, whose cuts would take ages to bite, and against banked tokens.
        self.rate = max(least, min(self.rate, max(self.sent.rate, least)) / divisor)
        self.tokens = min(self.tokens, 1.0)

    def rise(self, error: float, gain: float, even: float) -> None:
        if self.rate < USE_MULTIPLE * max(self.sent.rate, even):
            self.rate = min(RATE_MAX, self.rate - (error + RAISE_OFFSET) * gain)


class ServerView:
    """What this gateway knows of one server: the list's word and its own samples."""

    def __init__(self, entry: api.Server, classes: int, now: float, depth_ms: float) -> None:
        self.entry, self.buckets = entry, [Bucket(now, depth_ms=depth_ms) for _ in range(classes)]
        self.samples: list[float] = []
        self.floor = inf  # least delay seen, ms: the way there and back, and a set-up's own work
        self.current, self.max_rate = 0.0, inf  # smoothed 90th-percentile delay, ms; last report, 1/s
        self.hold_back = 0.0  # share of set-ups that the server asks each sender to hold back; last report
        self.out: dict[tuple[str, int], float] = {}  # unanswered attempts: when sent
        self.closed_until, self.bad = -inf, 0
        self.run_at = now  # when a run last held a sample
        self.errors = 0.0  # smoothed share of errors among its answers
        self.passed = -inf  # when the latest sent of all answered attempts was sent
        self.cold = Bucket(now, 0.0)  # of all classes while the server is cold
        self.part = 0.0, -inf  # of its ramp, as given out for all, 1/s; when that ends

    def erring(self) -> bool:
        """Errors are so many that they are the server's own, not those of the calls."""
        return self.errors > ERRING

    def told(self, max_rate: float | None, hold_back: float | None) -> None:
        self.max_rate = self.max_rate if max_rate is None else max_rate
        self.hold_back = self.hold_back if hold_back is None else hold_back

    def pending(self) -> list[float]:
        """When those were sent that a server with one line still owes: an answer to a later one shows that
        its own was spoilt or lost on the way, which tells nothing of the server's delay.
        """
        return [sent for sent in self.out.values() if sent >= self.passed]

    def listed(self) -> bool:
        return self.entry.state is api.ServerState.IN_SERVICE

    def warmth(self, settings: api.Settings, now: float) -> float:
        """Part of its capacity that a server surely has this long after its start."""
        if self.entry.started_ms <= 0 or settings.cold_ms <= 0:
            return 1.0
        age = max(0.0, now - self.entry.started_ms) / settings.cold_ms
        return min(1.0, settings.cold_from + (1 - settings.cold_from) * age)

    def percentile(self, now: float, target: float, since: float) -> float | None:
        """The run's 90th-percentile sample; a silent attempt's age over target is one already."""
        silent = [now - sent for sent in self.pending() if sent >= since and now - sent > target]
        found, self.samples = sorted(self.samples + silent), []
        return found[ceil(PERCENTILE * len(found)) - 1] if found else None


class Version:
    """Rules, with what follows from them; a call keeps those that it came under."""

    def __init__(self, settings: api.Settings, rules: api.Rules | None = None) -> None:
        classes, tenants = len(settings.classes), len(settings.tenants)
        weights = (TARGET_OF_AIM,) * classes, (1.0,) * classes, (1.0,) * tenants, COLD_PART, 1.0
        self.rules = rules or api.Rules(0, *weights, settings.max_attempts, settings.release_guard_ms)
        waits = settings.resend_ms * TARGET_OF_RESEND if settings.resend_ms > 0 else inf
        parts = zip(settings.classes, self.rules.target_parts, strict=True)
        self.targets = [min(c.aim_ms * part, waits) for c, part in parts]
        self.target = min(self.targets)
        self.tenants = {t.name: r for t, r in zip(settings.tenants, self.rules.tenant_ranks, strict=True)}


class CallState:
    """A call that this gateway owes an answer, or that stands."""

    def __init__(self, request: api.SetupRequest, index: int, first_at: float, now: float, version: Version):
        self.request, self.index, self.first_at, self.version = request, index, first_at, version
        self.target = version.targets[index]
        self.number = request.number or request.call  # calls without a number share no memory
        self.aim_at = self.ends_at = now + request.patience_ms - DEADLINE_MARGIN_MS
        self.attempts, self.ready_at = 0, now
        self.out, self.stands = False, False  # an attempt is out; the call stands
        self.rank, self.late, self.cheap, self.bucket = 0.0, False, False, index


class Controller:
    """Decides for one gateway: handle(event, now_ms) gives the actions for it."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.order = sorted(self.classes.values(), key=lambda i: -settings.classes[i].worth)
        self.version, self.longest = Version(settings), max(c.deadline_ms for c in settings.classes)
        self.servers: dict[str, ServerView] = {}
        self.calls: dict[str, CallState] = {}
        self.waiting: dict[str, CallState] = {}
        self.last_good: str | None = None
        self.turn = self.random.randrange(1 << 16)
        self.pace = min(1.0, min(c.aim_ms for c in settings.classes) / PACE_AIM_MS)
        self.run_ms, self.least_skip_ms = RUN_MS * self.pace, LATE_SKIP_MS * self.pace
        self.even, self.skip_ms, self.run_at = 0.0, self.least_skip_ms, -inf
        self.current, self.fresh = 0.0, 0.0  # smoothed delay over all servers, ms; even part of first tries
        self.arrived, self.first, self.named = Flow(), Flow(), dict[int, Flow]()  # calls; firsts; by choice
        self.gateways, self.joined = settings.gateways, 1.0  # now; part of a cold ramp just after some joined
        self.heard, self.typical = 0, [0.0] * (1 + len(settings.tenants))  # mean demands that peers told
        self.hot: dict[str, float] = {}
        self.unserved: dict[str, float] = {}  # numbers that went unserved: when first called
        self.shares = {tenant.name: Bucket(0.0, FEW, SHARE_DEPTH_MS) for tenant in settings.tenants}
        self.ticking, self.due_at, self.woke_at = False, inf, -inf
        self.usual = [0.0] * len(settings.classes)  # longest patience seen, ms
        self.actions: list[api.Action] = []

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Take one event and return what is to be done, in order."""
        self.actions = []
        if now_ms - self.due_at > STALL_MS:  # this gateway itself stood still: what was out tells nothing now
            self.woke_at = now_ms
            self.actions.append(api.Note(f"own stall of {now_ms - self.due_at:.0f} ms"))
        self.due_at = max(self.due_at, now_ms)
        if self.run_at == -inf:
            self.run_at = now_ms
            self.next_run(self.random.uniform(0.2, 1.2), now_ms)
        match event:
            case api.SetupRequest():
                self.take(event, now_ms)
            case api.Answered():
                self.answered(event, now_ms)
            case api.AttemptEnded():
                self.ended(event, now_ms)
            case api.CallerGone(call):
                self.gone(call)
            case api.ListChange():
                self.follow(event, now_ms)
            case api.ServerReport(server, rate, share) if server in self.servers:
                self.servers[server].told(rate, share)
            case api.PeerMessage(_, text):
                self.hear(text)
            case api.FleetSize(members):
                self.resized(members)
            case api.ColdPart(server, rate, lasts) if server in self.servers:
                self.servers[server].part = rate, now_ms + lasts
            case api.RulesChanged(rules):
                self.version = Version(self.settings, rules)
            case api.Probed(server, silent, since) if server in self.servers:
                view = self.servers[server]
                wait = PROBED_MS if silent else self.skip_ms * self.random.random()
                if view.passed < since:  # hearsay bars nothing that has answered here meanwhile
                    view.closed_until = now_ms + wait
            case api.TimerFired(timer) if timer == CONTROL_TIMER:
                self.control(now_ms)
            case api.TimerFired(timer) if timer == WAIT_TIMER:
                self.ticking = False
                self.dispatch(now_ms)
        if self.waiting and not self.ticking:
            self.ticking = True
            self.actions.append(api.SetTimer(WAIT_TIMER, TICK_MS))
        return self.actions

    # Calls

    def take(self, request: api.SetupRequest, now: float) -> None:
        index = self.classes.get(request.service_class)
        if index is None:
            return self.actions.append(api.Refuse(request.call))
        self.arrived.new += 1
        spec = self.settings.classes[index]
        # Guards against own stalls: what waited for this gateway to wake comes with less time than is usual.
        self.usual[index] = max(self.usual[index], request.patience_ms)
        came_at = now - (self.usual[index] - request.patience_ms if now == self.woke_at else 0.0)
        # Guards against redials that crowd out calls still in time: the aim runs from the first try.
        first_at = self.unserved.get(request.number, -inf if request.redialled else came_at)
        call = CallState(request, index, came_at if request.was_cut else first_at, now, self.version)
        self.first.new += call.first_at == came_at
        self.named.get(request.first_choice, Flow()).new += 1
        late = call.first_at + spec.aim_ms - call.target < now
        call.aim_at = call.ends_at if late else call.first_at + spec.aim_ms
        low = self.hot.get(request.number, -inf) > now
        share = self.shares.get(request.tenant)
        if share:
            share.fill(now)
            low = low or share.tokens < 1
            share.sent.new, share.tokens = share.sent.new + 1, share.tokens - (share.tokens >= 1)
        # Guards against floods to one number and customers over their share: such calls go where all is well.
        call.late, call.cheap = late, late or low
        call.bucket = self.order[-1] if call.cheap else index
        call.rank = spec.worth * (spec.late_worth if late else 1.0) * (LOW_WORTH if low else 1.0)
        call.rank *= self.version.rules.ranks[index] * self.version.tenants.get(request.tenant, 1.0)
        self.calls[request.call] = call
        if call.ends_at <= now:  # it came with no time left: answered in this very batch
            return self.finish(call, now, failed=False)
        view = None if self.waiting or now == self.woke_at else self.route(call, now)
        self.waiting[request.call] = call
        if view:
            self.send(call, view, now)

    def gone(self, name: str) -> None:
        call = self.forget(name)
        if call and not call.stands:
            self.unserved[call.number] = call.first_at
            if call.out and self.settings.may_cancel:
                self.actions.append(api.Cancel(name, call.attempts - 1))

    def answered(self, event: api.Answered, now: float) -> None:
        view = self.servers.get(event.server)
        sent = view.out.pop((event.call, event.attempt), None) if view else None
        if view and sent is not None and sent >= self.woke_at:
            # Guards against a target near what an idle server takes: rates, once cut, could never rise again.
            view.floor = min(view.floor, event.took_ms)
            view.passed = max(view.passed, sent)
            delay = event.took_ms - min(view.floor, self.version.target)
            view.samples.append(delay)
            view.bad, call = 0, self.calls.get(event.call)
            view.errors *= 1 - ERROR_WEIGHT
            if delay > (call.target if call else self.version.targets[0]):
                view.closed_until = max(view.closed_until, now + self.skip_ms)
            else:
                self.last_good = event.server
        if event.call in self.calls:
            self.calls[event.call].stands = True
            self.waiting.pop(event.call, None)

    def ended(self, event: api.AttemptEnded, now: float) -> None:
        view, call = self.servers.get(event.server), self.calls.get(event.call)
        if view:
            view.told(event.max_rate, event.hold_back)
            sent = view.out.pop((event.call, event.attempt), None)
            if sent is not None and sent >= self.woke_at:
                self.record_outcome(view, event, sent, now)
        if event.outcome is api.Outcome.NUMBER_BUSY and call:
            self.hot.pop(call.number, None)
            self.hot[call.number] = now + HOT_MS
            if len(self.hot) > HOT_KEYS:
                del self.hot[next(iter(self.hot))]
        if call is None or event.closed:
            self.forget(event.call)
            return
        # The fifth rule: what an attempt in doubt held may stay taken until the release time is over.
        rules = call.version.rules
        call.ready_at = now + (rules.guard_ms if event.outcome in IN_DOUBT else 0.0)
        call.out, self.waiting[event.call] = False, call
        # Guards against calls that no server can use, sent to each in turn: a sound server's word counts.
        unusable = event.outcome is api.Outcome.ERROR and not (view and view.erring())
        over = event.outcome in FINAL or unusable or call.attempts >= rules.attempts
        if over or call.ready_at >= self.latest(call):  # at once: after an own stall its time may be up
            self.finish(call, now, failed=True)

    def record_outcome(self, view: ServerView, event: api.AttemptEnded, sent: float, now: float) -> None:
        """Samples and pauses from an attempt that ended before it stood."""
        if event.outcome is api.Outcome.TIMED_OUT and sent < view.passed:
            return  # its answer was spoilt or lost: the server has answered what was sent later
        if event.outcome in BAD:
            full = event.outcome is api.Outcome.FULL
            view.bad += 1
            # Guards against connections that break at a server that is well: it is no sign of its delay.
            soon = event.took_ms <= self.version.target
            if event.outcome is api.Outcome.RESET and soon and view.bad < BAD_ENDS:
                return
            twice = 2 * self.version.target
            view.samples.append(twice if full else max(event.took_ms, twice))
            if view.bad == BAD_ENDS:
                self.actions.append(api.Note(f"{event.server}: trial calls only"))
            # Guards against a dead, hung or cut-off server, or one that refuses at once: pauses that double.
            doublings = min(10, max(0, view.bad - (1 if full else BAD_ENDS)))
            gap = min(GAP_MAX, 2.0**doublings) * self.skip_ms * self.random.uniform(1.0, 1.4)
            view.closed_until = max(view.closed_until, now + max(gap, event.told_wait_ms))
        elif event.outcome in (api.Outcome.NUMBER_BUSY, api.Outcome.ERROR):
            view.bad = 0
            view.errors += ERROR_WEIGHT * ((event.outcome is api.Outcome.ERROR) - view.errors)

    def forget(self, name: str) -> CallState | None:
        self.waiting.pop(name, None)
        return self.calls.pop(name, None)

    def finish(self, call: CallState, now: float, failed: bool) -> None:
        self.forget(call.request.call)
        self.unserved[call.number] = call.first_at
        # Guards against redials that come back into the same trouble: a cheap call has nothing to gain soon.
        part = (1.0 if call.cheap else ADVICE_PART) if self.settings.may_advise_wait else 0.0
        advice = part * self.settings.max_advice_ms
        self.actions.append(api.Fail(call.request.call) if failed else api.Refuse(call.request.call, advice))

    # Waiting and routing

    def dispatch(self, now: float) -> None:
        """On the tick, send what may go, by worth and then by deadline; refuse what would come too late."""
        tried: set[tuple[int, bool, int]] = set()
        for call in sorted(self.waiting.values(), key=lambda c: (-c.rank, c.aim_at)):
            if max(now, call.ready_at) >= self.latest(call):
                self.finish(call, now, failed=call.attempts > 0)
            if call.ready_at > now or call.request.call not in self.waiting:
                continue
            key = (call.index, call.cheap, call.request.first_choice)
            view = None if key in tried else self.route(call, now)
            if view:
                self.send(call, view, now)
            else:
                tried.add(key)

    def latest(self, call: CallState) -> float:
        """When sending the call has no more use."""
        return min(call.aim_at - call.target, call.ends_at)

    def route(self, call: CallState, now: float) -> ServerView | None:
        """First choice, else the last that answered well, else the next in turn; those that err come last."""
        allowed = self.settings.classes[call.index].allowed
        views = [v for v in self.servers.values() if allowed is None or v.entry.number in allowed]
        self.turn += 1
        start = self.turn % max(1, len(views))
        order = [v for v in views if v.entry.number == call.request.first_choice]
        order += [v for v in views if v.entry.name == self.last_good] + views[start:] + views[:start]
        return next((v for v in sorted(order, key=ServerView.erring) if self.open(v, call, now)), None)

    def open(self, view: ServerView, call: CallState, now: float) -> bool:
        if not view.listed() or view.closed_until > now:
            return False
        # Guards against a hung or slow server: set-ups pile up there no higher than this.
        bound = UNANSWERED_MS * self.pace * self.even / 1000
        pending = view.pending()
        if not pending or now - pending[0] <= call.version.target:
            bound = max(bound, 2.0)
        if len(pending) >= (bound if view.bad < BAD_ENDS else 1):
            return False
        bucket = view.buckets[call.bucket]
        full = bucket.fill(now)
        delay = max(view.current, self.current if call.late else 0.0)  # late ones wait for all servers
        if call.cheap and (delay > (1 + RAISE_BELOW) * call.version.target or not full):
            return False
        return bucket.tokens >= 1 and self.ramped(view, now, call.version.rules.cold_part)

    def avoided(self) -> list[str]:
        """Listed servers that get trial calls only, or calls that no other takes. Changes nothing."""
        return [name for name, view in self.servers.items() if view.bad >= BAD_ENDS or view.erring()]

    def ramped(self, view: ServerView, now: float, of_ramp: float) -> bool:
        """The fourth rule: a cold server's ramp of the calls that name it, or of first tries' even part."""
        warmth, cold = view.warmth(self.settings, now), view.cold
        if warmth >= 1:
            return True
        # Guards against the sum of many gateways: no first token; less than one buys that chance of a send.
        part = self.joined * self.ramp(view, warmth, of_ramp)
        cold.rate = view.part[0] if now < view.part[1] else part
        cold.depth_ms = max(0.0, FALL_PART * self.settings.fall_multiple - of_ramp) * self.settings.fall_ms
        cold.fill(now)
        chance, cold.tokens = cold.tokens, max(0.0, cold.tokens - 1)
        return self.random.random() < chance

    def ramp(self, view: ServerView, warmth: float, of_ramp: float) -> float:
        """Set-ups a second that a server so warm is sent by this gateway's own flow."""
        return of_ramp * warmth * min(1.0, self.settings.fall_multiple / UNEVEN) * self.demand(view)

    def demand(self, view: ServerView) -> float:
        """Set-ups a second that a warm server would get: those that name it, or first tries' even part."""
        return max(self.fresh, self.named.get(view.entry.number, Flow()).rate)

    def send(self, call: CallState, view: ServerView, now: float) -> None:
        bucket, name = view.buckets[call.bucket], call.request.call
        bucket.tokens, bucket.sent.new = bucket.tokens - 1, bucket.sent.new + 1
        view.out[name, call.attempts] = now
        call.attempts, call.out = call.attempts + 1, True
        self.waiting.pop(name, None)
        # An attempt may stay somewhat past the aim: ended early for another try it would be wasted work.
        stay = call.aim_at + LATE_STAY * self.settings.classes[call.index].aim_ms - now
        stay, version = max(1.0, min(stay, call.ends_at - now)), call.version.rules.version
        self.actions.append(api.Send(name, view.entry.name, stay, version))

    # The list, the peers and the controller's runs

    def follow(self, event: api.ListChange, now: float) -> None:
        known, self.servers = self.servers, {} if event.complete else self.servers
        for entry in event.servers:
            view = known.get(entry.name)
            if view is None or view.entry.started_ms != entry.started_ms:
                view = ServerView(entry, len(self.classes), now, DEPTH_MS * self.pace)
            view.entry, self.servers[entry.name] = entry, view
            if entry.state is api.ServerState.GONE:
                del self.servers[entry.name]

    def hear(self, text: str) -> None:
        """A peer's demand, in all and for each tenant; what is odd or malformed is ignored."""
        try:
            rates = [float(part) for part in text.split()]
        except ValueError:
            return
        if len(rates) == len(self.typical) and all(0 <= rate < RATE_MAX for rate in rates):
            self.heard += 1
            weight = max(PEER_WEIGHT, 1 / self.heard)
            self.typical = [old + weight * (new - old) for old, new in zip(self.typical, rates, strict=True)]

    def resized(self, members: int) -> None:
        """Parts of what all gateways share follow from how many there are."""
        # Guards against a cold server that gets full parts from those who joined and from those they took
        # calls from: flows fall only as fast as they average. Where some died, flows rise by themselves.
        self.joined *= min(1.0, self.gateways / members)
        self.gateways = members

    def part(self, which: int, own: float) -> float:
        """This gateway's part of a demand, the others taken to be like those that told; else an even one."""
        total = own + self.typical[which] * (self.gateways - 1)
        return own / total if self.heard and total > 0 else 1 / self.gateways

    def control(self, now: float) -> None:
        seconds = max(now - self.run_at, 1.0) / 1000
        self.named = {n: self.named.get(n, Flow()) for n in (v.entry.number for v in self.servers.values())}
        for flow in [self.arrived, self.first, *self.named.values()]:
            flow.run(seconds)
        self.unserved = {n: at for n, at in self.unserved.items() if now - at < self.longest}
        self.run_at, self.joined = now, 1 - SMOOTH * (1 - self.joined)
        self.weigh(now)
        for i, tenant in enumerate(self.settings.tenants):
            share = self.shares[tenant.name]
            share.sent.run(seconds)
            share.rate = tenant.quota_per_s * self.part(1 + i, share.sent.rate)
        for view in self.servers.values():
            self.run(view, seconds, now)
        # A few seeded peers are told: messages to all would grow as the gateways squared.
        others = self.settings.gateways - 1 if self.settings.may_tell_peers else 0
        flows = [self.arrived, *(share.sent for share in self.shares.values())]
        told = " ".join(f"{flow.rate:.2f}" for flow in flows)
        for peer in self.random.sample(range(others), min(PEERS_TOLD, others)):
            self.actions.append(api.TellPeer(peer + (peer >= self.settings.gateway), told))
        self.next_run(self.random.uniform(0.9, 1.1), now)

    def weigh(self, now: float) -> None:
        """Work out even parts, and what hangs on them, from the flows."""
        listed = [v for v in self.servers.values() if v.listed()]
        self.current = sum(v.current for v in listed) / max(1, len(listed))
        warm = sum(v.warmth(self.settings, now) for v in listed)
        self.even = self.arrived.rate / max(1.0, warm)
        self.fresh = self.first.rate / max(1.0, warm)
        # Guards against pauses that end before a gateway that sends rarely would send again.
        self.skip_ms = min(SKIP_MAX_MS * self.pace, max(self.least_skip_ms, 1000 / max(self.even, 1e-3)))

    def next_run(self, runs: float, now: float) -> None:
        self.due_at = now + self.run_ms * runs
        self.actions.append(api.SetTimer(CONTROL_TIMER, self.run_ms * runs))

    def run(self, view: ServerView, seconds: float, now: float) -> None:
        """One run of the paper's controller for a server, worthier classes first."""
        sample = view.percentile(now, self.version.target, self.woke_at)
        # A run stands for all since the last that held a sample: rates follow as fast where samples are rare.
        span = min(SPAN_MAX, (now - view.run_at) / self.run_ms)
        if sample is not None:
            view.current, view.run_at = sample + SMOOTH**span * (view.current - sample), now
        elif not view.out:  # with nothing sent, an old delay would bar the server for good
            view.current *= SMOOTH ** (self.least_skip_ms / self.skip_ms)  # slowly where sends are rare
        for bucket in view.buckets:
            bucket.sent.run(seconds)
            bucket.least = min(LEAST, max(1.0, self.skip_ms / (DEPTH_MS * self.pace) / 2))
        worths = [c.worth for c in self.settings.classes]
        cap = view.max_rate * self.part(0, self.arrived.rate)
        least = RATE_MIN / self.gateways
        missed = inf  # worth of the worthiest class that misses its target
        for i in self.order:
            bucket, error = view.buckets[i], view.current / self.version.targets[i] - 1
            barred = worths[i] < missed < inf
            if barred and sample is not None:
                bucket.cut(CUT**span, least)
            elif error > 0 and sample is not None:
                missed = min(missed, worths[i])
                lower = [b for b, worth in zip(view.buckets, worths, strict=True) if worth < worths[i]]
                bucket.held = bucket.held + span if all(b.rate <= least for b in lower) else 0.0
                if not lower or bucket.held >= HELD_RUNS:
                    bucket.cut(CUT**span, least)
            elif error < RAISE_BELOW and not bucket.barred:
                bucket.rise(error, RAISE_GAIN * self.even * seconds, self.even)
            bucket.barred = barred
            if view.hold_back > 0 and i != self.order[0]:  # the worthiest class holds nothing back
                held = min(1.0, view.hold_back * self.version.rules.heed)
                asked = bucket.sent.rate * max(0.0, 1 - held * seconds)
                bucket.rate = min(bucket.rate, max(asked, least))
            bucket.rate = min(bucket.rate, max(cap, least))
            cap -= min(cap, bucket.sent.rate) if cap < inf else 0.0
