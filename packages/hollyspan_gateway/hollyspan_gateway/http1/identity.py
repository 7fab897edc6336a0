"""Which request an answer belongs to."""

from hollyspan_core.errors import AnswerMisplacedError
from hollyspan_core.errors import StreamMalformedError

__all__ = ["check_answer_identity"]


def check_answer_identity(found, expected, *, is_first):
    """Raise an error unless an answer belongs to the request that waits.

    Parameters
    ----------
    found : str or None
        Identifier of a request in the answer.
    expected : str
        Identifier of the request that waits.
    is_first : bool
        Whether the connection has carried no request before.

    Raises
    ------
    AnswerMisplacedError
        It names another request; the awaited answer may still follow.
    StreamMalformedError
        It names none, and may be a copy of an answer to an earlier request.
    """
    if found == expected:
        return
    if found is not None:
        raise AnswerMisplacedError("the answer belongs to another request")
    if not is_first:
        raise StreamMalformedError(
            "the answer names no request, on a connection that carried others"
        )
