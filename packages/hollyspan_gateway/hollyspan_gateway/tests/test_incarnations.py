"""Tests with upstreams that start again under their names, unknown to all.

The store does not tell that they did, since it is down.
"""

import pytest

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamReplacedError
from hollyspan_gateway.streams.notice import AMBIGUOUS_VERSION
from hollyspan_standins.memory import LinkState

from .test_stream_versions import Client
from .test_stream_versions import count_served
from .test_stream_versions import resume_broken
from .test_stream_versions import start_streams
from .test_stream_versions import STEP_S

DELAYS_S = (0.05, 0.2, 0.5, 1.0, 3.0)


def build(build_fleet, *, has_reports=True, **options):
    fleet = build_fleet(
        **{"gateways": 4, "upstreams": 6, "tells_start": True, **options}
    )
    fleet.has_reports = has_reports
    fleet.restarts = False
    fleet.advance(1.0)
    return fleet


def replace_some(fleet, *, delay, count=4, version="v2", **options):
    """Replace upstreams one after the other while streams begin."""
    clients = []
    for number, name in enumerate(list(fleet.upstreams)[:count]):
        clients += start_streams(fleet, 10, name=f"q{number}n", **options)
        fleet.replace_upstream(name, version=version, delay=delay)
        clients += start_streams(fleet, 4, name=f"q{number}m", **options)
        resume_broken(fleet, clients)
    clients += start_streams(fleet, 20, name="last", **options)
    for _ in range(20):
        resume_broken(fleet, clients)
        fleet.advance(0.2)
    return clients


@pytest.mark.parametrize("has_reports", [True, False])
@pytest.mark.parametrize("delay", DELAYS_S)
def test_no_stream_goes_on_at_the_next_process(
    build_fleet, delay, has_reports
):
    fleet = build(build_fleet, has_reports=has_reports)
    clients = replace_some(fleet, delay=delay)
    mixed = [each.name for each in clients if each.count_versions() > 1]
    assert mixed == []
    assert count_served(clients) > 0.75 * len(clients)


@pytest.mark.parametrize("delay", DELAYS_S)
def test_no_stream_goes_on_there_through_gateways_that_saw_nothing(
    build_fleet, delay
):
    fleet = build(build_fleet, has_reports=False)
    *others, idle = fleet.gateways
    clients = start_streams(fleet, 30, gateway=others[0])
    for name in list(fleet.upstreams)[:5]:
        fleet.replace_upstream(name, version="v2", delay=delay)
    fleet.advance(delay + 0.05)
    for client in clients:
        if client.list_events() and not client.is_served():
            client.resume(gateway=idle)
    fleet.advance(3.0)
    assert {client.count_versions() for client in clients} <= {0, 1}


@pytest.mark.parametrize("delay", [0.05, 0.5])
def test_a_stream_that_begins_at_the_next_process_has_no_known_version(
    build_fleet, delay
):
    fleet = build(build_fleet, has_reports=False, upstreams=1)
    gateway = fleet.gateways[0]
    start_streams(fleet, 2, gateway=gateway, name="warm")
    fleet.replace_upstream("u1", version="v2", delay=delay)
    fleet.advance(3.0)
    client = Client(fleet=fleet, name="n", gateway=gateway)
    fleet.advance(0.3)
    assert client.list_events()[0][0] == b"v2"
    known = {
        version
        for each in fleet.gateways
        for version, _ in each.stream_versions.records.values()
    }
    assert AMBIGUOUS_VERSION in known
    client.leave()
    client.resume()
    fleet.advance(1.0)
    assert client.is_refused()


def test_a_service_whose_only_upstream_has_started_again_serves(build_fleet):
    fleet = build(build_fleet, has_reports=False, upstreams=1)
    start_streams(fleet, 4, name="warm")
    fleet.replace_upstream("u1", version="v2", delay=0.5)
    fleet.advance(4.0)
    clients = start_streams(fleet, 20)
    fleet.advance(2.0)
    assert count_served(clients) == 20


def test_streams_go_on_again_once_the_store_tells_of_the_process(build_fleet):
    fleet = build(build_fleet, has_reports=False, upstreams=2)
    start_streams(fleet, 8, name="warm")
    for name in list(fleet.upstreams):
        fleet.replace_upstream(name, version="v2", delay=0.3)
    fleet.advance(4.0)
    fleet.tell_store()
    clients = start_streams(fleet, 8)
    for client in clients:
        if not client.is_served():
            client.leave()
            client.resume()
    fleet.advance(2.0)
    assert count_served(clients) == 8
    assert {client.count_versions() for client in clients} == {1}


@pytest.mark.parametrize("has_reports", [True, False])
@pytest.mark.parametrize(
    "state", [LinkState.RESET, LinkState.REFUSES, LinkState.ACCEPTS_AND_RESETS]
)
def test_streams_go_on_when_links_of_one_gateway_were_reset(
    build_fleet, state, has_reports
):
    fleet = build(build_fleet, has_reports=has_reports)
    gateway = fleet.gateways[0]
    clients = start_streams(fleet, 20)
    fleet.set_links(gateway, state, ports=(1, 2))
    fleet.advance(0.5)
    fleet.restore_links(gateway)
    clients += start_streams(fleet, 20, name="r")
    for _ in range(10):
        resume_broken(fleet, clients)
        fleet.advance(0.2)
    assert {client.count_versions() for client in clients} == {1}
    assert count_served(clients) >= 0.95 * len(clients)


