"""All states of a duty with three electors and two candidates, breadth first: the program's own cores, nothing drawn.

Time goes in ticks, two to a lease, and everything may happen between two of them. Whatever was said may arrive at any
later time, any number of times, in any order, or never. Electors restart with their disk kept or gone, candidates with
nothing. Candidates ask, renew, give up and hand on whenever they like, which is more than their timers allow.

What makes it end: times are kept relative to now, and electors are interchangeable. Left out is what changes nothing
any more: refusals and late answers (they only move `seen`, and a candidate here may ask for any higher term), and words
under terms that an elector is above for good.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from random import Random
from typing import Any

from sageweir.cluster.leases.candidate import Candidate, Round, Stage
from sageweir.cluster.leases.messages import TERM_JUMP, LeaseRelease, LeaseReply, LeaseRequest, TermsReply, Transfer
from sageweir.cluster.leases.voter import PROMISE_FRACTION, Promise, Timing, Voter

DUTY, LEASE = "d", 2
TIMING = Timing(lease_ms=LEASE / PROMISE_FRACTION, drift=0.0, max_gap=1.0)
ELECTORS, SEEKERS = ("e0", "e1", "e2"), ("a", "b")
NONE = (0, "", 0)  # nothing was handed on


@dataclass(frozen=True, slots=True)
class Scope:
    """terms: highest that is asked for; elector_crashes, seeker_crashes: in all; hands: duties are handed on, which
    takes one term more.

    prune: leave out words under terms that an elector is above for good, which hides faults in just that.
    """

    terms: int = 2
    elector_crashes: int = 1
    seeker_crashes: int = 0
    hands: bool = False
    prune: bool = True


@dataclass(frozen=True, slots=True)
class Found:
    """What came of it; trace: how the first violation came about."""

    states: int
    steps: int
    whole: bool  # all states were seen
    violation: str = ""
    trace: tuple[str, ...] = ()


# Local states are plain tuples. An elector: (intact, out, term, seeker, boot, until, next, disk, heard), with
# heard ((place, intact, term), ...). A seeker: (boot, stage, term, until, seen, freed, next, asked_at, yes, taken).
# A place is an elector with all words on their way to it, and from it: (elector, words), with words
# ("A", seeker, boot, term, freed, current) ("F", seeker, boot, term, next) ("S", seeker) a grant on its way,
# ("Y", seeker) a grant that is counted, ("M", place, intact, term) what another remembers.

ElectorState = tuple[Any, ...]
SeekerState = tuple[Any, ...]
Words = frozenset[tuple[Any, ...]]
Place = tuple[ElectorState, Words]
Hands = frozenset[tuple[Any, ...]]  # (to, from, boot, term, kind)
# All together, in numbers that stand for the above: three places, two seekers, hands, crashes left of electors, of
# seekers, the highest term that was held.
State = tuple[int, int, int, int, int, int, int, int, int]
Step = tuple[tuple[Any, ...], State]


class ViolationError(Exception):
    """A rule was broken by a step."""


class Numbered:
    """Each thing has a number; equal things have the same."""

    def __init__(self) -> None:
        self.numbers: dict[Any, int] = {}
        self.things: list[Any] = []

    def of(self, thing: Any) -> int:
        number = self.numbers.setdefault(thing, len(self.things))
        if number == len(self.things):
            self.things.append(thing)
        return number


class Checker:
    """The cores, by way of their local states; each local step is worked out once."""

    def __init__(
        self, scope: Scope, elector: Callable[..., Voter] = Voter, seeker: Callable[..., Candidate] = Candidate
    ) -> None:
        self.scope, self._make_elector, self._make_seeker = scope, elector, seeker
        self.places, self.seekers, self.hands = Numbered(), Numbered(), Numbered()
        self.moves, self.aged, self.told, self.restarts = (
            cache(self._moves),
            cache(self._aged),
            cache(self._told),
            cache(self._restarts),
        )
        self.grants, self.won, self.seek, self.older = (
            cache(self._grants),
            cache(self._won),
            cache(self._seeks),
            cache(self._older),
        )
        self.renamed, self.asks = cache(self._renamed), cache(self._asks)
        self.recalls, self.holds = cache(self._recalls), cache(self._holds)

    # Electors

    def _elector(self, state: ElectorState) -> Voter:
        intact, out, term, seeker, boot, until, then, _, heard = state
        one = self._make_elector("e0", ELECTORS, TIMING, 0.0, 1, {DUTY: term})
        one.recovered, one.recovery_until = intact, float(out)
        one.promises = {DUTY: Promise(term, seeker, boot, float(until), then)}
        one.replies = {
            ELECTORS[place]: TermsReply(ELECTORS[place], 1, intact, {DUTY: seen}) for place, intact, seen in heard
        }
        return one

    def _kept(self, one: Voter, disk: int) -> ElectorState:
        promise = one.promises[DUTY]
        until = max(0.0, promise.until - one.elapsed_ms)
        bound = (promise.candidate, promise.boot, until, promise.next_holder) if until else ("", 0, 0.0, "")
        heard = (
            ()
            if one.recovered
            else tuple(
                sorted(
                    (ELECTORS.index(name), memory.recovered, memory.terms[DUTY]) for name, memory in one.replies.items()
                )
            )
        )
        out = 0.0 if one.recovered else max(0.0, one.recovery_until - one.elapsed_ms)
        return (one.recovered, out, promise.term, *bound, disk, heard)

    def _ask(self, state: ElectorState, word: tuple[Any, ...]) -> tuple[ElectorState, bool]:
        _, seeker, boot, term, freed, _ = word
        one = self._elector(state)
        say = one.on_lease_request(0.0, LeaseRequest(DUTY, term, seeker, boot, 1, 1, False, *freed))
        return self._kept(one, one.promises[DUTY].term if say.granted else state[7]), say.granted

    def _free(self, state: ElectorState, word: tuple[Any, ...]) -> ElectorState:
        _, seeker, boot, term, then = word
        one = self._elector(state)
        one.on_release(0.0, LeaseRelease(DUTY, term, seeker, boot, then))
        return self._kept(one, state[7])

    def _look(self, state: ElectorState) -> ElectorState:
        """A tick."""
        one = self._elector(state)
        kept = one.poll(1.0)
        return self._kept(one, state[7] if kept is None else kept.terms[DUTY])

    def _remember(self, state: ElectorState, place: int, intact: bool, term: int) -> ElectorState:
        one = self._elector(state)
        kept = one.on_terms_reply(0.0, TermsReply(ELECTORS[place], 1, intact, {DUTY: term}))
        return self._kept(one, state[7] if kept is None else kept.terms[DUTY])

    def restarted(self, disk: int) -> ElectorState:
        one = self._make_elector("e0", ELECTORS, TIMING, 0.0, 1, {DUTY: disk})
        return self._kept(one, disk)

    # Seekers

    def _seeker(self, who: str, state: SeekerState) -> Candidate:
        boot, stage, term, until, seen, freed, then, asked_at, yes, taken = state
        one = self._make_seeker(DUTY, who, boot, ELECTORS, TIMING, Random(1))
        one.stage, one.term, one.highest_term, one.released_lease, one.next_holder, one.latest_transfer = (
            Stage(stage),
            term,
            seen,
            freed,
            then,
            taken,
        )
        one.until = float(until) if until else float("-inf")
        one._last = 0.0
        if asked_at is not None:
            one.round = Round(one._number, float(asked_at), set(ELECTORS[:yes]))
        return one

    def _rest(self, one: Candidate) -> SeekerState:
        until = max(0.0, one.until) if one.stage in (Stage.HOLDING, Stage.TRANSFERRING) else 0.0
        asks = one.round is not None and one.stage in (Stage.REQUESTING, Stage.HOLDING)
        term = 0 if one.stage is Stage.IDLE else one.term
        then = one.next_holder if one.stage is Stage.TRANSFERRING else ""
        return (
            one.boot,
            one.stage.value,
            term,
            until,
            one.highest_term,
            one.released_lease,
            then,
            max(-float(LEASE), one.round.asked_at) if asks and one.round else None,
            len(one.round.grants) if asks and one.round else 0,
            one.latest_transfer,
        )

    def _said(self, who: str, state: SeekerState) -> tuple[SeekerState, tuple[Any, ...]]:
        """One more grant for the present question."""
        one = self._seeker(who, state)
        assert one.round is not None
        out = one.on_lease_reply(0.0, LeaseReply(DUTY, one.term, ELECTORS[state[8]], one.round.number, True, one.term))
        return self._rest(one), _plain(out)

    def _does(self, who: str, state: SeekerState, what: tuple[Any, ...]) -> tuple[SeekerState, tuple[Any, ...]]:
        """ask TERM, wake, hand, or a Hand that comes."""
        one = self._seeker(who, state)
        out: list[Any]
        match what:
            case ("ask", term):
                one.highest_term = term - 1
                out = one.wake(0.0)  # it sounds, and a majority says yes
                assert one.round is not None
                for name in ELECTORS[:2]:
                    out = one.on_lease_reply(0.0, LeaseReply(DUTY, term, name, one.round.number, True, term - 1))
                    if out:
                        break
            case ("wake",):
                out = one.wake(0.0)
            case ("hand", to):
                out = one.transfer(0.0, to, b"")
            case (_, sender, boot, term, kind):
                out = one.on_transfer(0.0, Transfer(DUTY, term, sender, boot, commit=kind == "go", ack=kind == "back"))
        return self._rest(one), _plain(out)

    def _age(self, state: SeekerState) -> SeekerState:
        """A tick."""
        boot, stage, term, until, seen, freed, then, asked_at, yes, taken = state
        return (
            boot,
            stage,
            term,
            max(0.0, until - 1),
            seen,
            freed,
            then,
            None if asked_at is None else max(-float(LEASE), asked_at - 1),
            yes,
            taken,
        )

    # Places, by number

    def _place(self, state: ElectorState, words: Words, crashes: bool) -> int:
        """Its number, without words that change nothing any more."""
        if state[0]:
            words = frozenset(word for word in words if word[0] != "M")
            if self.scope.prune and not crashes:
                term, holder = state[2], (state[3], state[4])
                words = frozenset(
                    word
                    for word in words
                    if word[0] in "SY" or word[3] > term or (word[3] == term and holder == (word[1], word[2]))
                )
        return self.places.of((state, words))

    def _moves(self, number: int, crashes: bool) -> tuple[tuple[tuple[Any, ...], int], ...]:
        """What may arrive there, and what comes of it; grants and restarts apart."""
        found = []
        elector, words = self.places.things[number]
        for word in words:
            match word[0]:
                case "A":
                    changed, granted = self._ask(elector, word)
                    more = {("S", word[1])} if granted and word[5] and ("Y", word[1]) not in words else set()
                    found.append((word, self._place(changed, words | more, crashes)))
                case "F":
                    found.append((word, self._place(self._free(elector, word), words, crashes)))
                case "M":
                    found.append((word, self._place(self._remember(elector, *word[1:]), words, crashes)))
        return tuple((what, after) for what, after in found if after != number)

    def _aged(self, number: int, crashes: bool) -> int:
        elector, words = self.places.things[number]
        return self._place(self._look(elector), words, crashes)

    def _grants(self, number: int, who: str, crashes: bool) -> int | None:
        """A grant is counted; None where there is none on its way."""
        elector, words = self.places.things[number]
        if ("S", who) not in words:
            return None
        return self._place(elector, (words - {("S", who)}) | {("Y", who)}, crashes)

    def _told(self, number: int, who: str, over: bool, out: tuple[Any, ...], crashes: bool) -> int:
        """What a seeker says comes on its way there. over: its last question is, whose grants count no more."""
        elector, words = self.places.things[number]
        if over:
            words = frozenset(
                (*word[:5], False) if word[0] == "A" and word[1] == who else word
                for word in words
                if word not in (("S", who), ("Y", who))
            )
        return self._place(elector, words | frozenset(out), crashes)

    def _restarts(self, number: int, crashes: bool) -> tuple[tuple[int, int], ...]:
        """(disk, place) after a crash."""
        elector, words = self.places.things[number]
        return tuple(
            (disk, self._place(self.restarted(disk), frozenset(word for word in words if word[0] != "M"), crashes))
            for disk in sorted({elector[7], 0})
        )

    def _recalls(self, number: int, other: int, j: int, crashes: bool) -> int | None:
        """Place j answers what it remembers; None where this one does not ask."""
        elector, words = self.places.things[number]
        if not self._elector(elector).terms_queries(0.0):
            return None
        told = self.places.things[other][0]
        return self._place(elector, words | {("M", j, told[0], told[2])}, crashes)

    def _renamed(self, number: int, a: int, b: int) -> int:
        """The same place where the two others have changed names."""
        elector, words = self.places.things[number]
        to = {a: b, b: a}
        heard = tuple(sorted((to.get(other, other), *rest) for other, *rest in elector[8]))
        return self.places.of(
            (
                (*elector[:8], heard),
                frozenset(("M", to.get(word[1], word[1]), *word[2:]) if word[0] == "M" else word for word in words),
            )
        )

    def _order(self, a: int, b: int, c: int) -> tuple[int, int, int]:
        """One order for all states that differ by names of electors only, where at most one remembers less."""
        things = self.places.things
        out = [i for i, number in enumerate((a, b, c)) if not things[number][0][0]]
        if not out:
            a, b, c = sorted((a, b, c))
        elif len(out) == 1:
            if out[0] == 1:
                a, b, c = self.renamed(b, 0, 1), a, c
            elif out[0] == 2:
                a, b, c = self.renamed(c, 0, 2), b, a
            if b > c:
                a, b, c = self.renamed(a, 1, 2), c, b
        return a, b, c

    # Seekers, by number

    def _older(self, number: int) -> int:
        return self.seekers.of(self._age(self.seekers.things[number]))

    def _won(self, number: int, who: str) -> tuple[int, tuple[Any, ...]]:
        state, out = self._said(who, self.seekers.things[number])
        return self.seekers.of(state), out

    def _seeks(self, number: int, who: str, what: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        state, out = self._does(who, self.seekers.things[number], what)
        return self.seekers.of(state), out

    def _asks(self, number: int, top: int) -> tuple[tuple[Any, ...], ...]:
        """What a seeker may do by itself; top: the highest term that it may have heard of."""
        seeker = self.seekers.things[number]
        found: list[tuple[Any, ...]] = []
        if seeker[1] == Stage.IDLE.value:
            first = max(seeker[4] + 1, top if top > TERM_JUMP else 1)
            found += [("ask", term) for term in range(first, top + 2) if term % TERM_JUMP <= self.scope.terms]
        else:
            found.append(("wake",))
        below = seeker[2] % TERM_JUMP <= self.scope.terms  # the next asks for the term after it
        if self.scope.hands and seeker[1] == Stage.HOLDING.value and seeker[3] > 0 and below:
            found.append(("hand",))
        return tuple(found)

    def _holds(self, number: int) -> bool:
        return self._seeker("a", self.seekers.things[number]).held_term(0.0) is not None

    # All together

    def first(self) -> State:
        idle = self.seekers.of((0, Stage.IDLE.value, 0, 0.0, 0, NONE, "", None, 0, 0))
        place = self.places.of(((True, 0.0, 0, "", 0, 0.0, "", 0, ()), frozenset()))
        return (
            place,
            place,
            place,
            idle,
            idle,
            self.hands.of(frozenset()),
            self.scope.elector_crashes,
            self.scope.seeker_crashes,
            0,
        )

    def steps(self, state: State) -> Iterator[Step]:
        """What may happen next: how it is called, and the state after it."""
        a, b, c, x, y, hands, left, lives, highest = state
        crashes = left > 0
        yield (
            ("a tick",),
            (
                *self._order(self.aged(a, crashes), self.aged(b, crashes), self.aged(c, crashes)),
                self.older(x),
                self.older(y),
                hands,
                left,
                lives,
                highest,
            ),
        )
        for i in range(3):
            number = state[i]
            for what, after in self.moves(number, crashes):
                yield (f"at e{i}", *what), self._with(state, i, after)
            for j in range(3):
                if j != i and (asked := self.recalls(number, state[j], j, crashes)) is not None and asked != number:
                    yield (f"e{j} tells e{i}",), self._with(state, i, asked)
            if left:
                for disk, after in self.restarts(number, left > 1):
                    rest = [self._told(state[j], "", False, (), left > 1) for j in range(3)]
                    rest[i] = after
                    yield (
                        (f"e{i} restarts, its disk holds", disk),
                        (*self._order(*rest), x, y, hands, left - 1, lives, highest),
                    )
            for k in (0, 1):
                if (counted := self.grants(number, SEEKERS[k], crashes)) is not None:
                    places: State = (*state[:i], counted, *state[i + 1 :])  # type: ignore[assignment]
                    yield (f"e{i}'s grant", SEEKERS[k]), self._after(places, k, *self.won(state[3 + k], SEEKERS[k]))
        things = self.places.things
        top = max(
            things[a][0][2], things[b][0][2], things[c][0][2], self.seekers.things[x][4], self.seekers.things[y][4]
        )
        for k in (0, 1):
            for what in self.asks(state[3 + k], top):
                told = ("hand", SEEKERS[1 - k]) if what == ("hand",) else what
                yield (SEEKERS[k], *what), self._after(state, k, *self.seek(state[3 + k], SEEKERS[k], told))
            if lives:
                boot = self.seekers.things[state[3 + k]][0] + 1
                fresh = self.seekers.of((boot, Stage.IDLE.value, 0, 0.0, 0, NONE, "", None, 0, 0))
                changed = self._after(state, k, fresh, (), over=True)
                yield (SEEKERS[k], "restarts"), (*changed[:7], lives - 1, changed[8])
        for hand in self.hands.things[hands]:
            k = SEEKERS.index(hand[0])
            yield hand, self._after(state, k, *self.seek(state[3 + k], SEEKERS[k], hand))

    def _with(self, state: State, i: int, place: int) -> State:
        a, b, c = (place if j == i else state[j] for j in range(3))
        return (*self._order(a, b, c), *state[3:])

    def _after(self, state: State, k: int, seeker: int, out: tuple[Any, ...], over: bool = False) -> State:
        """The state with a seeker's new one, and with what it has sent."""
        a, b, c, x, y, hands, left, lives, highest = state
        who, old, new = SEEKERS[k], self.seekers.things[state[3 + k]], self.seekers.things[seeker]
        words = tuple(word for word in out if word[0] != "H")
        over = over or any(word[0] == "A" for word in words) or (old[7] is not None and new[7] is None)
        if over or words:
            a, b, c = (self.told(one, who, over, words, left > 0) for one in (a, b, c))
        if new[1] == Stage.HOLDING.value and old[1] == Stage.REQUESTING.value:
            if new[2] <= highest:
                raise ViolationError(f"{who} holds term {new[2]} after {highest} was held")
            highest = new[2]
        x, y = (seeker, y) if k == 0 else (x, seeker)
        said: Hands = self.hands.things[hands]
        if said or len(words) < len(out):
            now = self.seekers.things[x], self.seekers.things[y]
            said |= {word[1:] for word in out if word[0] == "H"}
            hands = self.hands.of(frozenset(one for one in said if lives or _matters(one, now[SEEKERS.index(one[0])])))
        return (*self._order(a, b, c), x, y, hands, left, lives, highest)

    def wrong(self, state: State) -> str:
        """What must not be, where it is."""
        return "the duty is held twice" if self.holds(state[3]) and self.holds(state[4]) else ""


