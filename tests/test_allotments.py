"""Check the decisions about allotments: owners, buckets, stocks, waits and shares."""

import math

import attrs
import pytest

from berylchute.allotments import (
    AllotmentHolder,
    AllotmentLimit,
    AllotmentOwner,
    Grant,
    MemberShares,
    Waiter,
)
from berylchute.allotments.limits import (
    ASK_AGAIN_S,
    ASK_WAIT_MAX_S,
    DENIAL_MAX_S,
    STOCK_LIFE_S,
    fallback_ratio,
)
from berylchute.allotments.owner import PAUSE_MIN_S, SENDERS_MAX, TAKEOVER_S
from berylchute.discovery import MemberDiscovery
from berylchute.messages import AllotmentGrant, AllotmentRequest, decode, encode
from berylchute.types import MemberState, MemberStatus
from tests.httpfakes import ManualClock
from tests.test_directory import member

LIMIT = AllotmentLimit(20.0, 20.0)
OWNER = "m1/1"


class _Host:
    """A holder with a clock, and an owner at a distance whose answers the test gives."""

    def __init__(self, limit: AllotmentLimit = LIMIT, own_part: float = 0.25) -> None:
        self.holder = AllotmentHolder()
        self.limit, self.own_part, self.owner_key = limit, own_part, OWNER
        self.now_s = 1000.0

    def add(self) -> Waiter:
        return self.holder.add("o", self.limit, self.owner_key, self.own_part, self.now_s)

    def ask(self) -> tuple[int, int] | None:
        ask = self.holder.next_ask("o", self.limit, self.owner_key, self.now_s)
        return (ask.request_id, ask.count) if ask else None

    def receive(self, request_id: int, granted: int, wait_s: float = 0.0) -> None:
        self.holder.receive(
            "o",
            request_id,
            granted,
            wait_s,
            limit=self.limit,
            own_part=self.own_part,
            now_s=self.now_s,
        )

    def expire_wait(self, waiter: Waiter) -> None:
        self.holder.expire_wait(waiter, self.limit, self.own_part, self.now_s)

    def stock_up(self, count: int) -> None:
        """Get tokens into the stock by requests whose callers leave."""
        waiters = [self.add() for _ in range(count)]
        ask = self.ask()
        assert ask is not None and ask[1] == count
        for waiter in waiters:
            self.holder.cancel(waiter, self.now_s)
        self.receive(ask[0], count)


def is_allowed(waiter: Waiter) -> bool | None:
    return waiter.verdict.is_allowed if waiter.verdict else None


def grant(
    owner: AllotmentOwner,
    now_s: float,
    count: int = 1000,
    limit: AllotmentLimit = LIMIT,
    part: float = 1.0,
    is_certain: bool = True,
) -> Grant:
    granted = owner.grant("o", count, limit, part=part, is_certain=is_certain, now_s=now_s)
    assert granted is not None
    return granted


def update(
    owner: AllotmentOwner, now_s: float, *, part: float = 1.0, is_certain: bool = True
) -> None:
    owner.update({"o": LIMIT}, part=part, is_certain=is_certain, now_s=now_s)


def owner_at(now_s: float, seconds: float = 0.0) -> AllotmentOwner:
    """Return an owner that has owned its organisation for some time."""
    owner = AllotmentOwner()
    for step in range(int(seconds / 0.25) + 1):
        update(owner, now_s - seconds + 0.25 * step)
    return owner


def test_waiting_requests_share_one_message() -> None:
    # Guard against a message for each request of a crowd.
    host = _Host()
    waiters = [host.add() for _ in range(3)]
    ask = host.ask()
    assert ask == (1, 3)
    assert host.ask() is None
    host.receive(1, 3)
    assert [is_allowed(waiter) for waiter in waiters] == [True] * 3


def test_partial_grant_refuses_the_rest_without_asking_until_the_next_token() -> None:
    # Guard against a crowd that asks the owner for each request although it has no tokens.
    host = _Host()
    waiters = [host.add() for _ in range(3)]
    host.ask()
    host.receive(1, 1, wait_s=0.05)
    assert [is_allowed(waiter) for waiter in waiters] == [True, False, False]
    host.now_s += 0.04
    assert is_allowed(host.add()) is False
    assert host.ask() is None
    host.now_s += 0.02
    assert is_allowed(host.add()) is None
    assert host.ask() is not None


