"""A voter: promises each role to one candidate at a time, under a term and for a limited time.

Terms of a role only increase. Any two majorities share a voter, so no two candidates hold a role at once, and a later
holder has a higher term. Pure; the caller passes in the monotonic time, ms.

After a restart a voter does not trust what it knows of its own promises. It grants nothing until every lease that it
may have granted before has expired, and then until it has asked the other voters for their terms. Terms from its disk
are used only if no majority of the voters kept theirs in reply.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sageweir.cluster.leases.messages import TERM_JUMP, LeaseRelease, LeaseReply, LeaseRequest, TermsQuery, TermsReply

UNKNOWN_ROLES = ""  # key of the promise whose term is the start term of all roles that are not known
MAX_QUEUE = 16  # refused candidates that get different waiting times
QUEUE_STEP = 0.02  # by which these times differ, as a fraction of the lease
# Fraction of the lease after which to ask again while the promise is not renewed: it may still be given back.
RETRY_FRACTION = 1 / 16
# Fraction of the lease that a promise lasts; the rest is left for the election after a crash.
PROMISE_FRACTION = 7 / 8


@dataclass(frozen=True, slots=True)
class Timing:
    """lease_ms: the longest time that a role has no holder after a crash, election included; the same for all roles.

    drift: bound on how much faster or slower a clock runs, as a fraction of its rate. max_gap: fraction of the lease;
    if more time passes between two events of a voter, its clock has jumped or its process was stopped.
    """

    lease_ms: float = 3000.0
    drift: float = 0.05
    max_gap: float = 1 / 8

    @property
    def holder_ms(self) -> float:
        """How long a holder may act, by its own clock, counted from before it sent the request.

        The slowest holder's clock reaches it no later than the fastest voter's clock reaches promise_ms.
        """
        return self.promise_ms * (1 - self.drift) / (1 + self.drift)

    @property
    def promise_ms(self) -> float:
        """How long a voter is bound, by its own clock, counted from the grant."""
        return self.lease_ms * PROMISE_FRACTION


@dataclass(slots=True)
class Promise:
    """What a voter has promised for one role."""

    term: int = 0
    candidate: str = ""
    boot: int = 0
    until: float = 0.0  # the end of the promise, in the voter's own time
    next_holder: str = ""  # the member that the role is reserved for during a transfer
    renewed: bool = False  # if not, the candidate may have no majority and give the promise back
    queue: dict[str, float] = field(default_factory=dict)  # refused candidates in order: time of the last request


@dataclass(slots=True)
class PersistedTerms:
    """Terms by role that must be on disk before the reply is sent."""

    terms: dict[str, int] = field(default_factory=dict)


class Voter:
    """Handles the messages to one voter. A reply that grants must be sent only after `persisted_terms()` is on disk."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        timing: Timing,
        now: float,
        boot: int,
        disk: Mapping[str, int] | None = None,
        version: int = 1,
        origin: int = 0,
    ) -> None:
        """boot: random number of this start; disk: terms read from disk, possibly outdated, None if unreadable.

        origin: Unix time at the start in seconds, or 0. It only ever raises terms, if no voter kept them in reply.
        """
        self.origin = origin
        self.boot, self.elapsed_ms, self._clock = boot, 0.0, now
        self.name, self.voters, self.timing, self.version = name, voters, timing, version
        self.promises: dict[str, Promise] = {role: Promise(term) for role, term in (disk or {}).items()}
        self.recovery_until = timing.promise_ms  # by then every lease granted before this start has expired
        self.recovered = False
        self.replies: dict[str, TermsReply] = {}
        self.accepted: tuple[int, frozenset[str]] | None = None  # version and names of the accepted next list

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def _advance(self, now: float) -> float:
        """Advances and returns the voter's own time, which does not count a gap between events longer than max_gap.

        Guards against a clock that jumps ahead by more than drift allows: no part of the jump may end a promise early.
        After a stop of the process a promise lasts longer than needed, which is safe. poll() must be called more often
        than max_gap.
        """
        passed, self._clock = now - self._clock, now
        if 0 < passed <= self.timing.max_gap * self.timing.lease_ms:
            self.elapsed_ms += passed
        return self.elapsed_ms

    # Recovery after a start

    def terms_queries(self, now: float) -> list[tuple[str, TermsQuery]]:
        """Returns the queries to the other voters; to be sent periodically until the voter has recovered."""
        # Guards against a majority made of a grant from before this start and of one that another voter gives after
        # its reply here: no query is sent before all grants from earlier starts have expired.
        if self.recovered or self._advance(now) < self.recovery_until:
            return []
        return [(one, TermsQuery(self.name, self.boot)) for one in self.voters if one != self.name]

    def on_terms_query(self, query: TermsQuery) -> TermsReply:
        """Returns this voter's terms, for one that has started."""
        return TermsReply(self.name, query.number, self.recovered, {d: p.term for d, p in self.promises.items()})

    def on_terms_reply(self, now: float, reply: TermsReply) -> PersistedTerms | None:
        """Handles another voter's reply; returns the terms to persist once this voter has recovered."""
        # Guards against a reply to a query of an earlier start: promises made since then are missing in it.
        expected = reply.number == self.boot and reply.voter in self.voters and reply.voter != self.name
        if not self.recovered and expected and self._advance(now) >= self.recovery_until:
            self.replies[reply.voter] = reply
        return self.poll(now)

    def poll(self, now: float) -> PersistedTerms | None:
        """Checks whether the voter has recovered; returns the terms to persist when it has just done so."""
        if self._advance(now) < self.recovery_until or self.recovered or not self._recover_terms():
            return None
        self.recovered = True
        self.replies.clear()
        return PersistedTerms({role: promise.term for role, promise in self.promises.items()})

    def _recover_terms(self) -> bool:
        recovered = [reply for reply in self.replies.values() if reply.recovered]
        if len(recovered) >= self.majority:
            # These voters are a majority, so for every term that was granted one of them took part in granting it.
            self._raise_terms(recovered, 0)
            return True
        waiting = self.elapsed_ms < self.recovery_until + self.timing.lease_ms / 4  # other replies may still come
        if len(self.replies) + 1 >= self.majority and not waiting:
            # Guards against disks that reverted to an older state while no voter kept its terms in memory: the next
            # terms are far above all that is on disk, and above those of earlier days if the machine's date is right.
            self._raise_terms(list(self.replies.values()), TERM_JUMP, self.origin * TERM_JUMP)
            return True
        return False

    def _raise_terms(self, replies: list[TermsReply], by: int, least: int = 0) -> None:
        for reply in replies:
            for role, term in reply.terms.items():
                promise = self.promises.setdefault(role, Promise())
                promise.term = max(promise.term, term)
        if by:
            self.promises.setdefault(UNKNOWN_ROLES, Promise())
            for promise in self.promises.values():
                promise.term = max(promise.term + by, least)

    def _promise(self, role: str) -> Promise:
        """Returns the promise of a role. An unknown role starts at the term that all roles were raised to."""
        if role not in self.promises:
            self.promises[role] = Promise(self.promises[UNKNOWN_ROLES].term if UNKNOWN_ROLES in self.promises else 0)
        return self.promises[role]

    # Granting

    def on_lease_request(self, now: float, request: LeaseRequest) -> LeaseReply:
        """Grants or refuses a request. If it grants, the terms must be persisted before the reply is sent."""
        now = self._advance(now)
        promise = self._promise(request.role)
        if request.released_by and (promise.term, promise.candidate, promise.boot) == (
            request.released_term,
            request.released_by,
            request.released_boot,
        ):
            # The former holder's own release may come later or never.
            promise.until = min(promise.until, now)
            promise.next_holder = ""
        same_candidate = promise.candidate == request.candidate and promise.boot == request.boot
        bound = promise.candidate != "" and now < promise.until
        term_fits = request.term > promise.term or (
            same_candidate and request.term == promise.term and bound and not promise.next_holder
        )
        reserved = bound and promise.next_holder == request.candidate
        granted = (
            self.recovered
            and request.version >= self.version
            and term_fits
            and (not bound or same_candidate or reserved)
            and not (same_candidate and promise.next_holder and bound)
        )
        if granted and not request.pre_vote:
            promise.renewed = same_candidate and request.term == promise.term
            promise.term = request.term
            promise.candidate = request.candidate
            promise.boot = request.boot
            promise.next_holder = ""
            promise.until = now + self.timing.promise_ms
            promise.queue.clear()
        wait = self._wait_ms(now, promise, request.candidate) if bound and not same_candidate else 0.0
        if not self.recovered:
            wait = max(wait, self.recovery_until - now, 0.0)
        return LeaseReply(
            request.role,
            request.term,
            self.name,
            request.number,
            granted,
            promise.term,
            wait,
            promise.next_holder or promise.candidate if bound else "",
            self.version,
        )

    def _wait_ms(self, now: float, promise: Promise, candidate: str) -> float:
        """Returns how long a refused candidate waits: until the promise ends, plus a step per candidate before it."""
        lease, queue = self.timing.lease_ms, promise.queue
        for name in [name for name, at in queue.items() if now - at > 1.5 * lease]:
            del queue[name]
        if len(queue) < MAX_QUEUE:
            queue.setdefault(candidate, now)
        if candidate in queue:
            queue[candidate] = now
        turn = next((i for i, name in enumerate(queue) if name == candidate), MAX_QUEUE)
        left = max(0.0, promise.until - now)
        return (left if promise.renewed else min(left, RETRY_FRACTION * lease)) + turn * QUEUE_STEP * lease

    def on_release(self, now: float, release: LeaseRelease) -> None:
        """Ends the promise of a released term; in a transfer the role stays reserved for the next holder for a time."""
        now = self._advance(now)
        promise = self.promises.get(release.role)
        if promise is None or (promise.term, promise.candidate, promise.boot) != (
            release.term,
            release.candidate,
            release.boot,
        ):
            return
        if release.next_holder and now < promise.until:
            promise.next_holder = release.next_holder
            promise.until = min(promise.until, now + self.timing.lease_ms / 4)
        else:
            promise.until = min(promise.until, now)

    def persisted_terms(self) -> PersistedTerms:
        """Returns the terms that must be on disk before a grant is sent."""
        return PersistedTerms({role: promise.term for role, promise in self.promises.items()})

    # The voter list

    def on_propose(self, voters: tuple[str, ...], version: int) -> str:
        """Accepts a next voter list with one voter more or fewer; returns "" or the reason for refusing it.

        Only the first list of a version is accepted, so at most one list gets a majority, which makes it the next one.
        The acceptance must be persisted before the reply is sent.
        """
        if not self.recovered:
            return "this voter has not recovered the terms from the other voters yet"
        if version != self.version + 1:
            return f"version {self.version} is in force here"
        if len(set(voters) ^ set(self.voters)) != 1 or len(voters) < 2:
            return "the list must differ by exactly one elector"
        if self.accepted is not None and self.accepted != (version, frozenset(voters)):
            return "another list of that version was accepted"
        self.accepted = (version, frozenset(voters))
        return ""

    def install_voters(self, voters: tuple[str, ...], version: int) -> bool:
        """Installs a list that a majority of the previous voters accepted. Returns False unless it is newer."""
        if version <= self.version:
            return False
        self.voters, self.version, self.accepted = voters, version, None
        return True
