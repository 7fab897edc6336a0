"""Watches: long answers of newline-separated JSON."""

import json

from .wire import build_event
from .wire import build_header
from .wire import read_bytes
from .wire import read_number

__all__ = ["Watches"]

# Events in one message of a watch.
MESSAGE_EVENTS = 500


class Watch:
    """One open watch."""

    __slots__ = ("request", "number", "first", "end", "next_revision")

    def __init__(self, *, request, number, first, end, next_revision):
        self.request = request
        self.number = number
        self.first = first
        self.end = end
        self.next_revision = next_revision


class Watches:
    """All open watches over a keyspace."""

    def __init__(self, *, keyspace, faults, calls):
        self.keyspace = keyspace
        self.faults = faults
        self.calls = calls
        self.watches = {}
        self.last = 0

    def open(self, request, document):
        """Start a watch as the answer to a request."""
        wanted = document.get("create_request") or {}
        start = read_number(wanted, "start_revision")
        self.last += 1
        watch = Watch(
            request=request,
            number=self.last,
            first=read_bytes(wanted, "key"),
            end=read_bytes(wanted, "range_end"),
            next_revision=start or self.keyspace.revision + 1,
        )
        request.setHeader("content-type", "application/json")
        self.watches[watch.number] = watch
        request.notifyFinish().addBoth(self._forget, watch.number)
        self._send(watch, {"created": True})
        if 0 < start <= self.keyspace.compacted:
            self._cancel_compacted(watch)
            return
        self._tell(watch)

    def tell_all(self):
        """Send what is new to every watch."""
        if self.faults.silent_watches:
            return
        for watch in list(self.watches.values()):
            self._tell(watch)

    def break_all(self):
        """Close the connections of all watches."""
        for watch in list(self.watches.values()):
            watch.request.is_gone = True
            watch.request.transport.abortConnection()

    def _forget(self, _, number):
        self.watches.pop(number, None)

    def _cancel_compacted(self, watch):
        oldest = str(self.keyspace.compacted + 1)
        self._send(watch, {"canceled": True, "compact_revision": oldest})
        watch.request.finish()

    def _tell(self, watch):
        if self.faults.silent_watches:
            return
        events = self.keyspace.list_events(
            watch.next_revision, watch.first, watch.end
        )
        watch.next_revision = max(
            watch.next_revision, self.keyspace.revision + 1
        )
        for index in range(0, len(events), MESSAGE_EVENTS):
            part = events[index : index + MESSAGE_EVENTS]
            self._send(watch, {"events": [build_event(e) for e in part]})

    def _send(self, watch, result):
        if watch.request.is_gone:
            return
        message = {
            "header": build_header(self.keyspace.revision),
            "watch_id": str(watch.number),
            **result,
        }
        line = json.dumps({"result": message}).encode() + b"\n"
        self.calls.sent_bytes += len(line)
        watch.request.write(line)
