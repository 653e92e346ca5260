"""Parse the command line that the programs share."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import anyio
import cyclopts

from berylchute import __version__, logs
from berylchute.exceptions import SettingsError
from berylchute.settings import Settings, load_settings

__all__ = ["EXIT_BAD_INPUT", "Program", "run_command_line"]

EXIT_BAD_INPUT = 2


class Program(Protocol):
    """A program that can be run from the command line."""

    async def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then return."""
        ...


def run_command_line(name: str, summary: str, make_program: Callable[[Settings], Program]) -> None:
    """Parse arguments, load the settings and serve; exit with status 2 on invalid input.

    `make_program` creates the program from its settings.
    """
    app = cyclopts.App(name=name, version=__version__, help=summary)

    @app.default
    def run(*, settings: Path, check: bool = False) -> None:
        """Run the program.

        Parameters
        ----------
        settings
            TOML settings file of this process.
        check
            Check the settings and exit.
        """
        try:
            loaded = load_settings(settings)
        except SettingsError as error:
            print(error, file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT) from error
        if check:
            print(f"{settings}: ok")
            return
        logs.configure(loaded.log)
        anyio.run(make_program(loaded).serve)

    try:
        app(exit_on_error=False)
    except cyclopts.CycloptsError as error:
        raise SystemExit(EXIT_BAD_INPUT) from error
