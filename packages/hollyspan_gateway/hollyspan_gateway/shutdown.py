"""Graceful shutdown of a gateway."""

import eliot

__all__ = ["Shutdown"]

# Time after the shutdown request during which new connections still arrive:
# the balancer removes a gateway after two failed health checks, sent once a
# second.
BALANCER_DETECTION_S = 2.6
DRAIN_CHECK_INTERVAL_S = 0.05
# Time in which the last answers leave, once the remaining work is ended.
LAST_ANSWERS_S = 0.25


class Shutdown:
    """Graceful shutdown that lets requests in flight finish.

    Parameters
    ----------
    reactor : twisted reactor
    gateway : Gateway
    detection_seconds : float, optional
        Time after the shutdown request during which new connections arrive.

    Attributes
    ----------
    started_at : float or None
        Time of the first request to shut down, reactor seconds.
    was_drained : bool
        Whether nothing was in flight at the last check.
    has_waited : bool
        Whether the next check follows in the next turn of the loop, since
        nothing was in flight at two checks.
    has_ended_work : bool
        True once the work that was left at the end has been ended.
    """

    def __init__(
        self, *, reactor, gateway, detection_seconds=BALANCER_DETECTION_S
    ):
        self.reactor = reactor
        self.gateway = gateway
        self.site = gateway.site
        self.detection_seconds = detection_seconds
        self.started_at = None
        self.was_drained = False
        self.has_waited = False
        self.has_ended_work = False

    def request_shutdown(self):
        """Schedule the shutdown; called from a signal handler."""
        self.reactor.callFromThread(self.begin)

    def begin(self):
        """Report not ready, and exit once no work is in flight."""
        if self.started_at is not None:
            return
        self.started_at = self.reactor.seconds()
        gateway = self.gateway
        gateway.drain()
        if gateway.worker is not None:
            gateway.worker.is_stopping = True
        if self.site is not None:
            self.site.begin_closing()
        gateway.peers.send_full(gateway.peers.list_live())
        eliot.log_message(
            "gateway:draining",
            connections=len(self.site.channels) if self.site else 0,
            items=len(gateway.worker.running) if gateway.worker else 0,
        )
        self.reactor.callLater(DRAIN_CHECK_INTERVAL_S, self.check)

    def check(self):
        """Exit when nothing is in flight or the grace period is over."""
        elapsed = self.reactor.seconds() - self.started_at
        limit = self.gateway.settings.work_seconds
        if elapsed >= limit and not self.has_ended_work:
            self.end_work(elapsed)
        is_drained = self.is_drained(elapsed)
        # Connections that came since the last turn of the loop are accepted
        # before the next check. Timers are called before, so that what comes
        # while the loop is held needs one more turn.
        is_final = is_drained and self.has_waited
        self.has_waited = is_drained and self.was_drained
        self.was_drained = is_drained
        if elapsed < limit + LAST_ANSWERS_S and not is_final:
            wait = 0.0 if self.has_waited else DRAIN_CHECK_INTERVAL_S
            self.reactor.callLater(wait, self.check)
            return
        eliot.log_message("gateway:stopping", seconds=elapsed)
        if self.gateway.worker is not None:
            self.gateway.worker.stop()
        self.reactor.stop()

    def end_work(self, elapsed):
        """Give what is still in flight its final answer."""
        self.has_ended_work = True
        eliot.log_message(
            "gateway:ending_work",
            requests=len(self.gateway.work.running),
            seconds=elapsed,
        )
        self.gateway.work.end_all()

    def is_drained(self, elapsed):
        """Return whether nothing is in flight and no connection is open."""
        gateway = self.gateway
        worker = gateway.worker
        if worker is not None and (worker.running or worker.storing):
            return False
        if gateway.work.running:
            return False
        peers = gateway.internal_site
        if peers is not None and any(each.requests for each in peers.channels):
            return False
        if self.site is None:
            return True
        if elapsed < self.detection_seconds:
            return False
        self.site.close_idle()
        return not self.site.channels
