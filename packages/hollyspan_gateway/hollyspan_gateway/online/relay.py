"""One client's request on its way through upstreams."""

import eliot

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OutcomeUnknownError
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamUnavailableError

from ..http1 import run_attempt
from ..routes import RouteKind
from .delivery import Delivery
from .reply import check_identifier

__all__ = ["Relay"]

# Upstreams that may refuse a request without running it: one refusal is
# chance, three mean that the service is full.
MAX_REFUSALS = 3
# Failures of an upstream that another one may not have.
RETRIED_STATUSES = (500, 502)
# Seconds that a stream's first event may take beyond the expected wait for a
# slot: several times its usual time, and soon enough to have it from another
# upstream within the usual aim of 300 ms.
FIRST_EVENT_S = 0.2
# Seconds between two events, ten times the usual, so that the pause is below
# the 400 ms of the strictest route after a move.
PAUSE_S = 0.25


class Relay:
    """Sends a request to upstreams until its answer is whole.

    Parameters
    ----------
    gateway : Gateway
    request : ClientRequest
    head : RequestHead
    route : Route
    service : str
    body : bytes
    until : float
        Time of the reactor at which the answer is given up.

    Attributes
    ----------
    sends : int
        Upstreams that may have run the request.
    refusals : int
        Upstreams that have certainly not run it.
    tried : set of str
        Names of both.
    belief : dict
        What was believed of the upstream when it was chosen.
    delivery : Delivery
        What the client has got of the answer.
    """

    def __init__(self, *, gateway, request, head, route, service, body, until):
        self.gateway = gateway
        self.request = request
        self.head = head
        self.route = route
        self.service = service
        self.body = body
        self.until = until
        self.sends = 0
        self.refusals = 0
        self.tried = set()
        self.delivery = Delivery(
            request=request,
            clock=gateway.reactor.seconds,
            resume_after=head.resume_after,
        )
        self.upstream = None
        self.belief = {}
        self.reply = None

    @property
    def aim_at(self):
        """Time of the reactor by which the answer should begin."""
        return self.request.arrived + self.route.aim

    @property
    def outcome(self):
        """Whether an upstream can have run the request."""
        return Outcome.UNKNOWN if self.sends else Outcome.NOT_RUN

    async def run(self):
        """Relay the request until its answer is whole or given up.

        Raises
        ------
        OverloadedError
            No upstream has run the request.
        OutcomeUnknownError
            An upstream may have run it; nothing was sent to the client.
        StreamLostError
            A part of the answer was sent and the rest will not come.
        """
        if self.route.kind is RouteKind.STREAM and not self.is_resumed():
            await self.gateway.held.wait(self)
        while True:
            self.upstream = self.choose()
            self.belief = self.gateway.placement.describe(self.upstream)
            if self.belief["report_age"] is not None:
                self.gateway.metrics.record(
                    "report_age", self.belief["report_age"]
                )
            failure = await self.send()
            if failure is None:
                self.finish()
                return
            self.log_failure(failure)
            if not self.may_send_again(failure):
                self.give_up(failure)
                return

    def is_resumed(self):
        """Tell whether the client has got a part of the answer before."""
        return self.head.resume_after is not None

    def choose(self):
        """Choose the next upstream or refuse the request."""
        return self.gateway.placement.choose(
            self.service,
            key=self.head.identifier,
            excluded=self.tried,
            outcome=self.outcome,
            seconds_left=self.until - self.gateway.reactor.seconds(),
        )

    async def send(self):
        """Send the request once.

        Returns
        -------
        HollyspanError or None
            None when a whole answer has come that the client can have.
        """
        upstream = self.upstream
        self.tried.add(upstream.entry.name)
        self.reply = None
        self.delivery.restart()
        headers = self.gateway.dialect.encode_headers(
            self.head,
            upstream=upstream.entry.name,
            deadline_seconds=self.until - self.gateway.reactor.seconds(),
            resume_after=self.delivery.last_event,
        )
        self.sends += 1
        has_begun = self.delivery.has_begun
        with self.gateway.placement.hold_online(upstream):
            try:
                failure = await run_attempt(
                    self.gateway.pool,
                    address=upstream.entry.address,
                    method=self.head.method,
                    target=self.head.target,
                    headers=headers,
                    body=self.body,
                    on_reply=self.take_reply,
                    on_data=self.take_data,
                    first_seconds=self.find_first_limit(),
                    pause_seconds=PAUSE_S if self.may_move() else None,
                    may_leave=self.may_leave,
                )
            except UpstreamUnavailableError as unsent:
                failure = unsent
        if failure is None:
            failure = self.judge_answer()
        self.gateway.metrics.count_send(failure, is_resumed=has_begun)
        if failure is not None:
            self.count_failure(failure)
        return failure

    def may_move(self):
        """Tell whether a silent upstream can be left for another one."""
        return (
            self.route.kind is RouteKind.STREAM
            and self.route.is_repeatable
            and self.sends < self.route.max_attempts
        )

    def may_leave(self):
        """Tell whether another upstream will do better than a silent one."""
        return self.gateway.placement.has_better(
            self.upstream, excluded=self.tried
        )

    def find_first_limit(self):
        """Return the longest wait for the first event, None for no limit."""
        if not self.may_move():
            return None
        return FIRST_EVENT_S + self.gateway.placement.estimate_wait(
            self.upstream
        )

    def take_reply(self, status, headers):
        """Take the head of an answer."""
        reply = self.gateway.dialect.decode_reply(status, headers)
        check_identifier(reply, self.head.identifier)
        self.gateway.placement.note_reply(self.upstream, reply)
        self.reply = reply

    def take_data(self, data):
        """Take bytes of an answer's body."""
        if self.is_stream():
            events = self.delivery.pass_events(data, self.reply)
            self.gateway.metrics.events += events
        else:
            self.delivery.keep(data)

    def is_stream(self):
        """Tell whether the answer goes to the client as it comes."""
        return self.route.kind is RouteKind.STREAM and self.reply.is_success

    def judge_answer(self):
        """Return why a whole answer is no answer for the client, or None."""
        if self.reply.has_not_run:
            return UpstreamUnavailableError(
                f"the upstream refused with {self.reply.status}",
                outcome=Outcome.NOT_RUN,
            )
        if self.is_stream():
            if self.delivery.has_partial_event:
                return StreamLostError("the stream ended within an event")
            return None
        if (
            self.delivery.has_begun
            or self.reply.is_ambiguous
            or self.reply.status in RETRIED_STATUSES
        ):
            return UpstreamAnswerError(
                f"the upstream answered {self.reply.status}",
                upstream_status=self.reply.status,
            )
        return None

    def count_failure(self, failure):
        if failure.outcome is Outcome.NOT_RUN:
            self.sends -= 1
            self.refusals += 1
        self.gateway.placement.note_failure(self.upstream, failure)

    def finish(self):
        """End the answer."""
        if self.is_stream():
            self.delivery.end_stream(self.reply)
        else:
            self.delivery.answer(self.reply)

    def may_send_again(self, failure):
        """Decide whether another upstream is asked."""
        if self.gateway.reactor.seconds() >= self.until:
            return False
        if self.sends >= self.route.max_attempts:
            return False
        if failure.outcome is Outcome.NOT_RUN:
            return self.refusals <= MAX_REFUSALS
        return self.route.is_repeatable

    def give_up(self, failure):
        """End the request after its last send."""
        if self.delivery.has_begun:
            raise StreamLostError(f"the stream broke: {failure.message}")
        if (
            isinstance(failure, UpstreamAnswerError)
            and not self.reply.is_ambiguous
        ):
            self.finish()
            return
        if self.sends:
            raise OutcomeUnknownError(
                f"the upstream broke off: {failure.message}"
            )
        raise OverloadedError(
            f"no upstream took the request: {failure.message}",
            outcome=Outcome.NOT_RUN,
            retry_after=self.gateway.placement.choose_retry_after(
                self.head.identifier
            ),
        )

    def log_failure(self, failure):
        eliot.log_message(
            "request:attempt_failed",
            request=self.head.identifier,
            upstream=self.upstream.entry.name,
            code=failure.code,
            reason=failure.message,
            outcome=failure.outcome.value,
            last_event=self.delivery.last_event,
            sends=self.sends,
            refusals=self.refusals,
            **self.belief,
        )
