"""Heartbeats and links of this daemon."""

import contextlib

from hollyspan_policy.membership import Probes

from ..runtime import open_periodic
from .beats import Beats
from .beats import FAR_BEATS
from .counters import PeerCounters
from .datagrams import Datagrams
from .links import open_links
from .owners import Owners
from .receipts import Receipts

__all__ = ["open_peers"]


@contextlib.contextmanager
def open_peers(runtime):
    """Keep the member table in step with the other daemons.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    Beats
    """
    with contextlib.ExitStack() as stack:
        beats = stack.enter_context(open_beats(runtime))
        stack.enter_context(open_links(runtime))
        subscribe(runtime, beats)
        stack.enter_context(
            open_periodic(
                beats.beat,
                seconds=runtime.settings.timing.heartbeat,
                reactor=runtime.reactor,
            )
        )
        yield beats


@contextlib.contextmanager
def open_beats(runtime):
    settings = runtime.settings
    remote_timeout = compute_remote_timeout(settings.timing)
    probes = Probes(silence_timeout=remote_timeout)
    receipts = Receipts(
        runtime=runtime, probes=probes, remote_timeout=remote_timeout
    )
    runtime.peer_counters = PeerCounters()
    runtime.owners = Owners(runtime=runtime)
    datagrams = Datagrams(
        key=settings.peer_key,
        counters=runtime.peer_counters,
        receive=receipts.receive,
    )
    beats = Beats(
        runtime=runtime,
        datagrams=datagrams,
        receipts=receipts,
        probes=probes,
    )
    receipts.notice_listeners.append(beats.answers.answer_notice)
    receipts.restart_listeners.append(beats.answers.free_restarted)
    receipts.answer_listeners.append(beats.answers.take_answer)
    port = runtime.reactor.listenUDP(
        settings.peer_port, datagrams, interface=settings.peer_address
    )
    try:
        yield beats
    finally:
        beats.stop()
        beats.answers.questions.stop()
        port.stopListening()


def compute_remote_timeout(timing):
    # Two hops: between data centres, and from the partner to the others.
    return timing.peer_timeout + 2 * FAR_BEATS * timing.heartbeat


def subscribe(runtime, beats):
    runtime.upstreams.load_listeners.append(beats.notices.hear_load)
    announcements = (runtime.departures.announcements, runtime.cancelled_jobs)
    for names in announcements:
        names.listeners.append(beats.beat_soon)
    runtime.configurations.subscribe(beats.beat_soon)
    runtime.drain_listeners.append(beats.beat_now)
