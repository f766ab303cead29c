"""The command line: `sageweir control`, `sageweir lab ...`. On click; needs the `control` extra."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import click
import structlog

from sageweir.config import ConfigError
from sageweir.quiet import RateLimit


def set_up_logs(as_json: bool) -> None:
    """Structured lines on standard error, each kind limited in number."""
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer() if as_json else \
        structlog.dev.ConsoleRenderer(colors=False)
    shared: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level, structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True)]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(structlog.stdlib.ProcessorFormatter(
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
        foreign_pre_chain=shared))
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


@click.group()
def main() -> None:
    """A session controller, and its decisions for other proxies."""


@main.command()
@click.option("--config", "path", type=click.Path(dir_okay=False, path_type=Path), required=True,
              help="The service's file (JSON; deploy/control.schema.json).")
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True)
def control(path: Path, log_format: str) -> None:
    """Run the control service: decisions for other proxies over xDS."""
    from sageweir.control.program import run  # grpc is loaded only by what uses it

    set_up_logs(log_format == "json")
    try:
        sys.exit(run(path))
    except (ConfigError, RuntimeError, OSError) as error:
        click.echo(f"sageweir control: {error}", err=True)
        sys.exit(2)


@main.group()
def cluster() -> None:
    """The fleet as one of its members sees it."""


@cluster.command("show")
@click.argument("address", envvar="NODE_ADMIN_ADDR")
@click.option("--json", "as_json", is_flag=True, help="All that is known, as JSON.")
def cluster_show(address: str, as_json: bool) -> None:
    """The view of the session controller whose second address (admin_addr) is ADDRESS. Exit code 2: no answer."""
    from sageweir.ask import ask
    from sageweir.cluster.show import table

    try:
        reply = ask(address, "show-cluster")
    except (OSError, ValueError) as error:
        click.echo(f"no answer from {address}: {error}", err=True)
        sys.exit(2)
    if not reply.endswith("EOT\n"):
        click.echo(reply.strip(), err=True)
        sys.exit(1)
    text = reply.removesuffix("EOT\n").strip()
    click.echo(text if as_json else table(text))


@main.group()
def lab() -> None:
    """Experiments: stand-in servers and proxies on loopback, figures and bounds."""


def _load_lab() -> None:
    from sageweir.lab.commands import add_commands

    add_commands(lab)


_load_lab()
