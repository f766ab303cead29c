"""The store's log: each byte cut and flipped, power cut at each operation, disks that lie and fail."""

from __future__ import annotations

import errno
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner

from sageweir.cli import main
from sageweir.lab.faultydisk import FaultyDisk, PowerCut
from sageweir.store.files import Files, LockedError, RealFiles
from sageweir.store.frames import BODY_MAX, BrokenError, Head, decode_head, encode_head, encode_record
from sageweir.store.log import DistrustedError, Level, Log
from sageweir.store.survey import lines, owner_of, survey

OWNER = 0x5A6E


def bodies(count: int) -> list[bytes]:
    return [b"record %d " % i + b"x" * (i % 7) for i in range(1, count + 1)]


def filled(files: Files, count: int = 12, snapshot_after: int = 0, segment_bytes: int = 120) -> Log:
    log = Log(files, OWNER, segment_bytes=segment_bytes)
    for i, body in enumerate(bodies(count), 1):
        log.append(body)
        log.commit()
        if i == snapshot_after:
            log.snapshot(b"state %d" % i)
    return log


def whole(log: Log) -> list[bytes]:
    """All records that it stands for, those of the snapshot too."""
    recovered = log.recovered
    before = int(recovered.state.split()[1]) if recovered.state else 0
    return bodies(before) + recovered.records


# Plain use


def test_what_was_committed_is_there_after_a_restart_and_the_log_goes_on(tmp_path: Path) -> None:
    files = RealFiles(tmp_path / "store")
    log = filled(files, 12, snapshot_after=5)
    assert log.durable == 12 and len([n for n in files.names() if n.startswith("log-")]) >= 2
    log.close()
    files = RealFiles(tmp_path / "store")
    again = Log(files, OWNER)
    assert again.recovered.state == b"state 5" and whole(again) == bodies(12) and not again.recovered.found
    assert again.append(b"more") == 13 and again.commit() == 13
    with pytest.raises(LockedError):
        RealFiles(tmp_path / "store")
    again.close()
    files = RealFiles(tmp_path / "store")
    assert Log(files, OWNER).recovered.records[-1] == b"more"
    files.close()


def test_levels_say_what_is_durable() -> None:
    for level, durable in ((Level.NONE, 0), (Level.INTERVAL, 0), (Level.EACH, 1)):
        log = Log(FaultyDisk(Random(1)), OWNER, level)
        log.append(b"a")
        assert log.commit() == durable and log.written == 1
        assert log.sync() == 1
    with pytest.raises(ValueError):
        log.append(b"")
    with pytest.raises(ValueError):
        log.append(b"x" * (BODY_MAX + 1))


def test_another_members_directory_is_not_read() -> None:
    disk = FaultyDisk(Random(1))
    filled(disk)
    other = Log(disk, OWNER + 1)
    assert other.recovered.records == [] and "another directory" in other.recovered.found[0]
    with pytest.raises(BrokenError):
        decode_head(encode_head(Head(1, 1, 1, 0))[:-1], 1)


# Cuts and flips


def one_segment() -> tuple[FaultyDisk, str, bytes]:
    disk = FaultyDisk(Random(1))
    filled(disk, 9, segment_bytes=10_000)
    return disk, "log-000000000001", disk.read("log-000000000001")


def prefix(records: list[bytes], count: int) -> bool:
    return records == bodies(count)[: len(records)]


def test_a_log_cut_at_any_byte_gives_a_clean_prefix() -> None:
    disk, name, data = one_segment()
    lengths = set()
    for end in range(len(data)):
        cut = disk.copy()
        cut.cut(name, end)
        records = Log(cut, OWNER).recovered.records
        assert prefix(records, 9)
        lengths.add(len(records))
    assert lengths == set(range(9))


def test_a_bit_flipped_in_any_byte_is_seen_and_nothing_after_it_is_believed() -> None:
    disk, name, data = one_segment()
    for at in range(len(data)):
        for bit in (0, 7):
            flipped = disk.copy()
            flipped.spoil(name, at, bytes([data[at] ^ 1 << bit]))
            log = Log(flipped, OWNER)
            assert prefix(log.recovered.records, 9) and len(log.recovered.records) < 9 and log.recovered.found
            log.append(b"after")
            log.commit()
            again = Log(flipped, OWNER).recovered
            assert again.records == [*log.recovered.records, b"after"] and not again.found


