"""One call to another daemon."""

from twisted.internet import defer

__all__ = ["Call"]


class Call:
    """A call that waits for its answers.

    Parameters
    ----------
    number : int
        Number of the call on its link.
    on_message : callable
        Takes the call and each answer; ends the call by `finish` or `fail`.

    Attributes
    ----------
    done : Deferred
        Fires with the result.
    """

    __slots__ = ("number", "on_message", "done")

    def __init__(self, *, number, on_message):
        self.number = number
        self.on_message = on_message
        self.done = defer.Deferred()

    def finish(self, result):
        """End the call with a result."""
        if not self.done.called:
            self.done.callback(result)

    def fail(self, error):
        """End the call with a failure."""
        if not self.done.called:
            self.done.errback(error)
