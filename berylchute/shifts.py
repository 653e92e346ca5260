"""Move a service's traffic between regions in steps, as far as the target's capacity allows."""

from collections.abc import Mapping, Sequence
from enum import StrEnum

import attrs
import msgspec

from berylchute.exceptions import ConfigError

__all__ = [
    "SHIFTS_KEY",
    "Observation",
    "Shift",
    "ShiftController",
    "ShiftSet",
    "ShiftState",
    "cancel",
    "declare",
    "decode",
    "encode",
]

SHIFTS_KEY = "shifts"
# Bounds the size of the stored object.
CANCELLED_SHIFTS_MAX = 100

# Ratios of the target region's slots. A step must leave STEP_FREE_RATIO_MIN of them free; below
# STEP_BACK_FREE_RATIO_MIN the shift steps back, and in between it is held. A step also needs
# LINK_FREE_RATIO_MIN of the link's units free.
STEP_FREE_RATIO_MIN = 0.15
STEP_BACK_FREE_RATIO_MIN = 0.03
LINK_FREE_RATIO_MIN = 0.10
# Members report free capacity about one second late; the effect of a step must be visible in the
# reports before the next step.
STEP_INTERVAL_S = 2.0
# Cold caches raise the latency of responses; a longer interval lets them fill before the next step.
COLD_STEP_INTERVAL_S = 6.0
COLD_LATENCY_RATIO = 1.5
OBSERVATION_AGE_MAX_S = 2.0


class ShiftState(StrEnum):
    """Progress of a shift; a held one waits for capacity or reports."""

    RUNNING = "running"
    HELD = "held"
    DONE = "done"
    CANCELLED = "cancelled"


@attrs.frozen
class Shift:
    """A declared shift with its status; percentages refer to the traffic of `from_region`."""

    id: str
    service: str
    from_region: str
    to_region: str
    target_percent: int
    step_percent: int
    state: ShiftState = ShiftState.RUNNING
    current_percent: int = 0
    reason: str = ""
    runner: str = ""
    author: str = ""
    declared_at: str = ""

    @property
    def is_active(self) -> bool:
        """Return whether the shift still needs a runner; a done one may have to step back."""
        return self.state is not ShiftState.CANCELLED


@attrs.frozen
class Observation:
    """Load of both regions as the runner sees it; ratios of free capacity are 0 to 1.

    `latency_ratio` is the median server latency of the target divided by that of the source.
    """

    observed_s: float
    from_slots_in_use: int
    to_free_slots: int
    to_capacity_slots: int
    link_free_ratio: float
    latency_ratio: float


def decode(value: bytes | None) -> tuple[Shift, ...]:
    """Return the shifts in a stored value (None: no object); raise ConfigError if malformed."""
    if value is None:
        return ()
    try:
        return msgspec.json.decode(value, type=tuple[Shift, ...])
    except msgspec.MsgspecError as error:
        raise ConfigError(f"{SHIFTS_KEY}: {error}") from error


def encode(shifts: Sequence[Shift]) -> bytes:
    """Return the value to store, without the oldest cancelled shifts beyond the maximum."""
    cancelled = [shift for shift in shifts if shift.state is ShiftState.CANCELLED]
    dropped_ids = {shift.id for shift in cancelled[:-CANCELLED_SHIFTS_MAX]}
    return msgspec.json.encode([shift for shift in shifts if shift.id not in dropped_ids])


def declare(shifts: Sequence[Shift], shift: Shift) -> tuple[Shift, ...]:
    """Return the shifts with `shift` added; raise ConfigError if another moves the same traffic.

    A shift whose id is present is left unchanged.
    """
    if any(known.id == shift.id for known in shifts):
        return tuple(shifts)
    for known in shifts:
        is_same_traffic = (known.service, known.from_region) == (shift.service, shift.from_region)
        if is_same_traffic and known.state is not ShiftState.CANCELLED:
            raise ConfigError(
                f"shift {known.id} already moves {known.service} from {known.from_region}; "
                "cancel it first"
            )
    return (*shifts, shift)


def cancel(shifts: Sequence[Shift], shift_id: str) -> tuple[Shift, ...]:
    """Return the shifts with `shift_id` cancelled; raise ConfigError if there is none."""
    if all(shift.id != shift_id for shift in shifts):
        raise ConfigError(f"shift {shift_id!r} does not exist")
    return tuple(
        (
            attrs.evolve(
                shift, state=ShiftState.CANCELLED, current_percent=0, reason="cancelled by operator"
            )
            if shift.id == shift_id
            else shift
        )
        for shift in shifts
    )