def test_a_segment_that_is_missing_doubled_or_from_another_time_ends_what_is_believed() -> None:
    disk = FaultyDisk(Random(1))
    filled(disk, 20)
    segments = [name for name in disk.names() if name.startswith("log-")]
    for gone in segments[:-1]:
        part = disk.copy()
        part.remove(gone)
        log = Log(part, OWNER)
        assert prefix(log.recovered.records, 20) and len(log.recovered.records) < 20 and log.recovered.found
    doubled = disk.copy()
    doubled.write(segments[2], disk.read(segments[1]))
    assert prefix(Log(doubled, OWNER).recovered.records, 20)
    other = FaultyDisk(Random(2))
    log = Log(other, OWNER, segment_bytes=120)
    for _ in range(20):
        log.append(b"of another time")
        log.commit()
    mixed = disk.copy()
    mixed.write(segments[3], other.read([n for n in other.names() if n.startswith("log-")][3]))
    assert prefix(Log(mixed, OWNER).recovered.records, 20)


def test_an_old_snapshot_goes_with_a_newer_log_only_where_they_join() -> None:
    disk = FaultyDisk(Random(1))
    filled(disk, 6, snapshot_after=3)
    old = next(name for name in disk.names() if name.startswith("snapshot"))
    state = disk.read(old)
    log = Log(disk, OWNER, segment_bytes=120)
    log.snapshot(b"state 6")
    for body in bodies(12)[6:]:
        log.append(body)
        log.commit()
    new = next(name for name in disk.names() if name.startswith("snapshot"))
    back = disk.copy()
    back.remove(new)
    back.write(old, state)
    recovered = Log(back, OWNER).recovered  # the log between them is gone
    assert recovered.state == b"state 3" and recovered.records == [] and recovered.found
    spoilt = disk.copy()
    spoilt.spoil(new, 50, b"?")
    recovered = Log(spoilt, OWNER).recovered
    assert recovered.state == b"" and recovered.records == [] and len(recovered.found) == 2


# Power cuts


def work(files: Files, told: list[int]) -> None:
    """Appends, commits, rotations and two compactions; told: up to where was durable."""
    log = Log(files, OWNER, segment_bytes=100)
    at = log.last
    for i, body in enumerate(bodies(at + 14)[at:], at + 1):
        log.append(body)
        if i % 3:
            told.append(log.commit())
        if i - at in (5, 10):
            log.snapshot(b"state %d" % i)
            told.append(log.durable)


def power_cuts(make: Callable[[int, int], FaultyDisk], honest: bool, seeds: int) -> int:
    """Cut the power at each operation, and again at each of the recovery; how many cuts there were."""
    cuts = 0
    for seed in range(seeds):
        plain = make(seed, 0)
        work(plain, [])
        for at in range(1, plain.operations + 1):
            disk, told = make(seed, at), [0]
            with pytest.raises(PowerCut):
                work(disk, told)
            cuts += 1
            found = disk.after_power_cut()
            copy = found.copy()
            log = Log(copy, OWNER)
            records = whole(log)
            assert records == bodies(14)[: len(records)], f"seed {seed}, cut at {at}"
            if honest:
                assert len(records) >= told[-1], f"seed {seed}, cut at {at}: {len(records)} of {told[-1]}"
            for again in range(1, copy.operations + 1):  # and while it recovers
                second = found.copy()
                second.cut_at = again
                with pytest.raises(PowerCut):
                    Log(second, OWNER)
                cuts += 1
                assert whole(Log(second.after_power_cut(), OWNER)) == records, f"seed {seed}, {at}, again {again}"
    return cuts


def test_power_cut_at_any_operation_loses_nothing_that_was_durable() -> None:
    assert power_cuts(lambda seed, at: FaultyDisk(Random(seed), cut_at=at), True, 12) > 2000


def test_a_disk_that_lies_about_syncs_still_gives_a_clean_prefix() -> None:
    assert power_cuts(lambda seed, at: FaultyDisk(Random(seed), lies=True, cut_at=at), False, 6) > 500


def test_changes_of_names_that_survive_in_any_choice_still_give_a_clean_prefix() -> None:
    assert power_cuts(lambda seed, at: FaultyDisk(Random(seed), lies=True, cut_at=at, reorders=True), False, 6) > 500


# Failures


@pytest.mark.parametrize("code", [errno.EIO, errno.ENOSPC])
def test_a_failed_operation_is_never_tried_again_and_the_log_takes_nothing_more(code: int) -> None:
    plain = FaultyDisk(Random(1))
    work(plain, [])
    started = FaultyDisk(Random(1))
    Log(started, OWNER, segment_bytes=100)
    for at in range(started.operations + 1, plain.operations + 1):
        disk = FaultyDisk(Random(1), fails=((at, code),))
        log = Log(disk, OWNER, segment_bytes=100)
        with pytest.raises(DistrustedError):
            for i, body in enumerate(bodies(14), 1):
                log.append(body)
                if i % 3:
                    log.commit()
                if i in (5, 10):
                    log.snapshot(b"state %d" % i)
        done = disk.operations
        calls: list[Callable[[], object]] = [
            partial(log.append, b"x"),
            log.commit,
            log.sync,
            partial(log.snapshot, b"s"),
        ]
        for call in calls:
            with pytest.raises(DistrustedError):
                call()
        assert disk.operations == done and log.distrusted
        records = whole(Log(disk.after_power_cut(), OWNER))
        assert records == bodies(14)[: len(records)] and len(records) >= log.durable


