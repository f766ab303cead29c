"""The command line: `sageweir control`, `sageweir lab ...`. On click; needs the `control` extra."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from sageweir.control.command import control

if TYPE_CHECKING:
    from sageweir.store.survey import Row


@click.group()
def main() -> None:
    """A session controller, and its decisions for other proxies."""


main.add_command(control)


@main.group()
def cluster() -> None:
    """The fleet as one of its members sees it."""


@cluster.command("show")
@click.argument("address", envvar="NODE_ADMIN_ADDR")
@click.option("--json", "as_json", is_flag=True, help="All that is known, as JSON.")
def cluster_show(address: str, as_json: bool) -> None:
    """The view of the session controller whose second address (admin_addr) is ADDRESS. Exit code 2: no answer."""
    from sageweir.ask import ask
    from sageweir.cluster.show import membership_table

    try:
        reply = ask(address, "show-cluster")
    except (OSError, ValueError) as error:
        click.echo(f"no answer from {address}: {error}", err=True)
        sys.exit(2)
    if not reply.endswith("EOT\n"):
        click.echo(reply.strip(), err=True)
        sys.exit(1)
    text = reply.removesuffix("EOT\n").strip()
    click.echo(text if as_json else membership_table(text))


@cluster.command("hand-over")
@click.argument("words", nargs=-1, required=True, metavar="DUTY [MEMBER] [ADDRESS]")
@click.option("--wait", default=10.0, show_default=True, help="Seconds until it must be held by another.")
def cluster_hand_over(words: tuple[str, ...], wait: float) -> None:
    """Have DUTY handed to MEMBER, or to any other, by whoever holds it.

    ADDRESS is any controller's second address (host:port), else NODE_ADMIN_ADDR. Exit code 1: refused, or not done in
    time; 2: no answer.
    """
    import os
    import time

    address = words[-1] if ":" in words[-1] else os.environ.get("NODE_ADMIN_ADDR", "")
    duty, member, *more = (*(word for word in words if word != address), "", "")
    if any(more) or not duty or not address:
        raise click.UsageError("DUTY [MEMBER] ADDRESS are wanted")

    import orjson

    from sageweir.ask import ask

    def look() -> tuple[str | None, int | None]:
        one = orjson.loads(ask(address, "show-cluster").partition("\nEOT")[0]).get("duties", {}).get(duty, {})
        return one.get("holder"), one.get("term")

    try:
        before = look()
        reply = ask(address, f"hand-over {duty} {member}".strip()).strip()
        if reply != "SUCCESS":
            click.echo(reply.removeprefix("FAILURE "), err=True)
            sys.exit(1)
        end = time.monotonic() + wait
        while time.monotonic() < end:
            holder, term = look()
            if holder is not None and term != before[1] and holder != before[0]:
                click.echo(f"{duty} is held by {holder} under term {term}")
                sys.exit(0 if member in ("", holder) else 1)
            time.sleep(0.05)
    except (OSError, ValueError) as error:
        click.echo(f"no answer from {address}: {error}", err=True)
        sys.exit(2)
    click.echo(f"{duty}: no other has taken it within {wait:g} s", err=True)
    sys.exit(1)


@cluster.command("electors")
@click.argument("change", type=click.Choice(["add", "remove"]))
@click.argument("name")
@click.argument("places", nargs=-1, metavar="[PLACE] [ADDRESS]")
@click.option("--wait", default=20.0, show_default=True, help="Seconds until the new list must be in force.")
def cluster_electors(change: str, name: str, places: tuple[str, ...], wait: float) -> None:
    """Add elector NAME at PLACE (host:port of its link), or remove NAME.

    ADDRESS is any controller's second address (host:port), else NODE_ADMIN_ADDR. Exit code 1: refused, or not in force
    in time; 2: no answer.
    """
    import os
    import time

    place, *rest = places if change == "add" and places else ("", *places)
    address = rest[0] if rest else os.environ.get("NODE_ADMIN_ADDR", "")
    if len(rest) > 1 or not address or bool(place) != (change == "add"):
        raise click.UsageError("add NAME PLACE ADDRESS, or remove NAME ADDRESS, are wanted")

    import orjson

    from sageweir.ask import ask

    try:
        reply = ask(address, f"electors {change} {name} {place}".strip()).strip()
        if reply != "SUCCESS":
            click.echo(reply.removeprefix("FAILURE "), err=True)
            sys.exit(1)
        end, told = time.monotonic() + wait, ""
        while time.monotonic() < end and ("is in force" not in told and "was not accepted" not in told):
            time.sleep(0.05)
            told = orjson.loads(ask(address, "show-cluster").partition("\nEOT")[0]).get("electors_told", "")
    except (OSError, ValueError) as error:
        click.echo(f"no answer from {address}: {error}", err=True)
        sys.exit(2)
    click.echo(told)
    sys.exit(0 if "is in force" in told else 1)


@cluster.command("change")
@click.argument("do", type=click.Choice(["propose", "show", "go", "halt"]))
@click.argument("words", nargs=-1, metavar="[FILE|WHY] [ADDRESS]")
@click.option(
    "--kind",
    type=click.Choice(["rules", "shards", "program"]),
    default="rules",
    show_default=True,
    help="Of what FILE holds.",
)
@click.option("--wait", default=10.0, show_default=True, help="Seconds until the holder must have answered.")
@click.option("--json", "as_json", is_flag=True, help="All that is known, as JSON.")
def cluster_change(do: str, words: tuple[str, ...], kind: str, wait: float, as_json: bool) -> None:
    """Changes in stages: `propose FILE`, `show`, `go` on now, `halt [WHY]` and go back to what is proven.

    ADDRESS is any controller's second address (host:port), else NODE_ADMIN_ADDR; FILE is on that machine. Exit code 1:
    refused, or not answered in time; 2: no answer.
    """
    import os
    import time

    import orjson

    from sageweir.ask import ask
    from sageweir.cluster.changes.messages import NOT_WRITTEN_YET
    from sageweir.cluster.show import rollout_lines

    has_address = bool(words) and ":" in words[-1] and "/" not in words[-1]
    address = words[-1] if has_address else os.environ.get("NODE_ADMIN_ADDR", "")
    rest = words[:-1] if has_address else words
    if not address or (do == "propose") != (len(rest) == 1 and do == "propose") or (do in ("show", "go") and rest):
        raise click.UsageError("propose FILE ADDRESS, show ADDRESS, go ADDRESS, or halt [WHY] ADDRESS are wanted")

    def look() -> dict[str, object]:
        found = orjson.loads(ask(address, "show-cluster").partition("\nEOT")[0]).get("changes")
        if not isinstance(found, dict):
            click.echo("cluster.json has no `changes`", err=True)
            sys.exit(1)
        return found

    try:
        if do == "show":
            found = look()
            click.echo(orjson.dumps(found).decode() if as_json else "\n".join(rollout_lines(found)))
            return
        words = ("propose", kind, str(Path(rest[0]).absolute())) if do == "propose" else (do, *rest)
        line = " ".join(("change", *words))
        reply = ask(address, line).strip()
        if reply != "SUCCESS":
            click.echo(reply.removeprefix("FAILURE "), err=True)
            sys.exit(1)
        end, told = time.monotonic() + wait, ""
        while time.monotonic() < end and (not told or NOT_WRITTEN_YET in told):
            time.sleep(0.05)
            told = str(look()["told"])
    except (OSError, ValueError) as error:
        click.echo(f"no answer from {address}: {error}", err=True)
        sys.exit(2)
    click.echo(told or f"the holder has not answered within {wait:g} s")
    sys.exit(0 if "is proposed" in told or told in ("it goes back", "as soon as nothing hinders it") else 1)


@cluster.command("leave")
@click.argument("address", envvar="NODE_ADMIN_ADDR", metavar="[ADDRESS]")
@click.option("--wait", default=3600.0, show_default=True, help="Seconds until it gives up.")
def cluster_leave(address: str, wait: float) -> None:
    """For a starter: wait until the controller at ADDRESS is to give way to another program, and print that one's name.

    Exit code 0: start it in this one's place; 1: the change has halted, or the time is over; 2: no answer.
    """
    import time

    import orjson

    from sageweir.ask import ask

    end = time.monotonic() + wait
    while True:
        try:
            found = orjson.loads(ask(address, "show-cluster").partition("\nEOT")[0]).get("changes")
        except (OSError, ValueError) as error:
            click.echo(f"no answer from {address}: {error}", err=True)
            sys.exit(2)
        turn = found["program"] if isinstance(found, dict) else {"state": "halted", "wanted": "", "own": ""}
        if turn["state"] == "go":
            click.echo(turn["wanted"])
            return
        if turn["state"] == "halted" or time.monotonic() > end:
            click.echo(f"{turn['own']} stays: {found['why'] if found else 'cluster.json has no `changes`'}", err=True)
            sys.exit(1)
        time.sleep(0.2)


@cluster.command("shards")
@click.argument("do", type=click.Choice(["show", "ask", "disagreements"]))
@click.argument("words", nargs=-1, metavar="[KIND WHAT] [ADDRESS]")
@click.option("--wait", default=5.0, show_default=True, help="Seconds until the owners must have answered.")
@click.option("--json", "as_json", is_flag=True, help="All that is known, as JSON.")
def cluster_shards(do: str, words: tuple[str, ...], wait: float, as_json: bool) -> None:
    """The fleet's ledger: `show` its map, `ask` number|prefix|busiest|tenant WHAT, `disagreements` of dual reads.

    ADDRESS is any controller's second address (host:port), else NODE_ADMIN_ADDR. Exit code 1: refused, not answered in
    time, incomplete, or dual reads disagree; 2: no answer.
    """
    import os
    import time

    import orjson

    from sageweir.ask import ask
    from sageweir.cluster.show import shard_lines

    has_address = bool(words) and ":" in words[-1]
    address = words[-1] if has_address else os.environ.get("NODE_ADMIN_ADDR", "")
    rest = words[:-1] if has_address else words
    if not address or bool(rest) != (do == "ask"):
        raise click.UsageError("show ADDRESS, ask KIND [WHAT] ADDRESS, or disagreements ADDRESS are wanted")

    def look() -> dict[str, Any]:
        found = orjson.loads(ask(address, "show-cluster").partition("\nEOT")[0]).get("shards")
        if not isinstance(found, dict):
            click.echo("cluster.json has no `changes`", err=True)
            sys.exit(1)
        return found

    try:
        if do != "ask":
            found = look()
            click.echo(orjson.dumps(found).decode() if as_json else "\n".join(shard_lines(found, do)))
            sys.exit(1 if do == "disagreements" and found["disagreements"] else 0)
        reply = ask(address, " ".join(("change", "shards", "ask", *rest))).strip()
        if reply != "SUCCESS":
            click.echo(reply.removeprefix("FAILURE "), err=True)
            sys.exit(1)
        end, told = time.monotonic() + wait, ""
        while time.monotonic() < end and not told:
            time.sleep(0.05)
            told = str(look()["told"])
    except (OSError, ValueError) as error:
        click.echo(f"no answer from {address}: {error}", err=True)
        sys.exit(2)
    if not told:
        click.echo(f"no answer within {wait:g} s", err=True)
        sys.exit(1)
    answer = orjson.loads(told)
    for key, standing, tried, busy in answer["found"]:
        click.echo(f"{key} standing={standing} set-ups={tried} members-that-found-it-busy={busy}")
    if not answer["complete"]:
        missing = ", ".join(answer["missing"]) or "nobody"
        click.echo(f"incomplete: shards {answer['shards']}, nothing fresh of {missing}", err=True)
    sys.exit(0 if answer["complete"] else 1)


@main.group()
def store() -> None:
    """A directory of the store's log; read, never changed."""


