"""The command group ``reedspar config``."""

from dataclasses import dataclass

import cappa

from .config_read_commands import Diff, History, Show
from .confirmation import Confirmed
from .exit_codes import ExitCode
from .patch_command import Patch
from .session import Session

__all__ = ["Config"]


@cappa.command(name="config")
@dataclass
class Config:
    """Read and change the versioned configuration."""

    command: cappa.Subcommands[Show | Patch | History | Diff | Confirmed]

    async def run(self, session: Session) -> ExitCode:
        """Run the subcommand."""
        return await self.command.run(session)
