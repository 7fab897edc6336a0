"""One attempt to let another gateway run a request."""

import eliot

from hollyspan_core.errors import AnswerMisplacedError
from hollyspan_core.errors import IntakeExceededError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamUnavailableError

from ..http1 import FORWARDED_ANSWER
from ..http1 import FORWARDED_STREAM
from ..http1 import MAX_FAILURE_BYTES
from ..http1 import run_attempt
from ..routes import RouteKind
from .answers import require_own_answer
from .forwarded import ATTEMPTS_HEADER
from .forwarded import build_target
from .forwarded import decode_failure
from .forwarded import encode_keys
from .forwarded import FAILURE_HEADER
from .forwarded import ForwardedOptions
from .forwarded import INTERNAL_PREFIX
from .forwarded import KEY_HEADER
from .forwarded import LEAVING_HEADER
from .forwarded import parse_key
from .forwarded import parse_keys
from .forwarded import RAN_AT_HEADER
from .forwarded import VERSION_HEADER

__all__ = ["Hop"]

# Time without a byte after which the peer's heartbeats decide whether it is
# still there: longer than it takes to move a stream to another upstream.
QUIET_CHECK_S = 0.6
# Failures for which another gateway may run the request.
UNTAKEN_CODES = frozenset(
    (
        "configuration_missing",
        "draining",
        "invalid_api_key",
        "keys_unconfirmed",
        "peer_unknown",
        "route_not_found",
        "upstream_unreachable",
    )
)


