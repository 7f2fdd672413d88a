"""The command `reedspard`, which runs one daemon with a settings file."""

import logging
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from reedspar.settings import SettingsError, load_settings
from reedspar.telemetry import configure_logging

from .run import run_daemon

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
_logger = logging.getLogger("reedspar.daemon")


@cappa.command(name="reedspard")
@dataclass
class Reedspard:
    """Run an entry daemon or a target agent, as its settings say."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="Settings file in TOML; see docs/settings.md.")
    ]
    log_level: Annotated[
        str, cappa.Arg(long=True, help="DEBUG, INFO, WARNING or ERROR.")
    ] = "INFO"


def main(argv: list[str] | None = None) -> None:
    """Run the command; exit with 2 on invalid settings, with 1 on an `OSError`."""
    command = cappa.parse(Reedspard, argv=argv)
    try:
        settings = load_settings(command.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    configure_logging(
        level=command.log_level,
        common={"process": settings.name, "zone": settings.zone},
    )
    try:
        anyio.run(run_daemon, settings)
    except* OSError as group:
        for cause in group.exceptions:
            _logger.critical("daemon failed: %s", cause)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
