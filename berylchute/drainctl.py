"""Define the `berylchutectl drain` commands."""

from typing import Annotated

import attrs
from cyclopts import App, Parameter

from berylchute import commands, config, drains, impact, operations
from berylchute.commands import EXIT_DONE, CommandContext
from berylchute.ctlcommon import COMMON, Common
from berylchute.drains import DRAINS_KEY, Drain, DrainState, DrainTarget
from berylchute.exceptions import CommandError, ConfigError

__all__ = ["app"]

app = App(name="drain", help="Drain servers, hosts, availability zones or regions.")


def _check_target(document: config.Configuration, target: DrainTarget, name: str) -> None:
    tables = {
        DrainTarget.SERVER: document.backend_servers,
        DrainTarget.HOST: document.host_positions,
        DrainTarget.AVAILABILITY_ZONE: document.availability_zones,
        DrainTarget.REGION: document.regions,
    }
    known_names = sorted(entry.name for entry in tables[target])  # type: ignore[attr-defined]
    if name not in known_names:
        raise CommandError(f"unknown {target}: {name!r}; allowed: {', '.join(known_names)}")


@app.command
def start(
    target: DrainTarget,
    name: str,
    *,
    dry_run: Annotated[bool, Parameter(help="Show the effect; write nothing.")] = False,
    common: Common = COMMON,
) -> int:
    """Declare a drain: new requests stop within 2 s, requests in flight finish."""

    async def command(context: CommandContext) -> int:
        document, _ = await context.operations.get_configuration()
        _check_target(document, target, name)
        if dry_run:
            if target is DrainTarget.HOST:
                context.show_host_impact(document, name)
                return EXIT_DONE
            after = impact.without_drained_servers(document, target.value, name)
            await context.show_impact(document, after)
            return EXIT_DONE
        drain = Drain(
            id=operations.new_edit_id(),
            target=target,
            name=name,
            author=context.operations.author,
            declared_at=context.operations.wall_time_iso(),
        )
        await context.operations.update_object(
            DRAINS_KEY,
            lambda value: drains.encode(drains.declare(drains.decode(value), drain)),
        )
        context.renderer.write_record("drain declared", drain)
        return EXIT_DONE

    return commands.run(common.settings, common.output, command)


@app.command(name="list")
def list_drains(
    *,
    everything: Annotated[bool, Parameter(name="--all", help="Include stopped drains.")] = False,
    common: Common = COMMON,
) -> int:
    """List drains in force."""

    async def command(context: CommandContext) -> None:
        stored = await context.operations.read_object(DRAINS_KEY)
        declared = drains.decode(None if stored is None else stored.value)
        selected = [d for d in declared if everything or d.state is DrainState.DRAINING]
        context.renderer.write_rows("drains", selected)

    return commands.run(common.settings, common.output, command)


@app.command
def show(drain_id: str, *, common: Common = COMMON) -> int:
    """Show one drain and the slots still in use on the servers that it drains."""

    async def command(context: CommandContext) -> None:
        drain = await _find_drain(context, drain_id)
        document, _ = await context.operations.get_configuration()
        after = impact.without_drained_servers(document, drain.target.value, drain.name)
        drained = {s.name for s in document.backend_servers} - {
            s.name for s in after.backend_servers
        }
        in_use = await context.fetch_slots_in_use()
        slots_in_use = sum(in_use.get(server, 0) for server in drained)
        record = {**attrs.asdict(drain), "servers": len(drained), "slots_in_use": slots_in_use}
        context.renderer.write_record(f"drain {drain_id}", record)

    return commands.run(common.settings, common.output, command)


@app.command
def stop(
    drain_id: str,
    *,
    dry_run: Annotated[bool, Parameter(help="Show the effect; write nothing.")] = False,
    common: Common = COMMON,
) -> int:
    """Stop a drain; its target serves new requests again."""

    async def command(context: CommandContext) -> int:
        drain = await _find_drain(context, drain_id)
        if dry_run:
            document, _ = await context.operations.get_configuration()
            before = impact.without_drained_servers(document, drain.target.value, drain.name)
            await context.show_impact(before, document)
            return EXIT_DONE
        await context.operations.update_object(
            DRAINS_KEY,
            lambda value: drains.encode(drains.stop(drains.decode(value), drain_id)),
        )
        context.renderer.write_record(
            "drain stopped", attrs.evolve(drain, state=DrainState.STOPPED)
        )
        return EXIT_DONE

    return commands.run(common.settings, common.output, command)


async def _find_drain(context: CommandContext, drain_id: str) -> Drain:
    stored = await context.operations.read_object(DRAINS_KEY)
    for drain in drains.decode(None if stored is None else stored.value):
        if drain.id == drain_id:
            return drain
    raise ConfigError(f"drain {drain_id!r} does not exist; see `berylchutectl drain list --all`")
