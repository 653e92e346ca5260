"""Configure hypothesis profiles and pass over the tests listed in KNOWN-RED.txt."""

import os
from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect and print exactly the tests that KNOWN-RED.txt names by node id."""
    if not KNOWN_RED_FILE.exists():
        return
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    known = {line.split()[0] for line in lines if line.startswith("tests/")}
    red = [item for item in items if item.nodeid in known]
    if red:
        items[:] = [item for item in items if item.nodeid not in known]
        config.hook.pytest_deselected(items=red)
        for item in red:
            print(f"known red, not run: {item.nodeid}")
