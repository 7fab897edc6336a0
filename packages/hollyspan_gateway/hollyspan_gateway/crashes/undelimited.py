"""Check of answers that end with their connection."""

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_core.errors import UpstreamUnavailableError

from ..clock import wait

__all__ = ["check_undelimited_end"]

# Time in which a process that exits closes its sockets, in any order: its
# connections may end while new ones are still accepted.
EXIT_TIME_S = 0.02


async def check_undelimited_end(pool, upstream, reply):
    """Check whether an answer ended because its upstream has.

    Parameters
    ----------
    pool : ConnectionPool
    upstream : Upstream
    reply : UpstreamReply
        Head of the answer.

    Returns
    -------
    StreamLostError or None
        None for an answer that tells its own end, and while the upstream still
        accepts connections.

    Notes
    -----
    A leaving upstream may end right after a whole answer. The answer counts as
    broken off all the same: one that may run again goes on elsewhere, behind
    its last event, and nothing is taken for whole that may not be.
    """
    if reply.is_delimited:
        return None
    await wait(pool.reactor, EXIT_TIME_S)
    try:
        await pool.open_idle(upstream.entry.address, hold_seconds=0.0)
    except UpstreamConnectionRefusedError:
        return StreamLostError("the answer ended with its upstream")
    except UpstreamUnavailableError:
        return None
    return None
