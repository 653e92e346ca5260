"""Check the division of a server's limit among members."""

import pytest

from berylchute.sendershares import divide_rate

WEIGHTS = {f"m{number}": 1.0 if number % 3 else 0.05 for number in range(60)}


@pytest.mark.parametrize("burst", [0.1, 1.0, 7.5, 60.0, 100.0])
def test_shares_and_bursts_sum_up_to_the_whole(burst: float) -> None:
    # Guard against members that send more than the whole together, at a time or at once.
    shares = divide_rate("i-1", WEIGHTS, burst).values()
    assert sum(share.part for share in shares) == pytest.approx(1.0)
    assert sum(share.burst for share in shares) <= max(1.0, burst) + 1e-9


def test_members_with_more_keys_get_more() -> None:
    # Guard against a limit that goes to members that have no requests for the server.
    servers = [f"i-{number}" for number in range(40)]
    chosen = [host for server in servers for host in divide_rate(server, WEIGHTS, 6)]
    heavy = sum(WEIGHTS[host] == 1.0 for host in chosen)
    assert heavy > 0.9 * len(chosen)


def test_shares_of_the_others_stay_when_a_member_that_does_not_send_leaves() -> None:
    # Guard against senders that all change, and use the limit twice meanwhile, with each member
    # that comes or goes.
    before = divide_rate("i-1", WEIGHTS, 7)
    other = next(host for host in WEIGHTS if host not in before)
    weights = {host: weight for host, weight in WEIGHTS.items() if host != other}
    assert divide_rate("i-1", weights, 7) == before


def test_no_members_have_no_shares() -> None:
    # Guard against a division by zero before any member is known.
    assert not divide_rate("i-1", {}, 3)
