"""Check the exit codes and output of `berylchutectl` with a fake store and fake hosts."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest
from fakes import FakeStore

from berylchute import commands, ctl, operations
from berylchute.hostclient import HostAnswer, HostClient
from berylchute.types import StoredObject

EXAMPLES = Path(__file__).parent.parent / "examples"
LISTS = EXAMPLES / "cooperativa" / "lists.toml"


class FakeHostClient(HostClient):
    """Respond with the body in `answers` for a path, or with status 404."""

    answers: Mapping[str, Any] = {}

    async def get(self, url: str, path: str) -> HostAnswer:
        body = self.answers.get(path)
        return HostAnswer(url, 404 if body is None else 200, body)

    async def push(self, stored: StoredObject) -> int:
        return 2


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> FakeStore:
    """Make the command line use a fake store, which is returned, and fake hosts."""
    fake_store = FakeStore()
    settings = tmp_path / "ctl.toml"
    settings.write_text(
        '[store]\nurl = "http://127.0.0.1:1"\n[hosts]\nurls = ["http://127.0.0.1:2"]\n'
    )
    monkeypatch.setenv(commands.SETTINGS_VARIABLE, str(settings))
    monkeypatch.setattr(commands, "make_store", lambda _settings: fake_store)
    monkeypatch.setattr(commands, "HostClient", FakeHostClient)
    monkeypatch.setattr(operations, "READ_BACK_DELAY_S", 0.0)
    return fake_store


def run_command(*arguments: str) -> int:
    with pytest.raises(SystemExit) as caught:
        ctl.main([str(argument) for argument in arguments])
    return int(caught.value.code or 0)


def write_edited_lists(path: Path, old: str, new: str) -> Path:
    text = LISTS.read_text("utf-8")
    assert old in text
    path.write_text(text.replace(old, new, 1))
    return path


def test_apply_get_round_trip(
    store: FakeStore, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against `get` output that `apply` rejects, or takes for an edit because it is lossy."""
    assert run_command("apply", str(LISTS)) == 0
    capsys.readouterr()
    assert run_command("get") == 0
    copy = tmp_path / "copy.toml"
    copy.write_text(capsys.readouterr().out)
    assert run_command("apply", str(copy), "--output", "json") == 0
    assert json.loads(capsys.readouterr().out)["state"] == "unchanged"


def test_bad_input_exits_2(store: FakeStore, tmp_path: Path) -> None:
    """Guard against an invalid value, file or command that exits as success or is written."""
    invalid_file = write_edited_lists(tmp_path / "wrong.toml", "priority = 3", "priority = -3")
    assert run_command("validate", str(invalid_file)) == 2
    assert run_command("apply", str(invalid_file)) == 2
    assert run_command("apply", str(tmp_path / "missing.toml")) == 2
    assert run_command("no-such-command") == 2
    assert store.revision == 0


