"""Head of an upstream's answer."""

__all__ = ["UpstreamReply"]


class UpstreamReply:
    """Decoded head of an upstream's answer.

    Parameters
    ----------
    status : int
    has_not_run : bool
        True when the upstream states that it has not run the request and
        will not.
    is_misdirected : bool
        True when another upstream answered, at the address that it has taken
        over.
    is_ambiguous : bool
        True for a status that implies that the request has not run, from an
        upstream that does not state so; it must not be forwarded.
    load : LoadReport or None
        Load of the upstream at the time of the answer.
    is_leaving : bool
        True when the upstream states that it is shutting down.
    rate_limit : float or None
        Requests a second that the upstream accepts from all gateways
        together; None while it names no limit.
    has_events : bool
        True for an answer whose body is a stream of events, if the request
        asked for one.
    is_delimited : bool
        True when the head tells how the body ends; without, it ends with the
        connection.
    headers : list of (bytes, bytes)
        Headers that are forwarded unchanged, without hop-by-hop headers.
    unreadable_load : str or None, optional
        Start of a load report of which a figure could not be read.
    is_foreign : bool, optional
        True when it lacks what an answer of the upstream itself has; nothing
        in it may be believed or forwarded.
    """

    __slots__ = (
        "status",
        "has_not_run",
        "is_misdirected",
        "is_ambiguous",
        "load",
        "is_leaving",
        "rate_limit",
        "has_events",
        "is_delimited",
        "headers",
        "unreadable_load",
        "is_foreign",
    )

    def __init__(
        self,
        *,
        status,
        has_not_run,
        is_misdirected,
        is_ambiguous,
        load,
        is_leaving,
        rate_limit,
        has_events,
        is_delimited,
        headers,
        unreadable_load=None,
        is_foreign=False,
    ):
        self.status = status
        self.has_not_run = has_not_run
        self.is_misdirected = is_misdirected
        self.is_ambiguous = is_ambiguous
        self.load = load
        self.is_leaving = is_leaving
        self.rate_limit = rate_limit
        self.has_events = has_events
        self.is_delimited = is_delimited
        self.headers = headers
        self.unreadable_load = unreadable_load
        self.is_foreign = is_foreign

    @property
    def is_success(self):
        """True for a status of 2xx."""
        return 200 <= self.status < 300
