"""All states of the register in a small scope: three keepers, two holders at once, words lost, doubled and late.

The program's own `Keeper` and `Writer` take each step; time is nothing but what may be over: a round, a keeper's lease
after its start, its patience. A keeper's lease is over only when no round is open that began before it started, as a
round lasts a sixth of a lease. Each book carries the words that were written one after the other, so that of two books
one must begin as the other does.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from typing import Any, NamedTuple

from sageweir.cluster.changes.messages import Prepare, RegisterReply, RolloutState, Write
from sageweir.cluster.changes.register import Entry, Replica, ReplicaState, Writer, WriterMode, _Round, decode, encode
from sageweir.lab.report import Report

NAMES, LEASE = ("a", "b", "c"), 600.0
# A keeper: promised, (term, turn, path), intact, out, patient, heard, writers whose rounds were open when it started.
KeeperState = tuple[Any, ...]
# A writer: stage, term, turn, path of its book, of its body, of what is wanted or None, whether a round is open, yes.
WriterState = tuple[Any, ...]
NEW_KEEPER: KeeperState = (0, (0, 0, ""), True, False, True, frozenset(), frozenset())
NEW_WRITER: WriterState = (WriterMode.OFF, 0, 0, "", "", None, False, frozenset())


@dataclass(frozen=True, slots=True)
class RegisterScope:
    """terms: that are held, in turn by two holders; writes: of each term; crashes: of keepers that keep their disks;
    losses: of such that come back with an empty one.
    """

    terms: int = 2
    writes: int = 1
    crashes: int = 0
    losses: int = 0


@dataclass(frozen=True, slots=True)
class RegisterFound:
    """whole: all states of the scope were seen; violation: the first, and the steps up to it."""

    states: int
    whole: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


class State(NamedTuple):
    """net: words to keepers (writer, kind, term, turn, path, whether of the open round); answers: to open rounds
    (writer, place, term, turn, path), of a put without these; recalls: (to, from, intact, promised, term, turn, path).
    """

    keepers: tuple[KeeperState, ...] = (NEW_KEEPER,) * 3
    writers: tuple[WriterState, ...] = (NEW_WRITER,) * 2
    net: frozenset[tuple[Any, ...]] = frozenset()
    answers: frozenset[tuple[Any, ...]] = frozenset()
    recalls: frozenset[tuple[Any, ...]] = frozenset()
    terms: int = 0
    written: int = 0  # in this term
    crashes: int = 0
    losses: int = 0
    commits: frozenset[tuple[int, str]] = frozenset()  # the longest of each term
    readies: frozenset[tuple[int, str]] = frozenset()  # what a term's holder took up


@cache
def body_of(path: str) -> bytes:
    """A book that was written in so many steps."""
    return encode(RolloutState(step=len(path), number=len(path), reason=path)) if path else b""


@cache
def path_of(body: bytes) -> str:
    return decode(body).reason


class RegisterChecker:
    """Steps of the cores."""

    def __init__(
        self, scope: RegisterScope, keeper: Callable[..., Replica] = Replica, writer: Callable[..., Writer] = Writer
    ) -> None:
        self.scope, self._keeper_of, self._writer_of = scope, keeper, writer
        self.asked, self.recalled, self.started = cache(self._asked), cache(self._recalled), cache(self._started)
        self.told, self.begun = cache(self._told), cache(self._begun)

    # The cores, made of their states and back

    def _keeper(self, place: int, state: KeeperState) -> Replica:
        promised, (term, turn, path), intact, out, patient, heard, _ = state
        one = self._keeper_of(
            NAMES[place], NAMES, LEASE, 0.0, 1, ReplicaState(promised, Entry(term, turn, body_of(path)))
        )
        one.promised, one.entry, one.intact = promised, Entry(term, turn, body_of(path)), intact
        one.excluded_until, one.elapsed_ms = (10 * LEASE, 0.0) if out else (0.0, 0.0 if patient else LEASE)
        one.replies = {
            NAMES[at]: RegisterReply(NAMES[at], 1, False, may, t, n, body_of(p), ok) for at, ok, may, t, n, p in heard
        }
        return one

    @staticmethod
    def _of_keeper(one: Replica, state: KeeperState) -> KeeperState:
        heard = (
            frozenset()
            if one.intact
            else frozenset(
                (NAMES.index(name), held.intact, held.promised, held.term, held.sequence, path_of(held.body))
                for name, held in one.replies.items()
            )
        )
        entry = one.entry.term, one.entry.sequence, path_of(one.entry.body)
        if one.intact:
            return one.promised, entry, True, False, True, heard, frozenset()
        return one.promised, entry, False, state[3], state[4], heard, state[6]

    def _asked(self, place: int, state: KeeperState, word: tuple[Any, ...]) -> tuple[KeeperState, RegisterReply]:
        _, kind, term, turn, path, _ = word
        one = self._keeper(place, state)
        held = (
            one.on_prepare(0.0, Prepare(term, "h", 1))
            if kind == "claim"
            else one.on_write(0.0, Write(term, turn, body_of(path), "h", 1))
        )
        return self._of_keeper(one, state), held

    def _recalled(self, place: int, state: KeeperState, word: tuple[Any, ...]) -> KeeperState:
        _, other, intact, promised, term, turn, path = word
        one = self._keeper(place, state)
        one.on_recovery_reply(0.0, RegisterReply(NAMES[other], 1, False, promised, term, turn, body_of(path), intact))
        return self._of_keeper(one, state)

    def _started(self, place: int, state: KeeperState) -> KeeperState:
        """Its patience is over."""
        state = (*state[:4], False, *state[5:])
        one = self._keeper(place, state)
        one.poll(0.0)
        return self._of_keeper(one, state)

    def starts(self, place: int, state: KeeperState, opened: frozenset[int], empty: bool) -> KeeperState:
        """Another process with the same disk, or with nothing on it."""
        term, turn, path = state[1]
        disk = None if empty else ReplicaState(state[0], Entry(term, turn, body_of(path)))
        one = self._keeper_of(NAMES[place], NAMES, LEASE, 0.0, 1, disk)
        entry = one.entry.term, one.entry.sequence, path_of(one.entry.body)
        if one.intact:
            return one.promised, entry, True, False, True, frozenset(), frozenset()
        return one.promised, entry, False, True, True, frozenset(), opened

    def _writer(self, who: int, state: WriterState) -> Writer:
        stage, term, turn, book, body, wanted, is_open, yes = state
        one = self._writer_of(f"h{who}", NAMES, LEASE, 0)
        one.mode, one.term, one.sequence, one.state = stage, term, turn, decode(body_of(book))
        one._body, one._pending = body_of(body), decode(body_of(wanted)) if wanted is not None else None
        one._round = (
            _Round(
                0, 0.0, {NAMES[at]: RegisterReply(NAMES[at], 0, True, 0, t, n, body_of(p), True) for at, t, n, p in yes}
            )
            if is_open
            else None
        )
        return one

    @staticmethod
    def _of_writer(one: Writer) -> WriterState:
        opened = one._round
        yes = (
            frozenset(
                (NAMES.index(name), held.term, held.sequence, path_of(held.body))
                for name, held in opened.accepted.items()
            )
            if opened is not None
            else frozenset()
        )
        return (
            one.mode,
            one.term,
            one.sequence,
            one.state.reason,
            path_of(one._body),
            one._pending.reason if one._pending is not None else None,
            opened is not None,
            yes,
        )

    def _told(self, who: int, state: WriterState, word: tuple[Any, ...]) -> tuple[WriterState, bool]:
        """An answer; whether another round began with it."""
        _, place, term, turn, path = word
        one = self._writer(who, state)
        out = one.on_reply(0.0, RegisterReply(NAMES[place], 0, True, 0, term, turn, body_of(path), True))
        return self._of_writer(one), bool(out)

    def _begun(self, who: int, state: WriterState, what: str, term: int) -> WriterState:
        """A term is taken, a book is written, or a round is asked again."""
        one = self._writer(who, state)
        match what:
            case "took":
                one.on_lease_acquired(0.0, term)
            case "write":
                path = one.state.reason + "xyz"[term - 1]
                one.write(0.0, decode(body_of(path)), ())
            case "again":
                one.tick(LEASE)
        return self._of_writer(one)

    # Steps

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        for word in state.net:
            for place in range(3):
                yield from self._asks(state, word, place)
        for word in state.answers:
            yield from self._answers(state, word)
        for place in range(3):
            yield from self._of_place(state, place)
        for who in range(2):
            yield from self._of_holder(state, who)

    def _asks(self, state: State, word: tuple[Any, ...], place: int) -> Iterator[tuple[str, State]]:
        after, held = self.asked(place, state.keepers[place], word)
        answers = state.answers
        if held.ok and word[5] and state.writers[word[0]][6]:  # a no changes nothing that is modelled
            seen = (held.term, held.sequence, path_of(held.body)) if word[1] == "claim" else (0, 0, "")
            answers |= {(word[0], place, *seen)}
        if after != state.keepers[place] or answers != state.answers:
            yield (
                f"{NAMES[place]} takes {word[1:5]}",
                state._replace(answers=answers, keepers=_put(state.keepers, place, after)),
            )

    def _answers(self, state: State, word: tuple[Any, ...]) -> Iterator[tuple[str, State]]:
        who = word[0]
        after, again = self.told(who, state.writers[who], word)
        left = state.answers - {word}
        fresh = state._replace(answers=left, writers=_put(state.writers, who, after))
        if not after[6] or again:
            fresh = self._closed(fresh, who)
        if again:
            fresh = self._sent(fresh, who)
        if after[0] is WriterMode.READY and after != state.writers[who] and not after[6]:
            fresh = self._counts(fresh, after)
        yield f"h{who} hears {word[1:]}", fresh

    @staticmethod
    def _counts(state: State, writer: WriterState) -> State:
        term, path = writer[1], writer[3]
        commits = {t: p for t, p in state.commits}
        commits[term] = max(commits.get(term, ""), path, key=len)
        readies = state.readies if any(t == term for t, _ in state.readies) else state.readies | {(term, path)}
        return state._replace(commits=frozenset(commits.items()), readies=readies)

    @staticmethod
    def _closed(state: State, who: int) -> State:
        """A holder's round is over: its answers count no more, and keepers that started need not wait for it."""
        keepers = tuple((*one[:6], one[6] - {who}) for one in state.keepers)
        net = frozenset((*word[:5], word[5] and word[0] != who) for word in state.net)
        return state._replace(
            keepers=keepers, net=net, answers=frozenset(word for word in state.answers if word[0] != who)
        )

    @staticmethod
    def _sent(state: State, who: int) -> State:
        stage, term, turn, _, body, _, _, _ = state.writers[who]
        word = (
            (who, "claim", term, 0, "", True) if stage is WriterMode.PREPARING else (who, "put", term, turn, body, True)
        )
        return state._replace(net=(state.net - {(*word[:5], False)}) | {word})

    def _of_place(self, state: State, place: int) -> Iterator[tuple[str, State]]:
        one, scope, name = state.keepers[place], self.scope, NAMES[place]
        opened = frozenset(who for who in range(2) if state.writers[who][6])
        recalls = frozenset(word for word in state.recalls if word[0] != place)
        if state.crashes < scope.crashes:
            after = self.starts(place, one, opened, False)
            yield (
                f"{name} starts anew",
                state._replace(crashes=state.crashes + 1, recalls=recalls, keepers=_put(state.keepers, place, after)),
            )
        if state.losses < scope.losses:
            after = self.starts(place, one, opened, True)
            yield (
                f"{name} starts anew, its disk is empty",
                state._replace(losses=state.losses + 1, recalls=recalls, keepers=_put(state.keepers, place, after)),
            )
        if one[2]:
            return
        if one[3]:
            if not one[6]:
                yield (
                    f"{name}'s lease is over",
                    state._replace(keepers=_put(state.keepers, place, (*one[:3], False, *one[4:]))),
                )
            return
        for other in range(3):
            if other != place:
                seen = state.keepers[other]
                word = (place, other, seen[2], seen[0], *seen[1])
                if word not in state.recalls:
                    yield f"{NAMES[other]} tells {name}", state._replace(recalls=state.recalls | {word})
        for word in state.recalls:
            if word[0] == place:
                yield (
                    f"{name} hears {word[1:]}",
                    state._replace(
                        recalls=state.recalls - {word},
                        keepers=_put(state.keepers, place, self.recalled(place, one, word)),
                    ),
                )
        if one[4]:
            yield (
                f"{name}'s patience is over",
                state._replace(keepers=_put(state.keepers, place, self.started(place, one))),
            )

    def _of_holder(self, state: State, who: int) -> Iterator[tuple[str, State]]:
        one, scope = state.writers[who], self.scope
        if state.terms < scope.terms and state.terms % 2 == who:
            term = state.terms + 1
            after = self.begun(who, one, "took", term)
            fresh = self._closed(state._replace(terms=term, written=0, writers=_put(state.writers, who, after)), who)
            yield f"h{who} takes term {term}", self._sent(fresh, who)
        if one[0] is WriterMode.READY and one[5] is None and one[3].count("xyz"[one[1] - 1]) < scope.writes:
            after = self.begun(who, one, "write", one[1])
            yield f"h{who} writes", self._sent(state._replace(writers=_put(state.writers, who, after)), who)
        # Asked again only where that matters: answers of the round that is over count no more.
        if one[6] and (
            one[7] or any(word[0] == who for word in state.answers) or any(who in keeper[6] for keeper in state.keepers)
        ):
            after = self.begun(who, one, "again", one[1])
            fresh = self._closed(state._replace(writers=_put(state.writers, who, after)), who)
            yield f"h{who} asks again", self._sent(fresh, who)

    # Rules

    @staticmethod
    def wrong(state: State) -> str:
        """Of what a majority had, nothing is lost, and no two books part."""
        for term, path in state.commits:
            for other, its in state.commits:
                if not (its.startswith(path) or path.startswith(its)):
                    return f"term {term} has {path!r}, term {other} {its!r}"
            for other, its in state.readies:
                if other > term and not its.startswith(path):
                    return f"term {other} begins with {its!r}, term {term} had {path!r}"
        return ""


