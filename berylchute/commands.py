"""Run operators' commands over the importable API and turn errors into exit codes."""

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

from berylchute import config, impact, slowness, validation
from berylchute.config import Configuration
from berylchute.exceptions import BerylchuteError, CommandError, ConfigError, SettingsError
from berylchute.hostclient import HostClient, HostUnreachable
from berylchute.node import MonotonicClock
from berylchute.operations import (
    ConflictError,
    EditOutcomeUnknown,
    InvalidDocument,
    Operations,
    UnreachableError,
)
from berylchute.rendering import Output, Renderer
from berylchute.settings import ClientSettings, load_client
from berylchute.store import HttpObjectStore

__all__ = [
    "EXIT_BAD_INPUT",
    "EXIT_CONFLICT",
    "EXIT_DONE",
    "EXIT_UNKNOWN",
    "EXIT_UNREACHABLE",
    "Session",
    "describe_error",
    "differences",
    "exit_code_of",
    "flush_and_exit",
    "read_document",
    "run",
    "run_local",
    "show_slow",
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
WAIT_POLL_S = 0.2


@attrs.frozen
class Session:
    """What every command needs; the composition root of the command line."""

    operations: Operations
    hosts: HostClient
    renderer: Renderer

    async def members(self) -> list[dict[str, Any]]:
        """Return the members as one entry host sees them; raise HostUnreachable."""
        answer = await self.hosts.get_any("/berylchute/v1/members")
        if answer.status != 200:
            raise HostUnreachable(f"{answer.url}: members answered {answer.status}")
        return [{**status["record"], "state": status["state"]} for status in answer.body]

    async def in_use_by_server(self) -> dict[str, int]:
        """Return slots in use by server over all entry hosts that answer."""
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
        """Write the effect of a change on headroom."""
        changes = impact.changed_headroom(before, after, await self.in_use_by_server())
        rows = [{**attrs.asdict(change), "free_after": change.free_after} for change in changes]
        self.renderer.rows("headroom by region and service", rows)

    async def wait_in_force(self, version: int) -> bool:
        """Wait until all live members have a configuration version in force; show progress."""
        with anyio.move_on_after(WAIT_TIMEOUT_S):
            shown = -1
            while True:
                members = [m for m in await self.members() if m["state"] in ("live", "leaving")]
                done = sum(member["config_version"] >= version for member in members)
                if done != shown:
                    self.renderer.progress(f"in force on {done} of {len(members)} hosts")
                    shown = done
                if members and done == len(members):
                    return True
                await anyio.sleep(WAIT_POLL_S)
        return False


async def show_slow(session: Session) -> None:
    """Write what makes the tail over all entry hosts that answer; raise HostUnreachable."""
    summaries = [
        msgspec.convert(answer.body, slowness.Summary)
        for answer in await session.hosts.get_all("/berylchute/v1/slow")
        if answer.status == 200
    ]
    if not summaries:
        raise HostUnreachable("no entry host answered")
    report = slowness.analyze(summaries)
    if session.renderer.output is Output.JSON:
        session.renderer.record("", report)
        return
    plain = attrs.asdict(report)
    findings = plain.pop("findings")
    session.renderer.record("where the tail of latency is", plain)
    session.renderer.rows("over-represented in the tail", findings)


def read_document(file: Path) -> Configuration:
    """Return the checked document in a file.

    Raises ConfigError or InvalidDocument; both name key, value and what is allowed.
    """
    try:
        size_bytes = file.stat().st_size
        if size_bytes > validation.VALUE_BYTES_MAX * 4:
            raise ConfigError(f"{file}: {size_bytes} bytes; the store holds 1 MB")
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
    """Return a document as TOML text that `apply` takes back."""
    plain = attrs.asdict(document, value_serializer=_without_tuples)
    return tomli_w.dumps(plain)


def _without_tuples(_owner: object, _field: object, value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value


def differences(before: Configuration, after: Configuration) -> str:
    """Return a unified diff of two documents; empty when they are alike."""
    old, new = (
        to_toml(
            attrs.evolve(document, edit_id="", edit_author="", edit_time="", generation=0)
        ).splitlines(keepends=True)
        for document in (before, after)
    )
    return "".join(difflib.unified_diff(old, new, "in force", "file", n=2))


def exit_code_of(error: BerylchuteError) -> int:
    """Return the exit code that docs/OPERATIONS.md lists for an error."""
    if isinstance(error, ConflictError):
        return EXIT_CONFLICT
    if isinstance(error, UnreachableError | HostUnreachable):
        return EXIT_UNREACHABLE
    if isinstance(error, EditOutcomeUnknown):
        return EXIT_UNKNOWN
    return EXIT_BAD_INPUT


def describe_error(error: BerylchuteError) -> str:
    """Return an error's code and text for the operator."""
    if isinstance(error, InvalidDocument):
        return "\n".join(f"{error.code}: {problem}" for problem in error.problems)
    return f"{error.code}: {error}"


def load_settings(file: Path | None) -> ClientSettings:
    """Return settings from a file, the environment's file, or ./berylchutectl.toml."""
    chosen = file or Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_FILE))
    return load_client(chosen)


def run(
    settings_file: Path | None, output: Output, command: Callable[[Session], Awaitable[int | None]]
) -> int:
    """Run one command in a session and return its exit code; errors are written, not raised."""
    renderer = Renderer(output)
    try:
        settings = load_settings(settings_file)
        return anyio.run(_run_session, settings, renderer, command)
    except (CommandError, ConfigError, SettingsError) as error:
        renderer.error(describe_error(error))
        return exit_code_of(error)


def run_local(output: Output, command: Callable[[Renderer], None]) -> int:
    """Run a command that needs no settings, store or hosts, and return its exit code."""
    renderer = Renderer(output)
    try:
        command(renderer)
    except CommandError as error:
        renderer.error(describe_error(error))
        return exit_code_of(error)
    return EXIT_DONE


def make_store(settings: ClientSettings) -> HttpObjectStore:
    """Return the client of the platform's object store."""
    return HttpObjectStore(settings.store, MonotonicClock(), Random())


async def _run_session(
    settings: ClientSettings,
    renderer: Renderer,
    command: Callable[[Session], Awaitable[int | None]],
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
        result = await command(Session(operations, hosts, renderer))
    return EXIT_DONE if result is None else result


def flush_and_exit(code: int) -> None:
    """Leave the process with an exit code."""
    sys.stdout.flush()
    raise SystemExit(code)
