"""Reading of the bodies of items that are to be started."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import RecordUnreadableError
from hollyspan_core.errors import StoreUnavailableError

__all__ = ["BodyFetches"]

# Delay of an item whose body could not be read.
BODY_RETRY_DELAY_S = 0.5
# Items whose bodies are read at the same time. More than there are places
# would be read in vain.
MAX_FETCHES = 4


class BodyFetches:
    """Reads bodies of items that have a place, for the next round.

    Parameters
    ----------
    worker : Worker

    Attributes
    ----------
    reading : set of int
        Keys of the items whose bodies are being read.
    ready : dict
        Item by key, those read for the next round.
    offered : dict
        Item by key, those read for the present round. An item that has lost
        its place is read anew unless it is kept.
    """

    __slots__ = ("worker", "reading", "ready", "offered")

    def __init__(self, *, worker):
        self.worker = worker
        self.reading = set()
        self.ready = {}
        self.offered = {}

    def begin_round(self):
        """Offer what has been read to a round of starts."""
        self.offered, self.ready = self.ready, {}

    def may_start(self, state):
        """Return whether an item's body is kept or can be read now."""
        if state.key in self.reading:
            return False
        return (
            state.key in self.offered
            or self.worker.gateway.bodies.is_kept(
                state.job_state.job.identifier, state.item.identifier
            )
            or len(self.reading) + len(self.ready) < MAX_FETCHES
        )

    def take(self, state):
        """Return an item with its body; None if it has to be read."""
        item = self.offered.pop(state.key, None)
        if item is None:
            item = self.worker.gateway.bodies.find(
                state.job_state.job.identifier, state.item.identifier
            )
        return item

    def keep(self, state, item):
        """Keep an item's body for the rest of this round."""
        self.offered[state.key] = item

    def start(self, state):
        """Start reading an item's body, after which it is placed anew."""
        self.reading.add(state.key)
        defer.ensureDeferred(self.read(state)).addErrback(eliot.write_failure)

    async def read(self, state):
        gateway = self.worker.gateway
        job, item = state.job_state.job.identifier, state.item.identifier
        try:
            found = await gateway.bodies.read(job, item)
        except (RecordUnreadableError, StoreUnavailableError) as error:
            eliot.log_message(
                "item:body_unread", job=job, item=item, reason=error.message
            )
            state.not_before = gateway.reactor.seconds() + BODY_RETRY_DELAY_S
        else:
            self.ready[state.key] = found
        finally:
            self.reading.discard(state.key)
        self.worker.schedule(0.0)
