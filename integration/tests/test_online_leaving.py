"""A leaving upstream receives no new work."""

import threading
import time

import pytest

from hollyspan_standins.caller import exchange
from hollyspan_standins.checker import find_late_dispatches
from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
CHAT = "/v1/chat/completions"
STATUS = "/services/clock/status"
# Time after the first announcement during which new work may still arrive.
LEAVING_GRACE_S = 3.0
SETTLE_TIME_S = 2.0
LOAD_DURATION_S = 7.0
REQUEST_PAUSE_S = 0.02
TOKENS = 10


@pytest.fixture
def deployment():
    layouts = [
        DataCentreLayout(
            data_centre="attiki-a",
            region="attiki",
            engines=2,
            services=("clock",),
            daemons=2,
        )
    ]
    with open_deployment(layouts=layouts, proxied=["upstreams"]) as deployment:
        time.sleep(SETTLE_TIME_S)
        yield deployment


class LoadGenerator:
    """Sends requests through all daemons until it is stopped."""

    def __init__(self, deployment, *, paths):
        self.deployment = deployment
        self.stopped = threading.Event()
        self.replies = []
        self.senders = [
            threading.Thread(target=self.send, args=(name, path))
            for name in deployment.daemon_names
            for path in paths
        ]

    def send(self, name, path):
        count = 0
        while not self.stopped.is_set():
            count += 1
            document = {
                "model": MODEL,
                "messages": [{"role": "user", "content": f"{name} {count}"}],
                "max_tokens": TOKENS,
                "stream": True,
            }
            url = self.deployment.url(name)
            self.replies.append(exchange(url, path, document=document))
            time.sleep(REQUEST_PAUSE_S)

    def __enter__(self):
        for sender in self.senders:
            sender.start()
        return self

    def __exit__(self, *details):
        self.stopped.set()
        for sender in self.senders:
            sender.join()


def announce_by_upstream(deployment, upstream):
    deployment.announce_leaving(upstream, by_instance_list=False)


def announce_by_list(deployment, upstream):
    """Announce in the lagging list only; the engine still accepts work."""
    deployment.announce_leaving(upstream, by_upstream=False)


def announce_to_one_daemon(deployment, upstream):
    """Let only one daemon reach the upstream and detect that it is leaving."""
    deployment.set_link_faults(f"upstream:*-2>{upstream}", freeze=True)
    deployment.announce_leaving(upstream, by_instance_list=False)
    time.sleep(LEAVING_GRACE_S)
    # Drop requests sent earlier that the frozen links hold: not new work.
    deployment.set_link_faults(f"upstream:*-2>{upstream}", cut=True)
    deployment.set_link_faults(
        f"upstream:*-2>{upstream}", freeze=False, cut=False
    )


def announce_and_cut(deployment, upstream):
    """Cut links repeatedly: resumes and retries must add no new work."""
    deployment.announce_leaving(upstream)
    for _ in range(10):
        time.sleep(0.4)
        deployment.set_link_faults(f"upstream:*>{upstream}", cut=True)
        deployment.set_link_faults(f"upstream:*>{upstream}", cut=False)


ANNOUNCEMENTS = (
    announce_by_upstream,
    announce_by_list,
    announce_to_one_daemon,
    announce_and_cut,
)


@pytest.mark.parametrize("announce", ANNOUNCEMENTS)
def test_leaving_engine_receives_no_new_work(deployment, announce):
    leaving, staying = deployment.list_upstreams()
    with LoadGenerator(deployment, paths=[CHAT, CHAT]) as load:
        time.sleep(1.0)
        announced = time.time()
        announce(deployment, leaving)
        time.sleep(max(0.0, announced + LOAD_DURATION_S - time.time()))
    records = deployment.read_records()
    assert find_late_dispatches(records, announced, upstream=staying)
    assert (
        find_late_dispatches(
            records, announced + LEAVING_GRACE_S, upstream=leaving
        )
        == []
    )
    failed = [r for r in load.replies if not r.is_complete]
    if announce in (announce_by_upstream, announce_by_list):
        assert failed == []


def test_stream_of_a_leaving_engine_is_finished(deployment):
    """Streams that run on a leaving engine are resumed there after a cut."""
    leaving, _ = deployment.list_upstreams()
    replies = []

    def send(number):
        document = {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"long {number}"}],
            "max_tokens": 150,
            "stream": True,
        }
        url = deployment.url(deployment.daemon_names[0])
        replies.append(exchange(url, CHAT, document=document))

    senders = [threading.Thread(target=send, args=(n,)) for n in range(8)]
    for sender in senders:
        sender.start()
    time.sleep(0.4)
    deployment.announce_leaving(leaving)
    time.sleep(0.2)
    deployment.set_link_faults(f"upstream:*>{leaving}", cut=True)
    deployment.set_link_faults(f"upstream:*>{leaving}", cut=False)
    for sender in senders:
        sender.join()
    assert all(reply.is_complete for reply in replies)
    resumed = [
        record
        for record in deployment.read_records(leaving)
        if record["event"] == "resumed"
    ]
    assert resumed


def test_leaving_plain_service_receives_no_new_work(deployment):
    (service,) = deployment.list_upstreams(kind="service")
    with LoadGenerator(deployment, paths=[STATUS]) as load:
        time.sleep(1.0)
        announced = time.time()
        deployment.announce_leaving(service, by_instance_list=False)
        time.sleep(LOAD_DURATION_S)
    records = deployment.read_records()
    late = find_late_dispatches(
        records, announced + LEAVING_GRACE_S, upstream=service
    )
    assert late == []
    refused = [r for r in load.replies if not r.is_complete]
    assert {reply.status for reply in refused} == {503}
    assert {reply.outcome for reply in refused} == {"not_run"}