def _put(some: tuple[Any, ...], at: int, one: Any) -> tuple[Any, ...]:
    return (*some[:at], one, *some[at + 1 :])


def _renamed(state: State) -> State:
    """Keepers are alike: they are put in an order by what each knows and what is on its way to and from it. Those that
    are alike in all this keep theirs, which leaves some states twice and none out.
    """
    marks = [
        hash(
            (
                one,
                *(
                    frozenset(w[:1] + w[2:] for w in state.answers if w[1] == place),
                    frozenset(w[2:] for w in state.recalls if w[0] == place),
                    frozenset(y[1:] for w in state.writers for y in w[7] if y[0] == place),
                    sum(1 << i for i, w in enumerate(state.writers) for y in w[7] if y[0] == place),
                ),
            )
        )
        for place, one in enumerate(state.keepers)
    ]
    order = tuple(sorted(range(3), key=marks.__getitem__))
    if order == (0, 1, 2):
        return state
    to = {place: at for at, place in enumerate(order)}
    keepers = tuple(
        (*one[:5], frozenset((to[h[0]], *h[1:]) for h in one[5]), one[6])
        for one in (state.keepers[place] for place in order)
    )
    writers = tuple((*w[:7], frozenset((to[y[0]], *y[1:]) for y in w[7])) for w in state.writers)
    return state._replace(
        keepers=keepers,
        writers=writers,
        answers=frozenset((w[0], to[w[1]], *w[2:]) for w in state.answers),
        recalls=frozenset((to[w[0]], to[w[1]], *w[2:]) for w in state.recalls),
    )


