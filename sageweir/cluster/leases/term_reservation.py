"""Terms reserved on disk, so that a voter can grant a lease without waiting for a write. Pure.

The disk has to hold a term that is at least as high as each granted one. A voter writes a term well above the present
one ahead of time, and grants all terms up to it at once. After a restart it starts from the reserved term.
"""

from __future__ import annotations

from sageweir.cluster.leases.messages import TERM_JUMP, TERM_MAX
from sageweir.cluster.leases.store import PersistedState
from sageweir.cluster.leases.voter import UNKNOWN_ROLES

# In each write. Above the jump of another voter that recovers up to a minute later, so that its terms are reserved here
# too: after a jump, terms follow the seconds of the voter's start.
RESERVED_TERMS = 64 * TERM_JUMP


def reserve(state: PersistedState, count: int = RESERVED_TERMS) -> PersistedState:
    """Returns the state with all terms raised by `count`, also that of roles which are not known yet."""
    terms = {UNKNOWN_ROLES: 0, **state.terms}
    return replace_terms(state, {role: min(term + count, TERM_MAX - 1) for role, term in terms.items()})


def replace_terms(state: PersistedState, terms: dict[str, int]) -> PersistedState:
    """Returns the state with other terms."""
    return PersistedState(terms, state.version, state.voters, state.accepted)


def covers(durable: PersistedState, wanted: PersistedState) -> bool:
    """Whether the state on the disk has the same voter lists, and no lower term than the wanted one for any role."""
    same_lists = replace_terms(durable, {}) == replace_terms(wanted, {})
    unknown = durable.terms.get(UNKNOWN_ROLES, 0)
    return same_lists and all(term <= durable.terms.get(role, unknown) for role, term in wanted.terms.items())
