"""Canary analysis of a rollout: whether to go on, wait, doubt or halt, each with its reason in figures. No I/O.

The tests are tests by betting (Waudby-Smith and Ramdas 2024, "Estimating means of bounded random variables by
betting"). The null hypothesis is that the new version is worse than the old one by no more than a margin; each window's
difference d of two means in [0, 1] is a bet against it. The wealth is a supermartingale under the null hypothesis, so
that by Ville's inequality the probability that it ever reaches 1/alpha is at most alpha, at any number of looks.

There are two steps. In the comparison, members with the rollout are compared with members without it, in the same zone,
window and class, each relative to its own history. This only raises a doubt, as bursts, dead servers and slow zones may
hit the members with the rollout by chance for a long time. In doubt, a switchback turns the rollout off and on in pairs
of blocks in random order: chance hits both blocks alike, so that only the rollout itself can make a difference between
on and off. That halts the rollout or clears the doubt. Old and new members share servers, so that a version that takes
capacity from its neighbours looks good in the comparison: every rollout therefore gets a few switchback pairs without
any doubt too (the trial). A switchback can't show harm that appears only under a burst or after a long time: the former
has tests of its own, the latter halts the rollout when it is doubted again. Crashes and memory need no switchback.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import inf, log, tanh
from statistics import median
from typing import TypeVar

from sageweir.cluster.changes.history import ExpectedWorth
from sageweir.cluster.changes.messages import OutcomeCounts, Report

FLEET_WINDOW_MS = 60_000.0  # window of the test of the whole fleet
FLEET_TEST = "the whole fleet against before"
FIRST_WINDOWS = 150  # windows after a cleared doubt, from which standing differences of members are estimated


@dataclass(frozen=True, slots=True)
class Bounds:
    """Settings of the gate; times in ms.

    alpha: probability that a rollout that is no worse is ever halted; half of it is spent on switchbacks, an eighth
    each on crashes, memory, bursts, and repeated doubts. doubt_alpha: probability that such a rollout is ever doubted,
    over all tests together. margin: loss of worth served that is tolerated.
    """

    window_ms: float = 2000.0
    least_ms: float = 30_000.0
    longest_ms: float = 1_800_000.0
    least_calls: int = 100
    block_ms: float = 12_000.0
    settle_ms: float = 4000.0  # start of each block, not counted: calls from before the block end in it
    pairs: int = 40  # a switchback ends after so many
    doubt_pairs: int = 16  # minimum before a doubt is cleared
    trial_pairs: int = 8  # of the trial, if they take no longer than the soak time
    busy_windows: int = 60  # required under a burst; the soak time is doubled at most to get them
    soak_ms: float = 1_800_000.0  # with all members but the holdback group
    margin: float = 0.02
    memory_margin: float = 0.1
    attempts_margin: float = 0.05
    alpha: float = 0.01
    doubt_alpha: float = 0.2

    @property
    def effective_trial_pairs(self) -> int:
        """Pairs of the trial that fit into the soak time."""
        return min(self.trial_pairs, int(self.soak_ms / (2 * (self.block_ms + self.settle_ms))))


class Decision(Enum):
    """What to do with the rollout."""

    GO = "go on"
    WAIT = "wait"
    DOUBT = "doubt"
    CLEAR = "clear"  # the switchback is over: the doubt was unfounded, or the trial has passed
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class Verdict:
    """A decision and its reason, in figures."""

    decision: Decision
    reason: str


class DifferenceTest:
    """A bet on the difference of two means, new minus old. log_wealth: natural logarithm of its wealth."""

    def __init__(self, margin: float) -> None:
        self.margin, self.log_wealth = margin, 0.0
        self.count, self.total = 0, 0.0

    def record(self, d: float) -> None:
        self.count, self.total = self.count + 1, self.total + d

    @property
    def mean(self) -> float:
        return self.total / self.count if self.count else 0.0


class BettingTest(DifferenceTest):
    """Bet that a mean in [-1, 1] lies below -margin.

    Each difference is scaled by the spread of the earlier ones and clipped at twice that spread, so that small
    differences count. For a distribution that is symmetric about its mean, as with blocks in random order, clipping
    doesn't change the sign of the mean.
    """

    def __init__(self, margin: float) -> None:
        super().__init__(margin)
        self.square_total = 0.0
        self.clipped_total, self.clipped_square_total = 0.0, 0.0  # of the clipped values

    def observe(self, d: float) -> None:
        """Bet on one difference, new minus old. Scale and stake depend on earlier observations only."""
        scale = 2.0 * ((self.square_total + 4 * 0.1**2) / (self.count + 4)) ** 0.5
        x = -max(-1.0, min(1.0, (d + self.margin) / scale))
        self.log_wealth += log(1.0 + self._stake() * x)
        self.record(d)
        self.square_total += (d + self.margin) ** 2
        self.clipped_total, self.clipped_square_total = self.clipped_total + x, self.clipped_square_total + x * x

    def _stake(self) -> float:
        """Stake by aGRAPA (Waudby-Smith and Ramdas), with a prior of four observations of a small harm."""
        n = self.count + 4
        mean = (self.clipped_total + 4 * 0.1) / n
        variance = max(1e-3, (self.clipped_square_total + 4 * 0.15) / n - mean * mean)
        return min(0.8, max(0.0, mean / (variance + mean * mean)))


class SignTest(DifferenceTest):
    """Bet that a mean lies below -margin, on differences between blocks in random order.

    With a mean of -margin, the random order makes both signs of the deviation from it equally likely, whatever its
    size: the stake may therefore depend on the size, so that a burst in one block costs little. The stake is the one
    that is optimal for a double exponential distribution around the harm seen so far.
    """

    def __init__(self, margin: float) -> None:
        super().__init__(margin)
        self.spread = 0.0

    def observe(self, d: float) -> None:
        """Bet on one difference, on minus off."""
        x = d + self.margin
        harm = max(0.0, (3 * 0.05 - self.total - self.margin * self.count) / (self.count + 3))
        width = max(0.01, (3 * 0.1 + self.spread) / (self.count + 3))
        stake = min(0.9, tanh(min(abs(x), harm) / width))
        if x:
            self.log_wealth += log(1.0 + stake) if x < 0 else log(1.0 - stake)
        self.spread += abs(x + harm)
        self.record(d)


B = TypeVar("B", BettingTest, SignTest)


@dataclass(slots=True)
class CallSums:
    """Sums over calls of one group and row in one window. expected: worth expected of them by the members' history."""

    count: float = 0.0
    worth: float = 0.0
    attempts: float = 0.0
    expected: float = 0.0

    def add(self, other: CallSums) -> None:
        self.count += other.count
        self.worth += other.worth
        self.attempts += other.attempts
        self.expected += other.expected

    @property
    def mean(self) -> float:
        """Worth per call, minus the expected worth."""
        return (self.worth - self.expected) / self.count if self.count else 0.0


