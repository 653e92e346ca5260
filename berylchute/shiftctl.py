"""Offer `berylchutectl shift` commands."""

from typing import Annotated

from cyclopts import App, Parameter

from berylchute import commands, config, impact, operations, shifts
from berylchute.commands import EXIT_DONE, Session
from berylchute.ctlcommon import COMMON, Common
from berylchute.exceptions import CommandError, ConfigError
from berylchute.shifts import SHIFTS_KEY, Shift, ShiftState

__all__ = ["app"]

app = App(name="shift", help="Move a service's traffic between regions in steps.")


def _check(document: config.Configuration, shift: Shift) -> None:
    services = sorted(service.name for service in document.services)
    regions = sorted(region.name for region in document.regions)
    for what, value, known in (
        ("service", shift.service, services),
        ("region", shift.from_region, regions),
        ("region", shift.to_region, regions),
    ):
        if value not in known:
            raise CommandError(f"unknown {what}: {value!r}; allowed: {', '.join(known)}")
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
    from_region: Annotated[str, Parameter(name="--from", help="Region that traffic leaves.")],
    to_region: Annotated[str, Parameter(name="--to", help="Region that takes it.")],
    percent: Annotated[int, Parameter(help="Share of the region's traffic to move.")] = 100,
    step: Annotated[int, Parameter(help="Percent moved at a time.")] = 10,
    dry_run: Annotated[bool, Parameter(help="Show the effect on headroom only.")] = False,
    common: Common = COMMON,
) -> int:
    """Declare a shift; hosts carry it out in steps as headroom allows."""

    async def command(session: Session) -> int:
        document, _ = await session.operations.get()
        shift = Shift(
            id=operations.new_edit_id(),
            service=service,
            from_region=from_region,
            to_region=to_region,
            target_percent=percent,
            step_percent=min(step, percent),
            author=session.operations.author,
            declared_at=session.operations.wall_time(),
        )
        _check(document, shift)
        if dry_run:
            await _show_effect(session, document, shift)
            return EXIT_DONE
        await session.operations.edit(
            SHIFTS_KEY,
            lambda value: shifts.encode(shifts.declare(shifts.decode(value), shift)),
        )
        session.renderer.record("shift declared", shift)
        return EXIT_DONE

    return commands.run(common.settings, common.output, command)


async def _show_effect(session: Session, document: config.Configuration, shift: Shift) -> None:
    in_use = await session.in_use_by_server()
    slots = impact.slots_by_place(document)
    region_of = {zone.name: zone.region for zone in document.availability_zones}
    used = {shift.from_region: 0, shift.to_region: 0}
    for server in document.backend_servers:
        region = region_of[server.availability_zone]
        if server.service == shift.service and region in used:
            used[region] += in_use.get(server.name, 0)
    moved = used[shift.from_region] * shift.target_percent // 100
    rows = [
        {
            "region": region,
            "slots": slots[region, shift.service],
            "in_use_now": used[region],
            "in_use_after": used[region] + change,
            "free_after": slots[region, shift.service] - used[region] - change,
        }
        for region, change in ((shift.from_region, -moved), (shift.to_region, moved))
    ]
    session.renderer.rows(f"headroom of {shift.service}", rows)


@app.command(name="list")
def list_shifts(
    *,
    everything: Annotated[bool, Parameter(name="--all", help="Cancelled shifts too.")] = False,
    common: Common = COMMON,
) -> int:
    """List shifts with their progress."""

    async def command(session: Session) -> None:
        declared = await _read(session)
        shown = [s for s in declared if everything or s.state is not ShiftState.CANCELLED]
        session.renderer.rows("shifts", shown)

    return commands.run(common.settings, common.output, command)


@app.command
def show(shift_id: str, *, common: Common = COMMON) -> int:
    """Show one shift: progress, state, reason and runner."""

    async def command(session: Session) -> None:
        for shift in await _read(session):
            if shift.id == shift_id:
                session.renderer.record(f"shift {shift_id}", shift)
                return
        raise ConfigError(f"shift {shift_id!r} does not exist; see `berylchutectl shift list`")

    return commands.run(common.settings, common.output, command)


@app.command
def cancel(
    shift_id: str,
    *,
    dry_run: Annotated[bool, Parameter(help="Show what would be cancelled only.")] = False,
    common: Common = COMMON,
) -> int:
    """Cancel a shift; its traffic goes back to where it came from."""

    async def command(session: Session) -> int:
        if dry_run:
            cancelled = shifts.cancel(await _read(session), shift_id)
        else:
            stored = await session.operations.edit(
                SHIFTS_KEY,
                lambda value: shifts.encode(shifts.cancel(shifts.decode(value), shift_id)),
            )
            cancelled = shifts.decode(stored.value)
        session.renderer.rows("shifts", [shift for shift in cancelled if shift.id == shift_id])
        return EXIT_DONE

    return commands.run(common.settings, common.output, command)


async def _read(session: Session) -> tuple[Shift, ...]:
    stored = await session.operations.read(SHIFTS_KEY)
    return shifts.decode(None if stored is None else stored.value)
