"""Draining of a machine that the operator retires."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.ownership import choose_owner

from .clock import wait

__all__ = ["Retirement"]

# Margin before a retirement's deadline at which it is reported as done even if
# items are still running; they are run again elsewhere.
RETIREMENT_MARGIN_S = 1.0
# Delay before a failed report is retried.
REPORT_RETRY_S = 0.3
# Time for the first message of a gateway that has just started on a machine.
REGISTRATION_MARGIN_S = 1.0


class Retirement:
    """Carries out an order to drain this gateway's machine.

    Parameters
    ----------
    gateway : Gateway

    Notes
    -----
    The machine stores nothing durable, so it is drained when no item runs
    there. A machine without a gateway, since its role runs on some machines
    only, holds nothing; one of the gateways that run items reports for it.
    """

    __slots__ = ("gateway", "is_ordered", "is_done", "absent")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.is_ordered = False
        self.is_done = False
        # Names of the machines for which this gateway has reported.
        self.absent = set()

    def apply_order(self, entry):
        """Start to drain the machine if an entry orders it.

        Parameters
        ----------
        entry : Entry

        Raises
        ------
        DocumentInvalidError
            The order cannot be read.
        """
        gateway = self.gateway
        order = gateway.dialect.decode_retirement(entry)
        if order is None or gateway.worker is None:
            return
        instance, seconds = order
        if instance != gateway.settings.instance:
            gateway.reactor.callLater(
                REGISTRATION_MARGIN_S, self.report_absent, instance
            )
            return
        if self.is_ordered:
            return
        self.is_ordered = True
        eliot.log_message("gateway:retiring", seconds=seconds)
        self.report(is_done=False)
        gateway.worker.retire(on_drained=self.finish)
        gateway.reactor.callLater(
            max(0.0, seconds - RETIREMENT_MARGIN_S), self.finish
        )
        gateway.peers.send_full(gateway.peers.list_live())

    def report_absent(self, instance):
        """Report a machine as drained if no gateway runs there."""
        gateway = self.gateway
        if (
            instance in self.absent
            or gateway.peers.is_known(instance)
            or choose_owner(instance, gateway.list_workers())
            != gateway.peers.identifier
        ):
            return
        self.absent.add(instance)
        eliot.log_message("gateway:absent_retired", instance=instance)
        work = defer.ensureDeferred(
            self.write_report(instance, is_done=True, is_current=lambda: True)
        )
        work.addErrback(eliot.write_failure)

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
        work = defer.ensureDeferred(
            self.write_report(
                self.gateway.settings.instance,
                is_done=is_done,
                is_current=lambda: is_done or not self.is_done,
            )
        )
        work.addErrback(eliot.write_failure)

    async def write_report(self, instance, *, is_done, is_current):
        """Write a drain status, retrying while it is the current one."""
        gateway = self.gateway
        key, content = gateway.dialect.encode_retirement(
            instance, is_done=is_done
        )
        while is_current():
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
