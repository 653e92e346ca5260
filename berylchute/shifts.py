"""Move a service's traffic between regions in steps, as far as the target bears it."""

from collections.abc import Mapping, Sequence
from enum import StrEnum

import attrs
import msgspec

from berylchute.exceptions import ConfigError

__all__ = [
    "SHIFTS_KEY",
    "Observation",
    "Shift",
    "ShiftDriver",
    "ShiftSet",
    "ShiftState",
    "cancel",
    "decode",
    "declare",
    "encode",
]

SHIFTS_KEY = "shifts"
ENDED_KEPT_MAX = 100

# Shares of the target's capacity that must stay free. Between the two marks the shift holds.
STEP_FREE_MIN = 0.15
BACK_FREE_MIN = 0.03
LINK_FREE_MIN = 0.10
# Reports of headroom lag by about one second; a step must show in them before the next.
STEP_INTERVAL_S = 2.0
# Answers from cold caches take longer; the next step waits for the caches to fill.
COLD_STEP_INTERVAL_S = 6.0
COLD_LATENCY_RATIO = 1.5
OBSERVATION_AGE_MAX_S = 2.0


class ShiftState(StrEnum):
    """Where a shift stands."""

    RUNNING = "running"
    HELD = "held"
    DONE = "done"
    CANCELLED = "cancelled"


@attrs.frozen
class Shift:
    """A declared shift with its status; percentages are of the traffic of `from_region`."""

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
        """Tell whether a runner still watches the shift; a done one may have to step back."""
        return self.state is not ShiftState.CANCELLED


@attrs.frozen
class Observation:
    """What the runner knows of both regions; units are slots, shares are 0 to 1."""

    observed_s: float
    from_in_use: int
    to_free: int
    to_capacity: int
    link_free_share: float
    latency_ratio: float


def decode(value: bytes | None) -> tuple[Shift, ...]:
    """Return the shifts in an object's value; raise ConfigError."""
    if value is None:
        return ()
    try:
        return msgspec.json.decode(value, type=tuple[Shift, ...])
    except msgspec.MsgspecError as error:
        raise ConfigError(f"{SHIFTS_KEY}: {error}") from error


def encode(shifts: Sequence[Shift]) -> bytes:
    """Return an object's value; the oldest cancelled shifts beyond the bound are dropped."""
    cancelled = [shift for shift in shifts if shift.state is ShiftState.CANCELLED]
    dropped = {shift.id for shift in cancelled[:-ENDED_KEPT_MAX]}
    return msgspec.json.encode([shift for shift in shifts if shift.id not in dropped])


def declare(shifts: Sequence[Shift], shift: Shift) -> tuple[Shift, ...]:
    """Return the shifts with one more; raise ConfigError if another one moves the same traffic."""
    if any(known.id == shift.id for known in shifts):
        return tuple(shifts)
    for known in shifts:
        same = (known.service, known.from_region) == (shift.service, shift.from_region)
        if same and known.state is not ShiftState.CANCELLED:
            raise ConfigError(
                f"shift {known.id} already moves {known.service} from {known.from_region}; "
                "cancel it first"
            )
    return (*shifts, shift)


def cancel(shifts: Sequence[Shift], shift_id: str) -> tuple[Shift, ...]:
    """Return the shifts with one cancelled; raise ConfigError when it does not exist."""
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

    def replace(self, value: bytes) -> None:
        """Take an accepted object; raise ConfigError and keep the old shifts if it is broken."""
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
        """Return the fraction of requests preferring `region` that each region gets first."""
        return self._weights.get((service, region), {})


@attrs.define
class _Seen:
    shift: Shift
    since_s: float


class ShiftDriver:
    """Decide the next step of shifts; the caller writes it by a conditional update.

    A step is timed from when this driver first saw the current percentage, so that a new
    runner waits a whole interval and needs no clock in common with the old one.
    """

    def __init__(self, runner: str) -> None:
        """Keep the runner's name for the status."""
        self._runner = runner
        self._seen: dict[str, _Seen] = {}

    def decide(self, shift: Shift, seen: Observation, now_s: float) -> Shift | None:
        """Return the shift with its next status, or None to leave it as it is."""
        if not shift.is_active:
            self._seen.pop(shift.id, None)
            return None
        known = self._seen.get(shift.id)
        if known is None or known.shift.current_percent != shift.current_percent:
            known = self._seen[shift.id] = _Seen(shift, now_s)
        known.shift = shift
        if now_s - seen.observed_s > OBSERVATION_AGE_MAX_S:
            return None if shift.state is ShiftState.DONE else self._hold(shift, "no recent report")
        if seen.to_free < seen.to_capacity * BACK_FREE_MIN and shift.current_percent:
            if now_s - known.since_s < STEP_INTERVAL_S:
                return None
            return self._move(shift, -shift.step_percent, "stepped back: target out of headroom")
        if shift.state is ShiftState.DONE:
            return None
        reason = self._shortage(shift, seen)
        if reason:
            return self._hold(shift, reason)
        is_cold = seen.latency_ratio > COLD_LATENCY_RATIO and shift.current_percent > 0
        interval_s = COLD_STEP_INTERVAL_S if is_cold else STEP_INTERVAL_S
        if now_s - known.since_s < interval_s:
            return None
        return self._move(shift, shift.step_percent, "target is cold" if is_cold else "")

    def _shortage(self, shift: Shift, seen: Observation) -> str:
        """Return why the next step must wait; empty when it may be made."""
        remaining = max(1, 100 - shift.current_percent)
        step = min(shift.step_percent, shift.target_percent - shift.current_percent)
        step_units = seen.from_in_use * step / remaining
        if seen.to_free - step_units < seen.to_capacity * STEP_FREE_MIN:
            return "target short of headroom"
        if seen.link_free_share < LINK_FREE_MIN:
            return "link short of headroom"
        return ""

    def _hold(self, shift: Shift, reason: str) -> Shift | None:
        if shift.state is ShiftState.HELD and shift.reason == reason:
            return None
        return attrs.evolve(shift, state=ShiftState.HELD, reason=reason, runner=self._runner)

    def _move(self, shift: Shift, step_percent: int, reason: str) -> Shift:
        percent = min(shift.target_percent, max(0, shift.current_percent + step_percent))
        is_done = percent == shift.target_percent
        state = ShiftState.DONE if is_done else ShiftState.RUNNING
        if step_percent < 0:
            state = ShiftState.HELD
        return attrs.evolve(
            shift, state=state, current_percent=percent, reason=reason, runner=self._runner
        )
