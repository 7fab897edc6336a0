"""One request on a connection and the callbacks for its answer."""

from hollyspan_policy.intake import IntakeMeter

from .kinds import PLAIN_ANSWER

__all__ = ["Exchange"]


class Exchange:
    """A request and the callbacks for its answer.

    Parameters
    ----------
    method : bytes
    target : bytes
    headers : list of (bytes, bytes)
        Headers except Content-Length.
    body : bytes or PiecedBody
    on_head : callable
        Called with the status and the list of headers, names in lower case.
    on_data : callable
        Called with each chunk of bytes of the body; returns the number of
        bytes that are kept, which counts unless the kind of the answer is
        kept as a whole.
    on_end : callable
        Called once without arguments when the answer is complete.
    on_failure : callable
        Called once with a HollyspanError when the answer cannot be completed.
    identifier : str, optional
        Identifier of the request, which its answer repeats.
    kind : AnswerKind, optional
        What is expected as an answer.

    Attributes
    ----------
    meter : IntakeMeter
        What was read of the answer.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "on_head",
        "on_data",
        "on_end",
        "on_failure",
        "identifier",
        "kind",
        "meter",
    )

    def __init__(
        self,
        *,
        method,
        target,
        headers,
        body,
        on_head,
        on_data,
        on_end,
        on_failure,
        identifier=None,
        kind=PLAIN_ANSWER,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.on_head = on_head
        self.on_data = on_data
        self.on_end = on_end
        self.on_failure = on_failure
        self.identifier = identifier
        self.kind = kind
        self.meter = IntakeMeter(limits=kind.limits)
