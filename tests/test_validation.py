"""Check that a wrong document is refused with the place of the fault."""

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
    """Guards against examples that the product itself refuses."""
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
def test_wrong_value_is_named(table: str, change: dict[str, Any], path: str) -> None:
    """Guards against a wrong value that is accepted or reported at another place."""
    document = load_example()
    first, *rest = getattr(document, table)
    wrong = attrs.evolve(document, **{table: (attrs.evolve(first, **change), *rest)})
    assert path in [problem.path for problem in validation.find_problems(wrong)]


def test_document_over_the_store_limit_is_refused() -> None:
    """Guards against a document that the store cannot hold."""
    blocks = tuple(
        config.ClientBlock(cidr=f"10.{i // 256 % 256}.{i % 256}.0/24", site="site-xela-a")
        for i in range(30_000)
    )
    wrong = attrs.evolve(load_example(), client_blocks=blocks)
    assert "document" in [problem.path for problem in validation.find_problems(wrong)]