class ShiftSet:
    """Answer shift queries from the last accepted object; implements `routing.ShiftView`."""

    def __init__(self) -> None:
        self.shifts: tuple[Shift, ...] = ()
        self._weights: dict[tuple[str, str], dict[str, float]] = {}

    def update_from_object(self, value: bytes) -> None:
        """Replace the shifts by a stored value.

        Raises ConfigError and keeps the old ones if the value is malformed.
        """
        self.shifts = decode(value)
        self._weights = {
            (shift.service, shift.from_region): {
                shift.from_region: 1.0 - shift.current_percent / 100.0,
                shift.to_region: shift.current_percent / 100.0,
            }
            for shift in self.shifts
            if shift.current_percent > 0
        }

    def region_weights(self, service: str, region: str) -> Mapping[str, float]:
        """Return the fraction of the requests preferring `region` to send first to each region.

        Empty if no shift moves these requests.
        """
        return self._weights.get((service, region), {})


@attrs.define
class _Progress:
    """A shift and when its current percentage was first seen."""

    shift: Shift
    since_s: float


class ShiftController:
    """Decide the next step of shifts; the caller writes it with a conditional update.

    The interval counts from when this controller first saw the current percentage, so that a
    new runner waits a whole interval and needs no clock synchronized with the old runner's.
    """

    def __init__(self, runner: str) -> None:
        """Take the host id that is written as `runner` into the status."""
        self._runner = runner
        self._progress: dict[str, _Progress] = {}

    def decide(self, shift: Shift, observation: Observation, now_s: float) -> Shift | None:
        """Return the shift with its next status, or None if nothing changes."""
        if not shift.is_active:
            self._progress.pop(shift.id, None)
            return None
        progress = self._progress.get(shift.id)
        if progress is None or progress.shift.current_percent != shift.current_percent:
            progress = self._progress[shift.id] = _Progress(shift, now_s)
        progress.shift = shift
        if now_s - observation.observed_s > OBSERVATION_AGE_MAX_S:
            return None if shift.state is ShiftState.DONE else self._hold(shift, "no recent report")
        if (
            observation.to_free_slots < observation.to_capacity_slots * STEP_BACK_FREE_RATIO_MIN
            and shift.current_percent
        ):
            if now_s - progress.since_s < STEP_INTERVAL_S:
                return None
            return self._step(shift, -shift.step_percent, "stepped back: target out of free slots")
        if shift.state is ShiftState.DONE:
            return None
        reason = self._shortage_reason(shift, observation)
        if reason:
            return self._hold(shift, reason)
        is_cold = observation.latency_ratio > COLD_LATENCY_RATIO and shift.current_percent > 0
        interval_s = COLD_STEP_INTERVAL_S if is_cold else STEP_INTERVAL_S
        if now_s - progress.since_s < interval_s:
            return None
        return self._step(shift, shift.step_percent, "target is cold" if is_cold else "")

    def _shortage_reason(self, shift: Shift, observation: Observation) -> str:
        """Return why the next step must wait; empty if it may be made."""
        remaining_percent = max(1, 100 - shift.current_percent)
        step_percent = min(shift.step_percent, shift.target_percent - shift.current_percent)
        step_slots = observation.from_slots_in_use * step_percent / remaining_percent
        if (
            observation.to_free_slots - step_slots
            < observation.to_capacity_slots * STEP_FREE_RATIO_MIN
        ):
            return "target short of free slots"
        if observation.link_free_ratio < LINK_FREE_RATIO_MIN:
            return "link short of free units"
        return ""

    def _hold(self, shift: Shift, reason: str) -> Shift | None:
        if shift.state is ShiftState.HELD and shift.reason == reason:
            return None
        return attrs.evolve(shift, state=ShiftState.HELD, reason=reason, runner=self._runner)

    def _step(self, shift: Shift, step_percent: int, reason: str) -> Shift:
        new_percent = min(shift.target_percent, max(0, shift.current_percent + step_percent))
        is_done = new_percent == shift.target_percent
        state = ShiftState.DONE if is_done else ShiftState.RUNNING
        if step_percent < 0:
            state = ShiftState.HELD
        return attrs.evolve(
            shift, state=state, current_percent=new_percent, reason=reason, runner=self._runner
        )