def test_denial_time_is_bounded() -> None:
    # Guard against a rate that stays unused because an owner stated a long wait.
    host = _Host()
    host.add()
    host.ask()
    host.receive(1, 0, wait_s=30.0)
    host.now_s += DENIAL_MAX_S
    assert is_allowed(host.add()) is None


def test_grant_counts_once() -> None:
    # Guard against duplicated messages, and grants to a former process, that add tokens.
    host = _Host()
    host.add()
    host.ask()
    host.receive(1, 1)
    host.receive(1, 1)
    host.receive(999, 5)
    assert is_allowed(host.add()) is None


def test_grant_is_not_more_than_requested() -> None:
    # Guard against a faulty grant that gives a host tokens without bound.
    host = _Host()
    host.add()
    host.ask()
    host.receive(1, 1_000_000)
    assert is_allowed(host.add()) is None


def test_late_grant_goes_into_the_stock_and_expires_from_the_time_of_the_request() -> None:
    # Guard against tokens that are lost because the owner is far away, and against tokens that
    # outlive the time for which the owner's bucket answers for them.
    for delay_s, expected in ((STOCK_LIFE_S - 0.01, True), (STOCK_LIFE_S, None)):
        host = _Host()
        waiter = host.add()
        host.ask()
        host.now_s += ASK_WAIT_MAX_S
        host.expire_wait(waiter)
        assert is_allowed(waiter) is False
        host.now_s += delay_s - ASK_WAIT_MAX_S
        host.receive(1, 1)
        if expected is None:
            host.now_s += ASK_AGAIN_S
        assert is_allowed(host.add()) is expected


def test_expired_tokens_are_not_used() -> None:
    # Guard against a host that was frozen and then uses its old stock beside the owner's new
    # grants.
    host = _Host()
    host.stock_up(3)
    host.now_s += STOCK_LIFE_S + 7.0
    assert is_allowed(host.add()) is None
    assert host.holder.counts.expired == 3


def test_token_of_a_caller_that_left_returns_to_the_stock() -> None:
    # Guard against tokens that are lost when callers leave while they wait.
    host = _Host()
    first = host.add()
    host.ask()
    host.receive(1, 1)
    host.holder.cancel(first, host.now_s)
    assert is_allowed(host.add()) is True


def test_returned_token_goes_to_a_waiting_request() -> None:
    # Guard against requests that wait although another one returned its token.
    host = _Host()
    first = host.add()
    host.ask()
    host.receive(1, 1)
    second = host.add()
    assert first.verdict is not None
    host.holder.give_back("o", first.verdict, host.now_s)
    assert is_allowed(second) is True
    host.holder.give_back("o", first.verdict, host.now_s + STOCK_LIFE_S)
    assert is_allowed(host.add()) is None


def test_no_stock_above_a_lower_limit() -> None:
    # Guard against tokens of a higher limit that are used under a lower one.
    host = _Host(AllotmentLimit(20.0, 200.0))
    host.stock_up(50)
    host.limit = AllotmentLimit(2.0, 2.0)
    assert [is_allowed(host.add()) for _ in range(5)] == [True] * 4 + [None]


def test_silent_owner_leaves_the_own_share_without_a_burst() -> None:
    # Guard against hosts that each use a saved token at the moment at which an owner fails: 76
    # tokens at once, several times the allotment of a small organisation.
    host = _Host(AllotmentLimit(20.0, 20.0), own_part=0.25)
    allowed = 0
    started_s = host.now_s
    while host.now_s < started_s + 10.0:
        waiter = host.add()
        host.ask()
        if waiter.verdict is None:
            host.now_s += ASK_WAIT_MAX_S
            host.expire_wait(waiter)
        allowed += bool(is_allowed(waiter))
        host.now_s += 0.01
    share = 10.0 * 20.0 * 0.25 * fallback_ratio(20.0)
    assert 0.9 * share <= allowed <= share


def test_silent_owner_is_asked_twice_a_second() -> None:
    # Guard against requests that each wait for an owner that doesn't answer.
    host = _Host()
    waiter = host.add()
    assert host.ask()
    host.now_s += ASK_WAIT_MAX_S
    host.expire_wait(waiter)
    host.now_s += ASK_AGAIN_S - 0.05
    assert is_allowed(host.add()) is not None
    assert host.ask() is None
    host.now_s += 0.06
    assert is_allowed(host.add()) is None
    assert host.ask()


