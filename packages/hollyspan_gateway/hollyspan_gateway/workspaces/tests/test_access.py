"""Tests of the identification of callers by their keys."""

import types

import pytest

from hollyspan_core.errors import AuthenticationError
from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import ConfigurationMissingError
from hollyspan_core.errors import IdentifierTakenError
from hollyspan_core.workspaces import digest_key
from hollyspan_core.workspaces import Workspace
from hollyspan_core.workspaces import WorkspaceTable
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.online.forwarded import KEY_HEADER
from hollyspan_gateway.online.forwarded import RAN_AT_HEADER
from hollyspan_gateway.online.hop import Hop
from hollyspan_gateway.routes import RouteKind
from hollyspan_standins.memory import build_head
from hollyspan_standins.memory import build_job
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import build_table
from hollyspan_standins.memory import LinkState

CREDENTIALS = ((b"Authorization", b"Bearer k1"), (b"Tenant", b"w9"))
WORKSPACES = WorkspaceTable(
    by_digest={
        digest_key("k1"): Workspace(name="w1"),
        digest_key("k2"): Workspace(name="w2"),
    }
)


@pytest.fixture
def keyed_gateway(gateway):
    gateway.routes = build_table(
        [build_route()], revision=5, workspaces=WORKSPACES
    )
    return gateway


def identify(gateway, *, key="k1", **changes):
    head = build_head(
        key_digest=None if key is None else digest_key(key),
        credentials=CREDENTIALS,
    )
    workspace = gateway.workspaces.identify(head, build_route(**changes))
    return head, workspace


def test_a_key_tells_the_workspace_and_goes_no_further(keyed_gateway):
    head, workspace = identify(keyed_gateway)
    assert (head.workspace, workspace.name) == ("w1", "w1")
    assert head.forwarded == []


def test_a_public_route_needs_no_key_and_forwards_none(keyed_gateway):
    for key in (None, "k1", "unknown"):
        head, workspace = identify(keyed_gateway, key=key, is_public=True)
        assert head.workspace is None and workspace is None
        assert head.forwarded == []


def test_without_workspaces_the_headers_of_the_client_go_on(gateway):
    head, workspace = identify(gateway)
    assert head.workspace is None and workspace is None
    assert head.forwarded == list(CREDENTIALS)


@pytest.mark.parametrize("key", [None, "unknown", digest_key("k1")])
def test_a_missing_or_unknown_key_is_refused(keyed_gateway, key):
    with pytest.raises(AuthenticationError) as caught:
        identify(keyed_gateway, key=key)
    assert caught.value.status == 401


# Failure: a workspace or the newest configuration cannot be read here.
@pytest.mark.parametrize("fault", ["workspace", "configuration"])
def test_a_key_that_may_be_unread_is_not_called_unknown(keyed_gateway, fault):
    if fault == "workspace":
        keyed_gateway.routes.has_all_workspaces = False
    else:
        keyed_gateway.has_unread_configuration = True
    with pytest.raises(ConfigurationMissingError) as caught:
        identify(keyed_gateway, key="unknown")
    assert caught.value.status == 503
    assert identify(keyed_gateway)[1].name == "w1"


def test_a_job_of_another_workspace_does_not_exist(keyed_gateway):
    access = keyed_gateway.workspaces
    job = build_job("j", tokens=[1])
    for caller in (None, "w1", "w2"):
        # The record of an older build names no workspace.
        access.require_job_access(job, caller)
    job.workspace = "w1"
    access.require_job_access(job, "w1")
    with pytest.raises(BatchNotFoundError):
        access.require_job_access(job, "w2")
    with pytest.raises(AuthenticationError):
        access.require_job_access(job, None)


# Failure: an item's own headers told upstreams of a key or a workspace.
@pytest.mark.parametrize("encode", [str, str.encode])
def test_the_headers_of_an_item_bring_no_credentials(
    keyed_gateway, build_gateway, encode
):
    headers = [(encode(name), encode("x")) for name in ("key", "model", "key")]
    kept = keyed_gateway.workspaces.drop_credentials(headers)
    assert kept == [(encode("model"), encode("x"))]
    without = build_gateway(name="g2").workspaces
    assert without.drop_credentials(headers) == headers


