"""Requests of clients, from their arrival to their last byte."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import BodyTooLargeError
from hollyspan_core.errors import ConfigurationMissingError
from hollyspan_core.errors import DeadlineError
from hollyspan_core.errors import DrainingError
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import RouteNotFoundError

from ..http1 import answer_defect
from ..routes import choose_service
from ..routes import RouteKind
from .relay import Relay

__all__ = ["OnlineService"]

# Wait of a client that names none, seconds.
DEFAULT_DEADLINE_S = 30.0
# Seconds after which a client that met a stopping gateway may come back: the
# next connection goes to another one.
STOPPING_RETRY_S = 0.1


class OnlineService:
    """Answers requests of clients.

    Parameters
    ----------
    gateway : Gateway
    """

    __slots__ = ("gateway",)

    def __init__(self, *, gateway):
        self.gateway = gateway

    def handle(self, request):
        """Answer one request.

        Parameters
        ----------
        request : ClientRequest
        """
        head = self.gateway.dialect.decode_head(request)
        work = defer.ensureDeferred(self.answer(request, head))
        request.on_gone = work.cancel
        work.addErrback(self.report_defect, request, head)

    def report_defect(self, failure, request, head):
        """Answer a request that met a defect or whose client has gone."""
        if failure.check(defer.CancelledError):
            eliot.log_message(
                "request:client_gone",
                request=head.identifier,
                seconds=self.count_seconds(request),
            )
            self.gateway.metrics.count_request("client_gone")
            return
        answer_defect(failure, request)

    def count_seconds(self, request):
        return round(self.gateway.reactor.seconds() - request.arrived, 4)

    async def answer(self, request, head):
        relay = None
        try:
            if request.is_too_large:
                raise BodyTooLargeError("the body exceeds the limit")
            if not self.gateway.takes_requests:
                raise DrainingError(
                    "the gateway is about to stop",
                    outcome=Outcome.NOT_RUN,
                    retry_after=STOPPING_RETRY_S,
                )
            route = self.find_route(head)
            if route.kind is RouteKind.BATCH:
                await self.gateway.submissions.handle(request, head, route)
                return
            relay = self.create_relay(request, head, route)
            await self.run_until(relay)
            self.log_end(relay)
        except HollyspanError as failure:
            self.refuse(request, head, relay, failure)

    def find_route(self, head):
        """Return the route of a request or raise why there is none."""
        table = self.gateway.routes
        if table is None:
            raise ConfigurationMissingError(
                "no configuration is known yet", outcome=Outcome.NOT_RUN
            )
        route = table.find(head.host, head.path)
        if route is None:
            raise RouteNotFoundError("no route for this host and path")
        if not head.identifier:
            raise InvalidRequestError("the request has no identifier")
        return route

    def create_relay(self, request, head, route):
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
            until=request.arrived + min(wait, route.timeout),
        )

    async def run_until(self, relay):
        """Relay a request within its time."""
        reactor = self.gateway.reactor
        work = defer.ensureDeferred(relay.run())
        work.addTimeout(max(0.0, relay.until - reactor.seconds()), reactor)
        try:
            await work
        except defer.TimeoutError as timeout:
            raise DeadlineError(
                "the time of the request is over", outcome=relay.outcome
            ) from timeout

    def refuse(self, request, head, relay, failure):
        """Send the final answer of a request that failed."""
        eliot.log_message(
            "request:failed",
            request=head.identifier,
            code=failure.code,
            reason=failure.message,
            outcome=failure.outcome.value,
            retry_after=failure.retry_after,
            configuration=self.gateway.configuration_version,
            seconds=self.count_seconds(request),
        )
        kind = {} if relay is None else {"kind": relay.route.kind.value}
        self.gateway.metrics.count_request(failure.code, **kind)
        if relay is not None and relay.delivery.has_begun:
            # Without the end of its chunks the answer cannot look whole.
            request.abort()
            return
        status, headers, body = self.gateway.dialect.encode_failure(failure)
        request.answer(status, headers, body)

    def log_end(self, relay):
        seconds = self.count_seconds(relay.request)
        eliot.log_message(
            "request:answered",
            request=relay.head.identifier,
            route=relay.route.name,
            upstream=relay.upstream.entry.name,
            status=relay.reply.status,
            first_event=relay.delivery.first_event,
            longest_pause=round(relay.delivery.longest_pause, 4),
            seconds=seconds,
            sends=relay.sends,
            refusals=relay.refusals,
            configuration=self.gateway.configuration_version,
            reported=relay.reply.load,
            **relay.belief,
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
