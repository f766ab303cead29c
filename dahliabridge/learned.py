"""Hands what a process's decision module has learned to the process that succeeds it. No decisions."""

from __future__ import annotations

from math import inf

from dahliabridge import interface as api
from dahliabridge.brain import Controller, RateMeter


def export_learned(controller: Controller) -> api.Learned:
    """What the successor of this process should know."""
    return api.Learned(
        controller.arrivals.rate,
        controller.first_tries.rate,
        tuple((number, meter.rate) for number, meter in controller.arrivals_by_choice.items()),
        tuple(
            api.ServerLearned(
                name,
                v.entry.started_ms,
                v.min_delay_ms if v.min_delay_ms < inf else None,
                v.delay_ms,
                v.max_rate if v.max_rate < inf else None,
                v.hold_back,
                v.error_share,
                v.consecutive_failures,
                max(0.0, v.closed_until),
                tuple(b.rate for b in v.buckets),
                tuple(b.sent.rate for b in v.buckets),
            )
            for name, v in controller.servers.items()
        ),
    )


def restore_learned(controller: Controller, learned: api.Learned, now: float) -> None:
    """Continue from what another process learned, for servers that have not restarted since."""
    controller.arrivals.restore(learned.arrived)
    controller.first_tries.restore(learned.first)
    controller.arrivals_by_choice = {number: RateMeter().restore(rate) for number, rate in learned.named}
    for server in learned.servers:
        view = controller.servers.get(server.name)
        if not view or view.entry.started_ms != server.started_ms or len(server.rates) != len(view.buckets):
            continue
        view.min_delay_ms = inf if server.floor is None else server.floor
        view.max_rate = inf if server.max_rate is None else server.max_rate
        view.delay_ms = server.current
        view.hold_back = server.hold_back
        view.error_share = server.errors
        view.consecutive_failures = server.bad
        view.closed_until = server.closed_until
        for bucket, rate, sent in zip(view.buckets, server.rates, server.sent, strict=True):
            bucket.rate = rate
            bucket.tokens = min(bucket.tokens, 1.0)
            bucket.sent.restore(sent)
    controller.update_even_rates(now)
