"""Taking a higher generation over from a peer."""

import time

import eliot
from twisted.internet import defer

from hollyspan_core.errors import HollyspanError

from .sources import pull_configuration
from .sources import read_store

__all__ = ["Puller"]

RETRY_SECONDS = 1.0


class Puller:
    """Pulls one document at a time.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    started : bool
        False until the daemon has a configuration from its start.
    """

    __slots__ = ("runtime", "started", "pulling", "next_try")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.started = False
        self.pulling = False
        self.next_try = 0.0

    def hear(self, member):
        """Take in the generation that a peer reports.

        Parameters
        ----------
        member : Member
        """
        current = self.runtime.configurations.current
        if not self.started or self.pulling or current is None:
            return
        if member.generation <= current.generation:
            return
        if time.monotonic() < self.next_try:
            return
        self.pulling = True
        defer.ensureDeferred(self.pull(member, above=current.generation))

    async def pull(self, member, *, above):
        """Pull from a peer; read the store when the peer does not answer."""
        try:
            found = await self.read(member, above=above)
            if found is not None:
                self.runtime.configurations.apply(found)
        except HollyspanError as error:
            eliot.log_message(
                message_type="configuration:pull",
                peer=member.instance,
                reason=str(error),
            )
            self.next_try = time.monotonic() + RETRY_SECONDS
        finally:
            self.pulling = False

    async def read(self, member, *, above):
        try:
            return await pull_configuration(self.runtime, member, above=above)
        except HollyspanError as error:
            eliot.log_message(
                message_type="configuration:pull",
                peer=member.instance,
                reason=str(error),
            )
            return await read_store(self.runtime.store)
