"""One run of an item at an upstream."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_core.events import EventParser

from ..http1 import run_attempt
from ..online.head import RequestHead
from ..online.reply import check_identifier
from .item import ItemResult

__all__ = ["ItemRun"]

# Seconds without a byte after which a run is moved: forty times the usual
# pause between two events.
STALL_S = 1.0
# Statuses of an upstream: the item can never be done; this run has failed.
IMPOSSIBLE = 422
FAILED = 500


class ItemRun:
    """Runs an item once, from the last event that has come.

    Parameters
    ----------
    gateway : Gateway
    work : ItemWork
    upstream : Upstream
    host : str
    max_failures : int
        Failed runs after which the item is given up.

    Attributes
    ----------
    is_preempted : bool
        True when the run was stopped to make room.
    started : float
        Time of the reactor at its start.
    first_event : int
        Events that earlier runs had brought.
    """

    __slots__ = (
        "gateway",
        "work",
        "upstream",
        "host",
        "max_failures",
        "reply",
        "parser",
        "deferred",
        "is_preempted",
        "started",
        "first_event",
    )

    def __init__(self, *, gateway, work, upstream, host, max_failures):
        self.gateway = gateway
        self.work = work
        self.upstream = upstream
        self.host = host
        self.max_failures = max_failures
        self.reply = None
        self.parser = EventParser(on_event=self.take_event)
        self.deferred = None
        self.is_preempted = False
        self.started = gateway.reactor.seconds()
        self.first_event = len(work.texts)

    def start(self):
        """Begin the run.

        Returns
        -------
        Deferred
            Fires when the run has ended, however it ended.
        """
        self.deferred = defer.ensureDeferred(self.run())
        return self.deferred

    def cancel(self):
        """Stop the run; what has come is kept."""
        self.is_preempted = True
        if self.deferred is not None:
            self.deferred.cancel()

    async def run(self):
        head = RequestHead(
            identifier=self.work.item.identifier,
            host=self.host,
            method=b"POST",
            target=self.work.item.path.encode(),
            deadline_seconds=None,
            resume_after=self.work.last_event,
            prompt_tokens=0,
            output_tokens=0,
            forwarded=self.gateway.dialect.encode_item_headers(
                self.work.item, self.host
            ),
        )
        headers = self.gateway.dialect.encode_headers(
            head,
            upstream=self.upstream.entry.name,
            deadline_seconds=None,
            resume_after=self.work.last_event,
        )
        try:
            with self.gateway.batch_placement.hold(self.upstream):
                failure = await run_attempt(
                    self.gateway.pool,
                    address=self.upstream.entry.address,
                    method=head.method,
                    target=head.target,
                    headers=headers,
                    body=self.work.item.body,
                    on_reply=self.take_reply,
                    on_data=self.take_data,
                    first_seconds=STALL_S,
                    pause_seconds=STALL_S,
                )
            if failure is None:
                failure = self.judge()
        except UpstreamUnavailableError as unsent:
            failure = unsent
        if failure is not None:
            self.report(failure)

    def take_reply(self, status, headers):
        reply = self.gateway.dialect.decode_reply(status, headers)
        check_identifier(reply, self.work.item.identifier)
        self.gateway.placement.note_reply(self.upstream, reply)
        self.reply = reply

    def take_data(self, data):
        if self.reply.is_success:
            self.parser.feed(data)

    def take_event(self, number, data):
        if number is None:
            raise StreamMalformedError("an event has no id")
        last = self.work.last_event
        if last is not None and number != last + 1:
            raise StreamMalformedError(f"event {number} follows {last}")
        self.work.last_event = number
        self.work.texts.append(data)

    def judge(self):
        """Take the whole answer; return a failure that may pass, or None."""
        work = self.work
        status = self.reply.status
        if self.reply.is_success:
            if self.parser.rest:
                return StreamLostError("the stream ended within an event")
            self.settle(is_done=True, output=b"\n".join(work.texts))
            return None
        if self.reply.has_not_run:
            return UpstreamUnavailableError(f"refused with {status}")
        if status == IMPOSSIBLE:
            self.settle(is_done=False)
            return None
        if status == FAILED:
            work.failures += 1
            work.forget_output()
            if work.failures >= self.max_failures:
                self.settle(is_done=False)
                return None
        return StreamLostError(f"the upstream answered {status}")

    def settle(self, *, is_done, output=b""):
        self.work.result = ItemResult(
            identifier=self.work.item.identifier,
            is_done=is_done,
            output=output,
        )

    def report(self, failure):
        self.gateway.placement.note_failure(self.upstream, failure)
        eliot.log_message(
            "item:run_failed",
            job=self.work.job.job.identifier,
            item=self.work.item.identifier,
            upstream=self.upstream.entry.name,
            code=failure.code,
            reason=failure.message,
            last_event=self.work.last_event,
            failures=self.work.failures,
        )
