"""Check which reports of draining servers are accepted."""

from hypothesis import given
from hypothesis import strategies as st

from berylchute.health import select_draining_servers


@given(st.dictionaries(st.integers(0, 30).map(str), st.booleans(), max_size=30))
def test_at_most_half_of_a_service_is_treated_as_draining(reported: dict[str, bool]) -> None:
    """Guard against wrong health reports that take a whole service out of use."""
    service_of = {name: f"service-{int(name) % 3}" for name in reported}
    accepted = select_draining_servers(reported, service_of)
    assert all(reported[name] for name in accepted)
    for service in set(service_of.values()):
        members = [name for name in reported if service_of[name] == service]
        assert sum(name in accepted for name in members) * 2 <= len(members)


def test_single_draining_server_is_accepted() -> None:
    """Guard against new requests on a server that reported that it is draining."""
    reported = {"a": True, "b": False, "c": False}
    assert select_draining_servers(reported, dict.fromkeys(reported, "saldo")) == {"a"}
