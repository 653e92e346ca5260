"""Run operators' commands through the Python API and map errors to exit codes."""

import difflib
import getpass
import os
import sys
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from datetime import UTC, datetime
from pathlib import Path
from random import Random
from typing import Any

import anyio
import attrs
import msgspec
import tomli_w

from berylchute import config, impact, taillatency, validation
from berylchute.config import Configuration
from berylchute.exceptions import BerylchuteError, CommandError, ConfigError, SettingsError
from berylchute.hostclient import HostClient, HostUnreachable
from berylchute.node import MonotonicClock
from berylchute.objects import STORE_VALUE_BYTES_MAX
from berylchute.operations import (
    ConflictError,
    EditOutcomeUnknown,
    InvalidDocument,
    Operations,
    UnreachableError,
)
from berylchute.rendering import OutputFormat, Renderer
from berylchute.settings import ClientSettings, load_client_settings
from berylchute.store import HttpObjectStore

__all__ = [
    "EXIT_BAD_INPUT",
    "EXIT_CONFLICT",
    "EXIT_DONE",
    "EXIT_UNKNOWN",
    "EXIT_UNREACHABLE",
    "CommandContext",
    "describe_error",
    "differences",
    "exit_code_of",
    "flush_and_exit",
    "read_document",
    "run",
    "run_offline",
    "show_tail_latency",
    "to_toml",
]

EXIT_DONE = 0
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_UNKNOWN = 5

SETTINGS_VARIABLE = "BERYLCHUTECTL_SETTINGS"
DEFAULT_SETTINGS_FILE = "berylchutectl.toml"
WAIT_TIMEOUT_S = 30.0
WAIT_POLL_INTERVAL_S = 0.2


@attrs.frozen
class CommandContext:
    """Clients and renderer of one command; `run` creates them."""

    operations: Operations
    hosts: HostClient
    renderer: Renderer

    async def fetch_members(self) -> list[dict[str, Any]]:
        """Return the members with their states from one entry host; raise HostUnreachable."""
        answer = await self.hosts.get_any("/berylchute/v1/members")
        if answer.status != 200:
            raise HostUnreachable(
                f"{answer.url}: reading the members failed with status {answer.status}"
            )
        return [{**status["record"], "state": status["state"]} for status in answer.body]

    async def fetch_slots_in_use(self) -> dict[str, int]:
        """Return the slots in use by server name, summed over the entry hosts that answer."""
        in_use: dict[str, int] = {}
        for answer in await self.hosts.get_all("/berylchute/v1/usage"):
            if answer.status != 200:
                continue
            for usage in answer.body:
                kind, _, name = usage["resource"].partition(":")
                if kind == "server":
                    in_use[name] = in_use.get(name, 0) + usage["in_use"]
        return in_use

    async def show_impact(self, before: Configuration, after: Configuration) -> None:
        """Write the slots before and after a change, by region and service."""
        changes = impact.slot_changes(before, after, await self.fetch_slots_in_use())
        rows = [{**attrs.asdict(change), "free_after": change.free_after} for change in changes]
        self.renderer.write_rows("slots by region and service", rows)

    def show_host_impact(self, document: Configuration, host_position: str) -> None:
        """Write the entry hosts of each zone before and after a drain of one of them."""
        self.renderer.write_rows(
            "entry hosts by availability zone", impact.host_changes(document, host_position)
        )

    async def wait_in_force(self, version: int) -> bool:
        """Wait until all live members have a version in force, writing progress.

        Returns False after WAIT_TIMEOUT_S.
        """
        with anyio.move_on_after(WAIT_TIMEOUT_S):
            last_shown = -1
            while True:
                members = [m for m in await self.fetch_members() if m["state"] == "live"]
                hosts_in_force = sum(member["config_version"] >= version for member in members)
                if hosts_in_force != last_shown:
                    self.renderer.write_progress(
                        f"in force on {hosts_in_force} of {len(members)} hosts"
                    )
                    last_shown = hosts_in_force
                if members and hosts_in_force == len(members):
                    return True
                await anyio.sleep(WAIT_POLL_INTERVAL_S)
        return False


async def show_tail_latency(context: CommandContext) -> None:
    """Write the tail latency report over all entry hosts that answer.

    Raises HostUnreachable if none answers.
    """
    sample_sets = [
        msgspec.convert(answer.body, taillatency.LatencySamples)
        for answer in await context.hosts.get_all("/berylchute/v1/slow")
        if answer.status == 200
    ]
    if not sample_sets:
        raise HostUnreachable("no entry host answered")
    report = taillatency.analyze(sample_sets)
    if context.renderer.output is OutputFormat.JSON:
        context.renderer.write_record("", report)
        return
    fields = attrs.asdict(report)
    findings = fields.pop("findings")
    context.renderer.write_record("tail latency of the last minute", fields)
    context.renderer.write_rows("over-represented in the slowest requests", findings)


