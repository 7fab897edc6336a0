"""Pending call to another daemon."""

from twisted.internet import defer

__all__ = ["Call"]


class Call:
    """Call that waits for one or more answers.

    Parameters
    ----------
    number : int
        Number of the call on its link.
    on_message : callable
        Called with the call and each answer; ends the call with `finish` or
        `fail`.

    Attributes
    ----------
    done : Deferred
        Fires with the result or the failure.
    """

    __slots__ = ("number", "on_message", "done")

    def __init__(self, *, number, on_message):
        self.number = number
        self.on_message = on_message
        self.done = defer.Deferred()

    def finish(self, result):
        """Complete the call with a result."""
        if not self.done.called:
            self.done.callback(result)

    def fail(self, error):
        """Complete the call with a failure."""
        if not self.done.called:
            self.done.errback(error)
