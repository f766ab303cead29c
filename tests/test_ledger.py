"""The ledger: what members count, owners' books, dual reads while a shard splits, faults at points; all pure."""

from __future__ import annotations

from collections import Counter
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sageweir.cluster.ledger.account import EPOCHS, Account
from sageweir.cluster.ledger.messages import (
    BUSIEST,
    KINDS,
    MOST_BUSY,
    NUMBER,
    PREFIX,
    ROWS_PAGE,
    TENANT,
    Ask,
    Body,
    Found,
    Give,
    Got,
    Question,
    Reply,
    Row,
    Stamp,
)
from sageweir.cluster.ledger.owner import Shelf, merge
from sageweir.cluster.ledger.reading import Compared, DualRead, Reading, Verdict, asked_of, holding
from sageweir.cluster.ledger.sender import Sender
from sageweir.cluster.ledger.shards import (
    SPACE,
    Group,
    RefusedError,
    Shard,
    groups,
    position,
    read_map,
    split,
    whole,
    write_map,
)
from sageweir.cluster.ledger.watch import Watch
from sageweir.lab.shard_mutants import MUTANTS, finds
from sageweir.lab.shardsim import POINT_KINDS, play

LIVING = {"a": 1, "b": 2}
ALL = Question(PREFIX, "")


def give(
    member: str, seq: int, rows: dict[str, Row | None], base: int = 0, boot: int = 0, page: int = 0, pages: int = 1
) -> Give:
    return Give(member, boot or LIVING[member], 0, SPACE, base, seq, page, pages, rows)


def shelf(**rows: dict[str, Row | None]) -> Shelf:
    found = Shelf(0, SPACE, 1000.0)
    for member, some in rows.items():
        assert found.give(0.0, give(member, 1, some), LIVING).ok
    return found


def read(one: Shelf, question: Question, asof: dict[str, Stamp] | None = None, now: float = 0.0) -> Reply:
    return one.ask(now, Ask(0, SPACE, question, asof), LIVING)


# What a member asks, and makes of the answers


def compared(verdict: Verdict, kind: str = NUMBER, full: bool = True) -> Compared:
    return Compared(Question(kind, "7"), verdict, "", full)


def test_only_reads_of_the_whole_fleet_under_the_change_that_runs_count() -> None:
    watch = Watch()
    assert not watch.compared(0, compared(Verdict.DISAGREE)) and not watch.why  # nothing runs
    watch.begin(3)
    for _ in range(2):
        assert not watch.compared(3, compared(Verdict.AGREE))
    watch.compared(3, compared(Verdict.AGREE, full=False))
    watch.compared(2, compared(Verdict.AGREE))
    assert watch.agreed == tuple(2 if kind == NUMBER else 0 for kind in KINDS) and not watch.why
    assert not watch.compared(2, compared(Verdict.DISAGREE)) and not watch.why  # of another change
    assert watch.compared(3, compared(Verdict.DISAGREE)) and "number '7'" in watch.why
    watch.end()
    assert not watch.why
    watch.begin(4)
    assert not watch.why and not any(watch.agreed) and watch.verdicts[Verdict.DISAGREE.value] == 3


def test_questions_come_in_turn_and_from_the_members_own_rows() -> None:
    watch, draw = Watch(), Random(1)
    asked = [watch.sample(["t:x", "n:123", "n:456"], draw) for _ in range(40)]
    assert {question.kind for question in asked} == set(KINDS)
    for question in asked:
        if question.kind == NUMBER:
            assert question.what in ("123", "456")
        elif question.kind == PREFIX:
            assert "123".startswith(question.what) or "456".startswith(question.what)
        elif question.kind == TENANT:
            assert question.what == "x"
        else:
            assert 1 <= question.most <= MOST_BUSY
    assert Watch().sample([], draw).kind in KINDS  # nothing was counted here


# What a member counts


