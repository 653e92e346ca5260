"""Define the options that all operators' commands accept."""

from pathlib import Path
from typing import Annotated

import attrs
from cyclopts import Parameter

from berylchute.rendering import OutputFormat

__all__ = ["COMMON", "Common"]


@Parameter(name="*")
@attrs.frozen
class Common:
    """Options that all commands accept, as flags without a prefix."""

    settings: Annotated[Path | None, Parameter(help="Settings file (TOML).")] = None
    output: Annotated[OutputFormat, Parameter(help="Format of the result.")] = OutputFormat.TABLE


COMMON = Common()
