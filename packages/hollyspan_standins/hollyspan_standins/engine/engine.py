"""One engine: starts, resumes and cancels streams."""

from ..common import AnswerError
from .cache import PrefixCache
from .registry import Registry
from .scheduler import Scheduler

__all__ = ["Engine"]


class Engine:
    """Streams, slots and cache of one engine.

    Parameters
    ----------
    clock : IReactorTime
    models : list of str
    slots : int
    timing : Timing
    cache_blocks : int
    publish : callable
        Takes cache events.
    resume_seconds : float
    record : callable
        Takes the name of an event and its fields.
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
            on_admitted=self._note_admitted,
            on_token=self._deliver,
        )

    def start(self, stream, subscribe):
        """Queue a new stream.

        Parameters
        ----------
        stream : Stream
        subscribe : callable
            Called without arguments once the stream is accepted; returns
            the subscriber.

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

    def resume(self, number, offset, subscribe):
        """Continue a stream after its first events."""
        stream = self.find(number)
        if offset > stream.events:
            raise AnswerError(
                status=416,
                code="offset_past_end",
                message=f"stream {number} has {stream.events} events",
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
        stream.subscriber.tell(stream)
        if was_cancelled:
            self.scheduler.add(stream)

    def cancel(self, stream):
        """Stop a stream and free its slot; return its offset."""
        if stream.state in ("waiting", "running"):
            self.scheduler.remove(stream)
            stream.state = "cancelled"
            self._record("cancelled", stream)
            if stream.subscriber is not None:
                stream.subscriber.end_cancelled()
                stream.subscriber = None
            self.registry.forget_later(stream)
        return stream.events

    def find(self, number):
        """Return a known stream.

        Raises
        ------
        AnswerError
            If there is none by this identifier.
        """
        stream = self.registry.get(number)
        if stream is None:
            raise AnswerError(
                status=404, code="unknown_stream", message=number
            )
        return stream

    def lose_subscriber(self, stream, subscriber):
        """Note that a connection has broken."""
        if stream.subscriber is not subscriber:
            return
        stream.subscriber = None
        self._record("disconnected", stream)
        if stream.state in ("waiting", "running"):
            self.registry.start_timer(stream, self.cancel)

    def measure_load(self):
        """Return slots, running, waiting and the tokens so far."""
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
                status=500, code="engine_fault", message="on demand"
            )
        if stream.model not in self.models:
            raise AnswerError(
                status=404, code="model_not_found", message=stream.model
            )
        if "[[fail]]" in stream.prompt:
            raise AnswerError(
                status=400,
                code="invalid_prompt",
                message="this prompt can never be done",
            )
        if not self.registry.add(stream):
            raise AnswerError(
                status=409, code="duplicate_stream", message=stream.number
            )

    def _note_admitted(self, stream):
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
            stream.subscriber.tell(stream)

    def _finish(self, stream):
        if stream.state != "finished":
            stream.state = "finished"
            self._record("finished", stream)
        subscriber = stream.subscriber
        stream.subscriber = None
        if subscriber is not None:
            subscriber.tell(stream)
        self.registry.forget_later(stream)

    def _break(self, stream):
        self._record("broken", stream)
        stream.state = "broken"
        self.scheduler.remove(stream)
        self.registry.forget(stream)
        if stream.subscriber is not None:
            stream.subscriber.drop()
            stream.subscriber = None

    def _record(self, event, stream, **fields):
        self.record(
            event,
            stream=stream.number,
            key=stream.key,
            **{"class": stream.request_class},
            model=stream.model,
            prompt_digest=stream.digest,
            **{"offset": stream.events, **fields},
            **self.scheduler.count_classes(),
        )
