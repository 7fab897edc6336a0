"""Log line when a turn of the event loop takes long."""

import contextlib
import signal
import time

import eliot

__all__ = ["LoopWatch", "open_loop_watch"]

# Interval between checks, and the delay of one from which on the loop counts
# as held: heartbeats are missed soon after.
CHECK_INTERVAL_S = 0.25
MIN_HELD_S = 0.5
# Shortest time between two log lines.
LOG_INTERVAL_S = 5.0
# Functions in a log line, the innermost first, and frames that are searched
# for the connection whose bytes are read.
MAX_FUNCTIONS = 6
MAX_FRAMES = 40


class LoopWatch:
    """Tells how long the event loop was held, and by what.

    Parameters
    ----------
    reactor : twisted reactor
    set_alarm : callable, optional
        Called with the seconds after which `note_frame` is to be called, also
        while the loop is held; 0 for never.
    read_cpu : callable, optional
        Returns the processor time of this process in seconds.

    Attributes
    ----------
    due : float
        Time at which the next check is due, reactor seconds.
    running : dict
        What ran when the loop was held, empty if it was not.
    held : list of float
        Seconds for which the loop was held, since the last log line.

    Notes
    -----
    Processor time far below the seconds tells that the process was stopped,
    or that others had the processor.
    """

    __slots__ = (
        "reactor",
        "set_alarm",
        "read_cpu",
        "due",
        "cpu",
        "running",
        "held",
        "next_log_at",
        "call",
    )

    def __init__(self, *, reactor, set_alarm=None, read_cpu=time.process_time):
        self.reactor = reactor
        self.set_alarm = set_alarm or (lambda seconds: None)
        self.read_cpu = read_cpu
        self.due = reactor.seconds()
        self.cpu = read_cpu()
        self.running = {}
        self.held = []
        self.next_log_at = 0.0
        self.call = None

    def start(self):
        """Begin to check the loop."""
        self.due = self.reactor.seconds()
        self.cpu = self.read_cpu()
        self.check()

    def stop(self):
        """End the checks."""
        self.set_alarm(0.0)
        if self.call is not None:
            self.call.cancel()
            self.call = None

    def check(self):
        """Log a delay of this check, and schedule the next one."""
        now = self.reactor.seconds()
        delay, cpu = now - self.due, self.read_cpu()
        if delay >= MIN_HELD_S:
            self.held.append(delay)
            if now >= self.next_log_at:
                self.next_log_at = now + LOG_INTERVAL_S
                eliot.log_message(
                    "loop:held",
                    seconds=round(delay, 3),
                    cpu_seconds=round(cpu - self.cpu, 3),
                    times=len(self.held),
                    longest=round(max(self.held), 3),
                    **self.running,
                )
                self.held = []
        self.running = {}
        self.cpu = cpu
        self.due = now + CHECK_INTERVAL_S
        self.set_alarm(CHECK_INTERVAL_S + MIN_HELD_S)
        self.call = self.reactor.callLater(CHECK_INTERVAL_S, self.check)

    def note_frame(self, number, frame):
        """Note what runs, as a handler of the alarm's signal.

        It runs between two steps of whatever holds the loop, which would get
        an error raised here.
        """
        try:
            self.running = describe_frame(frame)
        except Exception as error:
            self.running = {"functions": [], "reason": repr(error)}


def describe_frame(frame):
    """Return the innermost functions, and whose bytes they read.

    Parameters
    ----------
    frame : frame or None

    Returns
    -------
    dict
        Fields of a log line.
    """
    functions, protocol, sender = [], None, None
    for _ in range(MAX_FRAMES):
        if frame is None or sender is not None:
            break
        code = frame.f_code
        module = frame.f_globals.get("__name__")
        if len(functions) < MAX_FUNCTIONS:
            functions.append(f"{module}:{code.co_name}:{frame.f_lineno}")
        if code.co_name in READERS:
            owner = frame.f_locals.get("self")
            protocol = type(owner).__name__
            sender = READERS[code.co_name](frame, owner)
        frame = frame.f_back
    return {"functions": functions, "protocol": protocol, "sender": sender}


def find_connection_sender(frame, protocol):
    """Return the address from which a protocol receives, or None."""
    get_peer = getattr(getattr(protocol, "transport", None), "getPeer", None)
    if get_peer is None:
        return None
    peer = get_peer()
    return f"{getattr(peer, 'host', peer)}:{getattr(peer, 'port', '')}"


def find_datagram_sender(frame, protocol):
    """Return the address of the datagram that is read, or None.

    A port of datagrams has no peer: the address is an argument.
    """
    names = frame.f_code.co_varnames[: frame.f_code.co_argcount]
    address = frame.f_locals.get(names[-1]) if names else None
    if type(address) is not tuple:
        return None
    return ":".join(map(str, address))


# Functions that find the sender of the bytes that are read, by the name of
# the method that reads them.
READERS = {
    "dataReceived": find_connection_sender,
    "datagramReceived": find_datagram_sender,
}


@contextlib.contextmanager
def open_loop_watch(reactor):
    """Watch the event loop of this process within a context.

    Notes
    -----
    Uses the process's alarm signal, since a timer of the loop cannot see what
    holds it. The alarm is put off at each check, and comes only while the
    loop is held.
    """
    watch = LoopWatch(
        reactor=reactor,
        set_alarm=lambda seconds: signal.setitimer(
            signal.ITIMER_REAL, seconds
        ),
    )
    previous = signal.signal(signal.SIGALRM, watch.note_frame)
    watch.start()
    try:
        yield watch
    finally:
        watch.stop()
        signal.signal(signal.SIGALRM, previous)
