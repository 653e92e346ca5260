"""Define the `berylchutectl shift` commands."""

from typing import Annotated

from cyclopts import App, Parameter

from berylchute import commands, config, impact, operations, shifts
from berylchute.commands import EXIT_DONE, CommandContext
from berylchute.ctlcommon import COMMON, Common
from berylchute.exceptions import CommandError, ConfigError
from berylchute.shifts import SHIFTS_KEY, Shift, ShiftState

__all__ = ["app"]

app = App(name="shift", help="Move a service's traffic between regions in steps.")


def _check_shift(document: config.Configuration, shift: Shift) -> None:
    services = sorted(service.name for service in document.services)
    regions = sorted(region.name for region in document.regions)
    for kind, value, known_names in (
        ("service", shift.service, services),
        ("region", shift.from_region, regions),
        ("region", shift.to_region, regions),
    ):
        if value not in known_names:
            raise CommandError(f"unknown {kind}: {value!r}; allowed: {', '.join(known_names)}")
    if shift.from_region == shift.to_region:
        raise CommandError(f"--to: {shift.to_region!r} is the same region as --from")
    if not 1 <= shift.target_percent <= 100:
        raise CommandError(f"--percent: {shift.target_percent}; allowed: 1 to 100")
    if not 1 <= shift.step_percent <= shift.target_percent:
        raise CommandError(f"--step: {shift.step_percent}; allowed: 1 to {shift.target_percent}")


@app.command
def start(
    service: str,
    *,
    from_region: Annotated[str, Parameter(name="--from", help="Region to move traffic from.")],
    to_region: Annotated[str, Parameter(name="--to", help="Region to move traffic to.")],
    percent: Annotated[int, Parameter(help="Share of the region's traffic to move.")] = 100,
    step: Annotated[int, Parameter(help="Percent to move per step.")] = 10,
    dry_run: Annotated[bool, Parameter(help="Show the effect; write nothing.")] = False,
    common: Common = COMMON,
) -> int:
    """Declare a shift; hosts move the traffic in steps while free slots allow."""

    async def command(context: CommandContext) -> int:
        document, _ = await context.operations.get_configuration()
        shift = Shift(
            id=operations.new_edit_id(),
            service=service,
            from_region=from_region,
            to_region=to_region,
            target_percent=percent,
            step_percent=min(step, percent),
            author=context.operations.author,
            declared_at=context.operations.wall_time_iso(),
        )
        _check_shift(document, shift)
        if dry_run:
            await _show_free_slots(context, document, shift)
            return EXIT_DONE
        await context.operations.update_object(
            SHIFTS_KEY,
            lambda value: shifts.encode(shifts.declare(shifts.decode(value), shift)),
        )
        context.renderer.write_record("shift declared", shift)
        return EXIT_DONE

    return commands.run(common.settings, common.output, command)


async def _show_free_slots(
    context: CommandContext, document: config.Configuration, shift: Shift
) -> None:
    in_use = await context.fetch_slots_in_use()
    slots = impact.slots_by_region_and_service(document)
    region_of = {zone.name: zone.region for zone in document.availability_zones}
    slots_in_use = {shift.from_region: 0, shift.to_region: 0}
    for server in document.backend_servers:
        region = region_of[server.availability_zone]
        if server.service == shift.service and region in slots_in_use:
            slots_in_use[region] += in_use.get(server.name, 0)
    moved_slots = slots_in_use[shift.from_region] * shift.target_percent // 100
    rows = [
        {
            "region": region,
            "slots": slots[region, shift.service],
            "in_use_now": slots_in_use[region],
            "in_use_after": slots_in_use[region] + change,
            "free_after": slots[region, shift.service] - slots_in_use[region] - change,
        }
        for region, change in ((shift.from_region, -moved_slots), (shift.to_region, moved_slots))
    ]
    context.renderer.write_rows(f"free slots of {shift.service}", rows)


@app.command(name="list")
def list_shifts(
    *,
    everything: Annotated[bool, Parameter(name="--all", help="Include cancelled shifts.")] = False,
    common: Common = COMMON,
) -> int:
    """List shifts with their progress."""

    async def command(context: CommandContext) -> None:
        declared = await _read_shifts(context)
        selected = [s for s in declared if everything or s.state is not ShiftState.CANCELLED]
        context.renderer.write_rows("shifts", selected)

    return commands.run(common.settings, common.output, command)


@app.command
def show(shift_id: str, *, common: Common = COMMON) -> int:
    """Show one shift: progress, state, reason and the host that runs it."""

    async def command(context: CommandContext) -> None:
        for shift in await _read_shifts(context):
            if shift.id == shift_id:
                context.renderer.write_record(f"shift {shift_id}", shift)
                return
        raise ConfigError(f"shift {shift_id!r} does not exist; see `berylchutectl shift list`")

    return commands.run(common.settings, common.output, command)


@app.command
def cancel(
    shift_id: str,
    *,
    dry_run: Annotated[bool, Parameter(help="Show the shift as cancelled; write nothing.")] = False,
    common: Common = COMMON,
) -> int:
    """Cancel a shift; its traffic returns to the region that it was moved from."""

    async def command(context: CommandContext) -> int:
        if dry_run:
            cancelled = shifts.cancel(await _read_shifts(context), shift_id)
        else:
            stored = await context.operations.update_object(
                SHIFTS_KEY,
                lambda value: shifts.encode(shifts.cancel(shifts.decode(value), shift_id)),
            )
            cancelled = shifts.decode(stored.value)
        context.renderer.write_rows(
            "shifts", [shift for shift in cancelled if shift.id == shift_id]
        )
        return EXIT_DONE

    return commands.run(common.settings, common.output, command)


async def _read_shifts(context: CommandContext) -> tuple[Shift, ...]:
    stored = await context.operations.read_object(SHIFTS_KEY)
    return shifts.decode(None if stored is None else stored.value)
