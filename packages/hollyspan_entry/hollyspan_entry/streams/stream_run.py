"""State of a running stream across its connections."""

import json

import eliot
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
from hollyspan_policy.intake import IntakeMeter
from hollyspan_policy.streams import classify_resume
from hollyspan_policy.streams import classify_start
from hollyspan_policy.streams import StreamAnswer

from ..intake.limits import ERROR_ANSWER
from ..intake.limits import STREAM
from ..upstreams.call import discard_content
from ..upstreams.call import open_response
from ..upstreams.call import read_content
from ..upstreams.call import read_content_type
from ..upstreams.state import is_leaving_answer
from ..upstreams.state import read_code
from .cancellation import cancel_stream
from .reader import StreamReader

__all__ = ["StreamRun"]

# Delays before consecutive resumes without progress. Their sum is within the
# resume window of the engines.
RESUME_DELAYS_S = (0.02, 0.1, 0.3, 1.0, 2.0)
# Timeout for the response head of a resume.
RESUME_TIMEOUT_S = 2.0
DONE = b"[DONE]"


def encode_body(body):
    """Encode a request body; a dict is made to ask for a stream and usage."""
    if isinstance(body, bytes):
        return body
    options = {**(body.get("stream_options") or {}), "include_usage": True}
    return json.dumps(
        {**body, "stream": True, "stream_options": options}
    ).encode()


