"""Non-blocking log output with a bounded volume."""

import collections
import json
import os

__all__ = ["BoundedLog"]

# A busy gateway answers some hundred requests per second, and each may write
# two lines.
MAX_LINES_PER_TYPE_PER_S = 250
# A few seconds of lines, for a slow reader of the log.
MAX_BUFFERED_BYTES = 512 * 1024
# Delay before the next write to a reader that has fallen behind.
WRITE_RETRY_INTERVAL_S = 0.05
RATE_WINDOW_S = 1.0
OMITTED_MESSAGE_TYPE = "log:omitted"


class BoundedLog:
    """Destination that writes eliot's messages without blocking.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
    reactor : twisted reactor

    Notes
    -----
    Omitted lines are counted by message type, and the counts are logged once
    a second, so that no line is lost silently.
    """

    def __init__(self, *, descriptor, reactor):
        self.descriptor = descriptor
        self.reactor = reactor
        self.lines = collections.deque()
        self.buffered_bytes = 0
        self.counts_by_type = {}
        self.omitted_by_type = {}
        self.window_start = 0.0
        self.flush_call = None
        self.summary_call = None
        os.set_blocking(descriptor, False)

    def __call__(self, message):
        """Write or omit one message of eliot."""
        message_type = message.get("message_type") or message.get(
            "action_type"
        )
        now = self.reactor.seconds()
        if now - self.window_start >= RATE_WINDOW_S:
            self.window_start = now
            self.counts_by_type = {}
        count = self.counts_by_type.get(message_type, 0) + 1
        self.counts_by_type[message_type] = count
        if (
            count > MAX_LINES_PER_TYPE_PER_S
            or self.buffered_bytes > MAX_BUFFERED_BYTES
        ):
            self.omit(message_type)
            return
        self.append(message)

    def append(self, message):
        """Queue a line and write as much as the descriptor accepts."""
        line = json.dumps(message, default=str).encode() + b"\n"
        self.lines.append(line)
        self.buffered_bytes += len(line)
        if self.flush_call is None:
            self.flush()

    def omit(self, message_type):
        """Count an omitted line."""
        self.omitted_by_type[message_type] = (
            self.omitted_by_type.get(message_type, 0) + 1
        )
        if self.summary_call is None:
            self.summary_call = self.reactor.callLater(
                RATE_WINDOW_S, self.summarize
            )

    def summarize(self):
        """Log the lines omitted since the last summary."""
        self.summary_call = None
        omitted_by_type, self.omitted_by_type = self.omitted_by_type, {}
        self.append(
            {
                "message_type": OMITTED_MESSAGE_TYPE,
                "timestamp": self.reactor.seconds(),
                "lines": omitted_by_type,
            }
        )

    def flush(self):
        """Write lines until the descriptor accepts no more."""
        self.flush_call = None
        while self.lines:
            line = self.lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                self.retry_later()
                return
            except OSError:
                # The reader has closed its end, so the error cannot be logged.
                self.lines.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.lines[0] = line[written:]
            else:
                self.lines.popleft()

    def retry_later(self):
        """Schedule the next write."""
        self.flush_call = self.reactor.callLater(
            WRITE_RETRY_INTERVAL_S, self.flush
        )