def test_other_owner_is_asked_at_once() -> None:
    # Guard against refusals in the name of an owner that was replaced, and against requests that
    # wait for its answer.
    host = _Host()
    waiter = host.add()
    host.ask()
    host.owner_key = "m2/1"
    assert host.ask() == (2, 1)
    host.receive(2, 0, wait_s=0.1)
    assert is_allowed(waiter) is False
    host.owner_key = "m2/2"
    assert is_allowed(host.add()) is None


def test_without_ready_members_the_own_share_is_used_without_a_wait() -> None:
    # Guard against requests that wait for an owner that doesn't exist.
    host = _Host(own_part=1.0)
    host.owner_key = ""
    assert is_allowed(host.add()) is False
    assert host.ask() is None
    host.now_s += 1.0
    assert is_allowed(host.add()) is True


def test_prefetch_needs_steady_demand() -> None:
    # Guard against tokens that expire unused at hosts with single requests, and against a wait of
    # each request at hosts with many.
    for per_s, expected in ((4.0, 1), (40.0, 1 + 8)):
        host = _Host(AllotmentLimit(400.0, 400.0))
        end_s = host.now_s + 3.0
        counts = []
        while host.now_s < end_s:
            host.add()
            ask = host.ask()
            if ask:
                counts.append(ask[1])
                host.receive(*ask)
            host.now_s += 1.0 / per_s
        assert max(counts) in (expected, expected - 1)


def test_refused_requests_return_one_after_the_other() -> None:
    # Guard against a crowd that is refused at once and returns at once.
    host = _Host()
    waiters = [host.add() for _ in range(4)]
    host.ask()
    host.receive(1, 0, wait_s=0.05)
    delays_s = [w.verdict.retry_after_s for w in waiters if w.verdict]
    assert delays_s == sorted(set(delays_s))
    assert delays_s[0] == pytest.approx(1.0 / LIMIT.rate_per_s)
    assert delays_s[-1] <= 2.0


def test_state_of_organisations_that_are_gone_is_dropped() -> None:
    # Guard against memory that grows with each organisation ever configured, and against requests
    # that wait for ever for one that was removed.
    host = _Host()
    waiter = host.add()
    host.holder.drop_idle(lambda _: True, host.now_s + 1.0)
    assert host.holder.organisation_count == 1
    host.holder.drop_idle(lambda _: False, host.now_s)
    assert is_allowed(waiter) is True
    assert host.holder.organisation_count == 0
    waiter = host.add()
    host.holder.cancel(waiter, host.now_s)
    host.holder.drop_idle(lambda _: True, host.now_s + 60.0)
    assert host.holder.organisation_count == 0


def test_bucket_starts_empty_and_at_half_its_rate() -> None:
    # Guard against a new owner that grants a burst or the whole rate beside its predecessor.
    owner = owner_at(1000.0)
    assert grant(owner, 1000.0).granted == 0
    assert grant(owner, 1000.5).granted == 5
    update(owner, 1000.9)
    update(owner, 999.99 + TAKEOVER_S)
    assert grant(owner, 1000.05 + TAKEOVER_S).granted == 10 + 1
    assert grant(owner, 1000.55 + TAKEOVER_S).granted == 10


def test_bucket_is_bounded_by_the_burst() -> None:
    # Guard against a long calm that is followed by more requests than the burst.
    assert grant(owner_at(1000.0, 60.0), 1000.0).granted == 20


def test_lower_limit_cuts_the_bucket_at_once() -> None:
    # Guard against a burst of the former limit.
    assert grant(owner_at(1000.0, 60.0), 1000.0, limit=AllotmentLimit(5.0, 5.0)).granted == 5


def test_unused_tokens_of_hosts_are_a_part_of_the_burst() -> None:
    # Guard against a window that holds the stock of all hosts and a whole burst.
    owner = owner_at(1000.0, 60.0)
    assert grant(owner, 1000.0, count=15).granted == 15
    assert grant(owner, 1000.1).granted <= 5 + 3  # three are left out of account


def test_owner_states_the_time_until_the_next_token() -> None:
    # Guard against hosts that ask for each request, and hosts that don't return for a token.
    owner = owner_at(1000.0, 60.0)
    assert grant(owner, 1000.0, count=5).wait_s == 0.0
    slow = AllotmentLimit(2.0, 2.0)
    wait_s = grant(owner, 1000.0, limit=slow).wait_s
    assert wait_s == pytest.approx(0.5)


