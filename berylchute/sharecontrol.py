"""Control which part of its base share this host may use while the split of the caps changes."""

from collections.abc import Mapping, Sequence

import attrs

from berylchute.borrowing import LOAN_TERM_MAX_S
from berylchute.config import Configuration
from berylchute.ledger import Ledger
from berylchute.lending import CLOCK_DRIFT_FACTOR, CLOCK_DRIFT_MARGIN_S
from berylchute.messages import MemberRecord
from berylchute.shares import base_shares
from berylchute.types import MemberState, MemberStatus, Position, ResourceId

__all__ = ["Claim", "ClaimTable", "ShareController", "quarantine_s"]

# Applies even if the configuration allows less, because an earlier one may have allowed this much.
DEADLINE_MIN_S = 60.0

Split = Mapping[Position, Mapping[ResourceId, int]]


def quarantine_s(config: Configuration | None) -> float:
    """Return how many seconds requests and loans of a stopped process may still run."""
    kinds = config.kinds if config is not None else ()
    longest_s = max([DEADLINE_MIN_S, *(kind.deadline_max_ms / 1000 for kind in kinds)])
    return (longest_s + LOAN_TERM_MAX_S) * CLOCK_DRIFT_FACTOR + CLOCK_DRIFT_MARGIN_S


@attrs.frozen
class Claim:
    """The host that holds a position; `is_first` if no other host held it before."""

    position: Position
    host_id: str
    incarnation: int
    is_first: bool


@attrs.frozen
class ClaimTable:
    """Content of the store's `claims` object, at most one claim per position."""

    claims: tuple[Claim, ...] = ()

    def find(self, position: Position) -> Claim | None:
        """Return the claim of a position; None if no host holds it."""
        return next((claim for claim in self.claims if claim.position == position), None)


@attrs.define
class _SplitVersions:
    """A split that every config version from `first_version` to `last_version` has."""

    first_version: int
    last_version: int
    generation: int
    split: Split