@dataclass(slots=True)
class BurstDetector:
    """Tells windows with a burst of calls from a zone's typical windows."""

    typical_calls: float = 0.0
    windows: int = 0

    def is_burst(self, calls: float) -> bool:
        """Whether a window belongs to a burst; updates the typical number of calls."""
        self.windows += 1
        burst = self.windows > 8 and calls > max(
            1.25 * self.typical_calls, self.typical_calls + 3 * self.typical_calls**0.5
        )
        # A burst that doesn't end becomes the typical load after a while.
        self.typical_calls += (calls - self.typical_calls) / (200.0 if burst else min(self.windows, 50))
        return burst


# Groups of members in a switchback.
CANARY = "at members that try it"
CONTROL = "at others of their zones"
OTHER_ZONES = "in other zones"
MAX_DOUBTS = 3  # doubts of one rollout that lead to a switchback


def report_delta(new: Report, old: Report) -> tuple[OutcomeCounts, ...] | None:
    """Counts between two reports of one process; None if the reports are of different processes or settings."""
    if new.boot != old.boot or len(new.rows) != len(old.rows):
        return None
    rows = tuple(
        OutcomeCounts(*(max(0, getattr(a, f) - getattr(b, f)) for f in OutcomeCounts.__struct_fields__))
        for a, b in zip(new.rows, old.rows, strict=True)
    )
    return rows


@dataclass(slots=True)
class _Window:
    """Sums by zone, whether the members run the rollout, and row; the row after the last one holds all calls."""

    started_at: float
    sums: dict[tuple[str, bool, int], CallSums] = field(default_factory=dict)
    memory: dict[bool, list[float]] = field(default_factory=lambda: {False: [], True: []})


