"""Emptying of a machine that the operator takes away."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreUnavailableError

from .clock import wait

__all__ = ["Retirement"]

# Seconds before the end of a retirement's time at which it is reported done
# though items still run; they are run again elsewhere.
RETIRE_MARGIN_S = 1.0
# Seconds before a failed report is written again.
RETIRE_RETRY_S = 0.3


class Retirement:
    """Follows an order to empty this gateway's machine.

    Parameters
    ----------
    gateway : Gateway

    Notes
    -----
    Nothing that must last lies on the machine, so it is empty when no item
    runs there.
    """

    __slots__ = ("gateway", "is_ordered", "is_done")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.is_ordered = False
        self.is_done = False

    def take_order(self, entry):
        """Begin to give the machine up if an entry orders it.

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
        gateway.worker.retire(on_empty=self.finish)
        gateway.reactor.callLater(
            max(0.0, seconds - RETIRE_MARGIN_S), self.finish
        )
        gateway.peers.send_full(gateway.peers.list_live())

    def finish(self):
        """Report that nothing is left on this machine."""
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
        """Write how far the machine is emptied, until the store has it."""
        gateway = self.gateway
        key, content = gateway.dialect.encode_retirement(
            gateway.settings.instance, is_done=is_done
        )
        while is_done or not self.is_done:
            try:
                # The first report must not replace the last one, however
                # late it arrives.
                await gateway.store.put_plain(
                    key, content, only_new=not is_done
                )
                return
            except StoreUnavailableError as failure:
                eliot.log_message(
                    "gateway:retirement_unreported", reason=failure.message
                )
                await wait(gateway.reactor, RETIRE_RETRY_S)