def _surveyed(folder: Path) -> list[Row]:
    from sageweir.store.survey import survey

    try:
        return survey(
            {path.name: path.read_bytes() for path in folder.iterdir() if path.is_file() and path.name != "lock"}
        )
    except OSError as error:
        click.echo(f"{folder}: {error.strerror}", err=True)
        sys.exit(2)


@store.command("check")
@click.argument("folder", type=click.Path(path_type=Path))
def store_check(folder: Path) -> None:
    """What FOLDER holds, file by file. Exit code 1: something is broken; 2: it can't be read."""
    from sageweir.store.survey import lines

    rows = _surveyed(folder)
    for line in lines(rows):
        click.echo(line)
    sys.exit(1 if any(row.why for row in rows) else 0)


@store.command("dump")
@click.argument("folder", type=click.Path(path_type=Path))
def store_dump(folder: Path) -> None:
    """All records that are whole, one a line: its number, and its bytes as text. Exit codes as of check."""
    rows = _surveyed(folder)
    for row in rows:
        if row.kind == "segment":
            for i, body in enumerate(row.records):
                click.echo(f"{row.first + i} {body.decode('utf-8', 'backslashreplace')}")
    sys.exit(1 if any(row.why for row in rows) else 0)


@main.group()
def lab() -> None:
    """Experiments: stand-in servers and proxies on loopback, figures and bounds."""


def _load_lab() -> None:
    from sageweir.lab.commands import add_commands

    add_commands(lab)


_load_lab()
