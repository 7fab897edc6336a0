"""Checks of answers: which hold events, and which can be delivered."""

from hollyspan_core.errors import AnswerForeignError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamUnavailableError

__all__ = [
    "check_events_end",
    "check_events_head",
    "check_plain_answer",
    "has_events",
    "require_own_answer",
]

EVENTS_STATUS = 200
EVENTS_TYPE = b"text/event-stream"
# Error statuses that another upstream might not return for the same request.
RETRIED_STATUSES = (500, 502)


def has_events(status, headers):
    """Return whether an answer holds events, if its route is for streams.

    Parameters
    ----------
    status : int
    headers : list of (bytes, bytes)
        Names in lower case.

    Returns
    -------
    bool

    Examples
    --------
    >>> has_events(200, [(b"content-type", b"Text/Event-Stream; q=1")])
    True
    >>> has_events(206, [(b"content-type", b"text/event-stream")])
    False
    >>> has_events(200, [(b"content-encoding", b"gzip")])
    False
    """
    return status == EVENTS_STATUS and all(
        (
            find_media_type(value) == EVENTS_TYPE
            if name == b"content-type"
            else name != b"content-encoding"
        )
        for name, value in headers
    )


def find_media_type(value):
    """Return the type in a Content-Type header without its parameters."""
    return value.partition(b";")[0].strip().lower()


def require_own_answer(gateway, reply, *, sender):
    """Raise AnswerForeignError unless an upstream itself has answered.

    Parameters
    ----------
    gateway : Gateway
    reply : UpstreamReply
    sender : str
        Name of the upstream, or identifier of the peer, that was asked.
    """
    if reply.is_foreign:
        reason = f"the answer {reply.status} is not the upstream's"
        gateway.refused.note("answer", name=sender, reason=reason)
        raise AnswerForeignError(reason)


def check_events_head(reply, *, has_begun):
    """Return an error if the head of an answer rules out its delivery.

    Parameters
    ----------
    reply : UpstreamReply
        Answer to a request for a stream or for an item.
    has_begun : bool
        Whether a part of the answer was delivered before, so that no other
        status can be.

    Returns
    -------
    UpstreamAnswerError or None
        None for events, and for a refusal.
    """
    if reply.has_events or reply.has_not_run:
        return None
    if not (reply.is_success or has_begun):
        return None
    return UpstreamAnswerError(
        f"the answer {reply.status} holds no events",
        upstream_status=reply.status,
    )


def check_events_end(reply, *, has_new_events, has_partial_event):
    """Return an error if an answer with events does not end as a whole one.

    Parameters
    ----------
    reply : UpstreamReply
    has_new_events : bool
        Whether it has brought an event.
    has_partial_event : bool
        Whether it ended within an event.

    Returns
    -------
    StreamLostError or None
    """
    if has_partial_event:
        return StreamLostError("the stream ended within an event")
    if not (reply.is_delimited or has_new_events):
        return StreamLostError("the stream ended without an event")
    return None


def check_plain_answer(reply):
    """Return an error if a whole answer without events is not delivered yet.

    Parameters
    ----------
    reply : UpstreamReply

    Returns
    -------
    HollyspanError or None
    """
    if reply.has_not_run:
        return UpstreamUnavailableError(
            f"the upstream refused with {reply.status}",
            outcome=Outcome.NOT_RUN,
        )
    if reply.is_ambiguous or reply.status in RETRIED_STATUSES:
        return UpstreamAnswerError(
            f"the upstream answered {reply.status}",
            upstream_status=reply.status,
        )
    return None