def read_document(file: Path) -> Configuration:
    """Return the validated configuration in a TOML file.

    Raises ConfigError or InvalidDocument; both name the key, the value and the allowed values.
    """
    try:
        size_bytes = file.stat().st_size
        if size_bytes > STORE_VALUE_BYTES_MAX * 4:
            raise ConfigError(
                f"{file}: {size_bytes} bytes is too large; the store accepts up to 1 MB"
            )
        document = config.decode_toml(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{file}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{file}: not UTF-8 text: {error}") from error
    except ConfigError as error:
        raise ConfigError(f"{file}: {error}") from error
    problems = validation.find_problems(document)
    if problems:
        raise InvalidDocument(problems)
    return document


def to_toml(document: Configuration) -> str:
    """Return a configuration as TOML text that `apply` accepts."""
    plain = attrs.asdict(document, value_serializer=_tuple_to_list)
    return tomli_w.dumps(plain)


def _tuple_to_list(_owner: object, _field: object, value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value


def differences(before: Configuration, after: Configuration) -> str:
    """Return a unified diff of two configurations without edit metadata; empty if equal."""
    old, new = (
        to_toml(
            attrs.evolve(document, edit_id="", edit_author="", edit_time="", generation=0)
        ).splitlines(keepends=True)
        for document in (before, after)
    )
    return "".join(difflib.unified_diff(old, new, "in force", "file", n=2))


def exit_code_of(error: BerylchuteError) -> int:
    """Return the exit code for an error; docs/OPERATIONS.md lists them."""
    if isinstance(error, ConflictError):
        return EXIT_CONFLICT
    if isinstance(error, UnreachableError | HostUnreachable):
        return EXIT_UNREACHABLE
    if isinstance(error, EditOutcomeUnknown):
        return EXIT_UNKNOWN
    return EXIT_BAD_INPUT


def describe_error(error: BerylchuteError) -> str:
    """Return the error code and message to print, one line per problem of a document."""
    if isinstance(error, InvalidDocument):
        return "\n".join(f"{error.code}: {problem}" for problem in error.problems)
    return f"{error.code}: {error}"


def load_settings(file: Path | None) -> ClientSettings:
    """Load settings from `file`, else the file in SETTINGS_VARIABLE, else the default file."""
    path = file or Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_FILE))
    return load_client_settings(path)


def run(
    settings_file: Path | None,
    output: OutputFormat,
    command: Callable[[CommandContext], Awaitable[int | None]],
) -> int:
    """Run one command and return its exit code; write expected errors instead of raising them."""
    renderer = Renderer(output)
    try:
        settings = load_settings(settings_file)
        return anyio.run(_run_command, settings, renderer, command)
    except (CommandError, ConfigError, SettingsError) as error:
        renderer.write_error(describe_error(error))
        return exit_code_of(error)


def run_offline(output: OutputFormat, command: Callable[[Renderer], None]) -> int:
    """Run a command that needs no settings, store or hosts; return its exit code."""
    renderer = Renderer(output)
    try:
        command(renderer)
    except CommandError as error:
        renderer.write_error(describe_error(error))
        return exit_code_of(error)
    return EXIT_DONE


def make_store(settings: ClientSettings) -> HttpObjectStore:
    """Return a client of the platform's object store; tests replace this function."""
    return HttpObjectStore(settings.store, MonotonicClock(), Random())


async def _run_command(
    settings: ClientSettings,
    renderer: Renderer,
    command: Callable[[CommandContext], Awaitable[int | None]],
) -> int:
    hosts = HostClient(
        settings.hosts.urls,
        settings.hosts.token,
        settings.hosts.timeout_ms / 1000,
        settings.hosts.ca_file,
    )
    store = make_store(settings)
    author = settings.author or f"{getpass.getuser()}@{os.uname().nodename}"
    operations = Operations(
        store, hosts, author, lambda: datetime.now(UTC).isoformat("T", "seconds")
    )
    async with aclosing(hosts), aclosing(store):
        result = await command(CommandContext(operations, hosts, renderer))
    return EXIT_DONE if result is None else result


def flush_and_exit(code: int) -> None:
    """Flush standard output and raise SystemExit with an exit code."""
    sys.stdout.flush()
    raise SystemExit(code)
