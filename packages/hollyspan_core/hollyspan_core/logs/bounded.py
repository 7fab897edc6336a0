"""Log lines that never block the process and stay within a volume."""

import collections
import json
import os

__all__ = ["BoundedLog"]

# Lines of one kind in a second: a busy gateway answers some hundred requests
# a second, and each may have two lines.
LINES_PER_KIND_S = 250
# Bytes that wait for a slow reader of the log; a few seconds of lines.
BUFFER_BYTES = 512 * 1024
# Seconds before a reader that did not read is tried again.
RETRY_S = 0.05
WINDOW_S = 1.0
OMITTED = "log:omitted"


class BoundedLog:
    """Writes eliot's messages to a descriptor without waiting for it.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking.
    reactor : twisted reactor

    Notes
    -----
    What is left out is counted by kind, and a line tells of it once a second,
    so no line is lost silently.
    """

    def __init__(self, *, descriptor, reactor):
        self.descriptor = descriptor
        self.reactor = reactor
        self.lines = collections.deque()
        self.size = 0
        self.counts = {}
        self.omitted = {}
        self.window = 0.0
        self.flush_call = None
        self.summary_call = None
        os.set_blocking(descriptor, False)

    def __call__(self, message):
        """Take one message of eliot."""
        kind = message.get("message_type") or message.get("action_type")
        now = self.reactor.seconds()
        if now - self.window >= WINDOW_S:
            self.window = now
            self.counts = {}
        count = self.counts.get(kind, 0) + 1
        self.counts[kind] = count
        if count > LINES_PER_KIND_S or self.size > BUFFER_BYTES:
            self.omit(kind)
            return
        self.append(message)

    def append(self, message):
        """Queue a line and write what the reader takes."""
        line = json.dumps(message, default=str).encode() + b"\n"
        self.lines.append(line)
        self.size += len(line)
        if self.flush_call is None:
            self.flush()

    def omit(self, kind):
        """Count a line that is left out."""
        self.omitted[kind] = self.omitted.get(kind, 0) + 1
        if self.summary_call is None:
            self.summary_call = self.reactor.callLater(
                WINDOW_S, self.summarize
            )

    def summarize(self):
        """Tell what was left out since the last time."""
        self.summary_call = None
        omitted, self.omitted = self.omitted, {}
        self.append(
            {
                "message_type": OMITTED,
                "timestamp": self.reactor.seconds(),
                "lines": omitted,
            }
        )

    def flush(self):
        """Write lines until the descriptor takes no more."""
        self.flush_call = None
        while self.lines:
            line = self.lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                self.retry_later()
                return
            except OSError:
                # The reader is gone; there is nowhere to tell it.
                self.lines.clear()
                self.size = 0
                return
            self.size -= written
            if written < len(line):
                self.lines[0] = line[written:]
            else:
                self.lines.popleft()

    def retry_later(self):
        self.flush_call = self.reactor.callLater(RETRY_S, self.flush)
