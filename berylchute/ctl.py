"""Offer the operators' command line `berylchutectl`."""

from pathlib import Path

import cyclopts
from cyclopts import App

from berylchute import __version__, commands, config, drainctl, operations, shiftctl
from berylchute.commands import EXIT_BAD_INPUT, EXIT_DONE, EXIT_UNKNOWN, Session
from berylchute.ctlcommon import COMMON, Common
from berylchute.eventhistory import show_history
from berylchute.exceptions import BerylchuteError, CommandError
from berylchute.rendering import Output, Renderer

__all__ = ["app", "main"]

app = App(
    name="berylchutectl",
    help="Steer traffic: edit the configuration, declare shifts and drains, see where it is slow.",
    version=__version__,
)
app.command(drainctl.app)
app.command(shiftctl.app)


HOST_COLUMNS = (
    "host_id",
    "position",
    "availability_zone",
    "region",
    "role",
    "state",
    "incarnation",
    "config_version",
    "http_url",
)


@app.command
def validate(file: Path, *, common: Common = COMMON) -> int:
    """Check a configuration file without the store."""
    renderer = Renderer(common.output)
    try:
        document = commands.read_document(file)
    except BerylchuteError as error:
        renderer.error(commands.describe_error(error))
        return EXIT_BAD_INPUT
    renderer.record(f"{file}: valid", _counts(document))
    return EXIT_DONE


def _counts(document: config.Configuration) -> dict[str, int]:
    tables = ("plans", "customers", "allowances", "regions", "services", "backend_servers")
    counts = {table: len(getattr(document, table)) for table in tables}
    return {**counts, "size_bytes": len(config.encode_json(document))}


@app.command
def apply(file: Path, *, wait: bool = False, dry_run: bool = False, common: Common = COMMON) -> int:
    """Make a file the configuration.

    Parameters
    ----------
    wait
        Return once all live hosts have it in force.
    dry_run
        Show differences and headroom only.
    """

    async def command(session: Session) -> int:
        document = commands.read_document(file)
        if dry_run:
            await _show_changes(session, document)
            return EXIT_DONE
        outcome = await session.operations.apply(document)
        session.renderer.record("configuration", outcome)
        if wait and not await session.wait_in_force(outcome.version):
            session.renderer.error("not_in_force: some hosts do not have the change yet")
            return EXIT_UNKNOWN
        return EXIT_DONE

    return commands.run(common.settings, common.output, command)


async def _show_changes(session: Session, document: config.Configuration) -> None:
    stored = await session.operations.read(operations.CONFIG_KEY)
    if stored is None:
        session.renderer.progress("the store holds no configuration; this would be the first")
        return
    current = config.decode_json(stored.value)
    session.renderer.progress(commands.differences(current, document) or "no differences")
    await session.show_impact(current, document)


@app.command
def get(*, common: Common = COMMON) -> int:
    """Write the configuration in the store, as TOML or JSON."""

    async def command(session: Session) -> None:
        document, _ = await session.operations.get()
        if common.output is Output.JSON:
            session.renderer.text(config.encode_json(document).decode() + "\n")
        else:
            session.renderer.text(commands.to_toml(document))

    return commands.run(common.settings, common.output, command)


@app.command
def diff(file: Path, *, common: Common = COMMON) -> int:
    """Compare a file with the configuration in the store."""

    async def command(session: Session) -> None:
        document = commands.read_document(file)
        current, version = await session.operations.get()
        difference = commands.differences(current, document)
        if common.output is Output.JSON:
            session.renderer.record("", {"version": version, "difference": difference})
        else:
            session.renderer.text(difference or f"no differences from version {version}\n")

    return commands.run(common.settings, common.output, command)


@app.command
def history(*, common: Common = COMMON) -> int:
    """List the last accepted edits, newest first."""

    async def command(session: Session) -> None:
        session.renderer.rows("accepted edits", await session.operations.history())

    return commands.run(common.settings, common.output, command)


@app.command
def status(*, common: Common = COMMON) -> int:
    """Show the configuration in the store and how far it is in force."""

    async def command(session: Session) -> None:
        document, version = await session.operations.get()
        members = await session.members()
        live = [member for member in members if member["state"] == "live"]
        record = {
            "generation": document.generation,
            "version": version,
            "edited_by": document.edit_author,
            "edited_at": document.edit_time,
            "live_hosts": len(live),
            "in_force_on": sum(member["config_version"] >= version for member in live),
            "other_states": ", ".join(
                f"{member['host_id']} {member['state']}" for member in members if member not in live
            ),
        }
        session.renderer.record("status", record)

    return commands.run(common.settings, common.output, command)


@app.command
def hosts(*, common: Common = COMMON) -> int:
    """List hosts with state, place and configuration version."""

    async def command(session: Session) -> None:
        rows = [{name: member[name] for name in HOST_COLUMNS} for member in await session.members()]
        session.renderer.rows("hosts", rows)

    return commands.run(common.settings, common.output, command)


@app.command
def slow(*, common: Common = COMMON) -> int:
    """Tell which stage and place makes the tail of latency."""

    async def command(session: Session) -> None:
        await commands.show_slow(session)

    return commands.run(common.settings, common.output, command)


@app.command
def explain(request_id: str, *, log: tuple[Path, ...] = (), common: Common = COMMON) -> int:
    """Tell one request's life: candidates, choice, retries, hedges, refusals.

    Parameters
    ----------
    log
        Log files of edge programs to read instead of asking entry hosts; "-" is standard input.
    """

    if log:
        return commands.run_local(common.output, lambda out: show_history(out, request_id, log))

    async def command(session: Session) -> None:
        for answer in await session.hosts.get_all(f"/berylchute/v1/requests/{request_id}"):
            if answer.status == 200:
                session.renderer.record(f"request {request_id} at {answer.url}", answer.body)
                return
        raise CommandError(f"no entry host that answers remembers request {request_id}")

    return commands.run(common.settings, common.output, command)


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and leave the process with its exit code."""
    try:
        result = app(arguments, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:
        commands.flush_and_exit(EXIT_BAD_INPUT)
    commands.flush_and_exit(result if isinstance(result, int) else EXIT_DONE)


if __name__ == "__main__":
    main()
