"""Check that reference pages, alert rules and example settings match the code."""

import re
from pathlib import Path

import msgspec

from berylchute import settings
from berylchute.refusals import RefusalCode
from lab.reference import metric_rows

ROOT = Path(__file__).parent.parent


def test_metrics_page_lists_every_metric() -> None:
    """Guard against metrics that operators can't look up, and a page with removed metrics."""
    page = (ROOT / "docs/metrics.md").read_text("utf-8")
    listed = [line for line in page.splitlines() if line.startswith("| `berylchute_")]
    assert listed == metric_rows()


def test_operations_page_lists_every_refusal() -> None:
    """Guard against an error code that the operations page does not list."""
    page = (ROOT / "docs/OPERATIONS.md").read_text("utf-8")
    missing = [code.value for code in RefusalCode if f"| `{code.value}` |" not in page]
    assert missing == []


def test_alert_rules_use_listed_metrics_and_sections() -> None:
    """Guard against an alert on a missing metric or with a link to a missing page section."""
    rules = (ROOT / "examples/alerts.yml").read_text("utf-8")
    known = {row.split("`")[1] for row in metric_rows()}
    used = set(re.findall(r"berylchute_[a-z_]+", rules))
    bases = {re.sub(r"_(bucket|sum|count)$", "", name) for name in used - known}
    assert bases <= known
    page = (ROOT / "docs/OPERATIONS.md").read_text("utf-8")
    anchors = {
        re.sub(r"[^a-z0-9 -]", "", line.lstrip("# ").lower()).replace(" ", "-")
        for line in page.splitlines()
        if line.startswith("#")
    }
    linked = re.findall(r"docs/OPERATIONS\.md#([a-z0-9-]+)", rules)
    assert linked and set(linked) <= anchors


def test_example_settings_are_accepted() -> None:
    """Guard against example settings that the programs reject."""
    for deployment in ("cooperativa", "turnback"):
        root = ROOT / "examples" / deployment
        lists = (root / "lists.toml").read_text("utf-8")
        for file in sorted((root / "hosts").glob("*.toml")):
            loaded = settings.load_settings(file)
            assert f'name = "{loaded.host.position}"' in lists or not loaded.host.position
        settings.load_client_settings(root / "berylchutectl.toml")


def test_wrong_settings_name_file_key_and_reason(tmp_path: Path) -> None:
    """Guard against a settings error that does not name the file and the key."""
    text = (ROOT / "examples/cooperativa/hosts/xela-a-1.toml").read_text("utf-8")
    file = tmp_path / "wrong.toml"
    for old, new, expected in (
        ("timeout_ms = 1000", 'timeout_ms = "1 s"', "store.timeout_ms"),
        ("timeout_ms = 1000", "timeout_s = 1", "store.timeout_s"),
        ('http = "10.10.1.11:8100"', 'http = "entry.example:8100"', "listen.http"),
        ('curve_secret_key = "', 'curve_secret_key = "x', "peers.curve_secret_key"),
        ('level = "INFO"', 'level = "LOUD"', "log.level"),
    ):
        file.write_text(text.replace(old, new))
        try:
            settings.load_settings(file)
        except settings.SettingsError as error:
            assert str(file) in str(error)
            assert expected in str(error)
        else:
            raise AssertionError(expected)
    assert msgspec.json.encode(
        settings.load_client_settings(ROOT / "examples/turnback/berylchutectl.toml")
    )