class Gate:
    """The gate of one rollout.

    names: of the rows, for reasons; late_worths: worth of a late call, by row; memory_mb: memory limit of a member.
    """

    def __init__(
        self,
        bounds: Bounds,
        names: Sequence[str],
        late_worths: Sequence[float],
        weights: Sequence[float],
        memory_mb: float,
        now: float,
    ) -> None:
        """weights: worth of each class, and 0 for rows of tenants, which count the same calls again."""
        self.bounds, self.names, self.late_worths, self.weights = bounds, list(names), list(late_worths), list(weights)
        self.memory_kb = memory_mb * 1024
        self.last_reports: dict[str, Report] = {}
        self.expected = ExpectedWorth()
        self.bets: dict[str, BettingTest] = {}
        self.late_bets: dict[str, BettingTest] = {}  # relative to the first windows after a cleared doubt
        self.first_windows: dict[str, list[float]] = {}
        self.standing_differences: dict[str, float] = {}  # estimated from the first windows
        self.burst_bets: dict[str, BettingTest] = {}
        self.calm_differences: dict[str, tuple[float, int]] = {}  # sum and number, outside of bursts
        self.switchable = True
        self.pair_bets: dict[str, SignTest] = {}
        self.burst_detectors: dict[str, BurstDetector] = {}
        self.burst_windows = 0  # burst windows with calls at old and new members
        self.fleet_sums = CallSums()  # of the current fleet window
        self.fleet_window_started = now
        self.crashes: dict[bool, int] = {False: 0, True: 0}
        self.crash_log_wealth = 0.0
        # Member-ms watched, by whether the member runs the rollout.
        self.exposure_ms: dict[bool, float] = {False: 0.0, True: 0.0}
        self.window = _Window(now)
        self.stage_started, self.calls = now, 0.0
        self.block: dict[tuple[str, int], CallSums] = {}  # current block, by group and row
        # Blocks of the current pair, by whether the rollout was on.
        self.pair_blocks: dict[bool, dict[tuple[str, int], CallSums]] = {}
        self.pairs = 0
        self.in_trial, self.trial_done = False, False
        self.switchbacks_done = 0
        self.doubts_cleared = 0

    # Reports

    def on_report(
        self, now: float, name: str, zone: str, report: Report, crashed: bool, change: int, group: str, counted: bool
    ) -> None:
        """Add a member's report.

        change: number of the rollout; group: CANARY, CONTROL or OTHER_ZONES; counted: whether the calls count for the
        current block; crashed: the process has restarted without leaving before.
        """
        last = self.last_reports.get(name)
        self.last_reports[name] = report
        running = report.running_number == change
        if last is None:
            return
        if crashed:
            self.on_crash(last.running_number == change)
            return
        rows = report_delta(report, last)
        if rows is None or report.running_number != last.running_number:
            return  # it switched in between: the calls can't be attributed
        self.exposure_ms[running] += max(0, report.uptime_ms - last.uptime_ms)
        for i, row in enumerate(rows):
            ended = row.served + row.late + row.refused + row.failed
            self.add_calls(
                zone,
                running,
                group,
                counted,
                i,
                CallSums(
                    ended,
                    row.served + self.late_worths[i] * row.late,
                    row.attempts,
                    ended * self.expected.worth(name, i),
                ),
            )
        if report.memory_kb:
            self.window.memory[running].append(report.memory_kb)

    def add_calls(self, zone: str, running: bool, group: str, counted: bool, row: int, sums: CallSums) -> None:
        """Add calls of one row at members of one zone and group that all run the rollout or all don't."""
        for i in [row] + ([len(self.names)] if self.weights[row] else []):
            self.window.sums.setdefault((zone, running, i), CallSums()).add(sums)
            if counted:
                # By zone, as harm may be limited to one.
                key = f"{group} in {zone or 'the zone'}" if group == CANARY else group
                self.block.setdefault((key, i), CallSums()).add(sums)

    def on_crash(self, new: bool) -> None:
        """Bet on the version of a crashed process.

        With equal versions, the probability that it runs the new one is that version's share of the exposure.
        """
        self.crashes[new] += 1
        total = self.exposure_ms[True] + self.exposure_ms[False]
        p_null = self.exposure_ms[True] / total if total > 0 else 0.5
        p_null = min(0.99, max(0.01, p_null))
        p_new = (p_null + 2.0) / 3.0  # the alternative: most crashes are caused by the new version
        self.crash_log_wealth += log(p_new / p_null if new else (1 - p_new) / (1 - p_null))

    # Windows

    def close_window(self, now: float) -> None:
        """Close the window if it is over, and run the tests on it."""
        if now - self.window.started_at < self.bounds.window_ms:
            return
        window, self.window = self.window, _Window(now)
        all_calls = len(self.names)
        by_row: dict[int, list[tuple[float, CallSums, CallSums]]] = {}
        for zone in sorted({zone for zone, _, _ in window.sums}):
            sums = [window.sums.get((zone, running, all_calls), CallSums()) for running in (True, False)]
            self.fleet_sums.add(sums[0])
            self.fleet_sums.add(sums[1])
            self.calls += sums[0].count
            burst = self.burst_detectors.setdefault(zone, BurstDetector()).is_burst(sums[0].count + sums[1].count)
            compared = False
            for i in range(all_calls + 1):
                new, old = window.sums.get((zone, True, i)), window.sums.get((zone, False, i))
                if new is None or old is None or not new.count or not old.count:
                    continue
                compared = True
                d = new.mean - old.mean
                by_row.setdefault(i, []).append((d, new, old))
                test = f"{self._row_name(i)} in {zone or 'the zone'}"
                self._bet(test, d, self.bounds.margin, new, old)
                total, windows = self.calm_differences.get(test, (0.0, 0))
                if not burst:
                    self.calm_differences[test] = total + d, windows + 1
                elif windows:  # differences outside of bursts have tests of their own
                    self._observe(
                        self.burst_bets,
                        f"{self._row_name(i)} under a burst",
                        d - total / windows,
                        self.bounds.margin,
                        new,
                        old,
                    )
            self.burst_windows += burst and compared
        for i, differences in sorted(by_row.items()):
            if len(differences) > 1:
                new, old = CallSums(), CallSums()
                for _, new_sums, old_sums in differences:
                    new.add(new_sums)
                    old.add(old_sums)
                d = sum(d for d, _, _ in differences) / len(differences)
                self._bet(f"{self._row_name(i)} in all zones", d, self.bounds.margin, new, old)
        self._test_fleet(now)
        self._test_attempts(window)
        if window.memory[True] and window.memory[False]:
            with_rollout, without = (
                sum(window.memory[running]) / len(window.memory[running]) for running in (True, False)
            )
            self._observe_fleet_wide("memory", (without - with_rollout) / self.memory_kb, self.bounds.memory_margin)

    def _test_fleet(self, now: float) -> None:
        """Test all calls of the fleet against its history; with bursts and slow zones in it, the margin is wide."""
        if now - self.fleet_window_started < FLEET_WINDOW_MS:
            return
        fleet, self.fleet_sums, self.fleet_window_started = self.fleet_sums, CallSums(), now
        if fleet.count and self.exposure_ms[True] and self.expected.observed_ms >= 10 * FLEET_WINDOW_MS:
            self._observe_fleet_wide(
                FLEET_TEST, fleet.worth / fleet.count - self.expected.overall, 3 * self.bounds.margin
            )

    def _test_attempts(self, window: _Window) -> None:
        totals = {running: CallSums() for running in (True, False)}
        for (_, running, i), sums in window.sums.items():
            if i == len(self.names):
                totals[running].add(sums)
        if totals[True].count and totals[False].count:
            with_rollout, without = (totals[running].attempts / totals[running].count for running in (True, False))
            self._observe_fleet_wide("attempts a call", (without - with_rollout) / 6.0, self.bounds.attempts_margin)

    def _row_name(self, i: int) -> str:
        return self.names[i] if i < len(self.names) else "all calls"

    def _bet(self, test: str, d: float, margin: float, new: CallSums, old: CallSums) -> None:
        # Without switchbacks, standing differences between members can't be told from harm: add their uncertainty.
        self._observe(self.bets, test, d, margin if self.switchable else margin + self.expected.uncertainty, new, old)
        if self.doubts_cleared and self.switchable:
            first_differences = self.first_windows.setdefault(test, [])
            if len(first_differences) < FIRST_WINDOWS:
                first_differences.append(d)
            else:
                # Guards against halting for standing differences between members.
                if test not in self.late_bets:
                    self.late_bets[test], self.standing_differences[test] = (
                        BettingTest(1.5 * margin),
                        _median_of_means(first_differences),
                    )
                self._observe(self.late_bets, test, d - self.standing_differences[test], 1.5 * margin, new, old)

    @staticmethod
    def _observe(
        bets: dict[str, BettingTest], test: str, d: float, margin: float, new: CallSums, old: CallSums
    ) -> None:
        # A window with few calls is noisy: shrinking its difference towards the null hypothesis keeps the bet fair.
        weight = min(1.0, (min(new.count, old.count) / 8.0) ** 0.5)
        bets.setdefault(test, BettingTest(margin)).observe((d + margin) * weight - margin)

    def _observe_fleet_wide(self, test: str, d: float, margin: float) -> None:
        self.bets.setdefault(test, BettingTest(margin)).observe(d)

    @property
    def soak_ms(self) -> float:
        """Soak time; doubled after a cleared doubt."""
        return self.bounds.soak_ms * (2 if self.doubts_cleared else 1)

    def _late_evidence(self, test: str) -> float:
        """Evidence for harm that was not there yet just after a doubt was cleared."""
        return min(self.bets[test].log_wealth if test in self.bets else 0.0, self.late_bets[test].log_wealth)

    # Switchback

    def end_block(self, on: bool, first: bool) -> None:
        """End a block; after the second block of a pair, run the tests on the pair."""
        sums, self.block = self.block, {}
        if first:
            self.pair_blocks = {}
        self.pair_blocks[on] = sums
        if len(self.pair_blocks) < 2:
            return
        self.pairs += 1
        for key, new in sorted(self.pair_blocks[True].items()):
            old = self.pair_blocks[False].get(key)
            if old is None or not new.count or not old.count:
                continue
            group, i = key
            weight = min(1.0, (min(new.count, old.count) / 8.0) ** 0.5)
            bet = self.pair_bets.setdefault(f"{self._row_name(i)} {group}", SignTest(self.bounds.margin))
            bet.observe((new.mean - old.mean + bet.margin) * weight - bet.margin)

    def discard_block(self) -> None:
        """Discard the current pair, as the holder or the stage has changed in it."""
        self.block, self.pair_blocks = {}, {}

    # Verdicts

    @staticmethod
    def _worst(bets: Mapping[str, B], excluded: Iterable[str] = ()) -> tuple[str, B] | None:
        found = [(test, bet) for test, bet in bets.items() if test not in excluded]
        return max(found, key=lambda item: item[1].log_wealth) if found else None

    def halt_verdict(self) -> Verdict | None:
        """HALT on evidence from crashes, memory and bursts, which need no switchback; else None."""
        threshold = log(8.0 / self.bounds.alpha)
        if self.crash_log_wealth >= threshold:
            return Verdict(
                Decision.HALT, f"{self.crashes[True]} members with it crashed, {self.crashes[False]} without"
            )
        memory = self.bets.get("memory")
        if memory is not None and memory.log_wealth >= threshold:
            return Verdict(Decision.HALT, f"memory: {-memory.mean:.0%} of the limit more than others")
        worst = self._worst(self.burst_bets)
        if worst is not None and worst[1].log_wealth >= threshold + log(len(self.names) + 1):
            return Verdict(Decision.HALT, _summary(*worst))
        return None

    def comparison_verdict(self, now: float) -> Verdict:
        """Verdict of the comparison, while the stages advance."""
        if (halt := self.halt_verdict()) is not None:
            return halt
        worst = self._worst(self.bets, ("memory",))
        tests = max(1, len(self.bets))
        if not self.switchable:
            # The test against the fleet's history never halts: bursts and slow zones, one after the other, can fail it.
            worst = self._worst(self.bets, ("memory", FLEET_TEST))
            if worst is not None and worst[1].log_wealth >= log(8.0 * tests / self.bounds.alpha):
                return Verdict(Decision.HALT, _summary(*worst))
        if worst is not None and self.switchable and worst[1].log_wealth >= log(tests / self.bounds.doubt_alpha):
            if not self.doubts_cleared:
                return Verdict(Decision.DOUBT, _summary(*worst))
            # Guards against harm that shows only after a long time, which a switchback hides, as the rollout does well
            # after each switch: a repeated doubt halts, on evidence as strong as that of pairs, if the harm was not
            # there from the start.
            halt_threshold, most_late = (
                log(8.0 * tests / self.bounds.alpha),
                max(map(self._late_evidence, self.late_bets), default=0.0),
            )
            what = max(self.late_bets, key=self._late_evidence, default="")
            if most_late >= halt_threshold:
                return Verdict(
                    Decision.HALT, f"again, {_summary(what, self.late_bets[what])}, against its first windows"
                )
            if (
                most_late >= log(tests / self.bounds.doubt_alpha)
                and now - self.stage_started < self.soak_ms + self.bounds.longest_ms
            ):
                return Verdict(Decision.WAIT, f"in doubt again, not for sure: {_summary(what, self.late_bets[what])}")
            late = self.late_bets.get(worst[0])
            if (
                self.doubts_cleared < MAX_DOUBTS
                and worst[1].log_wealth >= 2 * halt_threshold
                and late is not None
                and late.count >= 50
                and late.log_wealth < 1.0
            ):
                return Verdict(Decision.DOUBT, f"again, {_summary(*worst)}")
        if now - self.stage_started < self.bounds.least_ms:
            return Verdict(Decision.WAIT, f"{now - self.stage_started:.0f} of {self.bounds.least_ms:.0f} ms")
        if self.calls < self.bounds.least_calls:
            if now - self.stage_started > self.bounds.longest_ms:
                return Verdict(Decision.HALT, f"only {self.calls:.0f} calls in {self.bounds.longest_ms:.0f} ms")
            return Verdict(Decision.WAIT, f"{self.calls:.0f} of {self.bounds.least_calls} calls")
        what = (
            f"{worst[0]} {worst[1].mean:+.3f}, e-value {_e_value(worst[1].log_wealth)}"
            if worst is not None
            else "no comparison"
        )
        return Verdict(Decision.GO, f"{self.calls:.0f} calls; worst: {what}")

    def switchback_verdict(self) -> Verdict:
        """Verdict after a pair of blocks, in doubt or in the trial."""
        if (halt := self.halt_verdict()) is not None:
            return halt
        tests = (2 + max(1, len(self.burst_detectors))) * (len(self.names) + 1)
        worst = self._worst(self.pair_bets)
        min_pairs = self.bounds.effective_trial_pairs if self.in_trial else self.bounds.doubt_pairs
        if worst is None:
            return Verdict(
                Decision.CLEAR if self.pairs >= (min_pairs if self.in_trial else self.bounds.pairs) else Decision.WAIT,
                f"{self.pairs} pairs of blocks, no calls in both",
            )
        what, bet = worst
        text = f"{what}: {bet.mean:+.3f} on against off in {bet.count} pairs, e-value {_e_value(bet.log_wealth)}"
        # The first switchback spends half of the alpha for switchbacks, the next one a quarter, and so on.
        if bet.log_wealth >= log(tests * 2.0 ** (2 + self.switchbacks_done) / self.bounds.alpha):
            return Verdict(Decision.HALT, text)
        # Go on while something looks worse, up to the maximum number of pairs.
        if self.pairs >= self.bounds.pairs or (self.pairs >= min_pairs and bet.log_wealth < log(2.0)):
            return Verdict(Decision.CLEAR, text)
        return Verdict(Decision.WAIT, text)

    def end_switchback(self, now: float) -> None:
        """The switchback has shown no harm: restart the comparison."""
        self.doubts_cleared += not self.in_trial
        self.switchbacks_done += 1
        self.in_trial = False
        self.bets.clear()
        self.late_bets.clear()
        self.first_windows.clear()
        self.pair_bets.clear()
        self.pairs = 0
        self.discard_block()
        self.start_stage(now)

    def start_stage(self, now: float) -> None:
        """Start a stage: time and calls count from zero, while the evidence accumulates over all stages."""
        self.stage_started, self.calls = now, 0.0
        self.window = _Window(now)

    def show(self) -> dict[str, object]:
        """Status for operators, with the wealth of the tests with most evidence."""
        bets: dict[str, BettingTest | SignTest] = {
            **self.bets,
            **self.burst_bets,
            **{f"{test}, on against off": bet for test, bet in self.pair_bets.items()},
        }
        worst = sorted(bets.items(), key=lambda item: -item[1].log_wealth)[:8]
        return {
            "calls": round(self.calls),
            "pairs": self.pairs,
            "busy": self.burst_windows,
            "crashes": [self.crashes[True], self.crashes[False]],
            "tests": {
                test: {"mean": round(bet.mean, 4), "count": bet.count, "e": _e_value(bet.log_wealth)}
                for test, bet in worst
            },
        }


def _median_of_means(values: Sequence[float], parts: int = 5) -> float:
    """A mean that is robust against disturbances in a fraction of the values."""
    size = len(values) // parts
    return median(sum(values[i * size : (i + 1) * size]) / size for i in range(parts))


def _summary(test: str, bet: BettingTest) -> str:
    return f"{test}: {bet.mean:+.3f} in {bet.count} windows, e-value {_e_value(bet.log_wealth)}"


def _e_value(value: float) -> str:
    return f"{2.718281828**value:.3g}" if -inf < value < 700 else "over 1e300"
