"""Watches, answered by streams of newline-separated JSON."""

import json

from .wire import build_event
from .wire import build_header
from .wire import read_bytes
from .wire import read_number

__all__ = ["Watches"]

MAX_EVENTS_PER_MESSAGE = 500


class Watch:
    """Open watch on a range of keys."""

    __slots__ = ("request", "number", "first", "end", "next_revision")

    def __init__(self, *, request, number, first, end, next_revision):
        self.request = request
        self.number = number
        self.first = first
        self.end = end
        self.next_revision = next_revision


class Watches:
    """All open watches on a keyspace."""

    def __init__(self, *, keyspace, faults, calls):
        self.keyspace = keyspace
        self.faults = faults
        self.calls = calls
        self.watches = {}
        self.last_id = 0

    def open(self, request, document):
        """Open a watch that streams its events as the answer to a request."""
        create_request = document.get("create_request") or {}
        start = read_number(create_request, "start_revision")
        self.last_id += 1
        watch = Watch(
            request=request,
            number=self.last_id,
            first=read_bytes(create_request, "key"),
            end=read_bytes(create_request, "range_end"),
            next_revision=start or self.keyspace.revision + 1,
        )
        request.setHeader("content-type", "application/json")
        self.watches[watch.number] = watch
        request.notifyFinish().addBoth(self._remove, watch.number)
        self._send(watch, {"created": True})
        if 0 < start <= self.keyspace.compacted_revision:
            self._cancel_compacted(watch)
            return
        self._send_new_events(watch)

    def notify_all(self):
        """Send new events to all watches."""
        if self.faults.silent_watches:
            return
        for watch in list(self.watches.values()):
            self._send_new_events(watch)

    def abort_all(self):
        """Abort the connections of all watches."""
        for watch in list(self.watches.values()):
            watch.request.is_disconnected = True
            watch.request.transport.abortConnection()

    def _remove(self, _, number):
        self.watches.pop(number, None)

    def _cancel_compacted(self, watch):
        oldest = str(self.keyspace.compacted_revision + 1)
        self._send(watch, {"canceled": True, "compact_revision": oldest})
        watch.request.finish()

    def _send_new_events(self, watch):
        if self.faults.silent_watches:
            return
        events = self.keyspace.list_events(
            watch.next_revision, watch.first, watch.end
        )
        watch.next_revision = max(
            watch.next_revision, self.keyspace.revision + 1
        )
        for index in range(0, len(events), MAX_EVENTS_PER_MESSAGE):
            message_events = events[index : index + MAX_EVENTS_PER_MESSAGE]
            self._send(
                watch, {"events": [build_event(e) for e in message_events]}
            )

    def _send(self, watch, result):
        if watch.request.is_disconnected:
            return
        message = {
            "header": build_header(self.keyspace.revision),
            "watch_id": str(watch.number),
            **result,
        }
        line = json.dumps({"result": message}).encode() + b"\n"
        self.calls.sent_bytes += len(line)
        watch.request.write(line)
