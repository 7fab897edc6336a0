"""One send of an online request."""

from hollyspan_gateway.http1.attempt import STALL_RECHECK_INTERVAL_S
from hollyspan_gateway.online.relay import FIRST_EVENT_TIMEOUT_S
from hollyspan_gateway.online.relay import MAX_REFUSALS

from .call import EngineCall

__all__ = ["Attempt"]

# Upstreams that may run a request.
MAX_SENDS = 2


class Attempt:
    """Sends a request to an upstream and follows its answer.

    Parameters
    ----------
    gateway : GatewayModel
    request : RequestState
    upstream : Upstream
    """

    __slots__ = ("gateway", "request", "upstream", "call", "has_event")

    def __init__(self, *, gateway, request, upstream):
        self.gateway = gateway
        self.request = request
        self.upstream = upstream
        self.has_event = False
        wait = gateway.placement.estimate_wait(upstream)
        self.call = EngineCall(
            gateway=gateway,
            upstream=upstream,
            track=gateway.placement.track_online(upstream),
            parts=request.arrival.parts,
            tokens=request.arrival.tokens,
            done=request.done,
            on_event=self.take_event,
            on_end=self.take_end,
        )
        clock = gateway.clock
        clock.call_later(FIRST_EVENT_TIMEOUT_S + wait, self.check_first)
        clock.call_later(max(0.0, request.until - clock.now), self.give_up)

    def take_event(self, generated, load):
        """Take an event on the way to the client."""
        fleet = self.gateway.fleet
        if not self.has_event:
            self.has_event = True
            self.request.report = load
            fleet.errors.append(self.request.belief + 1 - sum(load))
            self.gateway.record_report(self.upstream, load)
        now = self.gateway.clock.now + fleet.client_delay
        self.request.take_event(generated, now=now)

    def take_end(self, reason):
        """Take the end of the answer, of whichever kind."""
        request = self.request
        if reason == "finished":
            request.ended = "answered"
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
            self.move()

    def move(self):
        """Go on at another upstream."""
        if self.request.sends < MAX_SENDS:
            self.gateway.serve(self.request)
        else:
            self.request.ended = "lost"

    def check_first(self):
        """Leave an upstream that is silent for too long."""
        if self.call.is_over or self.has_event:
            return
        is_better = self.gateway.placement.has_free_alternative(
            self.upstream, excluded=self.request.tried
        )
        if self.request.sends < MAX_SENDS and is_better:
            self.call.cancel()
            self.move()
        else:
            self.gateway.clock.call_later(
                STALL_RECHECK_INTERVAL_S, self.check_first
            )

    def give_up(self):
        """End a request whose time is over."""
        if not self.call.is_over:
            self.call.cancel()
            self.request.ended = "given_up"
