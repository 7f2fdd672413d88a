"""The command `reedspar`: common options and entry point."""

import sys
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa
import httpx

from reedspar.admin import create_admin_client

from .config_commands import Config
from .exit_codes import ExitCode
from .explain_command import Explain
from .fleet_commands import Entries, Targets
from .publish_command import Publish
from .session import Command, Session, create_session
from .timeline_command import Timeline
from .watch_command import Watch
from .zone_commands import Zone

__all__ = ["Tool", "main", "run_command"]

ENTRY_VARIABLE = "REEDSPAR_ENTRY"


@cappa.command(name="reedspar")
@dataclass
class Tool:
    """Operate reedspar.

    Exit codes: 0 ok, 2 usage, 3 refused, 4 stale version, 5 unreachable, 6 outcome
    unknown, 7 not found, 8 incomplete.
    """

    command: cappa.Subcommands[
        Config | Zone | Publish | Watch | Targets | Entries | Timeline | Explain
    ]
    entry: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(ENTRY_VARIABLE, default=""),
            propagate=True,
            help="Addresses of entries, such as http://10.0.0.1:8000, separated by "
            "commas; tried in this order.",
        ),
    ] = ""
    is_json: Annotated[
        bool, cappa.Arg(long="--json", propagate=True, help="Write JSON.")
    ] = False
    timeout: Annotated[
        float,
        cappa.Arg(long=True, propagate=True, help="Timeout of a query in seconds."),
    ] = 3.0

    @property
    def urls(self) -> list[str]:
        """Return the addresses of the entries."""
        addresses = [address.strip() for address in self.entry.split(",")]
        return [address.rstrip("/") for address in addresses if address]


def needs_entry(command: object) -> bool:
    """Return whether a command queries processes."""
    if isinstance(command, Explain):
        return False
    return not (isinstance(command, Timeline) and command.from_logs)


def find_usage_error(tool: Tool) -> str | None:
    """Return an error in the options common to all commands, if any."""
    if needs_entry(tool.command) and not tool.urls:
        return f"no entry is named: give --entry URL or set {ENTRY_VARIABLE}"
    for url in tool.urls:
        if not url.startswith(("http://", "https://")):
            return f"--entry {url}: an address begins with http:// or https://"
    if tool.timeout <= 0:
        return f"--timeout {tool.timeout:g}: must be more than 0"
    return None


async def run_command(command: Command, session: Session) -> ExitCode:
    """Run a parsed command."""
    return await command.run(session)


async def _run(tool: Tool) -> ExitCode:
    # Loading the CA certificates would take longer than most commands.
    needs_tls = any(url.startswith("https:") for url in tool.urls)
    async with httpx.AsyncClient(
        timeout=tool.timeout, trust_env=False, verify=needs_tls
    ) as http:
        client = create_admin_client(tool.urls, http=http)
        session = create_session(client, is_json=tool.is_json)
        return await run_command(tool.command, session)


def main(arguments: list[str] | None = None) -> int:
    """Run the tool and return its exit code."""
    tool = cappa.parse(Tool, argv=arguments, completion=False)
    error = find_usage_error(tool)
    if error:
        print(f"reedspar: {error}", file=sys.stderr)
        return ExitCode.USAGE
    try:
        return anyio.run(_run, tool)
    except KeyboardInterrupt:
        return ExitCode.INCOMPLETE
    except BrokenPipeError:
        # The reader of the pipe, such as `head`, has exited; this is not an error.
        sys.stderr.close()
        return ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
