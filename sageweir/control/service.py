"""The control service without transport: turns feed events into the current snapshot and wakes the streams."""

from __future__ import annotations

import logging
from collections.abc import Callable

from dahliabridge import interface as api
from dahliabridge.brain import Controller
from sageweir.clock import Clock, Timer
from sageweir.config import ControlConfig, ListEvent
from sageweir.control.fleet import Fleet
from sageweir.control.lease import LeasePolicy
from sageweir.control.line import VersionSequence, read_version
from sageweir.control.pace import Pace, Pacer
from sageweir.control.resources import bodies
from sageweir.control.shares import Demand, Plan, plan
from sageweir.control.snapshot import Encoder, Snapshot, SnapshotStore

log = logging.getLogger("sageweir.control")


class ControlService:
    """Keeps fleet, plan and snapshot up to date; streams read `present` and are woken when it changes."""

    def __init__(self, clock: Clock, config: ControlConfig, epoch: str, encode: Encoder | None = None) -> None:
        """epoch: unique to each start; encode: serializes a resource from its JSON form, None if unavailable."""
        base = config.base
        self.clock, self.config, self.limits = clock, config, base.limits
        self.fleet, self.store, self.pacer = Fleet(), SnapshotStore(epoch, encode), Pacer()
        self.controller = Controller(base.settings, base.seed)
        self.sequence: VersionSequence | None = None  # set if several instances share one version sequence
        self.feed_number = 0
        self.listeners: set[Callable[[], None]] = set()
        self.ready = base.feed is None  # the snapshot may be served
        self.plan: Plan | None = None
        self._apply_settings(config)
        self._timer: Timer | None = None
        self._poll_timer: Timer | None = None
        self._stopped = False
        self._started = clock.now()
        self.feed_lost_ms: float | None = None  # when the feed was lost
        for event in base.known:
            self.follow(event)

    def _apply_settings(self, config: ControlConfig) -> None:
        self.config = config
        self.lease = LeasePolicy(config.lease_ms, config.heartbeats_per_s)
        self.pacer.pace = Pace(config.merge_ms, config.drift_ms)
        self.demand = Demand(config.demand_per_s, config.capacity_per_s)

    @property
    def present(self) -> Snapshot:
        return self.store.present

    # Events

    def start(self) -> None:
        """Start polling for changes over time: slow-start ramps, pauses, the decision module's timers."""
        self._execute(self.controller.handle(api.TimerFired(1), self.clock.now()))
        self._poll()

    def stop(self) -> None:
        self._stopped = True
        for timer in (self._timer, self._poll_timer):
            if timer is not None:
                timer.cancel()

    def follow(self, event: ListEvent) -> None:
        """Apply a feed event and schedule the push of its changes."""
        now = self.clock.now()
        self.feed_number = max(self.feed_number, event.number)
        change, news = self.fleet.apply(event, now)
        for name in sorted(change.displaced):
            log.warning("%s: address taken over by another server, accepts no new set-ups", name)
        self._execute(self.controller.handle(news, now))
        self.decide()

    def reload(self, config: ControlConfig) -> None:
        """Apply a reloaded configuration: classes, demand, lease and pace change; no stream is closed."""
        settings = config.base.settings
        if settings != self.config.base.settings:
            # The decision module restarts with the known fleet, as its samples belong to the old classes.
            self.controller = Controller(settings, config.base.seed)
            entries = tuple(m.entry for m in self.fleet.members.values())
            self._execute(self.controller.handle(api.ListChange(entries, complete=True), self.clock.now()))
            self.pacer.pushed = None
        if config.proxy != self.config.proxy:
            self.pacer.pushed = None
        self._apply_settings(config)
        self.decide()

    def on_feed_status(self, hearing: bool) -> None:
        """Handle the state of the feed connection. While it is lost, the last received list stays in use."""
        now = self.clock.now()
        if hearing:
            if self.feed_lost_ms is not None and self.ready:
                log.info("feed: reconnected after %.1f s", (now - self.feed_lost_ms) / 1000)
            self.feed_lost_ms = None
            self._set_ready()
            return
        if self.feed_lost_ms is None:
            self.feed_lost_ms = now
        if not self.ready and now - self._started >= self.limits.feed_first_ms and self.fleet.members:
            log.warning("feed: not received since the start; the configuration's list is served as it is")
            self._set_ready()
        elif self.ready and now - self.feed_lost_ms >= self.limits.feed_silence_ms:
            log.warning("feed: lost for %.0f s; the last received list stays in use", (now - self.feed_lost_ms) / 1000)

    def _set_ready(self) -> None:
        if not self.ready:
            self.ready = True
            self._wake()

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SetTimer(timer, after_ms):
                    module = self.controller
                    self.clock.after(after_ms, lambda t=timer, m=module: self._on_timer(m, t))  # type: ignore[misc]
                case api.Note(text):
                    log.info("%s", text)

    def _on_timer(self, module: Controller, timer: int) -> None:
        if not self._stopped and module is self.controller:
            self._execute(module.handle(api.TimerFired(timer), self.clock.now()))

    def _poll(self) -> None:
        if not self._stopped:
            self._poll_timer = self.clock.after(self.limits.xds_look_ms, self._poll)
            self.decide()

    # Deciding and pushing

    def decide(self) -> None:
        """Compute the shares and push them now, later or not at all, as the pacer decides."""
        now = self.clock.now()
        self.plan = plan(
            self.controller.settings,
            self.controller.servers,
            self.fleet.members,
            self.demand,
            self.fleet.recent_size(now),
            now,
        )
        due = self.pacer.offer(self.plan, now)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due is None:
            return
        if due <= now:
            self._push(self.plan, now)
        else:
            self._timer = self.clock.after(due - now, self.decide_and_push)

    def decide_and_push(self) -> None:
        """Compute and push the shares at the end of the merge window or the drift interval."""
        self._timer = None
        now = self.clock.now()
        self.plan = plan(
            self.controller.settings,
            self.controller.servers,
            self.fleet.members,
            self.demand,
            self.fleet.recent_size(now),
            now,
        )
        self._push(self.plan, now)

    def _push(self, newest: Plan, now: float) -> None:
        self.pacer.push(newest, now)
        found = bodies(newest, self.controller.settings, self.config.proxy)
        if self.sequence is not None:
            self.sequence.on_plan(found, newest.stopped, self.feed_number)
        elif self.store.update(found, newest.stopped):
            log.debug("snapshot %s.%d", self.present.epoch, self.present.number)
            self._wake()

    def may_serve(self, held: tuple[int, ...]) -> bool:
        """Whether a proxy that holds this version of the sequence may be served by this instance."""
        return self.sequence.may_serve(held) if self.sequence is not None else not held

    def may_answer(self, held: str) -> bool:
        """Whether a proxy that polls and holds this version may be given the snapshot."""
        return self.ready and self.may_serve(read_version(held))

    def changed(self) -> None:
        """Wake the streams after a change of the version sequence."""
        self._wake()

    def _wake(self) -> None:
        for listener in list(self.listeners):
            listener()
