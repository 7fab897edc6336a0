"""Requests that other gateways forward to this one."""

import eliot

from hollyspan_core.errors import DrainingError
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import PeerUnknownError
from hollyspan_core.errors import UpstreamUnreachableError

from .forwarded import encode_failure
from .forwarded import KEY_HEADER
from .forwarded import parse_keys
from .forwarded import parse_target
from .forwarded import RAN_AT_HEADER

__all__ = ["answer_forwarded"]


def answer_forwarded(gateway, request, *, idle_seconds):
    """Run a request that another gateway forwards.

    Parameters
    ----------
    gateway : Gateway
    request : ClientRequest
    idle_seconds : float
        Time after which the connection is closed as idle.
    """
    request.setHeader(b"Keep-Alive", b"timeout=%d" % idle_seconds)
    try:
        require_peer(gateway, request.getClientIP())
        options, request.uri = parse_target(request.uri)
        options.key_digest = request.getHeader(KEY_HEADER.decode())
        ran_at = request.getHeader(RAN_AT_HEADER.decode())
        if ran_at is not None:
            options.ran_at = parse_keys(ran_at.encode())
        # Neither is for upstreams.
        request.requestHeaders.removeHeader(KEY_HEADER)
        request.requestHeaders.removeHeader(RAN_AT_HEADER)
        require_open(gateway)
    except HollyspanError as error:
        eliot.log_message(
            "request:not_taken",
            sender=request.getClientIP(),
            code=error.code,
            reason=error.message,
        )
        request.answer(*encode_failure(error))
        return
    gateway.online.handle(request, options=options)


def require_peer(gateway, address):
    """Raise PeerUnknownError unless a gateway has this IP address."""
    if not any(
        peer.address[0] == address for peer in gateway.peers.peers.values()
    ):
        raise PeerUnknownError(f"no gateway is known at {address}")


def require_open(gateway):
    """Raise an error if another gateway had better run the request."""
    if gateway.is_draining:
        raise DrainingError(
            "the gateway is shutting down", outcome=Outcome.NOT_RUN
        )
    if gateway.reach.is_cut_off:
        raise UpstreamUnreachableError("the links are lost here, too")
