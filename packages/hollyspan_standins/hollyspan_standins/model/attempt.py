"""One attempt to run an online request at an upstream."""

import types

from hollyspan_gateway.http1.attempt import STALL_RECHECK_INTERVAL_S
from hollyspan_gateway.online.relay import MAX_REFUSALS
from hollyspan_gateway.online.stalls import FIRST_EVENT_TIMEOUT_S
from hollyspan_gateway.routes import RouteKind

from .call import EngineCall
from .pattern import TOKENS_PER_EVENT
from .targets import FIRST_EVENT_TARGET_S
from .targets import MAX_EVENT_PAUSE_S

__all__ = ["Attempt"]

# Upstreams that may run one request; refused attempts do not count.
MAX_SENDS = 2
# What callers expect of a stream, from the users' sheets.
ROUTE = types.SimpleNamespace(
    kind=RouteKind.STREAM,
    latency_target=FIRST_EVENT_TARGET_S,
    max_pause=MAX_EVENT_PAUSE_S,
)


class Attempt:
    """An attempt that sends a request to an upstream and follows its answer.

    Parameters
    ----------
    gateway : GatewayModel
    request : RequestState
    upstream : Upstream
    """

    __slots__ = (
        "gateway",
        "request",
        "upstream",
        "call",
        "has_first_event",
        "first_event_at",
    )

    def __init__(self, *, gateway, request, upstream):
        self.gateway = gateway
        self.request = request
        self.upstream = upstream
        self.has_first_event = False
        self.first_event_at = None
        wait = gateway.placement.estimate_wait(upstream)
        self.call = EngineCall(
            gateway=gateway,
            upstream=upstream,
            track=gateway.placement.track_online(upstream, ROUTE),
            parts=request.arrival.parts,
            tokens=request.arrival.tokens,
            resumed_tokens=request.received_tokens,
            on_event=self.handle_event,
            on_end=self.handle_end,
        )
        clock = gateway.clock
        clock.call_later(FIRST_EVENT_TIMEOUT_S + wait, self.check_first_event)
        clock.call_later(max(0.0, request.deadline - clock.now), self.expire)

    def handle_event(self, generated, load):
        """Pass an event on to the client."""
        fleet = self.gateway.fleet
        if not self.has_first_event:
            self.has_first_event = True
            self.first_event_at = self.gateway.clock.now
            self.request.reported_load = load.running, load.waiting
            fleet.load_errors.append(
                self.request.expected_load + 1 - load.running - load.waiting
            )
            self.gateway.record_report(self.upstream, load)
        now = self.gateway.clock.now + fleet.client_delay
        self.request.handle_event(generated, now=now)

    def handle_end(self, reason):
        """Handle the end of the stream, whatever its reason."""
        request = self.request
        if reason == "finished":
            request.end_reason = "answered"
            self.note_run()
            self.gateway.directory.note_success(self.upstream)
        elif reason == "refused":
            request.sends -= 1
            request.refusals += 1
            self.gateway.directory.note_failure(self.upstream)
            if request.refusals <= MAX_REFUSALS:
                self.gateway.serve(request)
            else:
                key = request.key
                self.gateway.refuse(
                    request, self.gateway.placement.choose_retry_after(key)
                )
        else:
            self.gateway.directory.note_failure(self.upstream)
            self.resend()

    def note_run(self):
        """Note how fast the upstream was."""
        now = self.gateway.clock.now
        policy = self.gateway.policy
        if policy.uses_speeds:
            self.gateway.placement.speeds.note_run(
                self.upstream,
                kind="online",
                seconds=now - self.first_event_at,
                events=self.request.arrival.tokens // TOKENS_PER_EVENT,
            )
        if policy.on_answer is not None:
            policy.on_answer(
                self.gateway, self.upstream, now - self.request.sent_at
            )

    def measure_silence(self):
        """Return the seconds since the last event or the start."""
        last = self.request.last_event_at
        sent = self.request.sent_at
        return self.gateway.clock.now - (
            sent if last is None else max(sent, last)
        )

    def resend(self):
        """Continue the request at another upstream."""
        if self.request.sends < MAX_SENDS:
            self.gateway.serve(self.request)
        else:
            self.request.end_reason = "lost"

    def check_first_event(self):
        """Abandon an upstream without a first event if another is free."""
        if self.call.is_over or self.has_first_event:
            return
        is_better = self.gateway.placement.alternatives.has_free(
            self.upstream,
            excluded=self.request.tried,
            silence=self.measure_silence(),
        )
        if self.request.sends < MAX_SENDS and is_better:
            self.call.cancel()
            self.resend()
        else:
            self.gateway.clock.call_later(
                STALL_RECHECK_INTERVAL_S, self.check_first_event
            )

    def expire(self):
        """End the request at its deadline."""
        if not self.call.is_over:
            self.call.cancel()
            self.request.end_reason = "given_up"
