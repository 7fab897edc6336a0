"""Continuous batching: slots, a FIFO queue and a step loop."""

from collections import Counter
from collections import deque

from .blocks import BLOCK_CHARACTERS
from .blocks import hash_blocks
from .chunks import CHARACTERS_PER_TOKEN

__all__ = ["Scheduler"]


class Scheduler:
    """Scheduler that admits streams to slots in their order of arrival.

    Parameters
    ----------
    clock : IReactorTime
    slots : int
    timing : Timing
    cache : PrefixCache
    on_admitted, on_token : callable
        Called with a stream when it is admitted, and for each token.
    """

    def __init__(self, *, clock, slots, timing, cache, on_admitted, on_token):
        self.clock = clock
        self.slots = slots
        self.timing = timing
        self.cache = cache
        self.on_admitted = on_admitted
        self.on_token = on_token
        self.running = {}
        self.queue = deque()
        self.steps = 0
        self.tokens = 0
        self.step_call = None
        self.step_due = 0.0
        self.step_seconds = 0.0

    def add(self, stream):
        """Queue a stream; admit it immediately if a slot is free."""
        stream.state = "waiting"
        stream.received_at = self.clock.seconds()
        stream.received_step = self.steps
        self.queue.append(stream)
        self._admit()
        self._start_loop()

    def remove(self, stream):
        """Remove a stream from its slot or from the queue."""
        if self.running.pop(stream.identifier, None) is None:
            if stream in self.queue:
                self.queue.remove(stream)
            return
        self.cache.store(hash_blocks(stream.text_so_far))
        self._admit()

    def count_classes(self):
        """Return the numbers of running and waiting streams, also by class."""
        running = Counter(s.request_class for s in self.running.values())
        waiting = Counter(s.request_class for s in self.queue)
        return {
            "running": len(self.running),
            "waiting": len(self.queue),
            "running_classes": dict(running),
            "waiting_classes": dict(waiting),
        }

    def _admit(self):
        while self.queue and len(self.running) < self.slots:
            stream = self.queue.popleft()
            stream.state = "running"
            self.running[stream.identifier] = stream
            self._prefill(stream)
            self.on_admitted(stream)

    def _prefill(self, stream):
        text = stream.text_so_far
        hashes = hash_blocks(text)
        cached = self.cache.match(hashes) * BLOCK_CHARACTERS
        self.cache.store(hashes)
        tokens = (len(text) - cached) // CHARACTERS_PER_TOKEN
        stream.prefill_seconds = self.timing.compute_prefill_seconds(tokens)
        stream.next_token_at = 0.0
        if stream.is_slow:
            self._delay_token(stream)

    def _delay_token(self, stream):
        seconds = self.timing.compute_slow_token_seconds()
        stream.next_token_at = self.clock.seconds() + seconds

    def _start_loop(self):
        if self.step_call is None and self.running:
            self.step_due = self.clock.seconds()
            self._schedule_step()

    def _schedule_step(self):
        in_prefill = sum(
            1 for s in self.running.values() if s.prefill_seconds > 0
        )
        self.step_seconds = self.timing.compute_step_seconds(
            len(self.running), in_prefill
        )
        now = self.clock.seconds()
        # After a delay, at most the length of one step is caught up.
        self.step_due = max(self.step_due, now - self.step_seconds)
        self.step_due += self.step_seconds
        self.step_call = self.clock.callLater(
            max(0.0, self.step_due - now), self._step
        )

    def _step(self):
        self.step_call = None
        self.steps += 1
        now = self.clock.seconds()
        for stream in list(self.running.values()):
            if stream.identifier in self.running:
                self._step_stream(stream, now)
        self._admit()
        if self.running:
            self._schedule_step()

    def _step_stream(self, stream, now):
        if stream.prefill_seconds > 0:
            stream.prefill_seconds -= self.step_seconds
            return
        if now < stream.next_token_at:
            return
        if stream.is_slow:
            self._delay_token(stream)
        stream.generated += 1
        self.tokens += 1
        if stream.is_generated:
            self.remove(stream)
        self.on_token(stream)
