"""The `explain trail` command."""

from typer.testing import CliRunner

from arbutusflow.cli.main import app

LOG = """\
9.1 collector {"time":100.0,"instance":"n1","event":"store_lost","kind":"servers"}
{"time":101.0,"instance":"n2","event":"keys_released","endpoint":"e1","first":0}
{"time":101.5,"instance":"n2","event":"store_lost","kind":"config"}
{"time":102.0,"instance":"n1","event":"attempt_failed","request_id":"a","endpoint":"e1"}
{"time":102.1,"instance":"n1","event":"request_refused","request_id":"a","status":503}
{"time":102.1,"instance":"n1","event":"request_refused","request_id":"b","status":503}
{"time":50.0,"instance":"n1","event":"configuration","version":1}
{"time":103.0,"instance":"n1","event":"connection_ended","request_ids":["c","d"]}
not an event
{"broken
"""


def run(tmp_path, request_id):
    path = tmp_path / "n1.log"
    path.write_text(LOG)
    return CliRunner().invoke(app, ["explain", "trail", request_id, str(path)])


def test_a_trail_has_the_events_of_the_request_and_related_state_changes(tmp_path):
    result = run(tmp_path, "a")
    events = [line.split()[2] for line in result.stdout.splitlines()]
    assert events == [
        "store_lost",
        "keys_released",
        "attempt_failed",
        "request_refused",
    ]


def test_an_unknown_request_is_an_error(tmp_path):
    result = run(tmp_path, "zz")
    assert result.exit_code == 1
    assert "zz" in result.stderr


def test_the_end_of_a_connection_belongs_to_each_of_its_requests(tmp_path):
    """Guards against a trail without the line that tells why there was no answer."""
    assert "connection_ended" in run(tmp_path, "d").stdout
