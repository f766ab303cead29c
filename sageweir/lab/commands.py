"""The laboratory's commands. Each prints its bounds and exits 1 when one is missed."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click

from sageweir.lab.report import Report, plot_ecdf

PROCESSES = max(1, min(4, (os.cpu_count() or 2) - 3))
_json = click.option("--json", "json_path", type=click.Path(dir_okay=False, path_type=Path), help="Figures.")
_plot = click.option("--plot", type=click.Path(dir_okay=False, path_type=Path), help="A PNG or SVG.")
_processes = click.option("--processes", default=PROCESSES, show_default=True, help="Of stand-in proxies.")


def _finish(
    work: Coroutine[Any, Any, Report],
    json_path: Path | None,
    plot: Path | None,
    title: str,
    bound: float,
    axis: str = "ms from notice",
    unit: str = "ms",
) -> None:
    report = asyncio.run(work)
    click.echo(report.text())
    if json_path is not None:
        report.write(json_path)
    if plot is not None:
        plot_ecdf(
            plot,
            title,
            {
                name.strip("_").removesuffix(f"_{unit}"): values
                for name, values in report.figures.items()
                if name.startswith("_")
            },
            bound,
            axis,
            unit,
        )
    sys.exit(0 if report.kept else 1)


def add_commands(group: click.Group) -> None:
    """Add all experiments to the group."""

    @group.command()
    @click.option("--proxies", default=200, show_default=True)
    @click.option("--servers", default=20, show_default=True)
    @click.option("--drains", default=50, show_default=True)
    @click.option("--rate", default=10.0, show_default=True, help="Set-ups a second of each proxy.")
    @_processes
    @_json
    @_plot
    def drain(
        proxies: int, servers: int, drains: int, rate: float, processes: int, json_path: Path | None, plot: Path | None
    ) -> None:
        """From the notice of a drain to silence at the server; sound and stalled streams, with and without leases."""
        from sageweir.lab.drain import BOUND_MS
        from sageweir.lab.drain import drain as run

        _finish(run(proxies, servers, drains, rate, processes), json_path, plot, "Notice to silence", BOUND_MS)

    @group.command()
    @click.option("--proxies", default=1000, show_default=True)
    @click.option("--servers", default=200, show_default=True)
    @click.option("--changes", default=20, show_default=True)
    @click.option("--workers", default=4, show_default=True, help="Instances of the service that share the port.")
    @_processes
    @_json
    @_plot
    def fanout(
        proxies: int,
        servers: int,
        changes: int,
        workers: int,
        processes: int,
        json_path: Path | None,
        plot: Path | None,
    ) -> None:
        """From a change to the last ACK over many streams; bytes and memory; beside polling."""
        from sageweir.lab.fanout import fanout as run

        _finish(run(proxies, servers, changes, processes, workers), json_path, plot, "Notice to ACK", 100.0)

    @group.command()
    @click.option("--members", default=8, show_default=True, help="Real processes.")
    @click.option("--whole", is_flag=True, help="All hard cases at 200 members; some minutes more.")
    @click.option("--seeds", default=100, show_default=True, help="Random fault scripts in virtual time.")
    @click.option("--hours", default=0.1, show_default=True, help="Of each of 32 members, for wrong deaths.")
    @click.option("--minutes", default=0.0, show_default=True, help="Of loss between real processes.")
    @click.option(
        "--size",
        "sizes",
        multiple=True,
        type=int,
        default=(8, 32, 200),
        show_default=True,
        help="Of simulated fleets; several times.",
    )
    @click.option(
        "--workers", default=max(1, (os.cpu_count() or 2) - 1), show_default=True, help="Processes that simulate."
    )
    @_json
    @_plot
    def view(
        members: int,
        whole: bool,
        seeds: int,
        hours: float,
        minutes: float,
        sizes: tuple[int, ...],
        workers: int,
        json_path: Path | None,
        plot: Path | None,
    ) -> None:
        """The fleet's view of itself: crash, partition, stalls and random faults; a cold server's start."""
        from sageweir.lab.view import AIM_PERIODS
        from sageweir.lab.view import view as run

        _finish(
            run(members, seeds, hours, sizes, workers, whole, minutes),
            json_path,
            plot,
            "Crash to known",
            AIM_PERIODS,
            "periods from the crash",
            "periods",
        )

    @group.command()
    @click.option("--seeds", default=300, show_default=True, help="Random fault scripts in virtual time.")
    @click.option("--first", default=1, show_default=True, help="The first seed.")
    @click.option("--faults", default=12, show_default=True, help="Between real processes, at least.")
    @click.option("--gaps", default=300, show_default=True, help="Crashes, and as many handings on, in virtual time.")
    @click.option("--whole", is_flag=True, help="All states of larger scopes too; some minutes more.")
    @click.option(
        "--workers", default=max(1, (os.cpu_count() or 2) - 2), show_default=True, help="Processes that simulate."
    )
    @click.option("--rigs", default=2, show_default=True, help="Fleets of real processes at once.")
    @_json
    @_plot
    def duties(
        seeds: int,
        first: int,
        faults: int,
        gaps: int,
        whole: bool,
        workers: int,
        rigs: int,
        json_path: Path | None,
        plot: Path | None,
    ) -> None:
        """Duties that only one holds: all states, random faults, time without a holder, what it is worth."""
        from sageweir.cluster.leases.voter import Timing
        from sageweir.lab.duties import duties as run

        _finish(
            run(seeds, faults, gaps, whole, workers, rigs, first),
            json_path,
            plot,
            "Without a holder",
            Timing().lease_ms,
        )

    @group.command()
    @click.option("--seed", default=1, show_default=True, help="Of the plays with faults at points.")
    @click.option("--every", default=97, show_default=True, help="One point in so many; 1: all; 0: none.")
    @click.option("--pairs", default=40, show_default=True, help="Plays with two faults at points, drawn by chance.")
    @click.option("--seeds", default=2, show_default=True, help="Changes to each worse version, in virtual time.")
    @click.option("--equal", default=6, show_default=True, help="Changes to an equal version.")
    @click.option("--fixed", is_flag=True, help="The same beside a gate of fixed bars.")
    @click.option("--members", default=60, show_default=True, help="Of the fleet that the gate watches.")
    @click.option("--uneven", default=0.03, show_default=True, help="Worth by which members differ for good.")
    @click.option(
        "--workers", default=max(1, (os.cpu_count() or 2) - 2), show_default=True, help="Processes that simulate."
    )
    @_json
    def changes(
        seed: int,
        every: int,
        pairs: int,
        seeds: int,
        equal: int,
        fixed: bool,
        members: int,
        uneven: float,
        workers: int,
        json_path: Path | None,
    ) -> None:
        """Changes in stages: faults at numbered points; the gate over equal and worse versions."""
        from sageweir.lab.changes import changes as run

        _finish(run(seed, every, pairs, seeds, equal, fixed, members, uneven, workers), json_path, None, "", 0.0)

    @group.command()
    @click.option("--seeds", default=6, show_default=True, help="The power goes at each operation of the disk of each.")
    @click.option("--pairs", default=60, show_default=True, help="Of power losses, of each seed.")
    @click.option("--workers", default=max(1, (os.cpu_count() or 2) - 2), show_default=True)
    @_json
    def powersim(seeds: int, pairs: int, workers: int, json_path: Path | None) -> None:
        """Power losses of a controller in virtual time, at numbered operations of its disk, judged from both ends."""
        from sageweir.lab.powersim import power as run

        _finish(run(seeds, pairs, workers), json_path, None, "", 0.0)

    @group.command()
    @click.option("--terms", default=2, show_default=True, help="Held, in turn by two holders.")
    @click.option("--writes", default=1, show_default=True, help="Of each term.")
    @click.option("--crashes", default=1, show_default=True, help="Of keepers that keep their disks.")
    @click.option("--losses", default=0, show_default=True, help="Of keepers that come back with empty disks.")
    @click.option("--seconds", default=50.0, show_default=True, help="Until it is broken off.")
    @_json
    def register(terms: int, writes: int, crashes: int, losses: int, seconds: float, json_path: Path | None) -> None:
        """All states of the changes' register in a small scope: nothing that a majority had is lost."""
        from sageweir.lab.registercheck import RegisterScope
        from sageweir.lab.registercheck import register as run

        _finish(run(RegisterScope(terms, writes, crashes, losses), seconds), json_path, None, "", 0.0)

    @group.command()
    @click.option("--rev", default="HEAD~1", show_default=True, help="Of this repository: the older version.")
    @click.option("--plays", default=2, show_default=True, help="With either half of the fleet on it.")
    @click.option("--seed", default=1, show_default=True)
    @_json
    def older(rev: str, plays: int, seed: int, json_path: Path | None) -> None:
        """Processes of an older version beside this one: what they agree on, and what waits for the last to go."""
        from sageweir.lab.older import older as run

        _finish(run(rev, plays, seed), json_path, None, "", 0.0)

    @group.command()
    @click.option("--most", default=16, show_default=True, help="Plays, drawn from all points; 0: all.")
    @click.option("--each", default=2, show_default=True, help="Passes of each point: the first, and later ones.")
    @click.option("--rigs", default=4, show_default=True, help="Fleets of real processes at once.")
    @click.option("--seed", default=1, show_default=True)
    @_json
    def points(most: int, each: int, rigs: int, seed: int, json_path: Path | None) -> None:
        """Faults at numbered points of real processes while rules are changed."""
        from sageweir.lab.points import points as run

        _finish(run(most, each, rigs, seed), json_path, None, "", 0.0)

    @group.command()
    @click.option("--faults", default=10, show_default=True, help="At least.")
    @click.option("--rigs", default=2, show_default=True, help="Fleets of nine real processes at once.")
    @click.option("--first", default=1, show_default=True, help="The first seed.")
    @_json
    def changefleet(faults: int, rigs: int, first: int, json_path: Path | None) -> None:
        """Changes among nine real processes in three zones under load, with random faults."""
        from sageweir.lab.changefleet import fleet as run

        _finish(run(faults, rigs, first), json_path, None, "", 0.0)

    @group.command()
    @click.option("--every", default=300, show_default=True, help="One point in so many, of each fault; 1: all.")
    @click.option("--seeds", default=100, show_default=True, help="Splits without a fault, and as many with two.")
    @click.option("--numbers", default=200_000, show_default=True, help="Of the large split.")
    @click.option(
        "--workers", default=max(1, (os.cpu_count() or 2) - 2), show_default=True, help="Processes that simulate."
    )
    @_json
    def shards(every: int, seeds: int, numbers: int, workers: int, json_path: Path | None) -> None:
        """A shard that splits: faults at points, dual reads, mutants, and one with many numbers."""
        from sageweir.lab.shards import shards as run

        _finish(run(every, seeds, numbers, workers), json_path, None, "", 0.0)

    @group.command()
    @click.option("--records", default=100_000, show_default=True, help="Of the largest log that is recovered.")
    @click.option("--commits", default=300, show_default=True, help="Of each level.")
    @click.option("--seeds", default=10, show_default=True, help="Each with a power cut at each operation.")
    @click.option("--where", type=click.Path(file_okay=False, path_type=Path), help="On the disk that is meant.")
    @_json
    def store(records: int, commits: int, seeds: int, where: Path | None, json_path: Path | None) -> None:
        """The store's log: its levels and recovery beside SQLite and LMDB; cuts, flips and power cuts."""
        from sageweir.lab.store import store as run

        _finish(run(records, commits, seeds, where), json_path, None, "", 0.0)

    @group.command()
    @click.option("--upgrades", default=10, show_default=True)
    @click.option("--callers", default=20, show_default=True)
    @click.option("--rate", default=150.0, show_default=True, help="Set-ups a second of all callers.")
    @_json
    def upgrade(upgrades: int, callers: int, rate: float, json_path: Path | None) -> None:
        """New versions of the controller under load: requests, connections, calls, memory and descriptors."""
        from sageweir.lab.upgrade import upgrade as run

        _finish(run(upgrades, callers, rate), json_path, None, "", 0.0)

    @group.command()
    @click.option("--proxies", default=200, show_default=True)
    @click.option("--servers", default=10, show_default=True)
    @click.option("--load", default=0.8, show_default=True, help="Part of the warm fleet's capacity.")
    @_processes
    @_json
    def coldstart(proxies: int, servers: int, load: float, processes: int, json_path: Path | None) -> None:
        """Work sent to a cold server while all proxies come back at once."""
        from sageweir.lab.coldstart import coldstart as run

        _finish(run(proxies, servers, load, processes), json_path, None, "", 0.0)

    @group.command()
    @click.option("--fleets", default=4, show_default=True, help="At a time.")
    @click.option("--kills", default=25, show_default=True, help="In each fleet.")
    @click.option("--busy", default=0, show_default=True, help="Busy processes beside them.")
    @_json
    @_plot
    def failover(fleets: int, kills: int, busy: int, json_path: Path | None, plot: Path | None) -> None:
        """How long a role has no holder after its holder was killed."""
        from sageweir.lab.failover import BUSY_BOUND_PERIODS, QUIET_BOUND_PERIODS
        from sageweir.lab.failover import failover as run

        bound = BUSY_BOUND_PERIODS if busy else QUIET_BOUND_PERIODS
        title = f"Without a holder after a crash, beside {busy} busy processes"
        _finish(run(fleets, kills, busy), json_path, plot, title, bound, "periods from the kill", "periods")

    @group.command()
    @click.argument("tests", nargs=-1, required=True)
    @click.option("--plays", default=10, show_default=True, help="Of each case.")
    @click.option("--busy", default=0, show_default=True, help="Busy processes beside them.")
    @click.option("--concurrency", default=4, show_default=True, help="Plays at a time.")
    @click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True, help="JSON lines, appended.")
    @click.option("--kept", type=click.Path(file_okay=False, path_type=Path), help="For files of failed plays.")
    def cases(tests: tuple[str, ...], plays: int, busy: int, concurrency: int, out: Path, kept: Path | None) -> None:
        """Plays cases of several processes many times; TESTS: their ids, or files in which ids begin the lines."""
        from sageweir.lab.flaky import Case, play_all

        names = [
            name for test in tests for name in (Path(test).read_text().splitlines() if "::" not in test else [test])
        ]
        found = [Case.parse(name.partition(" | ")[0]) for name in names if "::test_processes[" in name]
        ended = asyncio.run(play_all(found, plays, busy, concurrency, out, kept))
        failed = sum(bool(play.error) for play in ended)
        click.echo(f"{len(ended) - failed} passed, {failed} failed")
        sys.exit(1 if failed else 0)

    @group.command()
    @click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
    def cases_table(files: tuple[Path, ...]) -> None:
        """Tabulates plays of cases by load, as Markdown."""
        from sageweir.lab.flaky import read, table

        click.echo("\n".join(table(play for file in files for play in read(file))))
