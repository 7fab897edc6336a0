"""Model of an upstream: slots, a queue, prompts, events and faults."""

import collections

from hollyspan_core.errors import StreamLostError

from ..memory import build_events

__all__ = ["Engine", "ONE_WAY_S", "Run"]

ONE_WAY_S = 0.001
# Time from the start of a fatal request to the end of its upstream.
FATAL_DELAY_S = 0.1
# Prompts of streams are short: gateways move them after 0.2 s.
STREAM_PROMPT_S = 0.05
QUEUE_LENGTH = 12
# Last event of an answer before its fault.
FAULTY_EVENTS = 3
REFUSED_STATUS = 503
MISDIRECTED_STATUS = 421


class Run:
    """One request at an upstream.

    Parameters
    ----------
    process : GatewayProcess
        The sender.
    connection : MemoryConnection
    sent_at : float

    Attributes
    ----------
    name : str
        The same for a request that comes again.
    parts : tuple of int
    """

    __slots__ = (
        "process",
        "connection",
        "sent_at",
        "identifier",
        "name",
        "upstream",
        "parts",
        "next_event",
        "is_open",
    )

    def __init__(self, *, process, connection, sent_at):
        headers = connection.headers
        self.process = process
        self.connection = connection
        self.sent_at = sent_at
        self.identifier = headers[b"id"].decode()
        self.name = self.identifier.partition("~")[0]
        self.upstream = headers[b"upstream"].decode()
        self.parts = tuple(map(int, headers[b"parts"].split()))
        resume = headers[b"resume"]
        self.next_event = 1 if resume == b"None" else int(resume) + 1
        self.is_open = True

    def deliver(self, function, *arguments):
        """Call a function of the sender's connection after the way back."""

        def arrive():
            if not self.connection.is_cancelled:
                function(*arguments)

        self.process.clock.callLater(ONE_WAY_S, arrive)

    def fail(self, reason):
        """Break the connection off."""
        self.is_open = False
        self.deliver(
            self.connection.exchange.on_failure, StreamLostError(reason)
        )


class Engine:
    """An upstream process.

    Parameters
    ----------
    world : World
    name : str
    port : int
    version : str

    Attributes
    ----------
    running : list of Run
    queue : deque of Run
    refuses, is_silent : bool
    is_leaving : bool
        True once it has announced its shutdown.
    slowness : float
        Factor of the time until an answer begins.
    answer_fault : str or None
        ``broken`` (connections close in the midst of answers), ``cut``
        (answers end within an event) or ``empty`` (they have no events).
    """

    def __init__(self, *, world, name, port, version):
        self.world = world
        self.name = name
        self.port = port
        self.version = version
        self.slots = world.scenario.slots
        self.running = []
        self.queue = collections.deque()
        self.held = []
        self.unread = []
        self.is_alive = True
        self.refuses = False
        self.is_silent = False
        self.is_leaving = False
        self.slowness = 1.0
        self.answer_fault = None
        self.started_at_ms = int(world.clock.now * 1000)

    def receive(self, run):
        """Queue or refuse a request."""
        if not run.is_open:
            return
        if self.is_silent:
            self.unread.append(run)
            return
        if run.upstream != self.name:
            self.refuse(run, MISDIRECTED_STATUS)
        elif self.refuses or len(self.queue) >= QUEUE_LENGTH:
            self.refuse(run, REFUSED_STATUS)
        else:
            self.queue.append(run)
            self.admit()

    def list_headers(self, run):
        load = f"{len(self.running)},{len(self.queue)},{self.slots}"
        headers = [(b"id", run.identifier.encode()), (b"load", load.encode())]
        if self.is_leaving:
            headers.append((b"leaving", b"1"))
        return headers

    def refuse(self, run, status):
        run.is_open = False
        headers = [*self.list_headers(run), (b"not-run", b"1")]
        run.deliver(lambda: run.connection.answer(status, headers=headers))

    def admit(self):
        """Start queued requests while slots are free."""
        while self.queue and len(self.running) < self.slots:
            run = self.queue.popleft()
            self.running.append(run)
            self.world.note_run(self, run)
            if self.world.is_fatal(run):
                self.world.clock.callLater(
                    FATAL_DELAY_S, self.end_by_fatal, run
                )
            else:
                delay = self.find_prompt_seconds(run) * self.slowness
                self.world.clock.callLater(delay, self.begin, run)

    def find_prompt_seconds(self, run):
        """Return the time until the answer to a request begins."""
        seconds = self.world.scenario.prompt_seconds
        if run.process.is_worker:
            return seconds
        return min(seconds, STREAM_PROMPT_S)

    def is_current(self, run):
        return self.is_alive and run.is_open and run in self.running

    def end_by_fatal(self, run):
        if self.is_current(run):
            self.world.end_by_fatal(self, run)

    def begin(self, run):
        if not self.is_current(run):
            return
        if self.is_silent:
            self.held.append(lambda: self.begin(run))
            return
        headers = self.list_headers(run)
        is_empty = self.answer_fault == "empty"
        if is_empty:
            # One that tells its end would be whole.
            headers.append((b"undelimited", b"1"))
        run.deliver(run.connection.exchange.on_head, 200, headers)
        if is_empty:
            self.send_faulty_end(run)
        else:
            self.send_event(run)

    def send_event(self, run):
        if not self.is_current(run):
            return
        if self.is_silent:
            self.held.append(lambda: self.send_event(run))
            return
        number = run.next_event
        count = self.world.find_length(run.name)
        if number > FAULTY_EVENTS and self.answer_fault in ("broken", "cut"):
            self.send_faulty_end(run)
            return
        if number <= count:
            text = f"{self.version}.{run.name}."
            run.next_event += 1
            run.deliver(
                run.connection.exchange.on_data,
                build_events(number, number, text=text),
            )
        if run.next_event > count:
            run.is_open = False
            run.deliver(run.connection.end)
            self.remove(run)
            return
        self.world.clock.callLater(
            self.world.scenario.event_seconds, self.send_event, run
        )

    def send_faulty_end(self, run):
        """End an answer as the current fault has it."""
        if self.answer_fault == "broken":
            run.fail("connection closed")
        else:
            run.is_open = False
            if self.answer_fault == "cut":
                run.deliver(run.connection.exchange.on_data, b"id: ")
            run.deliver(run.connection.end)
        self.remove(run)

    def cancel(self, run):
        """Free the slot of a request whose sender has closed it."""
        run.is_open = False
        self.remove(run)

    def remove(self, run):
        if run in self.running:
            self.running.remove(run)
        elif run in self.queue:
            self.queue.remove(run)
        if self.is_alive and not self.is_silent:
            self.admit()

    def break_connections(self, reason):
        """Break all connections off."""
        runs = [*self.running, *self.queue, *self.unread]
        self.running.clear()
        self.queue.clear()
        self.unread.clear()
        for run in runs:
            if run.is_open:
                run.fail(reason)

    def resume(self):
        """Go on after a silence."""
        self.is_silent = False
        held, self.held = self.held, []
        unread, self.unread = self.unread, []
        for call in held:
            call()
        for run in unread:
            self.receive(run)
        if self.is_alive:
            self.admit()

    def end(self):
        """End the process."""
        self.is_alive = False
        self.held.clear()
        self.break_connections("connection closed")
