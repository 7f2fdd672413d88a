"""The operators' command line, `reedspar`."""

from .exit_codes import ExitCode
from .main import main

__all__ = ["ExitCode", "main"]
