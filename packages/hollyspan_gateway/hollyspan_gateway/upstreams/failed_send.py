"""What a failed send tells of its upstream and of the link."""

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamStalledError
from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_core.errors import UpstreamUnreachableError

__all__ = ["note_failed_send"]


def note_failed_send(placement, upstream, error, *, waited_since):
    """Back off from an upstream if a send failed because of it.

    Parameters
    ----------
    placement : Placement
    upstream : Upstream
    error : HollyspanError
    waited_since : float
        Start of the send, reactor seconds.
    """
    placement.paces.note_failure(upstream, error, started_at=waited_since)
    is_unconnected = isinstance(error, UpstreamUnreachableError)
    if is_unconnected or isinstance(error, StreamLostError):
        is_sudden = isinstance(error, StreamLostError) and not isinstance(
            error, StreamStalledError
        )
        placement.on_link_failure(
            upstream,
            is_unconnected=is_unconnected,
            is_closed=is_sudden,
            is_refused=isinstance(error, UpstreamConnectionRefusedError),
            waited_since=(
                placement.reactor.seconds() if is_sudden else waited_since
            ),
        )
    if is_unconnected:
        placement.directory.note_unreachable(upstream)
    elif isinstance(error, (UpstreamUnavailableError, StreamStalledError)):
        placement.directory.note_failure(upstream)
