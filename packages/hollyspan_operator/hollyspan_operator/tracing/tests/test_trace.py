"""Tests of the trace of a request from the logs of several daemons."""

import json

import pytest

from hollyspan_operator.commands.trace import describe_trace
from hollyspan_operator.commands.trace import trace_request
from hollyspan_operator.errors import InputFileError
from hollyspan_operator.tracing import build_trace
from hollyspan_operator.tracing import parse_line


def build_line(time, instance, kind, **fields):
    return json.dumps(
        {
            "timestamp": time,
            "instance": instance,
            "message_type": kind,
            "task_uuid": "t",
            **fields,
        }
    )


LINES = [
    build_line(1.0, "f1", "configuration:in_force", version=3),
    build_line(2.0, "f1", "configuration:in_force", version=7),
    build_line(2.0, "f3", "configuration:in_force", version=7),
    build_line(4.0, "f1", "upstream:suspect", upstream="u1"),
    build_line(4.0, "f1", "upstream:suspect", upstream="u9"),
    build_line(6.0, "f1", "request:failed", request="q1", code="overloaded"),
    build_line(
        5.0, "f1", "request:attempt_failed", request="q1", upstream="u1"
    ),
    build_line(6.5, "f2", "job:accepted", job="q1"),
    build_line(7.0, "f1", "request:answered", request="q2"),
    build_line(9.0, "f1", "configuration:in_force", version=9),
]


def trace(identifier):
    return build_trace([parse_line(text) for text in LINES], identifier)


def test_lines_of_all_daemons_come_in_order_of_time():
    kinds = [line.kind for line in trace("q1") if line.time >= 5.0]
    assert kinds == [
        "request:attempt_failed",
        "request:failed",
        "job:accepted",
    ]


def test_the_last_state_before_the_start_is_shown():
    versions = [
        line.fields["version"]
        for line in trace("q1")
        if line.kind == "configuration:in_force"
    ]
    assert versions == [7]


def test_changes_of_its_upstreams_are_shown():
    upstreams = [
        line.fields["upstream"]
        for line in trace("q1")
        if line.kind == "upstream:suspect"
    ]
    assert upstreams == ["u1"]


def test_an_unknown_identifier_has_no_trace():
    assert trace("q0") == []
    assert describe_trace([]) == "no log line contains the identifier"


def test_other_text_is_skipped():
    assert parse_line("Traceback (most recent call last):") is None
    assert parse_line("{broken") is None
    assert parse_line('{"a": 1}') is None
    line = parse_line("  12.5 front-1 " + LINES[0])
    assert (line.instance, line.kind) == ("f1", "configuration:in_force")
    assert line.fields == {"version": 3}


def test_the_command_reads_files(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join(LINES))
    trace_request("q1", str(path))
    text = capsys.readouterr().out
    assert "request:failed request=q1 code=overloaded" in text
    trace_request("q1", str(path), json=True)
    rows = json.loads(capsys.readouterr().out)
    assert rows[-1]["job"] == "q1"


def test_a_missing_file_raises_an_input_file_error(tmp_path):
    with pytest.raises(InputFileError):
        trace_request("q1", str(tmp_path / "none"))
