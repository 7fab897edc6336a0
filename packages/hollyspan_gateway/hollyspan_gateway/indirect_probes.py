"""Questions to other gateways whether an upstream accepts connections."""

import enum

import eliot
from twisted.internet import defer
from twisted.web import http

from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_policy.hashing import format_hash

from .clock import wait
from .http1 import PROBE
from .peers.calls import call_peer

__all__ = [
    "INDIRECT_PROBES_PATH",
    "IndirectResult",
    "answer_indirect_probe",
    "probe_indirectly",
]

INDIRECT_PROBES_PATH = b"/probes/"
# Gateways that are asked, one of which may be cut off as well, and the time
# for their answers: a connection attempt and several round trips between
# regions.
ASKED_GATEWAYS = 2
ANSWER_TIMEOUT_S = 1.0
# Time in which probes show whether a gateway has lost its links: that of a
# connection attempt and some round trips.
LINKS_DECISION_S = 0.4
LINKS_CHECK_INTERVAL_S = 0.02


class IndirectResult(enum.Enum):
    """What other gateways have seen of an upstream."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    UNKNOWN = "unknown"


def answer_indirect_probe(gateway, request):
    """Open a connection to an upstream for another gateway."""
    work = defer.ensureDeferred(probe_for_peer(gateway, request))
    request.on_disconnect = work.cancel
    work.addErrback(lambda failure: failure.trap(defer.CancelledError))
    work.addErrback(eliot.write_failure)


async def probe_for_peer(gateway, request):
    text = request.uri.removeprefix(INDIRECT_PROBES_PATH)
    try:
        upstream = gateway.directory.by_key.get(int(text, 16))
    except ValueError:
        request.answer(http.BAD_REQUEST, [], b"")
        return
    await wait_decided(gateway)
    result = IndirectResult.UNKNOWN
    if upstream is not None and not gateway.reach.is_cut_off:
        try:
            await gateway.pool.open_idle(upstream.entry.address)
            result = IndirectResult.ACCEPTS
        except UpstreamConnectionRefusedError:
            result = IndirectResult.REFUSES
        except UpstreamUnavailableError as error:
            eliot.log_message(
                "probe:undecided",
                upstream=upstream.entry.name,
                reason=error.message,
            )
    request.answer(http.OK, [], result.value.encode())


async def wait_decided(gateway):
    """Wait until it is certain whether this gateway's own links are lost."""
    reactor = gateway.reactor
    until = reactor.seconds() + LINKS_DECISION_S
    while (
        gateway.reach.is_cut_off
        and not gateway.reach.is_confirmed
        and reactor.seconds() < until
    ):
        await wait(reactor, LINKS_CHECK_INTERVAL_S)


async def probe_indirectly(gateway, upstream):
    """Let other gateways connect to an upstream.

    Parameters
    ----------
    gateway : Gateway
    upstream : Upstream

    Returns
    -------
    IndirectResult or None
        None without a live gateway that could be asked.

    Notes
    -----
    An indirect probe as in SWIM [1]_: a refused connection alone may be the
    fault of the link.

    References
    ----------
    .. [1] A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent
       infection-style process group membership protocol", DSN 2002.
    """
    asked = []
    for _ in range(ASKED_GATEWAYS):
        peer = gateway.forwarding.choose(
            upstream.entry.name, excluded=[each.identifier for each in asked]
        )
        if peer is not None:
            asked.append(peer)
    if not asked:
        return None
    answers = await defer.gatherResults(
        [
            defer.ensureDeferred(
                call_peer(
                    gateway.pool,
                    peer,
                    port=gateway.settings.snapshot_port,
                    target=INDIRECT_PROBES_PATH
                    + format_hash(upstream.entry.key).encode(),
                    timeout_seconds=ANSWER_TIMEOUT_S,
                    kind=PROBE,
                )
            )
            for peer in asked
        ]
    )
    bodies = {answer[1] for answer in answers if answer is not None}
    if IndirectResult.ACCEPTS.value.encode() in bodies:
        upstream.link.note_answer_elsewhere(now=gateway.reactor.seconds())
        return IndirectResult.ACCEPTS
    if IndirectResult.REFUSES.value.encode() in bodies:
        return IndirectResult.REFUSES
    return IndirectResult.UNKNOWN
