"""A simulated engine with continuous batching."""

from collections import deque
import math

from hollyspan_gateway.upstreams import LoadReport

from .memory import TokenMemory

__all__ = ["EngineModel"]

# Length of a step while the engine is cold, as a multiple of the usual one.
COLD_FACTOR = 20.0


class EngineModel:
    """Engine that runs streams in slots, in their order of arrival.

    Parameters
    ----------
    clock : SimulationClock
    name, data_centre : str
    timing : EngineTiming
    slots : int, optional
        Maximum number of streams that run at the same time.
    max_waiting : int, optional
        Maximum number of queued streams; further ones are refused.
    memory_tokens : int, optional
        Capacity of the memory for prompts and outputs, in tokens.
    tokens_per_event : int, optional
        Tokens between consecutive events; the first event is sent with the
        first token.
    cold_steps : int, optional
        Number of steps after its start that are slow.

    Attributes
    ----------
    running : list of EngineStream
    waiting : deque of EngineStream
    contention : float
        How many times as long work takes because of what else runs on the
        machine.
    tells_slowness : bool
        Whether its load reports say so.
    started_at : float
        Time of its start, seconds.
    generated : int
        Tokens generated since then.
    recomputed_tokens : int
        Tokens to prefill again after preemptions for lack of memory.
    """

    def __init__(
        self,
        *,
        clock,
        name,
        data_centre,
        timing,
        slots=8,
        max_waiting=24,
        memory_tokens=147_261,
        tokens_per_event=10,
        cold_steps=0,
    ):
        self.clock = clock
        self.name = name
        self.data_centre = data_centre
        self.timing = timing
        self.slots = slots
        self.max_waiting = max_waiting
        self.tokens_per_event = tokens_per_event
        self.cold_steps = cold_steps
        self.started_at = clock.now
        self.generated = 0
        self.memory = TokenMemory(capacity=memory_tokens)
        self.running = []
        self.waiting = deque()
        self.is_lost = False
        self.recomputed_tokens = 0
        self.contention = 1.0
        self.tells_slowness = False
        # Steps in progress: start, length of a step, number of steps and
        # prefilled tokens.
        self.current_steps = None
        self.schedule_version = 0

    @property
    def load(self):
        """Numbers of running and waiting streams."""
        return len(self.running), len(self.waiting)

    def report_load(self):
        """Return the load as told with an answer."""
        running, waiting = self.load
        return LoadReport(
            running=running,
            waiting=waiting,
            slots=self.slots,
            slowness=self.contention if self.tells_slowness else None,
        )

    def set_contention(self, contention):
        """Set how long the steps take that begin from now on."""
        self.contention = contention

    def submit(self, stream):
        """Queue a stream, or refuse it."""
        if self.is_lost:
            stream.on_end(stream, "lost")
        elif len(self.waiting) >= self.max_waiting:
            stream.on_end(stream, "refused")
        else:
            self.waiting.append(stream)
            self.clock.call_later(self.timing.setup, self.interrupt)

    def remove(self, stream):
        """Stop a stream whose client has disconnected."""
        if stream in self.waiting:
            self.waiting.remove(stream)
        elif stream in self.running:
            self.apply_completed_steps()
            if stream in self.running:
                self.release(stream)
            self.interrupt()

    def lose(self):
        """Fail permanently and end all streams."""
        self.is_lost = True
        streams = [*self.running, *self.waiting]
        self.running, self.waiting = [], deque()
        self.current_steps = None
        self.schedule_version += 1
        for stream in streams:
            stream.on_end(stream, "lost")

    def interrupt(self):
        """End the scheduled steps early so that a waiting stream can start."""
        if self.is_lost:
            return
        if self.current_steps is None:
            self.begin_steps()
            return
        if len(self.running) >= self.slots or not self.waiting:
            return
        start, length, count, prefilled = self.current_steps
        completed = max(1, math.ceil((self.clock.now - start) / length - 1e-9))
        if completed < count:
            self.schedule(start, length, completed, prefilled)

    def apply_completed_steps(self):
        """Generate the tokens of the scheduled steps completed so far."""
        if self.current_steps is None:
            return
        start, length, count, prefilled = self.current_steps
        completed = min(count, int((self.clock.now - start) / length + 1e-9))
        if completed and not prefilled:
            self.generate(completed)
            self.schedule(
                start + completed * length, length, count - completed, 0
            )

    def generate(self, steps):
        self.cold_steps -= steps
        self.generated += steps * len(self.running)
        for stream in self.running:
            stream.generated = min(stream.tokens, stream.generated + steps)
        self.memory.used += steps * len(self.running)

    def begin_steps(self):
        """Admit streams and schedule the next steps."""
        self.admit()
        if not self.running:
            self.current_steps = None
            return
        prefill_tokens = sum(stream.prefill_tokens for stream in self.running)
        prefilled = min(self.timing.prefill_chunk, prefill_tokens)
        context = self.memory.used
        length = self.timing.compute_step_seconds(
            running=len(self.running), context=context, prefilled=prefilled
        )
        length *= self.contention
        if self.cold_steps > 0:
            length *= COLD_FACTOR
        # Without prefill nothing changes until the next event of a stream, so
        # that all steps up to it are scheduled at once.
        count = (
            1 if prefill_tokens else min(map(self.count_steps, self.running))
        )
        self.schedule(self.clock.now, length, count, prefilled)

    def count_steps(self, stream):
        """Return the number of steps to the next event of a stream."""
        left = 1 + -stream.generated % self.tokens_per_event
        return min(left, stream.tokens - stream.generated)

    def schedule(self, start, length, count, prefilled):
        self.current_steps = (start, length, count, prefilled)
        self.schedule_version += 1
        delay = max(0.0, start + count * length - self.clock.now)
        self.clock.call_later(delay, self.end_steps, self.schedule_version)

    def end_steps(self, schedule_version):
        """Complete the steps in progress, unless they were rescheduled."""
        if (
            schedule_version != self.schedule_version
            or self.current_steps is None
        ):
            return
        _, _, count, prefilled = self.current_steps
        self.current_steps = None
        if prefilled:
            self.prefill_prompts(prefilled)
        else:
            self.generate(count)
            self.report(self.running)
        self.preempt_for_memory()
        if self.current_steps is None:
            self.begin_steps()

    def prefill_prompts(self, prefilled):
        """Prefill prompts, the oldest first.

        Streams without tokens left to prefill generate one token.
        """
        self.cold_steps -= 1
        ready = []
        for stream in self.running:
            prefilled_here = min(prefilled, stream.prefill_tokens)
            stream.prefill_tokens -= prefilled_here
            prefilled -= prefilled_here
            if not stream.prefill_tokens:
                if prefilled_here:
                    self.memory.cache_parts(stream.parts[:-1])
                stream.generated += 1
                self.memory.used += 1
                ready.append(stream)
        self.report(ready)

    def report(self, streams):
        """Send the events that streams have completed."""
        for stream in list(streams):
            if stream not in self.running:
                continue
            if stream.is_finished:
                self.release(stream)
                stream.on_event(stream)
                stream.on_end(stream, "finished")
            elif stream.generated % self.tokens_per_event == 1:
                stream.on_event(stream)

    def admit(self):
        """Admit waiting streams to free slots."""
        while self.waiting and len(self.running) < self.slots:
            stream = self.waiting[0]
            if self.running and not self.has_memory(stream):
                return
            self.waiting.popleft()
            self.running.append(stream)
            stream.prefill_tokens = (
                self.memory.count_prefill_tokens(stream.parts)
                + stream.generated
            )
            # Prefill takes a step even when all parts are cached.
            stream.prefill_tokens = max(1, stream.prefill_tokens)
            self.memory.used += stream.count_own_tokens()
            self.memory.evict_to_fit()

    def has_memory(self, stream):
        needed = stream.count_own_tokens() + self.tokens_per_event
        return self.memory.used + needed <= self.memory.capacity

    def preempt_for_memory(self):
        """Preempt the newest streams while the memory is exceeded."""
        while not self.memory.evict_to_fit() and len(self.running) > 1:
            stream = self.running[-1]
            self.release(stream)
            self.recomputed_tokens += stream.count_own_tokens()
            self.waiting.appendleft(stream)

    def release(self, stream):
        self.running.remove(stream)
        self.memory.used -= stream.count_own_tokens()