def test_sound_upstreams_are_known_again_soon(build_fleet):
    fleet = build(build_fleet)
    for number in range(20):
        start_streams(fleet, 5, name=f"q{number}n")
        fleet.break_connections(f"u{number % 6 + 1}")
    fleet.advance(0.3)
    start_streams(fleet, 20, name="last")
    fleet.advance(0.5)
    assert not any(
        gateway.incarnations.is_unproven(upstream)
        for gateway in fleet.gateways
        for upstream in gateway.directory.upstreams.values()
    )


def test_few_reports_are_asked_for(build_fleet):
    fleet = build(build_fleet)
    start_streams(fleet, 40)
    fleet.replace_upstream("u1", version="v1", delay=0.5)
    start_streams(fleet, 100, name="r")
    fleet.advance(2.0)
    # One by each gateway.
    assert len(fleet.reports) <= len(fleet.gateways)


@pytest.mark.parametrize("opens_in_silence", [True, False])
def test_upstreams_that_stood_still_stay_proven(build_fleet, opens_in_silence):
    fleet = build(build_fleet)
    fleet.opens_in_silence = opens_in_silence
    start_streams(fleet, 20)
    fleet.silent_upstreams.add("u1")
    start_streams(fleet, round(1.5 / STEP_S), name="s")
    fleet.silent_upstreams.clear()
    assert not any(
        upstream.incarnation.is_unproven
        for gateway in fleet.gateways
        for upstream in gateway.directory.upstreams.values()
    )


def test_streams_begin_elsewhere_while_others_are_free(build_fleet):
    fleet = build(build_fleet)
    witness, other, *_ = fleet.gateways
    start_streams(fleet, 8, gateway=witness, name="warm")
    fleet.replace_upstream("u1", version="v2", delay=0.2)
    fleet.advance(4.0)
    clients = start_streams(fleet, 12, gateway=other)
    fleet.advance(2.0)
    assert count_served(clients) == 12
    assert {each.list_events()[0][0] for each in clients} == {b"v1"}


@pytest.mark.parametrize("tells_start", [True, False])
def test_a_reset_at_the_next_process_proves_nothing(build_fleet, tells_start):
    fleet = build(build_fleet, has_reports=False, tells_start=tells_start)
    gateway = fleet.gateways[0]
    start_streams(fleet, 20, gateway=gateway, name="warm")
    fleet.replace_upstream("u1", version="v2", delay=0.2)
    fleet.advance(4.0)
    for number in range(4):
        start_streams(fleet, 12, gateway=gateway, name=f"q{number}n")
        fleet.break_connections("u1")
        fleet.advance(0.5)
    upstream = gateway.directory.upstreams["u1"]
    assert any(
        send.upstream == "u1" and send.time > 104 for send in fleet.sent
    )
    assert gateway.incarnations.is_unproven(upstream)


@pytest.mark.parametrize("delay", [0.05, 0.5])
def test_an_entry_of_the_process_between_tells_no_version(build_fleet, delay):
    fleet = build(build_fleet, has_reports=False)
    gateway = fleet.gateways[0]
    start_streams(fleet, 20, gateway=gateway, name="warm")
    fleet.replace_upstream("u1", version="v2", delay=0.2)
    fleet.advance(3.0)
    start_streams(fleet, 20, gateway=gateway, name="next")
    between = fleet.versions["u1"], fleet.born["u1"]
    fleet.replace_upstream("u1", version="v3", delay=delay)
    fleet.advance(delay + 0.1)
    fleet.listed["u1"] = between
    for each in fleet.gateways:
        fleet.list_upstreams(each)
    upstream = gateway.directory.upstreams["u1"]
    assert upstream.entry.version == "v2"
    assert gateway.incarnations.find_version(upstream) is None
    fleet.tell_store()
    upstream = gateway.directory.upstreams["u1"]
    assert gateway.incarnations.find_version(upstream) is not None


# A cut is all that is left once a part was sent; before that the client gets a
# status, and no more upstreams than allowed are tried.
@pytest.mark.parametrize("has_begun", [True, False])
def test_a_sign_in_the_last_attempt_cuts_only_what_has_begun(
    build_fleet, has_begun
):
    fleet = build(build_fleet, gateways=1)
    (gateway,) = fleet.gateways
    request = fleet.request("q", gateway=gateway)
    fleet.advance(0.3)
    if not has_begun:
        request.is_open = False
        request.on_disconnect()
        request = fleet.request("r", gateway=gateway, resume=2, resumes="q")
        fleet.advance(0.03)
    (exposure,) = gateway.guard.exposures
    exposure.abort(StreamLostError("connection closed"))
    fleet.advance(0.03)
    (exposure,) = gateway.guard.exposures
    assert exposure.version == exposure.upstream.entry.version_key
    exposure.abort(UpstreamReplacedError("another process may answer"))
    fleet.advance(2.0)
    written = request.written
    if has_begun:
        assert request.is_aborted and written.startswith(b"id: 1\n")
    else:
        assert not request.is_aborted and written == b"unknown"
    name = request.identifier.encode()
    sends = [
        send for send in fleet.sent if send.connection.headers[b"id"] == name
    ]
    assert len(sends) == 2 and not gateway.guard.exposures
