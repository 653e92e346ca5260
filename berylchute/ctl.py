"""Define the operators' command line `berylchutectl`."""

from pathlib import Path

import cyclopts
from cyclopts import App

from berylchute import __version__, commands, config, drainctl, operations, shiftctl
from berylchute.commands import EXIT_BAD_INPUT, EXIT_DONE, EXIT_UNKNOWN, CommandContext
from berylchute.ctlcommon import COMMON, Common
from berylchute.exceptions import BerylchuteError, CommandError
from berylchute.rendering import OutputFormat, Renderer
from berylchute.requesthistory import print_request_history

__all__ = ["app", "main"]

app = App(
    name="berylchutectl",
    help="Edit the configuration, declare shifts and drains, and analyze tail latency.",
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
    """Validate a configuration file without access to the store."""
    renderer = Renderer(common.output)
    try:
        document = commands.read_document(file)
    except BerylchuteError as error:
        renderer.write_error(commands.describe_error(error))
        return EXIT_BAD_INPUT
    renderer.write_record(f"{file}: valid", _table_sizes(document))
    return EXIT_DONE


def _table_sizes(document: config.Configuration) -> dict[str, int]:
    tables = ("plans", "customers", "allowances", "regions", "services", "backend_servers")
    counts = {table: len(getattr(document, table)) for table in tables}
    return {**counts, "size_bytes": len(config.encode_json(document))}


@app.command
def apply(file: Path, *, wait: bool = False, dry_run: bool = False, common: Common = COMMON) -> int:
    """Replace the configuration in the store with the one in a file.

    Parameters
    ----------
    wait
        Return after all live hosts have it in force, or fail after a timeout of 30 s.
    dry_run
        Show the differences and the effect on free slots; write nothing.
    """

    async def command(context: CommandContext) -> int:
        document = commands.read_document(file)
        if dry_run:
            await _show_changes(context, document)
            return EXIT_DONE
        outcome = await context.operations.apply_configuration(document)
        context.renderer.write_record("configuration", outcome)
        if wait and not await context.wait_in_force(outcome.version):
            context.renderer.write_error(
                "not_in_force: the edit was accepted, but some hosts did not apply it in time"
            )
            return EXIT_UNKNOWN
        return EXIT_DONE

    return commands.run(common.settings, common.output, command)


async def _show_changes(context: CommandContext, document: config.Configuration) -> None:
    stored = await context.operations.read_object(operations.CONFIG_KEY)
    if stored is None:
        context.renderer.write_progress(
            "the store holds no configuration; this file would become the first"
        )
        return
    current = config.decode_json(stored.value)
    context.renderer.write_progress(commands.differences(current, document) or "no differences")
    await context.show_impact(current, document)


@app.command
def get(*, common: Common = COMMON) -> int:
    """Print the configuration in the store as TOML, or as JSON with `--output json`."""

    async def command(context: CommandContext) -> None:
        document, _ = await context.operations.get_configuration()
        if common.output is OutputFormat.JSON:
            context.renderer.write_text(config.encode_json(document).decode() + "\n")
        else:
            context.renderer.write_text(commands.to_toml(document))

    return commands.run(common.settings, common.output, command)


@app.command
def diff(file: Path, *, common: Common = COMMON) -> int:
    """Compare a file with the configuration in the store."""

    async def command(context: CommandContext) -> None:
        document = commands.read_document(file)
        current, version = await context.operations.get_configuration()
        difference = commands.differences(current, document)
        if common.output is OutputFormat.JSON:
            context.renderer.write_record("", {"version": version, "difference": difference})
        else:
            context.renderer.write_text(difference or f"no differences from version {version}\n")

    return commands.run(common.settings, common.output, command)


@app.command
def history(*, common: Common = COMMON) -> int:
    """List the most recent accepted edits, newest first."""

    async def command(context: CommandContext) -> None:
        context.renderer.write_rows("accepted edits", await context.operations.history())

    return commands.run(common.settings, common.output, command)


@app.command
def status(*, common: Common = COMMON) -> int:
    """Show the configuration version in the store and how many live hosts have it in force."""

    async def command(context: CommandContext) -> None:
        document, version = await context.operations.get_configuration()
        members = await context.fetch_members()
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
        context.renderer.write_record("status", record)

    return commands.run(common.settings, common.output, command)


@app.command
def hosts(*, common: Common = COMMON) -> int:
    """List the hosts with their state, location, role and configuration version."""

    async def command(context: CommandContext) -> None:
        rows = [
            {name: member[name] for name in HOST_COLUMNS}
            for member in await context.fetch_members()
        ]
        context.renderer.write_rows("hosts", rows)

    return commands.run(common.settings, common.output, command)


@app.command
def slow(*, common: Common = COMMON) -> int:
    """Show the stage, servers, availability zones or plans that dominate tail latency."""

    async def command(context: CommandContext) -> None:
        await commands.show_tail_latency(context)

    return commands.run(common.settings, common.output, command)


@app.command
def explain(request_id: str, *, log: tuple[Path, ...] = (), common: Common = COMMON) -> int:
    """Show how one request was handled: candidates, server, retries, hedges, refusals.

    Parameters
    ----------
    log
        Log files of edge processes to read instead of querying entry hosts; "-" is standard input.
    """

    if log:
        return commands.run_offline(
            common.output, lambda renderer: print_request_history(renderer, request_id, log)
        )

    async def command(context: CommandContext) -> None:
        for answer in await context.hosts.get_all(f"/berylchute/v1/requests/{request_id}"):
            if answer.status == 200:
                context.renderer.write_record(f"request {request_id} at {answer.url}", answer.body)
                return
        raise CommandError(f"no entry host that answered has a record of request {request_id}")

    return commands.run(common.settings, common.output, command)


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit the process with the exit code of the command."""
    try:
        result = app(arguments, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:
        commands.flush_and_exit(EXIT_BAD_INPUT)
    commands.flush_and_exit(result if isinstance(result, int) else EXIT_DONE)


if __name__ == "__main__":
    main()
