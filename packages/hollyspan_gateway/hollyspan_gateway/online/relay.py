"""Relay of one client's request through upstreams."""

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OutcomeUnknownError
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import PeerAnswerError
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_core.errors import UpstreamUnreachableError

from ..crashes import check_undelimited_end
from ..crashes import is_broken_off
from ..http1 import EVENT_STREAM
from ..http1 import PLAIN_ANSWER
from ..http1 import run_attempt
from ..routes import RouteKind
from .answers import check_events_head
from .answers import check_plain_answer
from .answers import require_own_answer
from .attempt_log import log_failed_attempt
from .continuation import Continuation
from .delivery import Delivery
from .forwarded import set_upstream_headers
from .hop import Hop
from .origin import find_origin
from .origin import find_service
from .stalls import Stalls

__all__ = ["Relay"]

# Refusals by upstreams that are tolerated before a request fails: one refusal
# can be chance, three mean that the service is full.
MAX_REFUSALS = 3
# Gateways that are asked to run a request. The first one mostly does.
MAX_HOPS = 3


class Relay:
    """Sends a request to upstreams until its answer is complete.

    Parameters
    ----------
    gateway : Gateway
    request : ClientRequest
    head : RequestHead
    route : Route
    service : str
    body : bytes
    deadline : float
        Time at which the request times out, reactor seconds.
    options : ForwardedOptions, optional
        For a request of another gateway.

    Attributes
    ----------
    workspace : Workspace or None
        Workspace that the request belongs to.
    max_attempts : int
        Number of upstreams at which it may run.
    sends : int
        Number of sends to upstreams that may have run the request.
    asked_peers : set of str
        Identifiers of the gateways that were asked to run it.
    peer : Peer or None
        Gateway that was asked last, if it was the last attempt.
    refusals : int
        Number of sends to upstreams that have certainly not run it.
    tried : set of str
        Names of the upstreams of both kinds.
    is_told_runs : bool
        Whether a gateway that forwards it wants to know where it has run.
    upstream_load : dict
        Estimated load of the upstream at the time of its choice, for log
        lines.
    version : int or None
        Key of the software version at which the stream has to go on; None
        while it has no event.
    delivery : Delivery
        Delivery of the answer to the client.
    continuation : Continuation
    stalls : Stalls
    """

    def __init__(
        self,
        *,
        gateway,
        request,
        head,
        route,
        service,
        body,
        deadline,
        options=None,
    ):
        self.gateway = gateway
        self.request = request
        self.head = head
        self.route = route
        self.service = service
        self.body = body
        self.deadline = deadline
        self.workspace = None
        self.is_forwarded = options is not None
        self.max_attempts = route.max_attempts
        self.version = None
        if options is not None:
            self.max_attempts = min(options.attempts, route.max_attempts)
            self.version = options.version
        self.sends = 0
        self.refusals = 0
        self.tried = set()
        self.asked_peers = set()
        self.peer = None
        self.delivery = Delivery(
            request=request,
            clock=gateway.reactor.seconds,
            resume_after=head.resume_after,
        )
        self.continuation = Continuation(relay=self)
        self.is_told_runs = options is not None and options.ran_at is not None
        if self.is_told_runs:
            self.continuation.note_run_elsewhere(options.ran_at)
        self.stalls = Stalls(relay=self)
        self.upstream = None
        self.upstream_load = {}
        self.reply = None
        self.exposure = None
        self.sent_at = 0.0

    @property
    def target_at(self):
        """Time at which the latency target is missed, reactor seconds."""
        return self.request.arrived_at + self.route.latency_target

    @property
    def outcome(self):
        """Whether an upstream may have run the request."""
        return Outcome.UNKNOWN if self.sends else Outcome.NOT_RUN

    async def run(self):
        """Relay the request until its answer is complete or has failed.

        Raises
        ------
        OverloadedError
            No upstream has run the request.
        StreamVersionError
            The version that began the resumed stream is not known or gone.
        RequestBlockedError
            Upstreams have ended with it or with a part of its prompt.
        OutcomeUnknownError
            An upstream may have run it; nothing was sent to the client.
        StreamLostError
            A part of the answer was sent and no upstream delivers the rest.
        """
        await self.require_allowed()
        if self.version is not None:
            self.service = find_service(
                self.gateway,
                self.route,
                self.version,
                outcome=self.outcome,
                has_begun=True,
            )
        elif (
            self.route.kind is RouteKind.STREAM
            and not self.is_resumed()
            and not self.must_hop()
        ):
            await self.gateway.held.wait(self)
        while True:
            await self.require_allowed()
            self.gateway.workspaces.require_in_force(self)
            try:
                error = await self.attempt()
            except OverloadedError as error:
                if not self.continuation.must_continue(error):
                    raise
                log_failed_attempt(self, error)
                await self.continuation.pause()
                continue
            if error is None:
                self.finish()
                return
            log_failed_attempt(self, error)
            if self.may_retry(error):
                continue
            if not self.continuation.must_continue(error):
                self.finish_failed(error)
                return
            await self.continuation.pause()

    async def attempt(self):
        """Let an upstream or another gateway run the request once."""
        if not (self.must_hop() or self.continuation.must_ask_others()):
            await self.require_origin()
            self.upstream = self.choose()
            is_lost = self.gateway.reach.is_lost(self.upstream) or (
                not self.may_try()
            )
            if is_lost and self.is_forwarded and not self.sends:
                raise UpstreamUnreachableError("the links are lost here, too")
            if not is_lost or not self.can_hop():
                if self.version is None and self.route.is_resumable:
                    await self.settle()
                return await self.send()
        peer = self.gateway.forwarding.choose(
            self.head.identifier, excluded=self.asked_peers
        )
        if peer is None:
            await self.require_origin()
            self.upstream = self.choose()
            return await self.send()
        self.peer = peer
        self.asked_peers.add(peer.identifier)
        return await Hop(relay=self, peer=peer).run()

    async def require_origin(self):
        """Find the version at which a resumed stream has to go on."""
        if (
            self.version is None
            and self.is_resumed()
            and self.route.kind is RouteKind.STREAM
        ):
            self.service, self.version = await find_origin(
                self.gateway, self.head, self.route, outcome=self.outcome
            )
        await self.gateway.incarnations.prove(
            self.service,
            self.version,
            excluded=self.continuation.list_excluded(),
        )

    async def settle(self):
        """Choose again if the chosen upstream tells that it is another one."""
        await self.gateway.incarnations.settle(self.upstream)
        if self.upstream.incarnation.is_gone:
            self.upstream = self.choose()

    def can_hop(self):
        """Return whether another gateway can run the request."""
        return (
            not self.is_forwarded
            and len(self.asked_peers) < MAX_HOPS
            and self.gateway.forwarding.is_possible()
        )

    def may_hop(self):
        """Return whether a lost link can lead over another gateway."""
        return self.gateway.reach.has_trouble and self.can_hop()

    def must_hop(self):
        """Return whether only another gateway can run the request."""
        must_hop = self.gateway.reach.is_cut_off or not self.may_try()
        return must_hop and self.can_hop()

    def may_try(self):
        """Return whether the request may show whether links work."""
        probation = self.gateway.reach.probation
        if not probation.is_on_trial:
            return True
        return probation.may_try(
            now=self.gateway.reactor.seconds(),
            is_repeatable=self.can_run_again(),
        )

    def can_run_again(self):
        """Return whether the request can run elsewhere if it fails."""
        return self.route.is_repeatable and self.sends + 1 < self.max_attempts

    def measure_time_left(self):
        """Return the seconds until the deadline."""
        return self.deadline - self.gateway.reactor.seconds()

    async def require_allowed(self):
        """Raise RequestBlockedError if the request may not be sent."""
        guard = self.gateway.guard
        await guard.trials.claim_for(self.head.keys)
        guard.block_list.require_allowed(
            self.head.keys,
            outcome=self.outcome,
            request=self.head.identifier,
        )

    def is_resumed(self):
        """Return whether the client resumes an earlier answer."""
        return self.head.resume_after is not None

    def pin_version(self):
        """Note the version of a stream that has sent its first event."""
        self.version = self.gateway.incarnations.find_run_version(
            self.exposure
        )
        if self.route.is_repeatable:
            self.gateway.stream_versions.announce(self.head, self.version)

    def choose(self):
        """Choose the next upstream or reject the request."""
        upstream = self.gateway.placement.choose(
            self.service,
            key=self.head.identifier,
            version=self.version,
            excluded=self.continuation.list_excluded(),
            outcome=self.outcome,
            seconds_left=self.measure_time_left(),
            is_continued=self.is_resumed() or self.delivery.has_begun,
            can_forward=self.may_hop(),
            is_repeatable=self.can_run_again(),
        )
        self.upstream_load = self.gateway.placement.describe(upstream)
        if self.upstream_load["report_age"] is not None:
            self.gateway.metrics.record(
                "report_age", self.upstream_load["report_age"]
            )
        return upstream

    async def send(self):
        """Send the request to the chosen upstream once.

        Returns
        -------
        HollyspanError or None
            None when a complete answer arrived that the client can receive.
        """
        upstream = self.upstream
        self.peer = None
        self.tried.add(upstream.entry.name)
        self.continuation.current = upstream.entry.name
        self.sent_at = self.gateway.reactor.seconds()
        self.stalls.start()
        self.reply = None
        self.delivery.start_attempt()
        headers = self.gateway.dialect.encode_headers(
            self.head,
            upstream=upstream.entry.name,
            deadline_seconds=self.measure_time_left(),
            resume_after=self.delivery.last_event,
        )
        self.sends += 1
        has_begun = self.delivery.has_begun
        guard = self.gateway.guard
        with (
            self.gateway.placement.track_online(upstream, self.route) as run,
            self.gateway.reach.probation.track(),
            guard.track(
                upstream,
                request=self.head.identifier,
                keys=self.head.keys,
                fingerprint=self.head.fingerprint,
            ) as self.exposure,
        ):
            self.exposure.can_move = self.continuation.may_break_off
            self.exposure.version = self.version
            try:
                error = await run_attempt(
                    self.gateway.pool,
                    address=upstream.entry.address,
                    method=self.head.method,
                    target=self.head.target,
                    headers=headers,
                    body=self.body,
                    on_reply=self.handle_reply,
                    on_data=self.gateway.placement.paces.watch(
                        run, self.handle_data, lambda: self.delivery.last_event
                    ),
                    first_byte_timeout=self.stalls.find_first_event_timeout(),
                    pause_timeout=self.stalls.find_pause_timeout(),
                    may_abandon=self.stalls.may_abandon,
                    on_start=self.exposure.note_start,
                    identifier=self.head.identifier,
                    read_identifier=self.gateway.dialect.read_identifier,
                    kind=(
                        EVENT_STREAM
                        if self.route.kind is RouteKind.STREAM
                        else PLAIN_ANSWER
                    ),
                )
            except UpstreamUnavailableError as unsent:
                error = unsent
            if error is None:
                error = self.check_answer()
            self.note_run(run, error)
        if error is None:
            error = await check_undelimited_end(
                self.gateway.pool, upstream, self.reply
            )
        guard.note_result(self.exposure, error, self.reply)
        self.gateway.metrics.count_send(error, is_resumed=has_begun)
        if error is not None:
            self.record_failure(error)
        return error

    def note_run(self, run, error):
        """Note what the run tells of the upstream."""
        placement = self.gateway.placement
        if error is None and self.is_stream():
            placement.speeds.note_run(
                self.upstream,
                kind=self.route.name,
                **self.delivery.measure_pace(),
            )
        run.has_failed = placement.outliers.note_run(
            self.upstream,
            error,
            request=self.head.fingerprint or self.head.identifier,
            started_at=self.sent_at,
        )
        if error is None:
            placement.paces.note_whole_answer(run)

    def handle_reply(self, status, headers):
        """Decode the head of an answer and record the reported load."""
        reply = self.gateway.dialect.decode_reply(status, headers)
        self.gateway.reach.note_data(
            self.upstream, opened_at=self.exposure.opened_at
        )
        require_own_answer(
            self.gateway, reply, sender=self.upstream.entry.name
        )
        if self.is_forwarded and not self.delivery.has_begun:
            set_upstream_headers(
                self.request,
                self.upstream,
                reply,
                attempts=self.sends,
                ran_at=self.list_told_runs(),
                version=self.gateway.incarnations.find_run_version(
                    self.exposure
                ),
            )
        self.gateway.placement.note_reply(self.upstream, reply)
        self.reply = reply
        self.require_deliverable()
        if self.is_stream():
            self.gateway.incarnations.require_version(
                self.exposure, self.exposure.version
            )

    def require_deliverable(self):
        """Raise an error if the head of an answer rules out its delivery."""
        if self.route.kind is RouteKind.STREAM:
            error = check_events_head(
                self.reply, has_begun=self.delivery.has_begun
            )
            if error is not None:
                raise error

    def list_told_runs(self):
        """Return what a gateway that forwards the request is told of runs."""
        return self.continuation.list_run_keys() if self.is_told_runs else None

    def handle_data(self, data):
        """Forward or buffer bytes of an answer's body.

        Returns
        -------
        int
            Bytes that are kept.
        """
        self.gateway.guard.note_data(self.exposure)
        if self.is_stream():
            events = self.delivery.forward_events(data, self.reply)
            self.gateway.metrics.events += events
            if events and self.version is None:
                self.pin_version()
            self.delivery.require_sound()
            self.stalls.require_progress()
        else:
            self.delivery.buffer(data)
        return self.delivery.kept_bytes

    def is_stream(self):
        """Return whether the answer is streamed to the client."""
        return self.route.kind is RouteKind.STREAM and self.reply.has_events

    def check_answer(self):
        """Return an error if the client must not receive a complete answer."""
        if self.is_stream():
            return self.delivery.check_end(self.reply)
        return check_plain_answer(self.reply)

    def record_failure(self, error):
        self.continuation.current = None
        self.gateway.placement.note_failure(
            self.upstream, error, waited_since=self.sent_at
        )
        is_lost = self.can_hop() and self.gateway.reach.is_lost(self.upstream)
        if error.outcome is Outcome.NOT_RUN:
            self.sends -= 1
            self.refusals += not is_lost
        self.continuation.note_failure(error)

    def finish(self):
        """End the answer."""
        if self.is_stream():
            self.delivery.end_stream(self.reply)
        else:
            self.delivery.answer(self.reply)

    def may_retry(self, error):
        """Return whether the request may be sent to another upstream."""
        if self.gateway.reactor.seconds() >= self.deadline:
            return False
        if isinstance(error, PeerUnavailableError):
            return True
        if (
            isinstance(error, PeerAnswerError)
            and error.outcome is Outcome.NOT_RUN
        ):
            # What the peer has refused, another one would refuse as well.
            return False
        if self.sends >= self.max_attempts:
            return False
        if self.is_forwarded and self.delivery.has_begun:
            # The gateway that forwards it knows of the attempts so far only.
            return False
        if error.outcome is Outcome.NOT_RUN:
            return self.refusals <= MAX_REFUSALS
        if is_broken_off(error) and self.gateway.guard.has_ended_upstreams(
            self.head.fingerprint, before=self.request.arrived_at
        ):
            # The end just seen may tell it from the requests beside it.
            return False
        return self.route.is_repeatable

    def finish_failed(self, error):
        """End the request after its last failed send."""
        if self.delivery.has_begun:
            raise StreamLostError(f"the stream failed: {error.message}")
        if (
            isinstance(error, UpstreamAnswerError)
            and not self.reply.is_ambiguous
            and not self.reply.is_success
        ):
            self.finish()
            return
        if isinstance(error, PeerAnswerError) and not (
            self.sends and error.outcome is Outcome.NOT_RUN
        ):
            raise error
        if self.sends:
            raise OutcomeUnknownError(f"the upstream failed: {error.message}")
        if self.is_forwarded and self.gateway.reach.is_cut_off:
            raise UpstreamUnreachableError("the links are lost here, too")
        raise OverloadedError(
            f"no upstream accepted the request: {error.message}",
            outcome=Outcome.NOT_RUN,
            retry_after=self.gateway.placement.choose_retry_after(
                self.head.identifier
            ),
        )

    def describe_place(self):
        """Return where the last attempt was made, for a log line."""
        if self.peer is not None:
            return {"peer": self.peer.identifier}
        return {
            "upstream": self.upstream.entry.name,
            "version": self.upstream.entry.version,
        }
