"""Single run of an item at an upstream."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import StreamStalledError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamReplacedError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_core.events import EventParser

from ..crashes import check_undelimited_end
from ..http1 import ITEM_RUN
from ..http1 import run_attempt
from ..online.answers import check_events_end
from ..online.answers import check_events_head
from ..online.answers import require_own_answer
from ..online.head import format_parts
from ..online.head import RequestHead
from ..online.stalls import EVENT_PAUSE_TIMEOUT_S
from .item import ItemResult

__all__ = ["ItemRun"]

# Interval between two decisions on a silent run, each of which may look
# through all upstreams.
SILENCE_RECHECK_INTERVAL_S = 0.2
# Time without an event after which a run is abandoned whatever else it
# receives: about that of a whole run, of which a job leaves time for a few.
EVENT_TIMEOUT_S = 5.0
# HTTP statuses of an upstream: the item can never succeed; this run failed.
UNPROCESSABLE_STATUS = 422
FAILED_STATUS = 500


class ItemRun:
    """Runs an item once, resuming after the last event received.

    Parameters
    ----------
    gateway : Gateway
    state : ItemState
    item : Item
        With its headers and its body.
    upstream : Upstream
    host : str
    max_failures : int
        Number of failed runs after which the item is given up.
    silences : Silences

    Attributes
    ----------
    is_preempted : bool
        True when the run was cancelled, for example to free its slot.
    started : float
        Start of the run, reactor seconds.
    initial_event_count : int
        Events received in earlier runs.
    heard_at : float
        Arrival of the last bytes, or the start of the run.
    first_event_seconds : float or None
        Time from the start to the first event.
    is_moving : bool
        True once it was abandoned for a free place elsewhere.
    """

    __slots__ = (
        "gateway",
        "state",
        "item",
        "upstream",
        "host",
        "max_failures",
        "reply",
        "parser",
        "deferred",
        "is_preempted",
        "started",
        "initial_event_count",
        "exposure",
        "progress_at",
        "silences",
        "heard_at",
        "first_event_seconds",
        "is_moving",
    )

    def __init__(
        self,
        *,
        gateway,
        state,
        item,
        upstream,
        host,
        max_failures,
        silences,
    ):
        self.gateway = gateway
        self.state = state
        self.item = item
        self.upstream = upstream
        self.host = host
        self.max_failures = max_failures
        self.reply = None
        self.parser = EventParser(on_event=self.handle_event)
        self.deferred = None
        self.is_preempted = False
        self.started = gateway.reactor.seconds()
        self.initial_event_count = len(state.event_data)
        self.exposure = None
        self.progress_at = self.started
        self.silences = silences
        self.heard_at = self.started
        self.first_event_seconds = None
        self.is_moving = False

    def start(self):
        """Start the run.

        Returns
        -------
        Deferred
            Fires when the run has ended, whatever its outcome.
        """
        self.deferred = defer.ensureDeferred(self.run())
        return self.deferred

    def cancel(self):
        """Cancel the run and keep the events received."""
        self.is_preempted = True
        if self.deferred is not None:
            self.deferred.cancel()

    def is_trial(self):
        """Return whether the run is to show that its part is sound."""
        return (
            self.exposure is not None
            and self.gateway.guard.trials.find(self.exposure) is not None
        )

    async def run(self):
        head = RequestHead(
            identifier=self.state.item.identifier,
            host=self.host,
            method=b"POST",
            target=self.state.item.path.encode(),
            deadline_seconds=None,
            resume_after=self.state.last_event,
            resumes=None,
            prompt_tokens=0,
            output_tokens=0,
            shared_parts=self.state.shared_parts,
            fingerprint=0,
            forwarded=self.gateway.workspaces.drop_credentials(
                self.gateway.dialect.encode_item_headers(self.item, self.host)
            ),
            workspace=self.state.job_state.job.workspace,
        )
        headers = self.gateway.dialect.encode_headers(
            head,
            upstream=self.upstream.entry.name,
            deadline_seconds=None,
            resume_after=self.state.last_event,
        )
        guard = self.gateway.guard
        try:
            with (
                self.gateway.batch_placement.track(self.upstream) as run,
                guard.track(
                    self.upstream,
                    request=self.state.item.identifier,
                    keys=self.state.shared_parts,
                ) as self.exposure,
                self.silences.track(self),
            ):
                self.exposure.can_move = self.silences.has_follower
                self.exposure.version = self.state.version
                error = await run_attempt(
                    self.gateway.pool,
                    address=self.upstream.entry.address,
                    method=head.method,
                    target=head.target,
                    headers=headers,
                    body=self.item.body,
                    on_reply=self.handle_reply,
                    on_data=self.gateway.placement.paces.watch(
                        run, self.handle_data, lambda: self.state.last_event
                    ),
                    first_byte_timeout=EVENT_PAUSE_TIMEOUT_S,
                    pause_timeout=EVENT_PAUSE_TIMEOUT_S,
                    may_abandon=self.may_abandon,
                    recheck_interval=SILENCE_RECHECK_INTERVAL_S,
                    on_start=self.exposure.note_start,
                    identifier=self.state.item.identifier,
                    read_identifier=self.gateway.dialect.read_identifier,
                    kind=ITEM_RUN,
                )
            error = self.check_version() or error
            if error is None:
                error = await check_undelimited_end(
                    self.gateway.pool, self.upstream, self.reply
                )
            if error is None:
                error = self.evaluate_reply()
            guard.note_result(self.exposure, error, self.reply)
            self.note_run(error)
        except InvalidRequestError as invalid:
            # The upstream has no part in it; the item is tried more rarely.
            self.state.lost_runs += 1
            self.log_failure(invalid)
            return
        except UpstreamUnavailableError as unavailable:
            error = unavailable
        if error is not None:
            self.report_failure(error)

    def note_run(self, error):
        """Note what the run tells of the upstream.

        An answer 500 tells that the item fails.
        """
        if self.reply is not None and self.reply.status == FAILED_STATUS:
            return
        self.gateway.placement.outliers.note_run(
            self.upstream,
            error,
            request=self.state.item.identifier,
            started_at=self.started,
        )

    def may_abandon(self):
        """Return whether to leave the upstream, which is silent."""
        return self.silences.must_leave(self)

    def move(self):
        """Break the silent run off for a free place elsewhere."""
        self.is_moving = True
        waited = self.gateway.reactor.seconds() - self.heard_at
        self.exposure.abort(
            StreamStalledError(f"no data received for {waited:.3f} s")
        )

    def handle_reply(self, status, headers):
        self.gateway.reach.note_data(
            self.upstream, opened_at=self.exposure.opened_at
        )
        reply = self.gateway.dialect.decode_reply(status, headers)
        require_own_answer(
            self.gateway, reply, sender=self.upstream.entry.name
        )
        self.gateway.placement.note_reply(self.upstream, reply)
        self.reply = reply
        error = check_events_head(reply, has_begun=False)
        if error is not None:
            raise error

    def handle_data(self, data):
        self.heard_at = self.gateway.reactor.seconds()
        self.gateway.guard.note_data(self.exposure)
        if self.reply.has_events:
            self.parser.feed(data)
        waited = self.gateway.reactor.seconds() - self.progress_at
        if waited > EVENT_TIMEOUT_S:
            raise StreamStalledError(f"no event received for {waited:.3f} s")

    def handle_event(self, number, data):
        if number is None:
            raise StreamMalformedError("an event has no id")
        last = self.state.last_event
        if last is not None and number != last + 1:
            raise StreamMalformedError(f"event {number} follows {last}")
        error = self.check_version()
        if error is not None:
            raise error
        self.progress_at = self.gateway.reactor.seconds()
        if self.first_event_seconds is None:
            self.first_event_seconds = self.progress_at - self.started
        self.state.last_event = number
        self.state.version = self.gateway.incarnations.find_run_version(
            self.exposure
        )
        self.state.event_data.append(data)

    def check_version(self):
        """Return an error if the text may have gone on at another version.

        What this run has added to it is dropped, with the rest.
        """
        try:
            self.gateway.incarnations.require_version(
                self.exposure, self.exposure.version
            )
        except UpstreamReplacedError as error:
            if self.has_new_events():
                self.state.discard_output()
            return error
        return None

    def evaluate_reply(self):
        """Evaluate the whole reply; return an error if a retry may succeed."""
        state = self.state
        status = self.reply.status
        if self.reply.has_events:
            error = check_events_end(
                self.reply,
                has_new_events=self.has_new_events(),
                has_partial_event=self.parser.has_partial_event,
            )
            if error is not None:
                return error
            self.set_result(is_done=True, output=b"\n".join(state.event_data))
            return None
        if self.reply.has_not_run:
            return UpstreamUnavailableError(f"refused with {status}")
        if status == UNPROCESSABLE_STATUS:
            self.set_result(is_done=False)
            return None
        if status == FAILED_STATUS:
            state.failures += 1
            state.discard_output()
            if state.failures >= self.max_failures:
                self.set_result(is_done=False)
                return None
        return UpstreamAnswerError(
            f"the upstream answered {status}", upstream_status=status
        )

    def has_new_events(self):
        """Return whether this run has brought an event."""
        return len(self.state.event_data) > self.initial_event_count

    def set_result(self, *, is_done, output=b""):
        self.state.result = ItemResult(
            identifier=self.state.item.identifier,
            is_done=is_done,
            output=output,
        )

    def report_failure(self, error):
        self.state.broken_at = self.upstream.entry.name
        self.state.was_silent = isinstance(error, StreamStalledError)
        self.state.has_moved = self.is_moving
        if self.has_new_events():
            self.state.lost_runs = 0
            self.state.silent_at = frozenset()
        elif self.state.was_silent:
            self.state.lost_runs += self.silences.speaks_against_text(self)
        elif is_lost_run(error):
            self.state.lost_runs += 1
        self.gateway.placement.note_failure(
            self.upstream, error, waited_since=self.started
        )
        self.log_failure(error)

    def log_failure(self, error):
        eliot.log_message(
            "item:run_failed",
            job=self.state.job_state.job.identifier,
            item=self.state.item.identifier,
            upstream=self.upstream.entry.name,
            code=error.code,
            reason=error.message,
            version=self.upstream.entry.version,
            last_event=self.state.last_event,
            failures=self.state.failures,
            parts=format_parts(self.state.shared_parts),
        )


def is_lost_run(error):
    """Return whether a run without an event may fail again in the same way.

    Refusals count at the upstream, and failures of the item by themselves.
    """
    if isinstance(error, UpstreamAnswerError):
        return error.upstream_status != FAILED_STATUS
    return not isinstance(error, UpstreamUnavailableError)