def test_an_epoch_is_closed_only_where_something_has_changed_and_changes_are_told_from_any_late_epoch() -> None:
    one = Account(1000.0)
    one.took(["n:1", "n:1", "t:x"])
    assert one.close(0.0, {"n:1": 1}, ["n:1"]) == 1 and one.rows["n:1"] == Row(1, 2, 1)
    assert one.close(10.0, {"n:1": 1}, ["n:1"]) == 1
    assert one.close(20.0, {}, []) == 2
    assert one.since(1, 0, SPACE) == (1, {"n:1": Row(0, 2, 0)})
    assert one.since(0, 0, SPACE)[0] == 0 and one.since(9, 0, SPACE)[0] == 0  # all: nobody can be ahead
    one.close(2000.0, {}, [])  # set-ups are forgotten, half of the time after another
    one.close(4000.0, {}, [])
    assert one.rows == {} and one.since(2, 0, SPACE)[1] == {"n:1": None, "t:x": None}
    for i in range(EPOCHS + 1):
        one.close(5000.0 + i, {"n:2": i + 1}, [])
    assert one.since(2, 0, SPACE)[0] == 0  # too far back: all


def test_numbers_without_end_are_left_out_and_counted() -> None:
    one = Account(1000.0, keys_max=3)
    one.took([f"n:{i}" for i in range(5)])
    assert one.left_out == 2 and one.close(0.0, {f"n:{i}": i for i in range(9)}, []) == 1
    assert sorted(one.rows) == ["n:6", "n:7", "n:8"]


# Books


def test_rows_count_once_however_often_and_late_they_come() -> None:
    one = shelf(a={"n:1": Row(2, 2)}, b={"n:1": Row(1, 1)})
    assert read(one, Question(NUMBER, "1")).found == (Found("n:1", 3, 3, 0),)
    late = give("a", 1, {"n:1": Row(2, 2)})
    for _ in range(2):
        assert one.give(1.0, late, LIVING).ok
        assert one.give(1.0, give("a", 2, {"n:1": Row(5, 2)}, base=1), LIVING) == Got(True, 2)
    assert read(one, Question(NUMBER, "1")).found == (Found("n:1", 6, 3, 0),)
    assert one.give(2.0, give("a", 9, {"n:1": Row(9, 9)}, base=7), LIVING) == Got(False, 2)  # a gap: from 2 on, please


def test_pages_count_together_and_a_member_that_started_anew_counts_from_nothing() -> None:
    one = shelf(a={"n:1": Row(2, 2)}, b={"n:1": Row(1, 1)})
    half = give("a", 4, {"n:2": Row(7)}, base=1, page=1, pages=2)
    assert one.give(0.0, half, LIVING) == Got(True, 1) and read(one, ALL).found[0].standing == 3
    assert one.give(0.0, give("a", 4, {"n:1": None}, base=1, page=0, pages=2), LIVING) == Got(True, 4)
    assert read(one, ALL).found[0].standing == 8
    anew = {"a": 77, "b": 2}
    assert one.give(0.0, give("a", 1, {"n:3": Row(1)}, boot=77), LIVING) == Got(False, 0)  # the view knows first
    assert one.ask(0.0, Ask(0, SPACE, ALL), anew).missing == ("a",)
    assert one.give(0.0, give("a", 1, {"n:3": Row(1)}, boot=77), anew) == Got(True, 1)
    assert one.give(0.0, give("a", 5, {"n:1": Row(9)}, boot=1), anew) == Got(False, 0)  # a word of before
    assert one.ask(0.0, Ask(0, SPACE, ALL), anew).found[0].standing == 2


def test_an_owner_tells_the_past_as_of_a_vector_or_that_it_cannot() -> None:
    one = shelf(a={"n:1": Row(2), "n:2": Row(1)}, b={"n:1": Row(1)})
    one.give(0.0, give("a", 2, {"n:1": None, "n:3": Row(4)}, base=1), LIVING)
    before = {"a": Stamp(1, 1), "b": Stamp(2, 1)}
    assert [line.standing for line in read(one, Question(BUSIEST, "", 5), before).found] == [3, 1]
    assert [line.key for line in read(one, Question(BUSIEST, "", 5)).found] == ["n:3", "n:1", "n:2"]
    assert read(one, ALL, {"b": Stamp(2, 1)}).found == (Found("n:", 1, 0, 0),)
    for never in ({"a": Stamp(1, 9)}, {"a": Stamp(5, 1)}, {"c": Stamp(1, 1)}):
        assert not read(one, ALL, never).known
    for seq in range(3, 60):
        one.give(0.0, give("a", seq, {"n:3": Row(seq)}, base=seq - 1), LIVING)
    assert not read(one, ALL, before).known  # too long ago


