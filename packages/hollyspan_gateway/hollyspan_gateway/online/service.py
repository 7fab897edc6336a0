"""Handling of clients' requests, from arrival to the last byte."""

import contextlib

import eliot
from twisted.internet import defer

from hollyspan_core.errors import BodyTooLargeError
from hollyspan_core.errors import ConfigurationMissingError
from hollyspan_core.errors import DeadlineError
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import RouteNotFoundError

from ..http1 import answer_internal_error
from ..jobs.submissions import MAX_SUBMISSION_S
from ..routes import choose_service
from ..routes import RouteKind
from ..upstreams.load_report import describe_report
from .forwarded import encode_failure
from .relay import Relay
from .sharing import require_share

__all__ = ["OnlineService"]

# Deadline of a request that carries none.
DEFAULT_DEADLINE_S = 30.0


class OnlineService:
    """Answers requests of clients.

    Parameters
    ----------
    gateway : Gateway
    """

    __slots__ = ("gateway",)

    def __init__(self, *, gateway):
        self.gateway = gateway

    def handle(self, request, *, options=None):
        """Start to answer one request.

        Parameters
        ----------
        request : ClientRequest
        options : ForwardedOptions, optional
            For a request that another gateway forwards.
        """
        head = self.gateway.dialect.decode_head(request)
        if options is not None:
            head.key_digest = options.key_digest
        work = defer.ensureDeferred(self.answer(request, head, options))
        request.on_disconnect = work.cancel
        work.addErrback(self.handle_failure, request, head)

    def handle_failure(self, failure, request, head):
        """Log a disconnected client or answer with an internal error."""
        if failure.check(defer.CancelledError):
            eliot.log_message(
                "request:client_gone",
                request=head.identifier,
                seconds=self.measure_elapsed(request),
            )
            self.gateway.metrics.count_request("client_gone")
            return
        answer_internal_error(failure, request)

    def measure_elapsed(self, request):
        return round(self.gateway.reactor.seconds() - request.arrived_at, 4)

    async def answer(self, request, head, options=None):
        with contextlib.ExitStack() as stack:
            if options is not None:
                stack.enter_context(self.gateway.forwarding.track_running())
            await self.answer_tracked(request, head, options)

    async def answer_tracked(self, request, head, options):
        relay = None
        try:
            if request.is_too_large:
                raise BodyTooLargeError("the body exceeds the limit")
            route = self.find_route(head)
            workspace = self.gateway.workspaces.identify(head, route)
            if request.refusal is not None:
                raise request.refusal
            if route.kind is RouteKind.BATCH:
                await self.submit(request, head, route)
                return
            relay = self.create_relay(request, head, route, options)
            relay.workspace = workspace
            self.gateway.require_time(relay.measure_time_left())
            with self.gateway.workspace_rates.track(relay):
                require_share(relay)
                await self.run_to_deadline(relay)
            self.log_answered(relay)
        except HollyspanError as error:
            self.answer_error(request, head, relay, error, options)

    async def submit(self, request, head, route):
        """Accept a job, if it is stored before the process ends."""
        self.gateway.require_time(MAX_SUBMISSION_S)
        await self.gateway.work.run(
            self.gateway.submissions.handle(request, head, route),
            find_outcome=lambda: Outcome.UNKNOWN,
        )

    def find_route(self, head):
        """Return the route of a request, or raise an error without one."""
        table = self.gateway.routes
        if table is None:
            raise ConfigurationMissingError(
                "no configuration has been received yet",
                outcome=Outcome.NOT_RUN,
            )
        route = table.find(head.host, head.path)
        if route is None and not self.gateway.has_complete_routes:
            raise ConfigurationMissingError(
                "the newest configuration cannot be read",
                outcome=Outcome.NOT_RUN,
            )
        if route is None:
            raise RouteNotFoundError("no route for this host and path")
        if not head.identifier:
            raise InvalidRequestError("the request has no identifier")
        return route

    def create_relay(self, request, head, route, options):
        wait = head.deadline_seconds
        if wait is None:
            wait = DEFAULT_DEADLINE_S
        return Relay(
            gateway=self.gateway,
            request=request,
            head=head,
            route=route,
            service=choose_service(route, head.identifier),
            body=request.content.getvalue(),
            deadline=request.arrived_at + min(wait, route.timeout),
            options=options,
        )

    async def run_to_deadline(self, relay):
        """Relay a request; fail it when its deadline passes."""
        reactor = self.gateway.reactor
        work = defer.ensureDeferred(relay.run())
        work.addTimeout(max(0.0, relay.deadline - reactor.seconds()), reactor)
        try:
            await self.gateway.work.run(
                work, find_outcome=lambda: relay.outcome
            )
        except defer.TimeoutError as timeout:
            raise DeadlineError(
                "the deadline of the request has passed", outcome=relay.outcome
            ) from timeout

    def answer_error(self, request, head, relay, error, options):
        """Send the final answer of a failed request."""
        eliot.log_message(
            "request:failed",
            request=head.identifier,
            code=error.code,
            reason=error.message,
            outcome=error.outcome.value,
            retry_after=error.retry_after,
            configuration=self.gateway.configuration_version,
            seconds=self.measure_elapsed(request),
            is_forwarded=options is not None,
        )
        kind = {} if relay is None else {"kind": relay.route.kind.value}
        self.gateway.metrics.count_request(error.code, **kind)
        if relay is not None and relay.delivery.has_begun:
            # Without the last chunk the client does not treat the answer as
            # complete.
            request.abort()
            return
        if options is None:
            answer = self.gateway.dialect.encode_failure(error)
        else:
            attempts = 0 if relay is None else relay.sends
            ran_at = (
                () if relay is None else relay.continuation.list_run_keys()
            )
            answer = encode_failure(error, attempts=attempts, ran_at=ran_at)
        request.answer(*answer)

    def log_answered(self, relay):
        seconds = self.measure_elapsed(relay.request)
        eliot.log_message(
            "request:answered",
            request=relay.head.identifier,
            route=relay.route.name,
            **relay.describe_place(),
            is_forwarded=relay.is_forwarded,
            resumes=relay.head.resumes,
            status=relay.reply.status,
            first_event=relay.delivery.first_event,
            longest_pause=round(relay.delivery.longest_pause, 4),
            seconds=seconds,
            sends=relay.sends,
            refusals=relay.refusals,
            configuration=self.gateway.configuration_version,
            **describe_report(relay.reply.load),
            **relay.upstream_load,
        )
        self.gateway.metrics.count_request(
            "answered", kind=relay.route.kind.value
        )
        self.gateway.metrics.record(
            "first_event", relay.delivery.first_event or seconds
        )
        self.gateway.metrics.record("request", seconds)
        if relay.is_stream():
            self.gateway.metrics.record("pause", relay.delivery.longest_pause)
