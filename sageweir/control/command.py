"""The command `sageweir control` (also `python -m sageweir.control`). grpc is imported only when the service runs."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import click
import structlog

from sageweir.config import ConfigError
from sageweir.log_rate_limit import RateLimitFilter


def set_up_logs(as_json: bool) -> None:
    """Log structured, rate-limited lines to standard error."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer() if as_json else structlog.dev.ConsoleRenderer(colors=False)
    )
    shared: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer], foreign_pre_chain=shared
        )
    )
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


@click.command()
@click.option(
    "--config",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="The service's file (JSON; deploy/control.schema.json).",
)
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True)
def control(path: Path, log_format: str) -> None:
    """Run the control service: decisions for other proxies over xDS."""
    from sageweir.control.program import run  # imported late as it loads grpc

    set_up_logs(log_format == "json")
    try:
        sys.exit(run(path))
    except (ConfigError, RuntimeError, OSError) as error:
        click.echo(f"sageweir control: {error}", err=True)
        sys.exit(2)