@pytest.mark.parametrize("rate_per_s", [1e-17, 1e-310, 5e-324])
def test_wait_for_a_token_of_a_tiny_rate_fits_into_a_message(rate_per_s: float) -> None:
    # Guard against a rate whose answers fail, which ends the task that answers all organisations.
    limit = AllotmentLimit(rate_per_s, 1.0)
    owner = AllotmentOwner()
    owner.update({"o": limit}, part=0.5, is_certain=True, now_s=1000.0)
    answer = grant(owner, 1000.1, part=0.5, limit=limit)
    encode(AllotmentGrant("o", 1, answer.granted, math.ceil(answer.wait_s * 1000.0)))


def test_owner_grants_the_part_of_the_live_members() -> None:
    # Guard against two sides of a partition that each use the whole rate or burst.
    owner = owner_at(1000.0, 60.0)
    assert grant(owner, 1000.0, part=0.5).granted == 10
    update(owner, 1000.9, part=0.5)
    assert grant(owner, 1000.95, part=0.5).granted == 9


def test_part_holds_only_while_it_was_in_force() -> None:
    # Guard against a burst at the end of a partition for the time in which others had a part.
    owner = owner_at(1000.0, 60.0)
    assert grant(owner, 1000.0).granted == 20
    for step in range(5):
        update(owner, 1000.0 + 0.2 * step, part=0.1)
    assert grant(owner, 1000.85).granted <= 2


def test_uncertain_owner_grants_half() -> None:
    # Guard against processes that start cut off from each other and each seem to be alone.
    assert grant(owner_at(1000.0, 60.0), 1000.0, is_certain=False).granted == 10


def test_paused_owner_starts_again_with_an_empty_bucket() -> None:
    # Guard against a frozen owner that grants a burst beside the one that replaced it.
    owner = owner_at(1000.0, 60.0)
    assert grant(owner, 1000.0 + PAUSE_MIN_S + 0.1).granted == 0


def test_former_owner_grants_nothing() -> None:
    # Guard against two owners that both grant the whole rate for long.
    owner = owner_at(1000.0, 60.0)
    owner.update({}, part=1.0, is_certain=True, now_s=1000.1)
    assert owner.grant("o", 1, LIMIT, part=1.0, is_certain=True, now_s=1000.2) is None
    assert owner.owned_count == 0


def test_repeated_requests_are_recognized_also_out_of_order() -> None:
    # Guard against tokens that are granted twice for one request, and against requests that are
    # dropped because a later one overtook them.
    owner = owner_at(1000.0)
    assert not owner.is_repeated("o", "m2", 7, 101, 1000.0)
    assert not owner.is_repeated("o", "m2", 7, 100, 1000.0)
    assert owner.is_repeated("o", "m2", 7, 101, 1000.0)
    assert not owner.is_repeated("o", "m2", 8, 101, 1000.1)
    assert owner.is_repeated("o", "m2", 7, 102, 1000.1)


def test_kept_senders_are_bounded() -> None:
    # Guard against memory that grows with requests of many different senders.
    owner = owner_at(1000.0)
    for number in range(SENDERS_MAX + 10):
        assert not owner.is_repeated("o", f"h{number}", 7, 100, 1000.0)
    assert len(owner._owned["o"].senders) == SENDERS_MAX
    assert owner.is_repeated("o", f"h{SENDERS_MAX}", 7, 100, 1000.0)


def _shares(own: str, members: list[MemberStatus], *, is_joined: bool = True) -> MemberShares:
    clock = ManualClock(0.0)
    discovery = MemberDiscovery(clock, {"za": "ra", "zb": "ra", "zc": "rb"})
    discovery.update(is_joined=is_joined)
    clock.now = 60.0
    shares = MemberShares(own, discovery)
    shares.update(members)
    return shares


def _fleet(**changes: object) -> list[MemberStatus]:
    """Return two strong and one weak member of each zone, with changes of m1."""
    members = []
    for zone, region in (("za", "ra"), ("zb", "ra"), ("zc", "rb")):
        for capacity in (8.0, 8.0, 2.0):
            name = f"m{len(members) + 1}"
            fields = changes if name == "m1" else {}
            members.append(member(name, zone, region, capacity=capacity, **fields))
    return members


def test_all_members_select_the_same_owner_among_the_strong() -> None:
    # Guard against two buckets of one organisation, and owners that are too slow for the messages.
    names = [f"o{number}" for number in range(200)]
    selections = [
        [shares.find_owner(name) for name in names]
        for shares in (_shares("m1", _fleet()), _shares("m9", _fleet()))
    ]
    assert selections[0] == selections[1]
    owners = {record.host_id for record in selections[0] if record}
    assert owners == {"m1", "m2", "m4", "m5", "m7", "m8"}


