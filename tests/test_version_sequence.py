"""Properties of the control service's version sequence over several instances, by any order of events."""

from __future__ import annotations

from random import Random

from sageweir.control.encoding import encode
from sageweir.control.line import Version, VersionSequence
from sageweir.control.snapshot import ENDPOINT, Body, SnapshotStore
from tests.test_cluster_works import endpoints, line

MAX_BYTES = 1 << 20
INSTANCES = 2
EVENTS, STEPS = 12, 40


def test_a_publisher_whose_feed_is_behind_publishes_under_its_own_term_once_it_has_caught_up() -> None:
    """Failure: news that was still behind put the old term back, and the next state was numbered from 1 in it."""
    first, second, other = line(), line(), line()
    for number in range(1, 11):
        first.on_plan({(ENDPOINT, "c"): endpoints("a", *map(str, range(number)))}, frozenset(), number)
        if number == 1:
            first.start_publishing(3)
    assert first.published_version == (3, 10)
    assert second.adopt(first.blob(), 3, MAX_BYTES) == other.adopt(first.blob(), 3, MAX_BYTES) == ""
    second.on_plan({(ENDPOINT, "c"): endpoints("a")}, frozenset(), 8)
    second.start_publishing(8)
    second.on_plan({(ENDPOINT, "c"): endpoints("a")}, frozenset(), 9)
    assert second.published_version == (3, 10)
    second.on_plan({(ENDPOINT, "c"): endpoints("a", "new")}, frozenset(), 11)
    assert second.published_version == (8, 1)
    assert other.adopt(second.blob(), 8, MAX_BYTES) == "" and other.served_version >= second.served_version


def test_a_new_publisher_publishes_its_term_once_its_feed_has_caught_up_though_nothing_has_changed() -> None:
    """Failure: others took what it published later for stale, or saw no state of its term at all."""
    first, second = line(), line()
    plan = {(ENDPOINT, "c"): endpoints("a")}
    first.on_plan(plan, frozenset(), 5)
    first.start_publishing(3)
    assert second.adopt(first.blob(), 3, MAX_BYTES) == ""
    second.on_plan(plan, frozenset(), 4)
    second.start_publishing(8)
    second.on_plan(plan, frozenset(), 5)
    assert second.published_version == (8, 1)


class Instances:
    """Instances hear the feed at their own pace, publish in turns, and fetch each other's states, in a drawn order."""

    def __init__(self, seed: int) -> None:
        self.draw = Random(seed)
        self.sequences = [
            VersionSequence(SnapshotStore("start", encode), self.on_published, lambda: None) for _ in range(INSTANCES)
        ]
        self.heard = [0] * INSTANCES  # feed events, by instance
        self.feed = [(self.some_servers(), self.some_servers()) for _ in range(EVENTS)]  # listed, and stopped
        self.term, self.holder = 0, -1
        self.published: list[Version] = [()] * INSTANCES
        self.bodies: dict[str, Body] = {}  # by version

    def some_servers(self) -> frozenset[str]:
        return frozenset(name for name in "abc" if self.draw.random() < 0.5)

    def on_published(self) -> None:
        version = self.sequences[self.holder].published_version
        assert version[0] == self.term, f"{version} was published in term {self.term}"

    def hear_feed(self, which: int) -> None:
        self.heard[which] = min(len(self.feed), self.heard[which] + 1)
        listed, stopped = self.feed[self.heard[which] - 1]
        plan = {(ENDPOINT, "c"): endpoints(*sorted(listed - stopped))}
        self.sequences[which].on_plan(plan, listed & stopped, self.heard[which])

    def win_role(self, which: int) -> None:
        if self.holder >= 0:
            self.sequences[self.holder].stop_publishing()
        self.term, self.holder = self.term + 1, which
        self.sequences[which].start_publishing(self.term)

    def fetch(self, which: int) -> None:
        others = [sequence for sequence in self.sequences if sequence is not self.sequences[which]]
        self.sequences[which].adopt(self.draw.choice(others).blob(), 0, MAX_BYTES)

    def step(self) -> None:
        do = self.draw.choice([self.hear_feed, self.hear_feed, self.win_role, self.fetch])
        do(self.draw.randrange(INSTANCES))
        for which, sequence in enumerate(self.sequences):
            version = sequence.published_version
            assert version >= self.published[which], f"{version} after {self.published[which]}"
            self.published[which] = version
            for resource in sequence.store.present.of(ENDPOINT).values():
                known = self.bodies.setdefault(resource.version, resource.body)
                assert known == resource.body, f"{resource.version}: {known.offers} and {resource.body.offers}"


def test_versions_only_increase_are_of_the_publishers_term_and_are_never_used_again() -> None:
    """Failure: a publisher under an old term, with versions that others had seen with other content."""
    for seed in range(1000):
        instances = Instances(seed)
        try:
            for _ in range(STEPS):
                instances.step()
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from None
