"""Requests with streamed uploads."""

from twisted.internet import defer
from twisted.web import server

from ..http import MAX_BODY_BYTES
from .body import BodyStream
from .bounded import BoundedBody

__all__ = ["build_request_factory"]

UPLOAD_PATH = b"/v1/files"
# Time within which a body that is no upload must arrive.
BODY_TIMEOUT_S = 120.0


def build_request_factory(receive):
    """Build the request class of a site that accepts uploads.

    No body is written to a temporary file: uploads are read while they
    arrive, and all other bodies are limited to `MAX_BODY_BYTES` and must
    arrive within `BODY_TIMEOUT_S`.

    Parameters
    ----------
    receive : callable
        Coroutine function that takes a request and its BodyStream; started
        when the headers have arrived. Its Deferred becomes the `upload`
        attribute of the request. If the upload fails, the Deferred fires
        with the exception as its result.

    Returns
    -------
    type
        Subclass of twisted.web.server.Request.
    """

    class UploadRequest(server.Request):
        """Request that streams its body if it is an upload."""

        upload = None
        body_timer = None

        def gotLength(self, length):
            if not is_upload(self.channel):
                self.content = BoundedBody(
                    limit=MAX_BODY_BYTES, sender=self.getClientAddress().host
                )
                self.body_timer = self.channel.callLater(
                    BODY_TIMEOUT_S, self.channel.timeoutConnection
                )
                return
            self.content = BodyStream(transport=self.channel.transport)
            self.upload = defer.ensureDeferred(receive(self, self.content))
            self.upload.addErrback(lambda failure: failure.value)

        def requestReceived(self, command, path, version):
            self.stop_body_timer()
            if isinstance(self.content, BodyStream):
                self.content.finish()
            super().requestReceived(command, path, version)

        def connectionLost(self, reason):
            self.stop_body_timer()
            super().connectionLost(reason)

        def stop_body_timer(self):
            """Stop to measure how long the body takes."""
            timer, self.body_timer = self.body_timer, None
            if timer is not None and timer.active():
                timer.cancel()

    return UploadRequest


def is_upload(channel):
    """Return whether a request is an upload, unless it will be refused."""
    path = channel._path.split(b"?", 1)[0].rstrip(b"/")
    return (
        channel._command == b"POST"
        and path == UPLOAD_PATH
        and not channel.is_last_told
    )