class Hop:
    """Attempt to let a peer run what is left of a request.

    Parameters
    ----------
    relay : Relay
    peer : Peer

    Attributes
    ----------
    has_failed : bool
        True when the peer itself has failed the request.
    failure_parts : list of bytes
        Body of its failure.
    failure_bytes : int
        Size of that body.
    version : int or None
        Key of the version that writes the stream.
    attempts : int
        Number of upstreams at which the peer has told that it may have run.

    Notes
    -----
    The peer admits, holds, places and retries the request like one of its
    own clients, and counts it. It never forwards it again.
    """

    __slots__ = (
        "relay",
        "peer",
        "has_failed",
        "failure_parts",
        "failure_bytes",
        "version",
        "attempts",
    )

    def __init__(self, *, relay, peer):
        self.relay = relay
        self.peer = peer
        self.has_failed = False
        self.failure_parts = []
        self.failure_bytes = 0
        self.version = None
        self.attempts = 1

    async def run(self):
        """Forward the request and its answer.

        Returns
        -------
        HollyspanError or None
            None when a complete answer arrived that the client can receive.
        """
        relay = self.relay
        gateway = relay.gateway
        relay.reply = None
        relay.delivery.start_attempt()
        options = ForwardedOptions(
            version=relay.version,
            attempts=max(1, relay.route.max_attempts - relay.sends),
        )
        eliot.log_message(
            "request:forwarded",
            request=relay.head.identifier,
            peer=self.peer.identifier,
            last_event=relay.delivery.last_event,
            sends=relay.sends,
        )
        is_repeatable = relay.route.is_repeatable
        relay.sends += 1
        with gateway.forwarding.track(self.peer):
            try:
                error = await run_attempt(
                    gateway.pool,
                    address=(
                        self.peer.address[0],
                        gateway.settings.snapshot_port,
                    ),
                    method=relay.head.method,
                    target=build_target(options, relay.head.target),
                    headers=self.build_headers(),
                    body=relay.body,
                    on_reply=self.handle_reply,
                    on_data=self.handle_data,
                    first_byte_timeout=(
                        QUIET_CHECK_S if is_repeatable else None
                    ),
                    pause_timeout=QUIET_CHECK_S if is_repeatable else None,
                    may_abandon=self.may_abandon,
                    kind=(
                        FORWARDED_STREAM
                        if relay.route.kind is RouteKind.STREAM
                        else FORWARDED_ANSWER
                    ),
                )
            except UpstreamUnavailableError as unsent:
                error = PeerUnavailableError(
                    unsent.message, outcome=Outcome.NOT_RUN
                )
        if error is None:
            error = self.check_answer()
        if error is not None and error.outcome is not Outcome.NOT_RUN:
            self.note_failed_run()
        if error is not None and error.outcome is Outcome.NOT_RUN:
            relay.sends -= 1
        if isinstance(error, PeerUnavailableError):
            gateway.forwarding.avoid(self.peer)
        return error

    def note_failed_run(self):
        """Note a failure of the peer, or behind it, that may have run."""
        relay = self.relay
        relay.continuation.has_given_up = True
        if self.has_failed:
            return
        # One is counted for the hop.
        relay.sends += self.attempts - 1
        if relay.reply is not None:
            # The peer can take it again.
            relay.asked_peers.discard(self.peer.identifier)

    def build_headers(self):
        """Return the headers of the forwarded request.

        The peer checks the caller's key again, of which it gets the digest.
        """
        relay = self.relay
        headers = relay.gateway.dialect.encode_headers(
            relay.head,
            upstream=None,
            deadline_seconds=relay.measure_time_left(),
            resume_after=relay.delivery.last_event,
        )
        # Those that a client has sent are none.
        headers = [
            pair
            for pair in headers
            if not pair[0].lower().startswith(INTERNAL_PREFIX)
        ]
        headers.append(
            (
                RAN_AT_HEADER,
                encode_keys(relay.continuation.list_all_run_keys()),
            )
        )
        if relay.head.workspace is not None:
            headers.append((KEY_HEADER, relay.head.key_digest.encode()))
        return headers

    def may_abandon(self):
        """Return whether to leave the peer, which is silent.

        It may be live although its datagrams are lost.
        """
        relay = self.relay
        return (
            not self.peer.is_live(relay.gateway.reactor.seconds())
            and relay.continuation.may_break_off()
        )

    def handle_reply(self, status, headers):
        relay = self.relay
        dialect = relay.gateway.dialect
        # A failure of the peer itself names no request.
        found = dialect.read_identifier(headers)
        if found not in (None, relay.head.identifier):
            raise AnswerMisplacedError("the answer belongs to another request")
        values = dict(headers)
        self.has_failed = FAILURE_HEADER in values
        self.version = parse_key(values.get(VERSION_HEADER))
        self.attempts = parse_key(values.get(ATTEMPTS_HEADER)) or self.attempts
        relay.continuation.note_run_elsewhere(
            parse_keys(values.get(RAN_AT_HEADER)) or ()
        )
        departure = parse_key(values.get(LEAVING_HEADER))
        if departure is not None:
            relay.gateway.directory.note_reported_departure(departure)
        relay.reply = dialect.decode_reply(
            status,
            [
                each
                for each in headers
                if not each[0].startswith(INTERNAL_PREFIX)
            ],
        )
        if not self.has_failed:
            require_own_answer(
                relay.gateway, relay.reply, sender=self.peer.identifier
            )
            relay.gateway.reach.note_answer_elsewhere()
            relay.require_deliverable()

    def handle_data(self, data):
        relay = self.relay
        if self.has_failed:
            self.failure_bytes += len(data)
            if self.failure_bytes > MAX_FAILURE_BYTES:
                raise IntakeExceededError(
                    f"a peer's failure exceeds {MAX_FAILURE_BYTES} bytes"
                )
            self.failure_parts.append(data)
        elif relay.is_stream():
            events = relay.delivery.forward_events(data, relay.reply)
            relay.gateway.metrics.events += events
            if events and relay.version is None:
                relay.version = self.version
            relay.delivery.require_sound()
        else:
            relay.delivery.buffer(data)
        return self.failure_bytes + relay.delivery.kept_bytes

    def check_answer(self):
        """Return an error if the client must not receive a complete answer."""
        relay = self.relay
        if self.has_failed:
            error, attempts, ran_at = decode_failure(
                relay.reply.status, b"".join(self.failure_parts)
            )
            relay.continuation.note_run_elsewhere(ran_at)
            # One is counted for the hop.
            relay.sends += max(1, attempts) - 1
            if (
                error.outcome is Outcome.NOT_RUN
                and error.code in UNTAKEN_CODES
            ):
                return PeerUnavailableError(
                    f"the peer did not take it: {error.code}",
                    outcome=error.outcome,
                )
            return error
        if relay.is_stream():
            return relay.delivery.check_end(relay.reply)
        if relay.delivery.has_begun:
            return StreamLostError(f"the peer answered {relay.reply.status}")
        return None
