"""Guard that a failed request is explained from logs with the beliefs in force at its time."""

from pathlib import Path

import pytest

from berylchute.ctl import main
from berylchute.eventhistory import find_history, read_events

LOG = """  3.1 h1 {"time_s":1.0,"host":"h1","event":"routes","number":4,"version":9}
{"time_s":2.0,"host":"h1","event":"routes","number":7,"version":11}
{"time_s":2.1,"host":"h2","event":"routes","number":8,"version":13}
{"time_s":2.2,"host":"h1","event":"server_failed","server":"i-1","code":"not_sent"}
{"time_s":2.3,"host":"h1","event":"server_failed","server":"i-9","code":"not_sent"}
{"time_s":3.0,"host":"h1","event":"request","request_id":"q1","outcome":"answer_lost","attempts":[{"server":"i-1"}]}
{"time_s":4.0,"host":"h1","event":"routes","number":8,"version":13}
{"time_s":5.0,"host":"h1","event":"requ
not json
"""


def test_history_has_the_request_and_what_was_believed_then() -> None:
    history = find_history(list(read_events(LOG.splitlines())), "q1")
    assert [(line.event, line.before_s) for line in history] == [
        ("routes", 1.0),
        ("server_failed", 0.8),
        ("request", 0.0),
    ]
    # Neither the older table, nor the later one, nor another machine's, nor another server's.
    assert "number=7" in history[0].details and "server=i-1" in history[1].details


def test_unknown_request_is_said_so(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "h1.log"
    file.write_text(LOG, encoding="utf-8")
    with pytest.raises(SystemExit) as left:
        main(["explain", "q2", "--log", str(file)])
    assert left.value.code == 2
    assert "no log line tells of request q2" in capsys.readouterr().err
    with pytest.raises(SystemExit) as left:
        main(["explain", "q1", "--log", str(file)])
    assert left.value.code == 0
    assert "answer_lost" in capsys.readouterr().out