def test_whom_it_has_not_heard_of_lately_is_named() -> None:
    one = shelf(a={})
    assert read(one, ALL).missing == ("b",) and read(one, ALL, now=2000.0).missing == ("a", "b")


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b"]),
            st.dictionaries(
                st.sampled_from([f"n:{i}" for i in range(6)] + ["t:x"]),
                st.none() | st.builds(Row, st.integers(0, 3), st.integers(0, 3), st.integers(0, 1)),
                max_size=4,
            ),
        ),
        max_size=12,
    ),
    st.data(),
)
def test_sums_and_order_are_those_of_the_rows(
    drawn: list[tuple[str, dict[str, Row | None]]], data: st.DataObject
) -> None:
    """Whatever changes come: now, and as of each vector that was."""
    one, rows, seqs = Shelf(0, SPACE, 1000.0), {name: dict[str, Row]() for name in LIVING}, dict.fromkeys(LIVING, 0)
    past = []
    for name, change in drawn:
        rows[name] = {key: row for key, row in {**rows[name], **change}.items() if row is not None}
        seqs[name] += 1
        assert one.give(0.0, give(name, seqs[name], change, base=seqs[name] - 1), LIVING).ok
        past.append(
            ({n: Stamp(LIVING[n], seq) for n, seq in seqs.items() if seq}, {n: dict(some) for n, some in rows.items()})
        )
    if not past:
        return
    vector, then = data.draw(st.sampled_from(past))
    sums: Counter[str] = Counter()
    tried: Counter[str] = Counter()
    for some in then.values():
        sums.update({key: row.standing for key, row in some.items()})
        tried.update({key: row.tried for key, row in some.items()})
    busy = {key for some in then.values() for key, row in some.items() if row.busy}
    wanted = sorted(
        (-sums[key], -tried[key], key) for key in sums if key[0] == "n" and (sums[key] or tried[key] or key in busy)
    )
    found = read(one, Question(BUSIEST, "", 5), vector).found
    assert [(-line.standing, -line.tried, line.key) for line in found] == wanted[:5]
    assert read(one, ALL, vector).found[0].standing == sum(count for key, count in sums.items() if key[0] == "n")
    assert read(one, Question(TENANT, "x"), vector).found[0].tried == tried["t:x"]


# Sending


def test_an_owner_that_lost_its_books_gets_all_rows_again_page_by_page() -> None:
    account = Account()
    account.took([f"n:{i}" for i in range(7)])
    account.close(0.0, {}, [])
    sender, one = Sender("a", 1, account, 400.0, 200.0, page_rows=3), Shelf(0, SPACE, 1000.0)
    sender.targets([Shard(0, SPACE, ("x",))])

    def drive(now: float) -> list[int]:
        sent = []
        for owner, page in sender.due(now):
            sent.append(page.base)
            sender.got(owner, page, one.give(now, page, LIVING))
        return sent

    for i in range(3):
        assert drive(float(i)) == [0]
    assert drive(4.0) == [] and read(one, ALL).found[0].tried == 7
    one = Shelf(0, SPACE, 1000.0)
    assert drive(300.0) == [1]  # it only says that nothing has changed, and hears that nothing is there
    assert [drive(301.0 + i) for i in range(3)] == [[0]] * 3 and read(one, ALL).found[0].tried == 7
    account.took(["n:1"])
    account.close(400.0, {}, [])
    ((_, page),) = sender.due(400.0)
    assert sender.due(700.0) == [] and sender.due(801.0) == [("x", page)]  # unanswered: the same again


# The map


