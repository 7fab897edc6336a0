"""Tests of the load that upstreams tell."""

import eliot
import pytest

from hollyspan_gateway.online import UpstreamReply
from hollyspan_gateway.upstreams import describe_report
from hollyspan_gateway.upstreams import LoadReport


@pytest.fixture
def lines():
    found = []
    eliot.add_destinations(found.append)
    # The first destination of a process gets what was logged before.
    found.clear()
    yield found
    eliot.remove_destination(found.append)


def build_reply(*, load=None, unreadable_load=None):
    return UpstreamReply(
        status=200,
        has_not_run=False,
        is_misdirected=False,
        is_ambiguous=False,
        load=load,
        is_leaving=False,
        rate_limit=None,
        has_events=True,
        is_delimited=True,
        headers=[],
        unreadable_load=unreadable_load,
    )


def test_an_unreadable_load_is_counted_and_logged_now_and_then(
    gateway, reactor, lines
):
    upstream = gateway.directory.upstreams["u1"]
    for _ in range(100):
        gateway.placement.note_reply(
            upstream, build_reply(unreadable_load="b'3,x'")
        )
        reactor.advance(0.15)
    logged = [
        line
        for line in lines
        if line.get("message_type") == "upstream:unreadable_load"
    ]
    assert gateway.placement.load_reports.unreadable == 100
    assert [line["count"] for line in logged] == [1, 68]
    assert {line["value"] for line in logged} == {"b'3,x'"}


def test_a_report_with_an_odd_slowness_is_used(gateway):
    upstream = gateway.directory.upstreams["u1"]
    load = LoadReport(running=8, waiting=2, slots=8)
    gateway.placement.note_reply(
        upstream, build_reply(load=load, unreadable_load="b'8,2,8,x'")
    )
    assert upstream.waiting == 2
    assert upstream.unsent_report is load


def test_a_log_line_names_a_slowness_only_where_it_is_told():
    report = LoadReport(running=3, waiting=1, slots=8)
    assert describe_report(None) == {"reported": None}
    assert describe_report(report) == {"reported": [3, 1, 8]}
    report.slowness = 2.5
    assert describe_report(report) == {
        "reported": [3, 1, 8],
        "reported_slowness": 2.5,
    }
