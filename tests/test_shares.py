"""Check that shares sum to their caps and leave no position without units."""

from pathlib import Path

import pytest

from berylchute.config import Configuration, decode_toml
from berylchute.shares import base_shares, connection_shares, resource_caps

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.fixture(params=["cooperativa", "turnback"])
def config(request: pytest.FixtureRequest) -> Configuration:
    return decode_toml((EXAMPLES / request.param / "lists.toml").read_text(encoding="utf-8"))


def test_shares_sum_to_caps(config: Configuration) -> None:
    """Guard against rounding that loses units or exceeds a cap."""
    split = base_shares(config)
    for resource, cap in resource_caps(config).items():
        assert sum(units.get(resource, 0) for units in split.values()) == cap, resource


def test_positions_are_balanced_per_service(config: Configuration) -> None:
    """Guard against a position that has too few slots of a service to serve its callers."""
    split = base_shares(config)
    for service in config.services:
        names = [f"server:{s.name}" for s in config.backend_servers if s.service == service.name]
        totals = [sum(units.get(name, 0) for name in names) for units in split.values()]
        assert max(totals) - min(totals) <= 1
        assert min(totals) > 0


def test_servers_of_the_own_availability_zone_come_first(config: Configuration) -> None:
    """Guard against slots that are assigned to far positions while near ones lack slots."""
    zone = {p.name: p.availability_zone for p in config.host_positions}
    near = far = 0
    for position, units in base_shares(config).items():
        for server in config.backend_servers:
            slots = units.get(f"server:{server.name}", 0)
            near += slots if server.availability_zone == zone[position] else 0
            far += slots if server.availability_zone != zone[position] else 0
    assert near > 2 * far


def test_connections_sum_to_caps(config: Configuration) -> None:
    """Guard against opening more connections to a server than its limit, all positions together."""
    split = connection_shares(config)
    for server in config.backend_servers:
        assert sum(units[server.name] for units in split.values()) == server.connections