def test_maps() -> None:
    old = whole(["b", "a"])
    new = split(old, 1 << 31, ("c",))
    assert read_map(write_map(new)) == new and [one.owners for one in new.shards] == [("a", "b"), ("c",)]
    assert groups(old, new) == [Group(0, SPACE, old.shards, new.shards)] and groups(new, new) == []
    again = split(new, 3 << 30, ("d",))
    assert groups(new, again) == [Group(1 << 31, SPACE, new.shards[1:], again.shards[1:])]
    assert len(holding(new, again, old)) == 5 and len(asked_of(ALL, again.shards)) == 3
    key = "n:5"
    (own,) = asked_of(Question(NUMBER, "5"), again.shards)
    assert own.first <= position(key) < own.last


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("[]", "shards: must be a list"),
        ("{", "not JSON"),
        ('{"shards": []}', "must be 1 to"),
        ('{"shards": [{"first": 1, "owners": ["a"]}]}', "the first must be 0"),
        ('{"shards": [{"first": 0, "owners": ["a"]}, {"first": 0, "owners": ["b"]}]}', "each greater"),
        ('{"shards": [{"first": 0, "owners": []}]}', "shards[0].owners"),
        ('{"shards": [{"first": 0, "owners": ["a", "a"]}]}', "each once"),
        ('{"shards": [{"first": 0, "owners": ["z"]}]}', "z is no living member"),
        ('{"shards": [{"first": 0, "owners": ["a"]}], "dual": 2}', "dual: must be"),
        ('{"shards": [{"first": 0, "owners": ["a"]}], "odd": 2}', "odd: unknown"),
    ],
)
def test_maps_that_cannot_be_taken(text: str, word: str) -> None:
    with pytest.raises(RefusedError) as caught:
        read_map(text.encode(), {"a", "b"})
    assert word in str(caught.value)


# Reading


def test_a_question_goes_to_the_next_owner_and_says_when_it_is_incomplete() -> None:
    old = split(whole(["a", "b"]), 1 << 31, ("c",))
    reading = Reading(ALL, list(old.shards))
    asked = reading.start()
    assert [to for _, to, _ in asked] == ["a", "c"]
    ((_, again, _),) = reading.answered(0, None)
    assert again == "b" and reading.answered(0, Reply(True, (Found("n:", 1, 2, 0),), {}, ("z",))) == []
    assert reading.answered(1, None) == []
    answer = reading.answer()
    assert answer is not None and answer.found == (Found("n:", 1, 2, 0),) and answer.missing == ("z",)
    assert not answer.whole and not answer.complete


def dual(old: Shelf, lower: Shelf, upper: Shelf, question: Question = ALL, spoil: bool = False) -> DualRead:
    """Both ways; each shelf answers at once."""
    shards = split(whole(["a"]), 1 << 31, ("c",)).shards
    one = DualRead(question, Group(0, SPACE, whole(["a"]).shards, shards), LIVING)
    shelves = {(0, SPACE): old, (0, 1 << 31): lower, (1 << 31, SPACE): upper}
    out = one.start()
    first = list(out)
    while out:
        fresh = []
        for number, _, ask in out:
            fresh += one.answered(number, shelves[ask.first, ask.last].ask(0.0, ask, LIVING))
        if spoil and fresh:
            for number, _, ask in first:  # answers to the first round come again
                one.answered(number, shelves[ask.first, ask.last].ask(0.0, ask, LIVING))
        out = fresh
    return one


def halves(rows: dict[str, dict[str, Row | None]], seqs: dict[str, int]) -> list[Shelf]:
    found = []
    for first, last in ((0, SPACE), (0, 1 << 31), (1 << 31, SPACE)):
        one = Shelf(first, last, 1000.0)
        for member, some in rows.items():
            mine = {key: row for key, row in some.items() if first <= position(key) < last}
            one.give(0.0, Give(member, LIVING[member], first, last, 0, seqs[member], 0, 1, mine), LIVING)
        found.append(one)
    return found


