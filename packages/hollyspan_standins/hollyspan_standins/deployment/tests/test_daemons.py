"""Tests of the launcher with daemons and all links proxied."""

import pytest

from hollyspan_standins.caller import Caller
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import CALLER_KEY
from hollyspan_standins.deployment import count_traffic
from hollyspan_standins.deployment import LINK_KINDS
from hollyspan_standins.deployment import open_deployment
from hollyspan_standins.engine import generate_expected_text

MODEL = "pips-lm"
REQUEST = {
    "model": MODEL,
    "messages": [{"role": "user", "content": "hello"}],
}


@pytest.fixture
def deployment():
    with open_deployment(
        layouts=build_layouts("attiki", "kriti"), proxied=LINK_KINDS
    ) as opened:
        yield opened
    assert set(opened.stop_codes.values()) == {0}


def stream_text(deployment, name):
    caller = Caller(url=deployment.url(name), key=CALLER_KEY)
    return "".join(caller.stream("/v1/chat/completions", REQUEST))


def test_online_requests_use_proxied_links(deployment):
    expected = generate_expected_text(model=MODEL, prompt="user:hello")
    for name in deployment.daemon_names:
        assert stream_text(deployment, name) == expected
    links = deployment.fetch_links()
    for kind in ("store", "instances", "upstream", "peer"):
        passed = [
            link["request_bytes"]
            for name, link in links.items()
            if name.startswith(f"{kind}:")
        ]
        assert sum(passed) > 0
    assert count_traffic(deployment)["attiki", "attiki"] > 0
    keys = {record["key"] for record in deployment.read_records()}
    assert len(keys) == len(deployment.daemon_names)


def test_killed_daemon_restarts_on_its_port(deployment):
    name = deployment.daemon_names[0]
    deployment.kill(name)
    deployment.start(name)
    assert stream_text(deployment, name)