def explore_register(
    scope: RegisterScope,
    keeper: Callable[..., Replica] = Replica,
    writer: Callable[..., Writer] = Writer,
    most: int = 2_000_000,
    seconds: float = 1e9,
    deep: bool = False,
) -> RegisterFound:
    """All states, or as many as `most`, or as are seen in so many seconds; ends at the first violation. deep: what was
    found last is gone on from first.
    """
    checker = RegisterChecker(scope, keeper, writer)
    start, began = State(), time.monotonic()
    known: dict[State, tuple[State | None, str]] = {start: (None, "")}
    waiting = deque([start])
    while waiting:
        if len(known) >= most or (not len(known) % 64 and time.monotonic() - began > seconds):
            return RegisterFound(len(known), False)
        state = waiting.pop() if deep else waiting.popleft()
        for what, after in checker.steps(state):
            after = _renamed(after)
            if after in known:
                continue
            known[after] = state, what
            if wrong := checker.wrong(after):
                told, at = list[str](), after
                while (before := known[at])[0] is not None:
                    told.append(before[1])
                    at = before[0]
                return RegisterFound(len(known), False, wrong, tuple(reversed(told)))
            waiting.append(after)
    return RegisterFound(len(known), True)


async def register(scope: RegisterScope, seconds: float) -> Report:
    """One scope, as a report."""
    found = explore_register(scope, most=100_000_000, seconds=seconds)
    report = Report(
        "register",
        {
            "terms": scope.terms,
            "writes": scope.writes,
            "crashes": scope.crashes,
            "losses": scope.losses,
            "seconds": seconds,
        },
    )
    report.figures |= {
        "states": found.states,
        "whole": found.whole,
        "violation": found.violation,
        "trace": list(found.trace),
    }
    report.bound("violations", int(bool(found.violation)), 1)
    return report
