"""A model of an engine with continuous batching."""

from collections import deque
import math

from .memory import TokenMemory

__all__ = ["EngineModel"]


class EngineModel:
    """Runs streams in slots, in the order in which they came.

    Parameters
    ----------
    clock : SimulationClock
    name, data_centre : str
    timing : EngineTiming
    slots : int, optional
        Streams that run at the same time.
    queue : int, optional
        Streams that may wait; further ones are refused.
    memory_tokens : int, optional
        Tokens of prompts and outputs in memory.
    stride : int, optional
        Tokens from one event to the next; the first event comes with the
        first token.

    Attributes
    ----------
    running : list of EngineStream
    waiting : deque of EngineStream
    read_again : int
        Tokens that were read again after a preemption for memory.
    """

    def __init__(
        self,
        *,
        clock,
        name,
        data_centre,
        timing,
        slots=8,
        queue=24,
        memory_tokens=147_261,
        stride=10,
    ):
        self.clock = clock
        self.name = name
        self.data_centre = data_centre
        self.timing = timing
        self.slots = slots
        self.queue = queue
        self.stride = stride
        self.memory = TokenMemory(capacity=memory_tokens)
        self.running = []
        self.waiting = deque()
        self.is_lost = False
        self.read_again = 0
        # The steps under way: start, length, number, and tokens read.
        self.span = None
        self.version = 0

    @property
    def load(self):
        """Streams that run and that wait."""
        return len(self.running), len(self.waiting)

    def submit(self, stream):
        """Take a stream in, or refuse it."""
        if self.is_lost:
            stream.on_end(stream, "lost")
        elif len(self.waiting) >= self.queue:
            stream.on_end(stream, "refused")
        else:
            self.waiting.append(stream)
            self.clock.call_later(self.timing.setup, self.interrupt)

    def remove(self, stream):
        """Stop a stream of a client that has gone."""
        if stream in self.waiting:
            self.waiting.remove(stream)
        elif stream in self.running:
            self.settle()
            if stream in self.running:
                self.release(stream)
            self.interrupt()

    def lose(self):
        """Break off all streams, for good."""
        self.is_lost = True
        streams = [*self.running, *self.waiting]
        self.running, self.waiting = [], deque()
        self.span = None
        self.version += 1
        for stream in streams:
            stream.on_end(stream, "lost")

    def interrupt(self):
        """Let what has come begin with the next step."""
        if self.is_lost:
            return
        if self.span is None:
            self.begin()
            return
        if len(self.running) >= self.slots or not self.waiting:
            return
        start, length, count, read = self.span
        passed = max(1, math.ceil((self.clock.now - start) / length - 1e-9))
        if passed < count:
            self.schedule(start, length, passed, read)

    def settle(self):
        """Count the tokens of the steps that have ended."""
        if self.span is None:
            return
        start, length, count, read = self.span
        passed = min(count, int((self.clock.now - start) / length + 1e-9))
        if passed and not read:
            self.generate(passed)
            self.schedule(start + passed * length, length, count - passed, 0)

    def generate(self, steps):
        for stream in self.running:
            stream.generated = min(stream.tokens, stream.generated + steps)
        self.memory.used += steps * len(self.running)

    def begin(self):
        """Begin the next steps."""
        self.admit()
        if not self.running:
            self.span = None
            return
        unread = sum(stream.unread for stream in self.running)
        read = min(self.timing.chunk, unread)
        context = self.memory.used
        length = self.timing.measure_step(
            running=len(self.running), context=context, read=read
        )
        # Without prompts to read all is known up to the next event.
        count = 1 if unread else min(map(self.count_steps, self.running))
        self.schedule(self.clock.now, length, count, read)

    def count_steps(self, stream):
        """Return the steps up to the next event of a stream."""
        left = 1 + -stream.generated % self.stride
        return min(left, stream.tokens - stream.generated)

    def schedule(self, start, length, count, read):
        self.span = (start, length, count, read)
        self.version += 1
        delay = max(0.0, start + count * length - self.clock.now)
        self.clock.call_later(delay, self.end, self.version)

    def end(self, version):
        """End the steps under way."""
        if version != self.version or self.span is None:
            return
        _, _, count, read = self.span
        self.span = None
        if read:
            self.read_prompts(read)
        else:
            self.generate(count)
            self.report(self.running)
        self.fit_memory()
        if self.span is None:
            self.begin()

    def read_prompts(self, read):
        """Read the oldest prompts; streams with none left make a token."""
        ready = []
        for stream in self.running:
            taken = min(read, stream.unread)
            stream.unread -= taken
            read -= taken
            if not stream.unread:
                if taken:
                    self.memory.keep(stream.parts[:-1])
                stream.generated += 1
                self.memory.used += 1
                ready.append(stream)
        self.report(ready)

    def report(self, streams):
        """Report the events that streams have completed."""
        for stream in list(streams):
            if stream not in self.running:
                continue
            if stream.is_finished:
                self.release(stream)
                stream.on_event(stream)
                stream.on_end(stream, "finished")
            elif stream.generated % self.stride == 1:
                stream.on_event(stream)

    def admit(self):
        """Give free slots to the streams that wait."""
        while self.waiting and len(self.running) < self.slots:
            stream = self.waiting[0]
            if self.running and not self.has_memory(stream):
                return
            self.waiting.popleft()
            self.running.append(stream)
            stream.unread = (
                self.memory.count_unread(stream.parts) + stream.generated
            )
            # Reading takes a step even when all parts are kept.
            stream.unread = max(1, stream.unread)
            self.memory.used += stream.count_own_tokens()
            self.memory.make_room()

    def has_memory(self, stream):
        needed = stream.count_own_tokens() + self.stride
        return self.memory.used + needed <= self.memory.capacity

    def fit_memory(self):
        """Put the newest streams back while the memory is too small."""
        while not self.memory.make_room() and len(self.running) > 1:
            stream = self.running[-1]
            self.release(stream)
            self.read_again += stream.count_own_tokens()
            self.waiting.appendleft(stream)

    def release(self, stream):
        self.running.remove(stream)
        self.memory.used -= stream.count_own_tokens()