def test_the_checker_finds_mutants() -> None:
    class TriesAgain(Log):
        """Tries a failed sync again."""

        def _distrust(self, error: OSError) -> DistrustedError:
            self.written = self.durable = self.last
            return DistrustedError("again")

    class EarlyWord(Log):
        """Says durable before it synced."""

        def commit(self) -> int:
            super().commit()
            return self.last

        def _sync(self) -> None:
            pass

    class RemovesFirst(Log):
        """Removes the old segments before the snapshot is there."""

        def snapshot(self, state: bytes) -> None:
            for name in self.files.names():
                if name.startswith("log-") and not name.endswith(f"{self._number:012d}"):
                    self.files.remove(name)
            self.files.sync_names()
            super().snapshot(state)

    class KeepsTail(Log):
        """Leaves what it does not believe where it is."""

        def _set_aside(self, *args: object) -> None:
            pass

    found = set[type[Log]]()
    for kind in (EarlyWord, RemovesFirst):
        for at in range(1, 90):
            disk, told = FaultyDisk(Random(at), cut_at=at), [0]
            try:
                log: Log = kind(disk, OWNER, segment_bytes=100)
                for i, body in enumerate(bodies(14), 1):
                    log.append(body)
                    told.append(log.commit())
                    if i in (5, 10):
                        log.snapshot(b"state %d" % i)
            except PowerCut:
                pass
            records = whole(Log(disk.after_power_cut(), OWNER))
            if records != bodies(14)[: len(records)] or len(records) < told[-1]:
                found.add(kind)
    disk = FaultyDisk(Random(1), fails=((6, errno.EIO),))
    log = TriesAgain(disk, OWNER)
    for body in bodies(3):
        log.append(body)
        try:
            log.commit()
        except DistrustedError:
            continue
    if whole(Log(disk.after_power_cut(), OWNER)) != bodies(log.durable):
        found.add(TriesAgain)
    disk, name, data = one_segment()
    disk.cut(name, len(data) - 3)
    log = KeepsTail(disk, OWNER)
    log.append(b"after")
    log.commit()
    if Log(disk, OWNER).recovered.records[-1:] != [b"after"]:
        found.add(KeepsTail)
    assert found == {EarlyWord, RemovesFirst, TriesAgain, KeepsTail}


def test_a_record_is_told_from_another_at_the_same_place() -> None:
    a, chain = encode_record(b"a", 0)
    assert encode_record(b"a", chain)[0] != a and encode_record(b"a", 0) == (a, chain)


# For operators


def test_a_directory_is_surveyed_and_left_as_it_is(tmp_path: Path) -> None:
    folder = tmp_path / "store"
    files = RealFiles(folder)
    filled(files, 12, snapshot_after=5).close()
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    shown = CliRunner().invoke(main, ["store", "check", str(folder)])
    assert shown.exit_code == 0 and "state of all before record 6" in shown.output and "to 12" in shown.output
    dumped = CliRunner().invoke(main, ["store", "dump", str(folder)])
    assert dumped.exit_code == 0 and dumped.output.splitlines()[-1].startswith("12 record 12 ")
    last = folder / sorted(name for name in before if name.startswith("log-"))[-1]
    last.write_bytes(last.read_bytes()[:-1])
    (folder / "log-000000000099").write_bytes(b"rubbish")
    shown = CliRunner().invoke(main, ["store", "check", str(folder)])
    assert shown.exit_code == 1 and shown.output.count("BROKEN") == 2 and "a record is cut at byte" in shown.output
    assert CliRunner().invoke(main, ["store", "check", str(tmp_path / "nowhere")]).exit_code == 2


def test_a_survey_tells_where_segments_do_not_join() -> None:
    disk = FaultyDisk(Random(1))
    filled(disk, 20)
    names = [name for name in disk.names() if name.startswith("log-")]
    files = {name: disk.read(name) for name in names}
    assert not any(row.why for row in survey(files)) and owner_of(files) == OWNER
    gone = survey({name: data for name, data in files.items() if name != names[1]})
    assert ["was next" in row.why for row in gone].count(True) == 1
    other = FaultyDisk(Random(2))
    log = Log(other, OWNER, segment_bytes=120)
    for body in bodies(20):
        log.append(body.upper())
        log.commit()
    mixed = survey(files | {names[2]: other.read(names[2])})
    assert any("not the one that was written after" in row.why for row in mixed)
    assert survey({"log-000000000001": b""})[0].why == "nothing tells whose it is"
    assert lines(survey({"note": b"x"})) == ["note: 1 bytes, not read"]
