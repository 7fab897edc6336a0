"""Retrieval of newer configurations from peers."""

import time

import eliot
from twisted.internet import defer

from hollyspan_core.errors import HollyspanError

from .sources import pull_configuration
from .sources import read_stored_configuration

__all__ = ["ConfigurationPuller"]

RETRY_DELAY_S = 1.0


class ConfigurationPuller:
    """Pulls newer configurations from peers, one at a time.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    started : bool
        True once the initial configuration has been loaded.
    """

    __slots__ = ("runtime", "started", "pulling", "next_attempt_at")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.started = False
        self.pulling = False
        self.next_attempt_at = 0.0

    def handle_member_update(self, member):
        """Start a pull if a peer reports a higher generation.

        Parameters
        ----------
        member : Member
        """
        current = self.runtime.configurations.current
        if not self.started or self.pulling or current is None:
            return
        if member.generation <= current.generation:
            return
        if time.monotonic() < self.next_attempt_at:
            return
        self.pulling = True
        defer.ensureDeferred(self.pull(member, above=current.generation))

    async def pull(self, member, *, above):
        """Pull from a peer, or read the store if the pull fails."""
        try:
            configuration = await self.read(member, above=above)
            if configuration is not None:
                self.runtime.configurations.apply(configuration)
        except HollyspanError as error:
            eliot.log_message(
                message_type="configuration:pull",
                peer=member.instance,
                reason=str(error),
            )
            self.next_attempt_at = time.monotonic() + RETRY_DELAY_S
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
            return await read_stored_configuration(self.runtime.store)