def _plain(out: list[Any]) -> tuple[Any, ...]:
    """Messages as words, those to all electors once."""
    words: dict[tuple[Any, ...], None] = {}
    for to, message in out:
        match message:
            case LeaseRequest():
                freed = (message.released_term, message.released_by, message.released_boot)
                words["A", message.candidate, message.boot, message.term, freed, True] = None
            case LeaseRelease():
                words["F", message.candidate, message.boot, message.term, message.next_holder] = None
            case Transfer():
                kind = "back" if message.ack else "go" if message.commit else "state"
                words["H", to, message.candidate, message.boot, message.term, kind] = None
    return tuple(words)


def _matters(hand: tuple[Any, ...], to: SeekerState) -> bool:
    if hand[4] == "back":
        return bool(to[1] == Stage.TRANSFERRING.value and to[2] == hand[3])
    return bool(hand[3] >= to[9])


def explore(
    scope: Scope,
    elector: Callable[..., Voter] = Voter,
    seeker: Callable[..., Candidate] = Candidate,
    most: int = 10_000_000,
    seconds: float = 1e9,
    deep: bool = False,
    held_first: bool = False,
) -> Found:
    """All states, or as many as `most`, or as are seen in so many seconds; ends at the first violation. deep: what was
    found last is gone on from first; held_first: states in which a duty was held and then somebody crashed are. Either
    comes to some violations sooner.
    """
    checker = Checker(scope, elector, seeker)
    start, steps, began = checker.first(), 0, time.monotonic()
    known: dict[State, State | None] = {start: None}

    def trace(state: State, last: tuple[Any, ...]) -> tuple[str, ...]:
        told = [str(last)]
        while (before := known[state]) is not None:
            told.append(str(next(what for what, after in checker.steps(before) if after == state)))
            state = before
        return tuple(reversed(told))

    waiting = deque([start])
    hopeful: deque[State] = deque()  # a duty was held, and a crash came
    while waiting or hopeful:
        if len(known) >= most or (not len(known) % 64 and time.monotonic() - began > seconds):
            return Found(len(known), steps, False)
        state = hopeful.popleft() if hopeful else waiting.pop() if deep else waiting.popleft()
        what: tuple[Any, ...] = ()
        try:
            for what, after in checker.steps(state):
                steps += 1
                if after not in known:
                    known[after] = state
                    if wrong := checker.wrong(after):
                        return Found(len(known), steps, False, wrong, trace(state, what))
                    hope = held_first and after[8] and after[6] < scope.elector_crashes
                    (hopeful if hope else waiting).append(after)
        except ViolationError as error:
            return Found(len(known), steps, False, str(error), trace(state, what))
    return Found(len(known), steps, True)
