"""Check the metrics of the edge program."""

from collections import Counter

from berylchute.edgemetrics import EdgeMetrics, EdgeState


def _lines(metrics: EdgeMetrics) -> list[str]:
    return [line for line in metrics.render().decode().splitlines() if not line.startswith("#")]


def test_requests_are_counted_by_service_and_outcome() -> None:
    # Guard against requests under wrong labels, and a request that was answered after a retry
    # among the refusals.
    metrics = EdgeMetrics()
    metrics.record_outcome("orders", "idempotent", "answered", "", 0.12)
    metrics.record_outcome("orders", "idempotent", "answered", "server_refused_503", 0.12)
    metrics.record_outcome("orders", "idempotent", "refused", "all_full, no retry budget", 0.001)
    lines = _lines(metrics)
    total = 'berylchute_edge_requests_total{outcome="answered",service="orders"} 2.0'
    assert total in lines
    labels = 'kind="idempotent",outcome="answered",service="orders"'
    assert f"berylchute_edge_request_seconds_count{{{labels}}} 2.0" in lines
    # A request that was answered after a retry is not counted as refused.
    refusals = [line for line in lines if line.startswith("berylchute_edge_refusals_total")]
    assert refusals == ['berylchute_edge_refusals_total{reason="all_full"} 1.0']


def test_attempts_are_timed_by_service_and_result() -> None:
    # Guard against times of failed attempts that are mixed with those of answers.
    metrics = EdgeMetrics()
    metrics.record_attempt("orders", "200", 0.12)
    metrics.record_attempt("orders", "answer_lost", 0.4)
    lines = _lines(metrics)
    for result, seconds in (("200", 0.12), ("answer_lost", 0.4)):
        labels = f'result="{result}",service="orders"'
        assert f"berylchute_edge_server_seconds_sum{{{labels}}} {seconds}" in lines


def test_state_is_read_at_collection() -> None:
    # Guard against gauges that show the state at the start of the process.
    metrics = EdgeMetrics()
    state = EdgeState(
        servers=3,
        members=Counter(live=2),
        object_ages_s={"routes": 4.5},
        store_calls={"servers": 12},
        log_lines_dropped_unwritable=7,
    )
    metrics.read_state = lambda: state
    lines = _lines(metrics)
    assert "berylchute_edge_servers_count 3.0" in lines
    assert 'berylchute_edge_object_age_seconds{object="routes"} 4.5' in lines
    assert 'berylchute_edge_store_calls_total{collection="servers"} 12.0' in lines
    assert 'berylchute_edge_members_count{state="live"} 2.0' in lines
    assert 'berylchute_edge_log_lines_dropped_total{reason="unwritable"} 7.0' in lines
