"""Check the reading of the platform's settings file."""

from pathlib import Path

import pytest

from berylchute.callerlimits import MAX_FDS_DEFAULT
from berylchute.exceptions import SettingsError
from berylchute_platform.settings import load

TEXT = """node-name=front-xela-a-1
ip=10.1.0.34
zone=xela-a
region=occidente
zones.xela-a=occidente
zones.coban-a=verapaz
listen.front=10.1.0.34:8548
listen.ready=10.1.0.34:8542
listen.control=10.1.0.34:8544
listen.directory=10.1.0.34:8546
internal-ports=7540,7555
seeds=10.1.0.34:8544,10.2.0.34:8544
bounds=grace-s=6,retry-budget-ratio=0.25,budget-window-s=9,retry-burst=62,closed=false
platform.address=10.200.1.7:8541
limits.cpu-share=0.717
limits.cores=3
limits.link-mbps=10
something-new=1
"""


def _file(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "settings.conf"
    path.write_text(text, encoding="utf-8")
    return path


def test_fields_are_translated(tmp_path: Path) -> None:
    # Guard against fields of the settings file that are lost or translated wrongly.
    settings = load(_file(tmp_path, TEXT))
    edge = settings.edge
    assert edge.node.host.host_id == "front-xela-a-1"
    assert (edge.node.host.cpu_cores, edge.node.host.link_mbit_per_s) == (pytest.approx(2.151), 10)
    assert edge.node.listen.peers == "10.1.0.34:8544"
    assert edge.node.peers.seeds == ("10.1.0.34:8544", "10.2.0.34:8544")
    assert edge.zone_regions == {"xela-a": "occidente", "coban-a": "verapaz"}
    assert (edge.retry_bounds.ratio, edge.retry_bounds.burst, edge.retry_bounds.window_s) == (
        0.25,
        62,
        9,
    )
    assert edge.grace_s == 6 and edge.metrics_address == "10.1.0.34:7540"
    assert settings.store_address == "10.200.1.7:8541"


@pytest.mark.parametrize("value, is_first", [("true", True), ("false", False), ("", False)])
def test_first_start_is_translated(value: str, is_first: bool, tmp_path: Path) -> None:
    # Guard against hosts that wait for others at a restart under traffic.
    text = TEXT + (f"bootstrap={value}\n" if value else "")
    assert load(_file(tmp_path, text)).edge.is_first_start is is_first


@pytest.mark.parametrize(
    "bounds, change_apply_s",
    [("", 2.0), ("config-apply-s=2.5,drain-s=4,", 2.5), ("config-apply-s=3,drain-s=1.5,", 1.5)],
)
def test_time_of_a_change_follows_the_bounds(
    bounds: str, change_apply_s: float, tmp_path: Path
) -> None:
    # Guard against watches that are checked too late for the bounds of an installation.
    text = TEXT.replace("bounds=", f"bounds={bounds}")
    assert load(_file(tmp_path, text)).edge.change_apply_s == change_apply_s


@pytest.mark.parametrize(
    "line, is_enabled",
    [("", False), ("contracts=base,quota,platform\n", True), ("contracts=base,quotas\n", False)],
)
def test_ranks_count_under_their_contract_only(line: str, is_enabled: bool, tmp_path: Path) -> None:
    # Guard against reserves in an installation without the contract, and none in one with it.
    assert load(_file(tmp_path, TEXT + line)).edge.admission_by_rank is is_enabled


def test_all_invalid_fields_are_listed(tmp_path: Path) -> None:
    # Guard against a settings error that names only the first of several invalid fields.
    text = TEXT.replace("zone=xela-a\n", "", 1).replace("10.200.1.7:8541", "nowhere")
    text = text.replace("retry-burst=62", "retry-burst=many")
    with pytest.raises(SettingsError) as raised:
        load(_file(tmp_path, text))
    message = str(raised.value)
    assert "zone: missing" in message
    assert "platform.address: 'nowhere'" in message
    assert "retry-burst=many" in message


def test_missing_file_raises_a_settings_error(tmp_path: Path) -> None:
    # Guard against an unexpected exception at the start when the settings file is missing.
    with pytest.raises(SettingsError):
        load(tmp_path / "none.conf")


def test_descriptors_of_the_host_are_read(tmp_path: Path) -> None:
    # Guard against connections that exceed the descriptors of a host.
    assert load(_file(tmp_path, TEXT + "limits.max-fds=1535\n")).edge.max_fds == 1535
    assert load(_file(tmp_path, TEXT)).edge.max_fds == MAX_FDS_DEFAULT
