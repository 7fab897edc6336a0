"""Server of calls from other daemons."""

import json

import eliot
from twisted.internet import defer
from twisted.internet import task
import zstandard

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.messages import convert_codec_errors
from hollyspan_core.messages import PeerMessage
from hollyspan_core.messages import read_forward_request

from ...configurations import encode_configuration
from .failure import encode_failure

__all__ = ["CallServer"]

DRAIN_POLL_INTERVAL_S = 0.05


class CallServer:
    """Answers the calls on links that other daemons open.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    links : set of Link
        Open links from other daemons.
    handlers : dict
        Method that handles a call, by kind of message.
    """

    __slots__ = ("runtime", "links", "handlers")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.links = set()
        self.handlers = {
            "configurationPull": self.answer_configuration,
            "statisticsPull": self.answer_statistics,
            "forwardRequest": self.start_forward,
            "forwardCancel": self.cancel_forward,
        }

    def receive(self, link, message):
        """Answer one call; answer unknown kinds with a failure.

        Parameters
        ----------
        link : Link
        message : PeerMessage reader

        Raises
        ------
        PeerMessageError
            The message is damaged.
        """
        handle = self.handlers.get(message.which())
        try:
            if handle is None:
                raise InvalidRequestError(
                    "unknown kind of call between daemons"
                )
            handle(link, message)
        except InvalidRequestError as error:
            send_failure(link, message.call, error)

    def answer_configuration(self, link, message):
        """Send the configuration if its generation is above the peer's."""
        with convert_codec_errors():
            above = message.configurationPull.above
        current = self.runtime.configurations.current
        answer = PeerMessage.new_message()
        answer.call = message.call
        document = answer.init("configurationDocument")
        if current is not None and current.generation > above:
            document.generation = current.generation
            document.document = compress_document(
                encode_configuration(current)
            )
        link.send(answer)

    def answer_statistics(self, link, message):
        """Send the requested kind of statistics."""
        with convert_codec_errors():
            kind = message.statisticsPull.kind
        provide = self.runtime.links.statistics_providers.get(kind)
        if provide is None:
            raise InvalidRequestError("unknown kind of statistics")
        answer = PeerMessage.new_message()
        answer.call = message.call
        content = json.dumps(provide()).encode()
        answer.init("statistics").document = compress_document(content)
        link.send(answer)

    def start_forward(self, link, message):
        """Start a request that another data centre forwarded."""
        request = read_forward_request(message)
        call = message.call
        running = defer.ensureDeferred(self.serve(link, call, request))
        link.calls[call] = running

        def remove_call(result):
            link.calls.pop(call, None)

        running.addErrback(log_failure)
        running.addBoth(remove_call)

    async def serve(self, link, call, request):
        """Run a forwarded request and send the end of its answer."""
        try:
            await self.run(link, call, request)
        except defer.CancelledError:
            return
        except Exception as error:
            if not isinstance(error, HollyspanError):
                eliot.write_traceback()
            self.send_end(link, call, error=encode_failure(error))
            return
        self.send_end(link, call, error=b"")

    async def run(self, link, call, request):
        if self.runtime.serve_forward is None:
            raise PeerUnavailableError(
                "this daemon does not accept forwarded requests",
                outcome=Outcome.NOT_RUN,
            )

        def send_head(head):
            answer = PeerMessage.new_message()
            answer.call = call
            target = answer.init("forwardHead")
            target.status = head.status
            target.contentType = head.content_type
            link.send(answer)

        def send_data(data):
            answer = PeerMessage.new_message()
            answer.call = call
            answer.init("forwardBody").data = data
            link.send(answer)

        await self.runtime.serve_forward(
            request=request, on_head=send_head, on_data=send_data
        )

    def send_end(self, link, call, *, error):
        if link.is_ended:
            return
        answer = PeerMessage.new_message()
        answer.call = call
        answer.init("forwardEnd").error = error
        link.send(answer)

    def cancel_forward(self, link, message):
        """Cancel a request whose caller has disconnected."""
        running = link.calls.get(message.call)
        if running is not None:
            running.cancel()

    def end_link(self, link):
        """Cancel the requests of a link that has ended."""
        self.links.discard(link)
        for running in list(link.calls.values()):
            running.cancel()

    async def drain(self):
        """Wait until all forwarded requests are answered."""
        while any(link.calls for link in self.links):
            await task.deferLater(self.runtime.reactor, DRAIN_POLL_INTERVAL_S)

    def close(self):
        """Close all links from other daemons."""
        for link in list(self.links):
            link.transport.abortConnection()


def send_failure(link, call, error):
    answer = PeerMessage.new_message()
    answer.call = call
    answer.init("failure").error = encode_failure(error)
    link.send(answer)


def compress_document(content):
    return zstandard.ZstdCompressor().compress(content)


def log_failure(failure):
    eliot.log_message(
        message_type="link:failed", reason=failure.getTraceback()
    )
