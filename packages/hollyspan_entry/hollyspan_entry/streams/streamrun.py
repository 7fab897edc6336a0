"""State of one stream."""

import json

from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StreamCancelledError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamLeavingError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_core.events import ERROR_PREFIXES
from hollyspan_core.events import EventParser

from ..upstreams.call import open_response
from ..upstreams.call import read_content
from ..upstreams.state import is_leaving_answer
from ..upstreams.state import read_code
from .cancellation import cancel_stream
from .reader import StreamReader

__all__ = ["StreamRun"]

# Seconds before each resume after a break without progress; their sum lies
# within the resume window of the engines.
RESUME_DELAYS = (0.02, 0.1, 0.3, 1.0, 2.0)
# Time until the head of a resume's answer must be there.
RESUME_TIMEOUT_SECONDS = 2.0
DONE = b"[DONE]"


def encode_body(body):
    if isinstance(body, bytes):
        return body
    options = {**(body.get("stream_options") or {}), "include_usage": True}
    return json.dumps(
        {**body, "stream": True, "stream_options": options}
    ).encode()


class StreamRun:
    """State of one stream over its connections.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    stream_id, key, request_class : str
    on_event : callable
    offset : int
    idle_timeout : float
    on_connection : callable or None
    first_event_tries : int
    cancel_broken : bool
    """

    __slots__ = (
        "runtime",
        "upstream",
        "stream_id",
        "headers",
        "on_event",
        "offset",
        "idle_timeout",
        "on_connection",
        "first_event_tries",
        "cancel_broken",
        "done",
        "is_ended",
    )

    def __init__(
        self,
        *,
        runtime,
        upstream,
        stream_id,
        key,
        request_class,
        on_event,
        offset,
        idle_timeout,
        on_connection,
        first_event_tries,
        cancel_broken,
    ):
        self.runtime = runtime
        self.upstream = upstream
        self.stream_id = stream_id
        self.headers = {
            b"X-Stream-Id": stream_id.encode(),
            b"X-Request-Key": key.encode(),
            b"X-Request-Class": request_class.encode(),
        }
        self.on_event = on_event
        self.offset = offset
        self.idle_timeout = idle_timeout
        self.on_connection = on_connection
        self.first_event_tries = first_event_tries
        self.cancel_broken = cancel_broken
        self.done = False
        self.is_ended = False

    def take_event(self, offset, data):
        """Hand on an event unless it was handed on before."""
        if offset is None:
            self.take_unnumbered(data)
            return
        if offset != self.offset + 1:
            if offset <= self.offset:
                return
            raise StreamMalformedError("events of a stream are missing")
        if data.startswith(ERROR_PREFIXES):
            raise build_stream_error(self.upstream, data)
        self.offset = offset
        self.on_event(offset, data)

    def take_unnumbered(self, data):
        """Take the end of the stream or an error event."""
        if data == DONE:
            self.done = True
        elif data.startswith(ERROR_PREFIXES):
            raise build_stream_error(self.upstream, data)
        else:
            raise StreamMalformedError("an event has no id")

    async def start(self, path, body):
        """Start the stream; return the response, or None to resume."""
        headers = {**self.headers, b"Content-Type": b"application/json"}
        try:
            response = await open_response(
                runtime=self.runtime,
                upstream=self.upstream,
                method=b"POST",
                path=path,
                headers=headers,
                body=encode_body(body),
                timeout=self.idle_timeout,
            )
        except UpstreamUnavailableError as error:
            if error.outcome is Outcome.NOT_RUN:
                raise
            # The engine may have begun; a resume finds out.
            return None
        if response.code == 200:
            return response
        content = await self.read_answer(response)
        if is_leaving_answer(
            self.upstream, status=response.code, body=content
        ):
            self.runtime.upstreams.mark_leaving(self.upstream.name)
            raise UpstreamLeavingError(f"{self.upstream.name} is leaving")
        if read_code(content) == "duplicate_stream":
            return None
        raise build_answer_error(self.upstream, response.code, content)

    async def follow(self, response):
        """Read until the stream is whole, over breaks of the connection."""
        breaks = 0
        unanswered = 0
        while True:
            before = self.offset
            if response is not None:
                # The engine knows the stream, however long it queues.
                unanswered = 0
                await self.read(response)
            if self.done:
                return
            if self.cancel_broken and response is not None:
                await self.cancel()
            if self.offset > before:
                breaks = 0
            if unanswered >= self.count_tries():
                raise StreamLostError(
                    f"no connection to {self.upstream.name} for a resume"
                )
            delay = RESUME_DELAYS[min(breaks, len(RESUME_DELAYS) - 1)]
            await task.deferLater(self.runtime.reactor, delay)
            breaks += 1
            unanswered += 1
            response = await self.open_resume()

    async def cancel(self):
        """Free the slot of a broken stream, if the engine knows it."""
        work = defer.ensureDeferred(
            cancel_stream(
                runtime=self.runtime,
                upstream=self.upstream,
                stream_id=self.stream_id,
            )
        )
        # The cancel goes on when the wait for it is cancelled.
        answer = defer.Deferred()
        work.addCallbacks(answer.callback, answer.errback)
        offset = await answer
        if offset is not None:
            raise StreamCancelledError(
                f"a stream at {self.upstream.name} was cancelled",
                is_foreign=self.is_ended,
            )

    def count_tries(self):
        """Return how many resumes without an answer are tried."""
        tries = len(RESUME_DELAYS)
        return tries if self.offset else min(tries, self.first_event_tries)

    async def read(self, response):
        """Read one connection to its end."""
        reader = StreamReader(
            parser=EventParser(on_event=self.take_event),
            is_done=lambda: self.done,
            idle_timeout=self.idle_timeout,
            clock=self.runtime.reactor,
        )
        response.deliverBody(reader)
        if self.on_connection is not None:
            self.on_connection(reader)
        await reader.ended
        self.is_ended = reader.is_ended

    async def open_resume(self):
        """Ask for the rest of the stream; None when it cannot be reached."""
        try:
            response = await open_response(
                runtime=self.runtime,
                upstream=self.upstream,
                method=b"GET",
                path=f"/v1/streams/{self.stream_id}?offset={self.offset}",
                headers=self.headers,
                body=None,
                timeout=min(self.idle_timeout, RESUME_TIMEOUT_SECONDS),
            )
        except UpstreamUnavailableError:
            return None
        if response.code == 200:
            return response
        content = await self.read_answer(response)
        if response.code in (404, 416):
            raise StreamLostError(
                f"{self.upstream.name} does not know the stream"
            )
        raise build_answer_error(self.upstream, response.code, content)

    async def read_answer(self, response):
        return await read_content(
            response,
            runtime=self.runtime,
            upstream=self.upstream,
            timeout=self.idle_timeout,
        )


def build_answer_error(upstream, status, content):
    return UpstreamAnswerError(
        f"{upstream.name} answered {status}",
        upstream_status=status,
        body=content,
    )


def build_stream_error(upstream, data):
    return UpstreamAnswerError(
        f"{upstream.name} sent an error in mid-stream",
        upstream_status=200,
        body=data,
    )