def test_a_call_with_an_unknown_key_is_refused_at_once(keyed_gateway, wire):
    access = keyed_gateway.workspaces
    assert access.identify_caller(digest_key("k2")) == "w2"
    assert access.identify_caller(None) is None
    with pytest.raises(AuthenticationError):
        access.identify_caller(digest_key("unknown"))
    assert wire.calls == []


@pytest.fixture
def submit(keyed_gateway, run, helpers, reactor):
    """Return a function that submits a job for a workspace."""
    items = build_job("j", tokens=[5]).items
    keyed_gateway.dialect.decode_items = lambda body: items

    def hand_in(workspace, *, limit=None):
        request = helpers.build_request(reactor=reactor)
        head = build_head("j")
        head.workspace = workspace
        route = build_route(kind=RouteKind.BATCH, max_waiting_tokens=limit)
        run(keyed_gateway.submissions.handle(request, head, route))
        return request.status

    return hand_in


@pytest.mark.parametrize("limit", [None, 8])
def test_a_job_is_accepted_again_for_its_own_workspace_only(submit, limit):
    assert submit("w1", limit=limit) == 202
    assert submit("w1", limit=limit) == 202
    with pytest.raises(IdentifierTakenError) as caught:
        submit("w2", limit=limit)
    assert caught.value.status == 409


def test_a_job_of_an_older_build_is_accepted_again(submit, store, run):
    run(store.create(encode_job(build_job("j", tokens=[5]))))
    assert submit("w1") == 202


def test_a_hop_carries_the_digest_and_the_peer_checks_it(keyed):
    first, *others = keyed.gateways
    keyed.fleet.set_links(first, LinkState.RESET)
    for _ in range(3):
        keyed.send(first)
    keyed.fleet.advance(3.0)
    assert first.reach.is_confirmed
    start = len(keyed.fleet.peer_calls)
    request = keyed.send(first)
    keyed.fleet.advance(1.5)
    assert request.is_served()
    # A key that only the sender still takes for known.
    table = first.routes
    keyed.configure(w1=["k2"], w2=["k3"])
    keyed.fleet.advance(0.2)
    first.routes = table
    refused = keyed.send(first)
    keyed.fleet.advance(2.0)
    assert (refused.status, refused.written) == (503, b"not_run")
    assert not keyed.is_run(refused)
    calls = [
        call
        for call in keyed.fleet.peer_calls[start:]
        if call.getHeader("id") in (request.identifier, refused.identifier)
    ]
    assert len(calls) > 1
    for call in calls:
        assert call.getHeader(KEY_HEADER.decode()) is None
        sent = dict(call.connection.exchange.headers)
        assert sent[KEY_HEADER] == digest_key("k1").encode()
        assert b"k1" not in sent.values()


def test_a_client_cannot_send_the_digest_of_a_key_to_a_peer(keyed_gateway):
    keyed_gateway.dialect.encode_headers = lambda head, **_: head.forwarded
    head, _ = identify(keyed_gateway)
    head.forwarded = [(b"Hollyspan-Key", digest_key("k2").encode())]
    relay = types.SimpleNamespace(
        gateway=keyed_gateway,
        head=head,
        delivery=types.SimpleNamespace(last_event=None),
        measure_time_left=lambda: 1.0,
        continuation=types.SimpleNamespace(list_all_run_keys=lambda: []),
    )
    headers = Hop(relay=relay, peer=None).build_headers()
    assert headers == [
        (RAN_AT_HEADER, b"0"),
        (KEY_HEADER, digest_key("k1").encode()),
    ]
    # Nor on a public route.
    head.workspace = None
    assert Hop(relay=relay, peer=None).build_headers() == [
        (RAN_AT_HEADER, b"0")
    ]
