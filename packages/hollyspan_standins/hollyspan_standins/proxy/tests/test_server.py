"""Tests of the proxy over real sockets."""

import json
import socket
import threading
import time

import pytest

from hollyspan_standins.deployment import CallError
from hollyspan_standins.deployment import fetch_json
from hollyspan_standins.deployment import post_json

DELAY_S = 0.2


@pytest.fixture
def datagrams():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        opened.bind(("127.0.0.1", 0))
        opened.settimeout(10)
        yield opened


@pytest.fixture
def service(start_standin):
    return start_standin("service")


@pytest.fixture
def proxy(start_standin, service, datagrams):
    links = [
        {"name": "service:a", "target": service.ready["port"]},
        {"name": "service:b", "target": service.ready["port"]},
        {
            "name": "peer:a>b",
            "kind": "both",
            "target": datagrams.getsockname()[1],
        },
    ]
    return start_standin("proxy", "--links", json.dumps(links))


def set_faults(proxy, *links, **faults):
    document = {"links": list(links), **faults}
    return post_json(f"{proxy.url}/control", document)["changed"]


def call(proxy, link="service:a", **options):
    port = proxy.ready["links"][link]
    return fetch_json(f"http://127.0.0.1:{port}/status", **options)


def read_runs(service):
    return post_json(f"{service.url}/control", {})["runs"]


def test_link_forwards_and_counts_bytes(proxy):
    assert call(proxy)["run"] == 1
    counts = fetch_json(f"{proxy.url}/control/links")
    assert counts["service:a"]["request_bytes"] > 0
    assert counts["service:a"]["reply_bytes"] > 0
    assert counts["service:b"]["request_bytes"] == 0


def test_delay_applies_in_each_direction(proxy):
    assert set_faults(proxy, "service:*", delay_seconds=DELAY_S) == [
        "service:a",
        "service:b",
    ]
    started = time.monotonic()
    call(proxy)
    assert time.monotonic() - started >= 2 * DELAY_S


def test_cut_affects_only_the_matching_link(proxy, service):
    set_faults(proxy, "service:a", cut=True)
    with pytest.raises(CallError):
        call(proxy)
    call(proxy, "service:b")
    assert read_runs(service) == 1
    set_faults(proxy, "*", cut=False)
    call(proxy)


def test_request_of_dropped_reply_is_forwarded(proxy, service):
    set_faults(proxy, "service:a", drop_replies=1)
    with pytest.raises(CallError):
        call(proxy)
    assert read_runs(service) == 1
    assert call(proxy)["run"] == 2


def test_frozen_link_resumes_after_thaw(proxy):
    set_faults(proxy, "service:a", freeze=True)
    with pytest.raises(CallError):
        call(proxy, timeout=0.3)
    thaw = threading.Timer(0.2, set_faults, (proxy, "*"), {"freeze": False})
    thaw.start()
    assert "run" in call(proxy)
    thaw.join()


def test_cut_closes_open_connections(proxy):
    port = proxy.ready["links"]["service:a"]
    with socket.create_connection(("127.0.0.1", port), timeout=10) as opened:
        set_faults(proxy, "service:a", cut=True)
        try:
            assert opened.recv(1) == b""
        except ConnectionResetError:
            pass


def test_datagrams_pass_in_both_directions_until_cut(proxy, datagrams):
    address = ("127.0.0.1", proxy.ready["links"]["peer:a>b"])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.settimeout(10)
        sender.sendto(b"hello", address)
        data, source = datagrams.recvfrom(100)
        assert data == b"hello"
        datagrams.sendto(b"there", source)
        assert sender.recvfrom(100)[0] == b"there"
        set_faults(proxy, "peer:*", cut=True)
        sender.sendto(b"lost", address)
        datagrams.settimeout(0.3)
        with pytest.raises(TimeoutError):
            datagrams.recvfrom(100)


def test_unreachable_target_closes_the_connection(proxy):
    with pytest.raises(CallError):
        call(proxy, "peer:a>b")
