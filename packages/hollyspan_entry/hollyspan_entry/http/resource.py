"""HTTP resource with a coroutine as its handler."""

import eliot
from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

from hollyspan_core.errors import HollyspanError

from .answer import write_error

__all__ = ["AsyncResource"]


class AsyncResource(resource.Resource):
    """Calls a coroutine function for each request below its path.

    Parameters
    ----------
    handle : callable
        Coroutine function that takes the request and the rest of the path
        as a list of str, and writes the answer. A HollyspanError raised
        before the first byte is written as the answer.

    Notes
    -----
    The coroutine is cancelled when the caller disconnects, and by `end` of the
    request, a function that takes the error for the caller.
    """

    isLeaf = True

    def __init__(self, *, handle):
        super().__init__()
        self.handle = handle

    def render(self, request):
        path = [part.decode("utf-8", "replace") for part in request.postpath]
        request.end_error = None
        work = defer.ensureDeferred(self.serve(request, path))

        def end(error):
            request.end_error = error
            work.cancel()

        request.end = end
        request.notifyFinish().addErrback(lambda _: work.cancel())
        work.addErrback(lambda failure: failure.trap(defer.CancelledError))
        return server.NOT_DONE_YET

    async def serve(self, request, path):
        """Run the handler and finish the request."""
        try:
            await self.handle(request, path)
        except defer.CancelledError:
            if request.end_error is not None:
                self.fail(request, request.end_error)
            return
        except Exception as error:
            self.fail(request, error)
            return
        if not request._disconnected:
            request.finish()

    def fail(self, request, error):
        """Write an error, or abort the connection if the answer has begun."""
        if not isinstance(error, HollyspanError):
            eliot.write_traceback()
            error = HollyspanError("internal error")
        if request._disconnected:
            return
        if request.startedWriting:
            # The partial answer must not look complete.
            request.channel.transport.abortConnection()
            return
        write_error(request, error)
        request.finish()
