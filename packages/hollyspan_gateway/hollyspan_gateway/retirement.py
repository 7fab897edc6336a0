"""Draining of a machine that the operator retires."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreUnavailableError

from .clock import wait

__all__ = ["Retirement"]

# Margin before a retirement's deadline at which it is reported as done even if
# items are still running; they are run again elsewhere.
RETIREMENT_MARGIN_S = 1.0
# Delay before a failed report is retried.
REPORT_RETRY_S = 0.3


class Retirement:
    """Carries out an order to drain this gateway's machine.

    Parameters
    ----------
    gateway : Gateway

    Notes
    -----
    The machine stores nothing durable, so it is drained when no item runs
    there.
    """

    __slots__ = ("gateway", "is_ordered", "is_done")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.is_ordered = False
        self.is_done = False

    def apply_order(self, entry):
        """Start to drain the machine if an entry orders it.

        Parameters
        ----------
        entry : Entry
        """
        gateway = self.gateway
        seconds = gateway.dialect.decode_retirement(
            entry, gateway.settings.instance
        )
        if seconds is None or self.is_ordered or gateway.worker is None:
            return
        self.is_ordered = True
        eliot.log_message("gateway:retiring", seconds=seconds)
        self.report(is_done=False)
        gateway.worker.retire(on_drained=self.finish)
        gateway.reactor.callLater(
            max(0.0, seconds - RETIREMENT_MARGIN_S), self.finish
        )
        gateway.peers.send_full(gateway.peers.list_live())

    def finish(self):
        """Report that the machine is drained."""
        if self.is_done:
            return
        self.is_done = True
        eliot.log_message(
            "gateway:retired", items=len(self.gateway.worker.running)
        )
        self.report(is_done=True)

    def report(self, *, is_done):
        work = defer.ensureDeferred(self.write_report(is_done=is_done))
        work.addErrback(eliot.write_failure)

    async def write_report(self, *, is_done):
        """Write the drain status, retrying until the store accepts it."""
        gateway = self.gateway
        key, content = gateway.dialect.encode_retirement(
            gateway.settings.instance, is_done=is_done
        )
        while is_done or not self.is_done:
            try:
                # The first report must not overwrite the last one, however
                # late it arrives.
                await gateway.store.put_without_token(
                    key, content, if_absent=not is_done
                )
                return
            except StoreUnavailableError as error:
                eliot.log_message(
                    "gateway:retirement_unreported", reason=error.message
                )
                await wait(gateway.reactor, REPORT_RETRY_S)