def test_dual_reads_align_compare_and_never_take_what_cannot_be_aligned_for_agreement() -> None:
    rows: dict[str, dict[str, Row | None]] = {"a": {f"n:{i}": Row(i) for i in range(9)}, "b": {"n:3": Row(2)}}
    old, lower, upper = halves(rows, {"a": 4, "b": 1})
    agreed = dual(old, lower, upper, spoil=True).compared
    assert agreed is not None and agreed.verdict is Verdict.AGREE and agreed.full and agreed.old[0].standing == 38
    # One side is further: compared as of what both have.
    old.give(0.0, give("a", 5, {"n:1": Row(50)}, base=4), LIVING)
    aligned = dual(old, lower, upper, Question(BUSIEST, "", 3)).compared
    assert aligned is not None and aligned.verdict is Verdict.AGREE and aligned.vector["a"].seq == 4
    upper.give(0.0, Give("a", 1, 1 << 31, SPACE, 4, 6, 0, 1, {}), LIVING)
    odd = Shelf(0, 1 << 31, 1000.0)
    odd.give(0.0, Give("b", 2, 0, 1 << 31, 0, 1, 0, 1, {}), LIVING)
    partly = dual(old, odd, upper).compared
    assert partly is not None and partly.verdict is Verdict.AGREE and not partly.full  # of b alone
    none = dual(old, Shelf(0, 1 << 31, 1000.0), upper).compared
    assert none is not None and none.verdict is Verdict.OTHER and "in common" in none.why
    lower.books["a"].rows["n:77"], lower.sums["n:77"] = Row(1), (1, 0, 0)
    lower._keys.add("n:77")
    wrong = dual(old, lower, upper).compared
    assert wrong is not None and wrong.verdict is Verdict.DISAGREE and wrong.old != wrong.new


def test_merged_busiest_are_those_of_the_whole() -> None:
    lines = [Found(f"n:{i}", i % 3, 0, 0) for i in range(9)]
    question = Question(BUSIEST, "", 4)
    assert merge(question, [lines[:4], lines[4:]]) == merge(question, [lines])


def test_the_largest_words_fit_a_stream() -> None:
    page: Body = Give(
        "m" * 64,
        1 << 60,
        0,
        SPACE,
        1 << 60,
        1 << 60,
        0,
        1,
        {f"n:{i:078d}": Row(1 << 40, 1 << 40, 1) for i in range(ROWS_PAGE)},
    )
    reply: Body = Reply(
        True,
        tuple(Found(f"n:{i:078d}", 1 << 40, 1 << 40, 1) for i in range(MOST_BUSY)),
        {f"m{i:062d}": Stamp(1 << 60, 1 << 60) for i in range(2000)},
        (),
    )
    for body in (page, reply):
        data = msgspec.msgpack.encode(body)
        assert len(data) < 1 << 20 and msgspec.msgpack.decode(data, type=Body) == body


# Plays


@pytest.mark.parametrize("back", [False, True])
@pytest.mark.parametrize("seed", range(1, 7))
def test_a_shard_splits_under_load(seed: int, back: bool) -> None:
    played = play(seed, back=back)
    assert played.found == () and not played.disagreed and played.compared["agree"] > 20


@pytest.mark.parametrize("name", ["m0", "m2", "m3"])
def test_an_owner_dies_while_it_is_filled_and_read(name: str) -> None:
    for at in (1200.0, 2600.0, 4000.0):
        played = play(11, dies=(name, at))
        assert played.found == () and not played.disagreed, (name, at, played.found)


@pytest.mark.parametrize("kind", POINT_KINDS)
def test_a_fault_at_numbered_points(kind: str) -> None:
    """A sample; more of them are a command: `sageweir lab shards --every 20`."""
    points = play(1).points
    for number in range(1 + 137 * POINT_KINDS.index(kind), points, 1000):
        played = play(1, {number: kind})
        assert played.found == () and not played.disagreed, f"point {number}, {kind}: {played.hit}: {played.found}"


@pytest.mark.parametrize("name", MUTANTS)
def test_mutants_are_found(name: str) -> None:
    assert finds(name), name
