"""Check which reports of draining servers are accepted."""

from hypothesis import given
from hypothesis import strategies as st

from berylchute.config import BackendServer
from berylchute.health import (
    REPORT_AGE_MAX_S,
    SERVERS_JUDGED_MIN,
    HealthPoller,
    select_draining_servers,
)
from tests.httpfakes import ManualClock


@given(st.dictionaries(st.integers(0, 30).map(str), st.booleans(), max_size=30))
def test_at_most_half_of_a_service_is_treated_as_draining(reported: dict[str, bool]) -> None:
    """Guard against wrong health reports that take a whole service out of use."""
    service_of = {name: f"service-{int(name) % 3}" for name in reported}
    accepted = select_draining_servers(reported, service_of)
    assert all(reported[name] for name in accepted)
    for service in set(service_of.values()):
        members = [name for name in reported if service_of[name] == service]
        if len(members) >= SERVERS_JUDGED_MIN:
            assert sum(name in accepted for name in members) * 2 <= len(members)
        else:
            assert {name for name in members if reported[name]} <= accepted


def test_single_draining_server_is_accepted() -> None:
    """Guard against new requests on a server that reported that it is draining."""
    reported = {"a": True, "b": False, "c": False}
    assert select_draining_servers(reported, dict.fromkeys(reported, "saldo")) == {"a"}


def test_draining_report_of_a_small_service_is_accepted() -> None:
    """Guard against new requests to the leaving servers of a service that has only one or two."""
    assert select_draining_servers({"a": True}, {"a": "saldo"}) == {"a"}
    both = {"a": True, "b": True}
    assert select_draining_servers(both, dict.fromkeys(both, "saldo")) == {"a", "b"}


def test_draining_report_expires() -> None:
    """Guard against a server that stays out of use because its health endpoint went silent."""
    clock = ManualClock()
    draining: list[frozenset[str]] = []
    poller = HealthPoller(clock, lambda *report: None, draining.append)
    poller.configure({"s": BackendServer("s", "svc", "z", "127.0.0.1:9", 1)})
    poller.record_state("s", "draining")
    assert draining[-1] == {"s"}
    clock.now += REPORT_AGE_MAX_S + 0.1
    poller.update_draining()
    assert draining[-1] == frozenset()
