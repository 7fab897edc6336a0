"""Setup of the heartbeats and links of this daemon."""

import contextlib

from hollyspan_policy.membership import Probes

from ..runtime import open_periodic
from .counters import PeerCounters
from .datagrams import Datagrams
from .heartbeats import Heartbeats
from .heartbeats import REMOTE_HEARTBEAT_PERIOD
from .links import open_links
from .owners import Owners
from .receiver import MessageReceiver

__all__ = ["open_peers"]


@contextlib.contextmanager
def open_peers(runtime):
    """Exchange heartbeats with other daemons and open links.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    Heartbeats
    """
    with contextlib.ExitStack() as stack:
        heartbeats = stack.enter_context(open_heartbeats(runtime))
        stack.enter_context(open_links(runtime))
        subscribe(runtime, heartbeats)
        stack.enter_context(
            open_periodic(
                heartbeats.send_due,
                seconds=runtime.settings.timing.heartbeat,
                reactor=runtime.reactor,
            )
        )
        yield heartbeats


@contextlib.contextmanager
def open_heartbeats(runtime):
    settings = runtime.settings
    remote_timeout = compute_remote_timeout(settings.timing)
    probes = Probes(silence_timeout=remote_timeout)
    receiver = MessageReceiver(
        runtime=runtime, probes=probes, remote_timeout=remote_timeout
    )
    runtime.peer_counters = PeerCounters()
    runtime.owners = Owners(runtime=runtime)
    datagrams = Datagrams(
        key=settings.peer_key,
        counters=runtime.peer_counters,
        receive=receiver.receive,
        reactor=runtime.reactor,
    )
    heartbeats = Heartbeats(
        runtime=runtime,
        datagrams=datagrams,
        receiver=receiver,
        probes=probes,
    )
    receiver.notice_listeners.append(heartbeats.notice_answers.answer_notice)
    receiver.restart_listeners.append(
        heartbeats.notice_answers.cancel_streams_after_restart
    )
    receiver.answer_listeners.append(heartbeats.notice_answers.handle_answer)
    port = runtime.reactor.listenUDP(
        settings.peer_port, datagrams, interface=settings.peer_address
    )
    try:
        yield heartbeats
    finally:
        heartbeats.stop()
        heartbeats.notice_answers.pending_notices.stop()
        port.stopListening()


def compute_remote_timeout(timing):
    # A state takes two hops: between data centres, and from the partner to
    # the other daemons of its data centre.
    return timing.peer_timeout + 2 * REMOTE_HEARTBEAT_PERIOD * timing.heartbeat


def subscribe(runtime, heartbeats):
    runtime.upstreams.load_listeners.append(
        heartbeats.notices.handle_load_change
    )
    announcements = (runtime.departures.announcements, runtime.cancelled_jobs)
    for names in announcements:
        names.listeners.append(heartbeats.send_soon)
    runtime.configurations.subscribe(heartbeats.send_soon)
    runtime.drain_listeners.append(heartbeats.send_now)
