"""What one process hands to the next of what its decision module has learned. No decisions."""

from __future__ import annotations

from math import inf

from dahliabridge import interface as api
from dahliabridge.brain import Controller, Flow


def learned(module: Controller) -> api.Learned:
    """What a process that goes on in this one's place should know."""
    return api.Learned(
        module.arrived.rate,
        module.first.rate,
        tuple((n, flow.rate) for n, flow in module.named.items()),
        tuple(
            api.ServerLearned(
                name,
                v.entry.started_ms,
                v.floor if v.floor < inf else None,
                v.current,
                v.max_rate if v.max_rate < inf else None,
                v.hold_back,
                v.errors,
                v.bad,
                max(0.0, v.closed_until),
                tuple(b.rate for b in v.buckets),
                tuple(b.sent.rate for b in v.buckets),
            )
            for name, v in module.servers.items()
        ),
    )


def recall(module: Controller, learned: api.Learned, now: float) -> None:
    """Go on from what another process learned of the same servers, started when they were."""
    module.arrived.recall(learned.arrived)
    module.first.recall(learned.first)
    module.named = {number: Flow().recall(rate) for number, rate in learned.named}
    for told in learned.servers:
        view = module.servers.get(told.name)
        if not view or view.entry.started_ms != told.started_ms or len(told.rates) != len(view.buckets):
            continue
        view.floor = inf if told.floor is None else told.floor
        view.max_rate = inf if told.max_rate is None else told.max_rate
        view.current, view.hold_back = told.current, told.hold_back
        view.errors, view.bad, view.closed_until = told.errors, told.bad, told.closed_until
        for bucket, rate, sent in zip(view.buckets, told.rates, told.sent, strict=True):
            bucket.rate, bucket.tokens = rate, min(bucket.tokens, 1.0)
            bucket.sent.recall(sent)
    module.weigh(now)
