"""Decide which base share this host may use while the split of the caps changes."""

from collections.abc import Mapping, Sequence

import attrs

from berylchute.borrowing import TERM_MAX_S
from berylchute.config import Configuration
from berylchute.ledger import Ledger
from berylchute.lending import DRIFT_FACTOR, DRIFT_S
from berylchute.messages import MemberRecord
from berylchute.shares import base_shares
from berylchute.types import MemberState, MemberStatus, Position, ResourceId

__all__ = ["Claim", "ClaimTable", "ShareGate", "quarantine_s"]

# Counted even if the configuration allows less: an earlier one may have allowed this much.
DEADLINE_FLOOR_S = 60.0

Split = Mapping[Position, Mapping[ResourceId, int]]


def quarantine_s(config: Configuration | None) -> float:
    """Return how long requests and loans of a stopped process may still run."""
    kinds = config.kinds if config is not None else ()
    longest_s = max([DEADLINE_FLOOR_S, *(kind.deadline_max_ms / 1000 for kind in kinds)])
    return (longest_s + TERM_MAX_S) * DRIFT_FACTOR + DRIFT_S


@attrs.frozen
class Claim:
    """Which host holds a position; `is_first` tells that nobody held it before."""

    position: Position
    host_id: str
    incarnation: int
    is_first: bool


@attrs.frozen
class ClaimTable:
    """The `claims` object."""

    claims: tuple[Claim, ...] = ()

    def find(self, position: Position) -> Claim | None:
        """Return the claim of a position."""
        return next((claim for claim in self.claims if claim.position == position), None)


@attrs.define
class _Pending:
    """A split in force from config version `first` to `last` without a gap between them."""

    first: int
    last: int
    generation: int
    split: Split


class ShareGate:
    """Set the ledger's shares: zero until the position is safely held, then shrink before grow."""

    def __init__(
        self, host_id: str, position: Position, incarnation: int, now_s: float, ledger: Ledger
    ) -> None:
        self._host_id = host_id
        self._position = position
        self._incarnation = incarnation
        self._started_s = now_s
        self._claimed_s: float | None = None
        self._ledger = ledger
        self._config: Configuration | None = None
        # Splits that some host may still use. A new process knows none of the earlier ones, so
        # that it begins with nothing, as if the earlier split had given it nothing.
        self._pending = [_Pending(0, 0, 0, {})]
        self._claims_version = 0
        self._claims = ClaimTable()
        self._own_claim: Claim | None = None
        self._gone_since_s: dict[str, float] = {}
        self._shares: dict[ResourceId, int] = {}
        self.settled_version = 0
        self.is_active = False
        self.wants_touch = False
        self.waits_for: tuple[str, ...] = ()

    @property
    def config_version(self) -> int:
        """Return the newest configuration version seen."""
        return self._pending[-1].last

    @property
    def claims_version(self) -> int:
        """Return the newest version of the claims seen."""
        return self._claims_version

    @property
    def holds_position(self) -> bool:
        """Tell whether the claims seen name this host for its position."""
        return self._own_claim is not None

    @property
    def is_growing(self) -> bool:
        """Tell whether an earlier split still limits this host's share."""
        return len(self._pending) > 1

    def ledger_share(self, resource: ResourceId) -> int:
        """Return the own units of a resource that this host may use now."""
        return self._shares.get(resource, 0)

    def observe_config(self, version: int, config: Configuration) -> None:
        """Take a configuration; versions at or below the newest are ignored."""
        newest = self._pending[-1]
        if version <= newest.last:
            return
        self._config = config
        split = base_shares(config)
        is_next = newest.last > 0 and config.generation == newest.generation + 1
        if is_next and split == newest.split:
            newest.last, newest.generation = version, config.generation
            return
        # After a gap the split counts as new even if equal: a host may use one in between.
        self._pending.append(_Pending(version, version, config.generation, split))

    def observe_claims(self, version: int, table: ClaimTable, now_s: float) -> None:
        """Take the claims object; versions at or below the newest are ignored."""
        if version <= self._claims_version:
            return
        self._claims_version, self._claims = version, table
        claim = table.find(self._position)
        is_own = claim is not None and claim.host_id == self._host_id
        self._own_claim = claim if is_own else None
        if self._own_claim is None:
            self._claimed_s = None
        elif self._claimed_s is None:
            self._claimed_s = now_s

    def observe_platform(self, hosts: Mapping[str, str], now_s: float) -> None:
        """Take the platform's list of hosts."""
        for host_id, state in hosts.items():
            if state == "gone":
                self._gone_since_s.setdefault(host_id, now_s)

    def tick(self, members: Sequence[MemberStatus], now_s: float) -> None:
        """Set the ledger's shares and the version that this host's use and loans fit."""
        claim = self._own_claim
        is_clear = self._is_clear(claim, now_s)
        self.is_active = claim is not None and is_clear and self._config is not None
        if self.is_active and self.is_growing:
            self._try_grow(members, now_s)
        shares = self._usable()
        if shares != self._shares:
            self._shares = shares
            self._ledger.set_shares(shares)
        if is_clear and not self._ledger.overdrawn(now_s):
            self.settled_version = self.config_version

    def _is_clear(self, claim: Claim | None, now_s: float) -> bool:
        """Tell whether nothing of a predecessor at this position can still run.

        The wait counts from the claim, not from the start, if another host held the position:
        that host may have run until the platform listed it as gone.
        """
        wait_s = quarantine_s(self._config)
        if claim is None:
            return now_s - self._started_s >= wait_s
        if claim.incarnation == self._incarnation:
            if claim.is_first:
                return True
            return self._claimed_s is not None and now_s - self._claimed_s >= wait_s
        return now_s - self._started_s >= wait_s

    def _usable(self) -> dict[ResourceId, int]:
        if not self.is_active:
            return {}
        own = [pending.split.get(self._position, {}) for pending in self._pending]
        lows = {r: min(share.get(r, 0) for share in own) for r in own[-1]}
        return {resource: units for resource, units in lows.items() if units > 0}

    def _try_grow(self, members: Sequence[MemberStatus], now_s: float) -> None:
        newest = self._pending[-1]
        self.wants_touch = self._has_vacancy() and self._claims_version <= newest.first
        by_host = {status.record.host_id: status for status in members}
        hosts = {claim.host_id for claim in self._claims.claims}
        # A member with a position may hold a claim that is newer than the known table.
        hosts |= {host for host, status in by_host.items() if status.record.position}
        hosts.discard(self._host_id)
        self.waits_for = tuple(
            sorted(h for h in hosts if not self._is_settled(h, by_host.get(h), newest, now_s))
        )
        if not self.waits_for and not self.wants_touch:
            self._pending = [newest]

    def _has_vacancy(self) -> bool:
        """Tell whether a host unknown here may have claimed a position since the known table."""
        held = {c.position for c in self._claims.claims if c.host_id not in self._gone_since_s}
        return any(position not in held for item in self._pending for position in item.split)

    def _is_settled(
        self, host_id: str, status: MemberStatus | None, newest: _Pending, now_s: float
    ) -> bool:
        gone_s = self._gone_since_s.get(host_id)
        if gone_s is not None:
            # Its requests and loans may run on after the host is gone.
            return now_s - gone_s >= quarantine_s(self._config)
        if status is None or status.state not in (MemberState.LIVE, MemberState.LEAVING):
            return False
        return _fits(status.record, newest)


def _fits(record: MemberRecord, newest: _Pending) -> bool:
    """Tell whether a host uses this very split; one that is further on may use another."""
    in_range = newest.first <= record.config_version <= newest.last
    return in_range and record.settled_version >= newest.first
