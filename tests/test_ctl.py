"""Check the command line's exit codes and output through its API with the fake store."""

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
    """Answer every path from a table."""

    answers: Mapping[str, Any] = {}

    async def get(self, url: str, path: str) -> HostAnswer:
        body = self.answers.get(path)
        return HostAnswer(url, 404 if body is None else 200, body)

    async def push(self, stored: StoredObject) -> int:
        return 2


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> FakeStore:
    """Let the command line use the fake store and hosts."""
    fake = FakeStore()
    settings = tmp_path / "ctl.toml"
    settings.write_text(
        '[store]\nurl = "http://127.0.0.1:1"\n[hosts]\nurls = ["http://127.0.0.1:2"]\n'
    )
    monkeypatch.setenv(commands.SETTINGS_VARIABLE, str(settings))
    monkeypatch.setattr(commands, "make_store", lambda _settings: fake)
    monkeypatch.setattr(commands, "HostClient", FakeHostClient)
    monkeypatch.setattr(operations, "READ_BACK_DELAY_S", 0.0)
    return fake


def call(*arguments: str) -> int:
    with pytest.raises(SystemExit) as caught:
        ctl.main([str(argument) for argument in arguments])
    return int(caught.value.code or 0)


def write_lists(path: Path, old: str, new: str) -> Path:
    text = LISTS.read_text("utf-8")
    assert old in text
    path.write_text(text.replace(old, new, 1))
    return path


def test_apply_get_round_trip(
    store: FakeStore, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against `get` output that `apply` does not take back."""
    assert call("apply", str(LISTS)) == 0
    capsys.readouterr()
    assert call("get") == 0
    copy = tmp_path / "copy.toml"
    copy.write_text(capsys.readouterr().out)
    assert call("apply", str(copy), "--output", "json") == 0
    assert json.loads(capsys.readouterr().out)["state"] == "unchanged"


def test_bad_input_exits_2(store: FakeStore, tmp_path: Path) -> None:
    """Guards against bad input that looks like success or is written."""
    wrong = write_lists(tmp_path / "wrong.toml", "priority = 3", "priority = -3")
    assert call("validate", str(wrong)) == 2
    assert call("apply", str(wrong)) == 2
    assert call("apply", str(tmp_path / "missing.toml")) == 2
    assert call("no-such-command") == 2
    assert store.revision == 0


def test_error_names_key_value_and_allowed(
    store: FakeStore, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an error that leaves the operator searching the file."""
    wrong = write_lists(tmp_path / "wrong.toml", 'plan = "socio-mayor"', 'plan = "oro"')
    call("validate", str(wrong))
    text = capsys.readouterr().err
    assert "customers[0].plan" in text
    assert "'oro'" in text
    assert "socio-mayor" in text


def test_conflict_exits_3(
    store: FakeStore, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an edit of an old generation that overwrites a newer one."""
    call("apply", str(LISTS))
    capsys.readouterr()
    call("get")
    mine = tmp_path / "mine.toml"
    mine.write_text(capsys.readouterr().out.replace("priority = 3", "priority = 7", 1))
    call("apply", str(write_lists(tmp_path / "theirs.toml", "priority = 3", "priority = 8")))
    assert call("apply", str(mine)) == 3
    text = capsys.readouterr().err
    assert "generation 1" in text
    assert "generation 2" in text


def test_outage_exits_4(store: FakeStore) -> None:
    """Guards against an outage that looks like bad input."""
    store.down = True
    assert call("apply", str(LISTS)) == 4
    assert call("get") == 4


def test_lost_answer_then_outage_exits_5(store: FakeStore) -> None:
    """Guards against claiming an outcome that nobody can know."""
    store.lose_answers, store.down_after_lost_answer = 1, True
    assert call("apply", str(LISTS)) == 5


def test_dry_run_writes_nothing(
    store: FakeStore, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a dry run that changes the store or hides the effect."""
    call("apply", str(LISTS))
    before = store.revision
    changed = write_lists(tmp_path / "changed.toml", "slots = 9", "slots = 12")
    capsys.readouterr()
    assert call("apply", str(changed), "--dry-run", "--output", "json") == 0
    rows = json.loads(capsys.readouterr().out)
    assert [row["slots_after"] - row["slots_before"] for row in rows] == [3]
    assert store.revision == before


def test_drain_is_declared_shown_and_stopped(
    store: FakeStore, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against drains that are lost between commands or never end."""
    call("apply", str(LISTS))
    assert call("drain", "start", "server", "no-such-server") == 2
    assert call("drain", "start", "region", "occidente", "--dry-run") == 0
    assert "drains" not in store.objects
    capsys.readouterr()
    assert call("drain", "start", "server", "saldo-01", "--output", "json") == 0
    drain_id = json.loads(capsys.readouterr().out)["id"]
    assert call("drain", "show", drain_id) == 0
    assert call("drain", "stop", drain_id) == 0
    capsys.readouterr()
    assert call("drain", "list", "--output", "json") == 0
    assert json.loads(capsys.readouterr().out) == []
    assert call("drain", "stop", "no-such-drain") == 2


def test_shift_is_declared_shown_and_cancelled(
    store: FakeStore, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against shifts that are declared with wrong places or cannot be cancelled."""
    call("apply", str(LISTS))
    places = ("--from", "occidente", "--to", "verapaz", "--percent", "50")
    assert call("shift", "start", "nothing", *places) == 2
    assert call("shift", "start", "saldo", "--from", "occidente", "--to", "occidente") == 2
    assert call("shift", "start", "saldo", *places, "--dry-run") == 0
    assert "shifts" not in store.objects
    capsys.readouterr()
    assert call("shift", "start", "saldo", *places, "--output", "json") == 0
    shift_id = json.loads(capsys.readouterr().out)["id"]
    assert call("shift", "start", "saldo", *places) == 2
    assert call("shift", "show", shift_id) == 0
    assert call("shift", "cancel", shift_id) == 0
    capsys.readouterr()
    assert call("shift", "list", "--output", "json") == 0
    assert json.loads(capsys.readouterr().out) == []
