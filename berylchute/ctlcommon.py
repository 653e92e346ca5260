"""Define the options that every operators' command takes."""

from pathlib import Path
from typing import Annotated

import attrs
from cyclopts import Parameter

from berylchute.rendering import Output

__all__ = ["COMMON", "Common"]


@Parameter(name="*")
@attrs.frozen
class Common:
    """Options that every command takes."""

    settings: Annotated[Path | None, Parameter(help="Settings file (TOML).")] = None
    output: Annotated[Output, Parameter(help="Form of the result.")] = Output.TABLE


COMMON = Common()