class StreamRun:
    """State of one stream across its connections.

    The parameters are those of `run_stream`.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    stream_id, key, request_class : str
    on_event : callable
    keep : callable
        Called with the size of an event before it is passed on.
    offset : int
    idle_timeout : float
        Seconds.
    on_connection : callable or None
    max_initial_resumes : int
    cancel_on_break : bool

    Attributes
    ----------
    done : bool
        True once the stream is complete.
    ended_by_engine : bool
        True when the engine has ended the last response properly.
    was_idle : bool
        True when the last response was ended here because no bytes came.
    """

    __slots__ = (
        "runtime",
        "upstream",
        "stream_id",
        "headers",
        "on_event",
        "keep",
        "meter",
        "offset",
        "idle_timeout",
        "on_connection",
        "max_initial_resumes",
        "cancel_on_break",
        "done",
        "ended_by_engine",
        "was_idle",
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
        keep,
        offset,
        idle_timeout,
        on_connection,
        max_initial_resumes,
        cancel_on_break,
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
        self.keep = keep
        self.meter = IntakeMeter(limits=STREAM)
        self.offset = offset
        self.idle_timeout = idle_timeout
        self.on_connection = on_connection
        self.max_initial_resumes = max_initial_resumes
        self.cancel_on_break = cancel_on_break
        self.done = False
        self.ended_by_engine = False
        self.was_idle = False

    def handle_event(self, offset, data):
        """Pass on a numbered event unless it was passed on before."""
        if offset is None:
            self.handle_unnumbered_event(data)
            return
        if offset != self.offset + 1:
            if offset <= self.offset:
                return
            raise StreamMalformedError("events of a stream are missing")
        if data.startswith(ERROR_PREFIXES):
            raise build_stream_error(self.upstream, data)
        self.keep(len(data))
        self.offset = offset
        self.on_event(offset, data)

    def handle_unnumbered_event(self, data):
        """Handle the end of the stream or an error event."""
        if data == DONE:
            self.done = True
        elif data.startswith(ERROR_PREFIXES):
            raise build_stream_error(self.upstream, data)
        else:
            raise StreamMalformedError("an event has no id")

    async def start(self, path, body):
        """Start the stream.

        Returns
        -------
        IResponse or None
            None when the stream may have started and is to be resumed.
        """
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
            # The engine may have started the stream; a resume shows it.
            return None
        kind = classify_start(
            status=response.code, content_type=read_content_type(response)
        )
        if kind is StreamAnswer.EVENTS:
            return response
        if kind is StreamAnswer.MALFORMED:
            await self.discard(response)
            raise StreamMalformedError(
                f"{self.upstream.name} answered {response.code} without events"
            )
        content = await read_content(
            response,
            runtime=self.runtime,
            upstream=self.upstream,
            timeout=self.idle_timeout,
            limits=ERROR_ANSWER,
        )
        if is_leaving_answer(
            self.upstream, status=response.code, body=content
        ):
            self.runtime.upstreams.mark_leaving(self.upstream.name)
            raise UpstreamLeavingError(f"{self.upstream.name} is leaving")
        if read_code(content) == "duplicate_stream":
            return None
        raise build_answer_error(self.upstream, response.code, content)

    async def follow(self, response):
        """Read until the stream is complete, resuming after breaks."""
        breaks = 0
        unanswered = 0
        empty = 0
        while True:
            previous_offset = self.offset
            if response is not None:
                # The engine knows the stream even while it is queued.
                unanswered = 0
                empty += 1
                await self.read(response)
            if self.done:
                return
            if self.cancel_on_break and response is not None:
                await self.cancel()
            if self.offset > previous_offset:
                breaks = 0
            if self.offset > previous_offset or self.was_idle:
                empty = 0
            if empty > len(RESUME_DELAYS_S):
                raise StreamLostError(
                    f"{self.upstream.name} ends each resume without an event"
                )
            if unanswered >= self.get_max_unanswered_resumes():
                raise StreamLostError(
                    f"no connection to {self.upstream.name} for a resume"
                )
            delay = RESUME_DELAYS_S[min(breaks, len(RESUME_DELAYS_S) - 1)]
            await task.deferLater(self.runtime.reactor, delay)
            breaks += 1
            unanswered += 1
            response = await self.open_resume()

    async def cancel(self):
        """Cancel a broken stream at the engine to free its slot.

        Raises
        ------
        StreamCancelledError
            The engine has cancelled the stream.
        """
        work = defer.ensureDeferred(
            cancel_stream(
                runtime=self.runtime,
                upstream=self.upstream,
                stream_id=self.stream_id,
            )
        )
        # The cancel request continues when waiting for it is cancelled.
        answer = defer.Deferred()
        work.addCallbacks(answer.callback, answer.errback)
        offset = await answer
        if offset is not None:
            raise StreamCancelledError(
                f"a stream at {self.upstream.name} was cancelled",
                is_cancelled_elsewhere=self.ended_by_engine,
            )

    def get_max_unanswered_resumes(self):
        """Return the maximum number of consecutive unanswered resumes."""
        max_resumes = len(RESUME_DELAYS_S)
        return (
            max_resumes
            if self.offset
            else min(max_resumes, self.max_initial_resumes)
        )

    async def read(self, response):
        """Read one connection until it ends."""
        reader = StreamReader(
            parser=EventParser(on_event=self.handle_event),
            meter=self.meter,
            is_done=lambda: self.done,
            idle_timeout=self.idle_timeout,
            clock=self.runtime.reactor,
        )
        response.deliverBody(reader)
        if self.on_connection is not None:
            self.on_connection(reader)
        await reader.ended
        self.ended_by_engine = reader.ended_by_engine
        self.was_idle = reader.was_idle

    async def open_resume(self):
        """Request the rest of the stream.

        Returns
        -------
        IResponse or None
            None when the engine cannot be reached, or not resume it now.

        Raises
        ------
        StreamLostError
            The engine cannot go on with the stream.
        """
        try:
            response = await open_response(
                runtime=self.runtime,
                upstream=self.upstream,
                method=b"GET",
                path=f"/v1/streams/{self.stream_id}?offset={self.offset}",
                headers=self.headers,
                body=None,
                timeout=RESUME_TIMEOUT_S,
            )
        except UpstreamUnavailableError:
            return None
        kind = classify_resume(
            status=response.code, content_type=read_content_type(response)
        )
        if kind is StreamAnswer.EVENTS:
            return response
        eliot.log_message(
            message_type="streams:resume-failed",
            upstream=self.upstream.name,
            status=response.code,
            offset=self.offset,
        )
        await self.discard(response)
        if kind is StreamAnswer.UNAVAILABLE:
            return None
        raise StreamLostError(
            f"{self.upstream.name} answered {response.code} to a resume"
        )

    async def discard(self, response):
        """Read past the body of an answer that is not used."""
        await discard_content(
            response,
            runtime=self.runtime,
            upstream=self.upstream,
            timeout=RESUME_TIMEOUT_S,
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
