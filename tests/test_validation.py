"""Check that an invalid document is rejected with the path of each problem."""

from pathlib import Path
from typing import Any

import attrs
import pytest

from berylchute import config, validation
from berylchute.config import Configuration

EXAMPLES = Path(__file__).parent.parent / "examples"


def load_example(deployment: str = "cooperativa") -> Configuration:
    return config.decode_toml((EXAMPLES / deployment / "lists.toml").read_text("utf-8"))


@pytest.mark.parametrize("deployment", ["cooperativa", "turnback"])
def test_example_has_no_problem(deployment: str) -> None:
    """Guard against example files that validation rejects after a change of its rules."""
    assert validation.find_problems(load_example(deployment)) == []


@pytest.mark.parametrize(
    ("table", "change", "path"),
    [
        ("customers", {"plan": "nobody"}, "customers[0].plan"),
        ("allowances", {"region": "nowhere"}, "allowances[0].region"),
        ("allowances", {"service": "nothing"}, "allowances[0].service"),
        ("allowances", {"concurrent": 100_000}, "allowances[0].concurrent"),
        ("allowances", {"concurrent": -1}, "allowances[0].concurrent"),
        ("plans", {"name": "socio"}, "plans[1].name"),
        ("plans", {"priority": -3}, "plans[0].priority"),
        ("links", {"rate_bytes_per_s": 4000}, "links[0].rate_bytes_per_s"),
        ("backend_servers", {"address": "server.example:80"}, "backend_servers[0].address"),
        ("backend_servers", {"slots": 0}, "backend_servers[0].slots"),
        ("kinds", {"deadline_max_ms": 1}, "kinds[0].deadline_max_ms"),
        ("client_blocks", {"cidr": "10.0.0.1/8"}, "client_blocks[0].cidr"),
        ("host_positions", {"availability_zone": "x"}, "host_positions[0].availability_zone"),
    ],
)
def test_invalid_value_is_reported_by_path(table: str, change: dict[str, Any], path: str) -> None:
    """Guard against an invalid value that is accepted or reported under another path."""
    document = load_example()
    first, *rest = getattr(document, table)
    invalid_document = attrs.evolve(document, **{table: (attrs.evolve(first, **change), *rest)})
    assert path in [problem.path for problem in validation.find_problems(invalid_document)]


def test_document_above_the_store_limit_is_rejected() -> None:
    """Guard against a document above the store's size limit, which the store would reject."""
    blocks = tuple(
        config.ClientBlock(cidr=f"10.{i // 256 % 256}.{i % 256}.0/24", site="site-xela-a")
        for i in range(30_000)
    )
    invalid_document = attrs.evolve(load_example(), client_blocks=blocks)
    assert "document" in [problem.path for problem in validation.find_problems(invalid_document)]


def test_token_listed_twice_for_one_customer_is_reported() -> None:
    """Guard against a token that stays valid after one of its two entries was removed."""
    document = load_example()
    first, *rest = document.customers
    twice = attrs.evolve(first, token_sha256=first.token_sha256[:1] * 2)
    problems = validation.find_problems(attrs.evolve(document, customers=(twice, *rest)))
    assert [problem.reason for problem in problems] == ["duplicate token"]
