"""Engine that starts, resumes and cancels streams."""

from ..common import AnswerError
from .cache import PrefixCache
from .registry import Registry
from .scheduler import Scheduler

__all__ = ["Engine"]


class Engine:
    """Streams, slots and prefix cache of an engine.

    Parameters
    ----------
    clock : IReactorTime
    models : list of str
        Names of the models served.
    slots : int
        Maximum number of streams that run at the same time.
    timing : Timing
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    publish : callable
        Called with the kind of a cache event and the hash of the block.
    resume_seconds : float
        Time for which a disconnected or ended stream can be resumed.
    record : callable
        Called with the name of an event and its fields.
    """

    def __init__(
        self,
        *,
        clock,
        models,
        slots,
        timing,
        cache_blocks,
        publish,
        resume_seconds,
        record,
    ):
        self.clock = clock
        self.models = models
        self.record = record
        self.is_leaving = False
        self.fail_starts = 0
        self.registry = Registry(clock=clock, resume_seconds=resume_seconds)
        self.scheduler = Scheduler(
            clock=clock,
            slots=slots,
            timing=timing,
            cache=PrefixCache(capacity=cache_blocks, publish=publish),
            on_admitted=self._record_admitted,
            on_token=self._deliver,
        )

    def start(self, stream, subscribe):
        """Accept and queue a new stream.

        Parameters
        ----------
        stream : Stream
        subscribe : callable
            Called without arguments after the stream was accepted; returns
            its subscriber.

        Raises
        ------
        AnswerError
            If the stream is refused.
        """
        try:
            self._check_start(stream)
        except AnswerError as error:
            self._record("refused", stream, code=error.code)
            raise
        stream.subscriber = subscribe()
        self._record("received", stream)
        self.scheduler.add(stream)

    def resume(self, identifier, offset, subscribe):
        """Connect a new subscriber, which is sent the events after an offset.

        A cancelled stream is queued again.

        Parameters
        ----------
        identifier : str
        offset : int
            Number of events that the client has received.
        subscribe : callable
            Called without arguments; returns the new subscriber.

        Raises
        ------
        AnswerError
            If there is no such stream, or if it has fewer events.
        """
        stream = self.find(identifier)
        if offset > stream.events:
            raise AnswerError(
                status=416,
                code="offset_past_end",
                message=f"stream {identifier} has {stream.events} events",
            )
        if stream.subscriber is not None:
            stream.subscriber.drop()
        was_cancelled = stream.state == "cancelled"
        self._record(
            "resumed", stream, offset=offset, readmitted=was_cancelled
        )
        self.registry.stop_timer(stream)
        stream.subscriber = subscribe()
        if stream.is_generated:
            self._finish(stream)
            return
        stream.subscriber.update(stream)
        if was_cancelled:
            self.scheduler.add(stream)

    def cancel(self, stream):
        """Stop a stream, free its slot and return its number of events."""
        if stream.state in ("waiting", "running"):
            self.scheduler.remove(stream)
            stream.state = "cancelled"
            self._record("cancelled", stream)
            if stream.subscriber is not None:
                stream.subscriber.end_cancelled()
                stream.subscriber = None
            self.registry.discard_later(stream)
        return stream.events

    def find(self, identifier):
        """Return the stream with an identifier.

        Raises
        ------
        AnswerError
            If there is no such stream.
        """
        stream = self.registry.get(identifier)
        if stream is None:
            raise AnswerError(
                status=404, code="unknown_stream", message=identifier
            )
        return stream

    def handle_disconnect(self, stream, subscriber):
        """Detach a subscriber whose connection was lost.

        The stream is cancelled unless it is resumed in time.
        """
        if stream.subscriber is not subscriber:
            return
        stream.subscriber = None
        self._record("disconnected", stream)
        if stream.state in ("waiting", "running"):
            self.registry.start_timer(stream, self.cancel)

    def measure_load(self):
        """Return slots, running and waiting streams and generated tokens."""
        scheduler = self.scheduler
        return (
            scheduler.slots,
            len(scheduler.running),
            len(scheduler.queue),
            scheduler.tokens,
        )

    def _check_start(self, stream):
        if self.is_leaving:
            raise AnswerError(
                status=503,
                code="leaving",
                message="this engine is leaving",
                headers={"x-upstream-state": "leaving"},
            )
        if self.fail_starts:
            if self.fail_starts is not True:
                self.fail_starts -= 1
            raise AnswerError(
                status=500, code="engine_fault", message="injected fault"
            )
        if stream.model not in self.models:
            raise AnswerError(
                status=404, code="model_not_found", message=stream.model
            )
        if "[[fail]]" in stream.prompt:
            raise AnswerError(
                status=400,
                code="invalid_prompt",
                message="this prompt always fails",
            )
        if not self.registry.add(stream):
            raise AnswerError(
                status=409, code="duplicate_stream", message=stream.identifier
            )

    def _record_admitted(self, stream):
        self._record(
            "admitted",
            stream,
            waited_seconds=self.clock.seconds() - stream.received_at,
            waited_steps=self.scheduler.steps - stream.received_step,
        )

    def _deliver(self, stream):
        if stream.generated == 1:
            self._record("first_token", stream)
        if stream.is_broken_half_way:
            if stream.generated * 2 >= len(stream.tokens):
                self._break(stream)
                return
        if stream.is_generated:
            self._finish(stream)
        elif stream.subscriber is not None:
            stream.subscriber.update(stream)

    def _finish(self, stream):
        if stream.state != "finished":
            stream.state = "finished"
            self._record("finished", stream)
        subscriber = stream.subscriber
        stream.subscriber = None
        if subscriber is not None:
            subscriber.update(stream)
        self.registry.discard_later(stream)

    def _break(self, stream):
        self._record("broken", stream)
        stream.state = "broken"
        self.scheduler.remove(stream)
        self.registry.discard(stream)
        if stream.subscriber is not None:
            stream.subscriber.drop()
            stream.subscriber = None

    def _record(self, event, stream, **fields):
        self.record(
            event,
            stream=stream.identifier,
            key=stream.key,
            **{"class": stream.request_class},
            model=stream.model,
            prompt_digest=stream.digest,
            **{"offset": stream.events, **fields},
            **self.scheduler.count_classes(),
        )
