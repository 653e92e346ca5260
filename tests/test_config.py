"""Check decoding and encoding of the configuration document."""

from pathlib import Path

import pytest

from berylchute import config
from berylchute.exceptions import ConfigError

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("deployment", ["cooperativa", "turnback"])
def test_example_survives_json_round_trip(deployment: str) -> None:
    """Guard against a field that is lost when an operator's file is encoded for the store."""
    document = config.decode_toml((EXAMPLES / deployment / "lists.toml").read_text("utf-8"))
    assert config.decode_json(config.encode_json(document)) == document


def test_unknown_key_is_named() -> None:
    """Guard against a misspelt key in an operator's file that is ignored without an error."""
    with pytest.raises(ConfigError, match=r"plans\[0\].prioritty: unknown key"):
        config.decode_toml('[[plans]]\nname = "a"\nprioritty = 1\n')
