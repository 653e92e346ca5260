"""Render the results of operators' commands as tables or as JSON."""

import sys
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any

import attrs
import msgspec
from rich.console import Console
from rich.table import Table

__all__ = ["OutputFormat", "Renderer"]


class OutputFormat(StrEnum):
    """Format of a command's result."""

    TABLE = "table"
    JSON = "json"


class Renderer:
    """Write results to standard output, progress and errors to standard error."""

    def __init__(self, output: OutputFormat) -> None:
        """Write results to standard output in the given format."""
        self.output = output
        # A fixed width keeps each row on one line when output goes to a file or pipe.
        width = None if sys.stdout.isatty() else 200
        self._console = Console(width=width, highlight=False)
        self._errors = Console(stderr=True, width=width, highlight=False)

    def write_rows(self, title: str, rows: Sequence[Any]) -> None:
        """Write attrs objects or mappings as one row each; the first defines the columns."""
        plain = [row if isinstance(row, Mapping) else attrs.asdict(row) for row in rows]
        if self.output is OutputFormat.JSON:
            self._write_json(plain)
            return
        if not plain:
            self._console.print(f"{title}: none")
            return
        table = Table(title=title, title_justify="left", box=None, pad_edge=False)
        for column in plain[0]:
            table.add_column(column.replace("_", " "), overflow="fold")
        for row in plain:
            table.add_row(*(str(value) for value in row.values()))
        self._console.print(table)

    def write_record(self, title: str, record: Any) -> None:
        """Write one attrs object or mapping with one field per line."""
        plain = record if isinstance(record, Mapping) else attrs.asdict(record)
        if self.output is OutputFormat.JSON:
            self._write_json(plain)
            return
        self._console.print(title, markup=False)
        for name, value in plain.items():
            self._console.print(f"  {name.replace('_', ' ')}: {value}", markup=False)

    def write_text(self, text: str) -> None:
        """Write text unchanged to standard output."""
        sys.stdout.write(text)

    def write_progress(self, text: str) -> None:
        """Write a progress line to standard error."""
        self._errors.print(text, markup=False)

    def write_error(self, text: str) -> None:
        """Write an error to standard error; long lines are not wrapped."""
        self._errors.print(text, markup=False, soft_wrap=True)

    def _write_json(self, value: Any) -> None:
        sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
