"""Check that a failed request is shown from logs with the state of its host at that time."""

from pathlib import Path

import pytest

from berylchute.ctl import main
from berylchute.requesthistory import find_history, read_events

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


def test_history_has_the_request_and_the_state_before_it() -> None:
    """Guard against events of another time, host or server in the history of a request."""
    history = find_history(list(read_events(LOG.splitlines())), "q1")
    assert [(line.event, line.before_s) for line in history] == [
        ("routes", 1.0),
        ("server_failed", 0.8),
        ("request", 0.0),
    ]
    # Not the older or the later routes, nor events of another host or server.
    assert "number=7" in history[0].details and "server=i-1" in history[1].details


def test_unknown_request_is_an_error(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guard against an empty history, shown without an error, for an unknown request."""
    file = tmp_path / "h1.log"
    file.write_text(LOG, encoding="utf-8")
    with pytest.raises(SystemExit) as caught:
        main(["explain", "q2", "--log", str(file)])
    assert caught.value.code == 2
    assert "no log line mentions request q2" in capsys.readouterr().err
    with pytest.raises(SystemExit) as caught:
        main(["explain", "q1", "--log", str(file)])
    assert caught.value.code == 0
    assert "answer_lost" in capsys.readouterr().out