def test_error_names_key_value_and_allowed(
    store: FakeStore, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a validation error that lacks the key, the value or the allowed values."""
    invalid_file = write_edited_lists(
        tmp_path / "wrong.toml", 'plan = "socio-mayor"', 'plan = "oro"'
    )
    run_command("validate", str(invalid_file))
    text = capsys.readouterr().err
    assert "customers[0].plan" in text
    assert "'oro'" in text
    assert "socio-mayor" in text


def test_conflict_exits_3(
    store: FakeStore, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against an edit of an old generation that overwrites another operator's newer edit."""
    run_command("apply", str(LISTS))
    capsys.readouterr()
    run_command("get")
    outdated_file = tmp_path / "mine.toml"
    outdated_file.write_text(capsys.readouterr().out.replace("priority = 3", "priority = 7", 1))
    run_command(
        "apply", str(write_edited_lists(tmp_path / "theirs.toml", "priority = 3", "priority = 8"))
    )
    assert run_command("apply", str(outdated_file)) == 3
    text = capsys.readouterr().err
    assert "generation 1" in text
    assert "generation 2" in text


def test_outage_exits_4(store: FakeStore) -> None:
    """Guard against an outage of the store that exits with the code for bad input."""
    store.down = True
    assert run_command("apply", str(LISTS)) == 4
    assert run_command("get") == 4


def test_lost_answer_then_outage_exits_5(store: FakeStore) -> None:
    """Guard against reporting success or failure when the store accepts an edit, its response is
    lost and the outcome cannot be read back.
    """
    store.lose_answers, store.down_after_lost_answer = 1, True
    assert run_command("apply", str(LISTS)) == 5


def test_dry_run_writes_nothing(
    store: FakeStore, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a dry run that writes to the store or reports wrong slots."""
    run_command("apply", str(LISTS))
    before = store.revision
    changed = write_edited_lists(tmp_path / "changed.toml", "slots = 9", "slots = 12")
    capsys.readouterr()
    assert run_command("apply", str(changed), "--dry-run", "--output", "json") == 0
    rows = json.loads(capsys.readouterr().out)
    assert [row["slots_after"] - row["slots_before"] for row in rows] == [3]
    assert store.revision == before


def test_drain_is_declared_shown_and_stopped(
    store: FakeStore, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against drains that later commands do not find or cannot stop, and unknown targets."""
    run_command("apply", str(LISTS))
    assert run_command("drain", "start", "server", "no-such-server") == 2
    assert run_command("drain", "start", "region", "occidente", "--dry-run") == 0
    assert "drains" not in store.objects
    capsys.readouterr()
    assert run_command("drain", "start", "server", "saldo-01", "--output", "json") == 0
    drain_id = json.loads(capsys.readouterr().out)["id"]
    assert run_command("drain", "show", drain_id) == 0
    assert run_command("drain", "stop", drain_id) == 0
    capsys.readouterr()
    assert run_command("drain", "list", "--output", "json") == 0
    assert json.loads(capsys.readouterr().out) == []
    assert run_command("drain", "stop", "no-such-drain") == 2


def test_shift_is_declared_shown_and_cancelled(
    store: FakeStore, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against shifts declared for an unknown service, within one region or twice, and shifts
    that cannot be cancelled.
    """
    run_command("apply", str(LISTS))
    options = ("--from", "occidente", "--to", "verapaz", "--percent", "50")
    assert run_command("shift", "start", "nothing", *options) == 2
    assert run_command("shift", "start", "saldo", "--from", "occidente", "--to", "occidente") == 2
    assert run_command("shift", "start", "saldo", *options, "--dry-run") == 0
    assert "shifts" not in store.objects
    capsys.readouterr()
    assert run_command("shift", "start", "saldo", *options, "--output", "json") == 0
    shift_id = json.loads(capsys.readouterr().out)["id"]
    assert run_command("shift", "start", "saldo", *options) == 2
    assert run_command("shift", "show", shift_id) == 0
    assert run_command("shift", "cancel", shift_id) == 0
    capsys.readouterr()
    assert run_command("shift", "list", "--output", "json") == 0
    assert json.loads(capsys.readouterr().out) == []


def test_wait_ignores_hosts_that_are_leaving(
    store: FakeStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against `apply --wait` that waits for a host which stops before it applies anything."""
    members = [
        {"record": {"config_version": 10**9}, "state": "live"},
        {"record": {"config_version": 0}, "state": "leaving"},
    ]
    monkeypatch.setattr(FakeHostClient, "answers", {"/berylchute/v1/members": members})
    monkeypatch.setattr(commands, "WAIT_TIMEOUT_S", 0.5)
    assert run_command("apply", str(LISTS), "--wait") == 0


def test_dry_run_of_a_host_drain_shows_the_hosts_that_remain(
    store: FakeStore, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a dry run that shows no effect although a zone loses its last entry host."""
    run_command("apply", str(LISTS))
    capsys.readouterr()
    assert run_command("drain", "start", "host", "xela-a-1", "--dry-run", "--output", "json") == 0
    (row,) = json.loads(capsys.readouterr().out)
    assert row["availability_zone"] == "xela-a"
    assert row["hosts_after"] == row["hosts_before"] - 1


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('url = "http://127.0.0.1:1"', 'url = "127.0.0.1:1"', "store.url"),
        ("[hosts]", "timeout_ms = 0\n[hosts]", "store.timeout_ms"),
        ("[hosts]", "[hosts]\ntimeout_ms = -5", "hosts.timeout_ms"),
        ('["http://127.0.0.1:2"]', '["ftp://127.0.0.1:2"]', "hosts.urls"),
    ],
)
def test_invalid_client_settings_are_named(
    store: FakeStore,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    old: str,
    new: str,
    key: str,
) -> None:
    """Guard against a wrong value in the settings that appears as an unreachable store."""
    settings = tmp_path / "ctl.toml"
    settings.write_text(settings.read_text().replace(old, new, 1))
    assert run_command("get") == 2
    assert key in capsys.readouterr().err