class ShareController:
    """Set the ledger's shares so that all hosts together never exceed a cap.

    The shares are zero until this host holds its position and no request or loan of a predecessor
    can still run. After a change of split, a smaller share applies at once and a larger one only
    after every other host has applied the new split. Times are seconds on this host's monotonic
    clock.
    """

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
        # Splits that some host may still use. A new process does not know the earlier ones, so it
        # starts with a split that gives it no units.
        self._possible_splits = [_SplitVersions(0, 0, 0, {})]
        self._claims_version = 0
        self._claims = ClaimTable()
        self._own_claim: Claim | None = None
        self._gone_since_s: dict[str, float] = {}
        self._shares: dict[ResourceId, int] = {}
        self.settled_version = 0
        self.is_active = False
        self.needs_claims_rewrite = False
        self.unsettled_hosts: tuple[str, ...] = ()

    @property
    def config_version(self) -> int:
        """Return the newest configuration version seen."""
        return self._possible_splits[-1].last_version

    @property
    def claims_version(self) -> int:
        """Return the newest version of the claims seen."""
        return self._claims_version

    @property
    def holds_position(self) -> bool:
        """Return whether the newest claims seen assign the position to this host."""
        return self._own_claim is not None

    @property
    def is_increase_pending(self) -> bool:
        """Return whether an earlier split still limits this host's share."""
        return len(self._possible_splits) > 1

    def ledger_share(self, resource: ResourceId) -> int:
        """Return the own units of a resource that this host may use now."""
        return self._shares.get(resource, 0)

    def observe_config(self, version: int, config: Configuration) -> None:
        """Update the split from a configuration; versions at or below the newest are ignored."""
        newest = self._possible_splits[-1]
        if version <= newest.last_version:
            return
        self._config = config
        split = base_shares(config)
        is_next = newest.last_version > 0 and config.generation == newest.generation + 1
        if is_next and split == newest.split:
            newest.last_version, newest.generation = version, config.generation
            return
        # After a gap, an equal split counts as new: a host may still use the split of a version in
        # between.
        self._possible_splits.append(_SplitVersions(version, version, config.generation, split))

    def observe_claims(self, version: int, table: ClaimTable, now_s: float) -> None:
        """Update the claims; versions at or below the newest are ignored."""
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
        """Record which hosts the platform lists as gone; `hosts` maps a host id to its state."""
        for host_id, state in hosts.items():
            if state == "gone":
                self._gone_since_s.setdefault(host_id, now_s)

    def tick(self, members: Sequence[MemberStatus], now_s: float) -> None:
        """Update the ledger's shares and `settled_version`.

        `settled_version` is the config version whose share covers the units in use and lent.
        """
        claim = self._own_claim
        has_predecessor_ended = self._has_predecessor_ended(claim, now_s)
        self.is_active = claim is not None and has_predecessor_ended and self._config is not None
        if self.is_active and self.is_increase_pending:
            self._try_increase(members, now_s)
        shares = self._usable_shares()
        if shares != self._shares:
            self._shares = shares
            self._ledger.set_shares(shares)
        if has_predecessor_ended and not self._ledger.units_over_share(now_s):
            self.settled_version = self.config_version

    def _has_predecessor_ended(self, claim: Claim | None, now_s: float) -> bool:
        """Return whether requests and loans of a predecessor at this position have ended.

        If another host held the position, the wait counts from the claim, not from the start: that
        host may have run until the platform listed it as gone.
        """
        wait_s = quarantine_s(self._config)
        if claim is None:
            return now_s - self._started_s >= wait_s
        if claim.incarnation == self._incarnation:
            if claim.is_first:
                return True
            return self._claimed_s is not None and now_s - self._claimed_s >= wait_s
        return now_s - self._started_s >= wait_s

    def _usable_shares(self) -> dict[ResourceId, int]:
        if not self.is_active:
            return {}
        own_shares = [item.split.get(self._position, {}) for item in self._possible_splits]
        minimums = {r: min(share.get(r, 0) for share in own_shares) for r in own_shares[-1]}
        return {resource: units for resource, units in minimums.items() if units > 0}

    def _try_increase(self, members: Sequence[MemberStatus], now_s: float) -> None:
        newest = self._possible_splits[-1]
        self.needs_claims_rewrite = (
            self._may_miss_claim() and self._claims_version <= newest.first_version
        )
        by_host = {status.record.host_id: status for status in members}
        hosts = {claim.host_id for claim in self._claims.claims}
        # A member with a position may hold a claim that is newer than the claims seen.
        hosts |= {host for host, status in by_host.items() if status.record.position}
        hosts.discard(self._host_id)
        self.unsettled_hosts = tuple(
            sorted(
                host
                for host in hosts
                if not self._is_settled(host, by_host.get(host), newest, now_s)
            )
        )
        if not self.unsettled_hosts and not self.needs_claims_rewrite:
            self._possible_splits = [newest]

    def _may_miss_claim(self) -> bool:
        """Return whether an unknown host may have claimed a position since the claims seen."""
        held_positions = {
            c.position for c in self._claims.claims if c.host_id not in self._gone_since_s
        }
        return any(
            position not in held_positions
            for item in self._possible_splits
            for position in item.split
        )

    def _is_settled(
        self, host_id: str, status: MemberStatus | None, newest: _SplitVersions, now_s: float
    ) -> bool:
        gone_since_s = self._gone_since_s.get(host_id)
        if gone_since_s is not None:
            # Requests and loans of the host may still run after it is gone.
            return now_s - gone_since_s >= quarantine_s(self._config)
        if status is None or status.state not in (MemberState.LIVE, MemberState.LEAVING):
            return False
        return _uses_split(status.record, newest)


def _uses_split(record: MemberRecord, newest: _SplitVersions) -> bool:
    """Return whether a host uses this split; a host at a later version may use another."""
    in_range = newest.first_version <= record.config_version <= newest.last_version
    return in_range and record.settled_version >= newest.first_version
