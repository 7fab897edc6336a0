"""Heartbeats and links of this daemon."""

import contextlib
import time

from hollyspan_policy.membership import Member

from ..runtime import open_periodic

__all__ = ["open_peers"]


@contextlib.contextmanager
def open_peers(runtime):
    """Keep the member table in step with the other daemons.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    None
    """
    beats = Beats(runtime=runtime)
    with open_periodic(
        beats.beat,
        seconds=runtime.settings.timing.heartbeat,
        reactor=runtime.reactor,
    ):
        yield


class Beats:

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.sequence = 0

    async def beat(self):
        self.sequence += 1
        runtime = self.runtime
        settings = runtime.settings
        current = runtime.configurations.current
        runtime.members.observe(
            Member(
                instance=settings.instance,
                data_centre=settings.data_centre,
                incarnation=runtime.incarnation,
                sequence=self.sequence,
                address=settings.peer_address,
                peer_port=settings.peer_port,
                http_port=settings.http_port,
                leaving=runtime.draining,
                generation=current.generation if current else 0,
                free_slots=0,
                heard=time.monotonic(),
            )
        )