@pytest.mark.parametrize(
    "changes",
    [{"ready": False}, {"leaving": True}, {"state": MemberState.GONE}, {"state": "suspect"}],
)
def test_only_live_ready_members_own(changes: dict[str, object]) -> None:
    # Guard against owners that have no configuration, or that are leaving or dead; the owners of
    # other organisations must stay.
    before, after = _shares("m2", _fleet()), _shares("m2", _fleet(**changes))
    for name in (f"o{number}" for number in range(200)):
        old, new = before.find_owner(name), after.find_owner(name)
        assert old and new and new.host_id != "m1"
        assert old.host_id in ("m1", new.host_id)


def test_owner_changes_with_its_incarnation() -> None:
    # Guard against requests that are sent to the former address of a process.
    shares = _shares("m2", _fleet())
    name = next(n for n in map(str, range(99)) if (o := shares.find_owner(n)) and o.host_id == "m1")
    shares.update(_fleet(incarnation=2, peer_address="10.0.0.9:1"))
    owner = shares.find_owner(name)
    assert owner and (owner.incarnation, owner.peer_address) == (2, "10.0.0.9:1")


def test_no_owner_without_ready_members() -> None:
    # Guard against an error when a fleet starts.
    shares = _shares("m1", [member("m1", "za", "ra", ready=False)])
    assert shares.find_owner("o") is None


def test_parts_of_live_members() -> None:
    # Guard against sides of a partition whose parts exceed the whole, and against a part that stays
    # unused after a member has announced that it leaves.
    members = _fleet()
    assert _shares("m2", members).live_part == pytest.approx(1.0)
    assert _shares("m2", members).own_part == pytest.approx(8.0 / 48.06)
    assert _shares("m3", members).own_part == pytest.approx(0.02 / 48.06)
    gone = [attrs.evolve(s, state=MemberState.GONE) for s in members[3:]]
    left = _shares("m2", members[:3] + gone).live_part
    gone = [attrs.evolve(s, state=MemberState.GONE) for s in members[:3]]
    right = _shares("m5", gone + members[3:]).live_part
    assert left + right == pytest.approx(1.0)
    assert _shares("m2", _fleet(leaving=True, state=MemberState.LEAVING)).live_part == (
        pytest.approx(1.0)
    )


def test_members_that_were_never_heard_of_have_parts() -> None:
    # Guard against hosts that start cut off from other zones and take the whole rate.
    shares = _shares("m1", _fleet()[:3])
    assert shares.own_part == pytest.approx(8.0 / (16.02 + 6 * 8.0))
    assert shares.live_part == pytest.approx(16.02 / (16.02 + 6 * 8.0))


def test_process_that_has_not_joined_is_uncertain() -> None:
    # Guard against whole shares of processes that don't know the other members yet.
    assert not _shares("m1", _fleet()[:1], is_joined=False).is_certain


def test_sum_of_unanswered_shares_stays_in_the_tolerance() -> None:
    # Guard against ratios that let the shares of cut off hosts exceed a window's tolerance while
    # the owner still grants the whole rate.
    for rate_per_s in (2.0, 11.0, 50.0, 430.0):
        added = 2.07 * rate_per_s * fallback_ratio(rate_per_s)
        added += AllotmentLimit(rate_per_s, rate_per_s).depth - rate_per_s
        assert added <= 0.1 * 6.0 * rate_per_s + 20.0


def test_messages_are_small_and_not_deflated() -> None:
    # Guard against the time of deflate in messages for which requests wait.
    request = AllotmentRequest("huka270", 3, 1796374000000001, "h-1", "10.0.0.1:9000", 17963740000)
    answer = AllotmentGrant("huka270", 1796374000000001, 3, 40)
    for message in (request, answer):
        frames = encode(message)
        assert frames[0] == type(message).__name__.encode()
        assert len(frames[1]) < 200
        assert decode(frames) == message


def test_limit_without_a_burst_can_be_used() -> None:
    # Guard against a bucket that never holds a whole token, or less than accrues between requests.
    assert AllotmentLimit(2.0).depth == 4.0
    assert AllotmentLimit(400.0).depth == pytest.approx(40.0)
    assert math.isfinite(AllotmentLimit(0.1).depth)
