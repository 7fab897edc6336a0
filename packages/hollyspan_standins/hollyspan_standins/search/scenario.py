"""Scenarios: what is started, what is asked for and what goes wrong."""

__all__ = ["Fault", "JobPlan", "Scenario", "When"]


class Literal:
    """Plain data that is printed as the expression that builds it."""

    __slots__ = ()
    DEFAULTS = {}

    def __init__(self, **values):
        unknown = values.keys() - set(self.__slots__)
        if unknown:
            raise TypeError(f"unknown fields {sorted(unknown)}")
        for name in self.__slots__:
            setattr(
                self,
                name,
                values[name] if name in values else self.DEFAULTS[name],
            )

    def replace(self, **changes):
        """Return a copy with some fields changed."""
        values = {name: getattr(self, name) for name in self.__slots__}
        return type(self)(**{**values, **changes})

    def __repr__(self):
        fields = [
            f"{name}={getattr(self, name)!r}"
            for name in self.__slots__
            if name not in self.DEFAULTS
            or getattr(self, name) != self.DEFAULTS[name]
        ]
        return f"{type(self).__name__}({', '.join(fields)})"

    def __eq__(self, other):
        return type(self) is type(other) and repr(self) == repr(other)

    def __hash__(self):
        return hash(repr(self))


class When(Literal):
    """Moment of a fault.

    Parameters
    ----------
    event : str
        ``start`` or the type of a log line, such as ``job:accepted``.
    number : int
        Which of these events, from 1.
    delay : float
        Seconds after it.
    """

    __slots__ = ("event", "number", "delay")
    DEFAULTS = {"event": "start", "number": 1}


class Fault(Literal):
    """One fault.

    Parameters
    ----------
    kind : str
        See `faults.KINDS`.
    when : When
    who : str
        ``any``, ``last`` (the one that acted last), ``front`` or ``worker``.
    share : float
        Share of those in question, at least one; 1.0 leaves none out.
    spared : int
        Number of them that are left out all the same.
    seconds : float
        How long it lasts.
    back : str
        How upstreams come back: ``same``, ``other`` (at the same address) or
        ``elsewhere``.
    count : int
        Number of writes in question.
    reach : float
        Share of the upstreams that a gateway's links in question lead to.
    salt : int
        Decides who is chosen.
    """

    __slots__ = (
        "kind",
        "when",
        "who",
        "share",
        "spared",
        "seconds",
        "back",
        "count",
        "reach",
        "salt",
    )
    DEFAULTS = {
        "who": "any",
        "share": 0.0,
        "spared": 0,
        "seconds": 1.5,
        "back": "same",
        "count": 1,
        "reach": 1.0,
        "salt": 0,
    }


class JobPlan(Literal):
    """One job.

    Parameters
    ----------
    name : str
    at : float
        Time of its submission, seconds after the start.
    items : int
    events : int
        Length of the answer to each item.
    parts : tuple of int
        Parts of all its prompts.
    is_fatal : bool
        True if the last of them ends each upstream that begins an item.
    """

    __slots__ = ("name", "at", "items", "events", "parts", "is_fatal")
    DEFAULTS = {"is_fatal": False}


class Scenario(Literal):
    """One run.

    Parameters
    ----------
    seed : int
        Of what the run itself draws.
    fronts, workers, upstreams, slots : int
    versions : int
        Number of software versions of the upstreams.
    prompt_seconds : float
        Time from the start of an item to the head of its answer, and the
        longest one for a stream.
    event_seconds : float
    streams : float
        Requests of clients in a second.
    stream_events : int
    stream_seconds : float
        Time during which clients send new ones.
    limit : int
        Limit on the tokens of waiting items, 0 for none.
    peer_seconds : float
        Time of a datagram from one data centre to the other.
    page_size : int
        Entries in a page of the store.
    skew : float
        Largest error of a gateway's wall clock, seconds.
    jobs : list of JobPlan
    faults : list of Fault
    """

    __slots__ = (
        "seed",
        "fronts",
        "workers",
        "upstreams",
        "slots",
        "versions",
        "prompt_seconds",
        "event_seconds",
        "streams",
        "stream_events",
        "stream_seconds",
        "limit",
        "peer_seconds",
        "page_size",
        "skew",
        "jobs",
        "faults",
    )
    DEFAULTS = {
        "slots": 4,
        "versions": 1,
        "prompt_seconds": 0.4,
        "event_seconds": 0.05,
        "streams": 0.0,
        "stream_events": 10,
        "stream_seconds": 10.0,
        "limit": 0,
        "peer_seconds": 0.001,
        "page_size": 500,
        "skew": 0.0,
        "jobs": [],
        "faults": [],
    }
