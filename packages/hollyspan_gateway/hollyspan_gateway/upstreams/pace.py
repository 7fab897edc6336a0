"""Paces of upstreams that have started or recovered."""

import collections

import eliot

from hollyspan_core.errors import StreamStalledError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_core.errors import UpstreamUnreachableError
from hollyspan_policy.pace import choose_pace
from hollyspan_policy.pace import choose_paced
from hollyspan_policy.pace import is_minority
from hollyspan_policy.pace import judge_first_event
from hollyspan_policy.pace import judge_pause
from hollyspan_policy.pace import PaceAnswer
from hollyspan_policy.pace import TypicalTimes
from hollyspan_policy.pace import Verdict

from ..routes import RouteKind
from .pace_report import PaceReport
from .timed_run import RunKind
from .timed_run import TimedRun

__all__ = ["Paces", "build_pace_report"]

# Time for which peers are told that a pace has ended.
END_ANNOUNCEMENT_S = 15.0
# An upstream that has answered anybody within this time has not failed: the
# link of this gateway may have.
RECENT_ANSWER_S = 0.3


class Paces:
    """Notes how upstreams answer, and how much each may get.

    Parameters
    ----------
    reactor : twisted reactor
    directory : Directory
    region : int
        Hash of the name of this gateway's region.
    is_enabled : bool
        Whether this deployment paces upstreams. Without it, none has a pace,
        and what peers tell of paces is ignored.
    on_change : callable
        Called with an Upstream whose pace has changed in an answer.
    step : callable, optional
        See `hollyspan_policy.pace.choose_pace`.

    Attributes
    ----------
    typical : dict
        TypicalTimes of the upstreams without a pace, by service and RunKind.
    changes : collections.Counter
        Changes of paces by their reason.

    Notes
    -----
    A pace begins at each gateway by itself, when an upstream is listed or has
    failed. What answers show of it travels to the other gateways with the
    upstream's load; the newest answer holds.
    """

    __slots__ = (
        "reactor",
        "directory",
        "region",
        "is_enabled",
        "on_change",
        "step",
        "typical",
        "changes",
    )

    def __init__(
        self,
        *,
        reactor,
        directory,
        region,
        is_enabled,
        on_change,
        step=choose_pace,
    ):
        self.reactor = reactor
        self.directory = directory
        self.region = region
        self.is_enabled = is_enabled
        self.on_change = on_change
        self.step = step
        self.typical = {}
        self.changes = collections.Counter()

    def find_allowed(self, service):
        """Return the paces of a service's upstreams, and begin what is due.

        Parameters
        ----------
        service : str

        Returns
        -------
        dict
            Requests that may be in flight from all gateways together, by
            Upstream; those without a pace are not in it.
        """
        if not self.is_enabled:
            return {}
        now = self.reactor.seconds()
        records = {
            upstream: upstream.pace
            for upstream in self.directory.list_usable(service)
        }
        for upstream in choose_paced(records, now=now):
            was = upstream.pace.allowed
            upstream.pace.begin(now=now)
            self.log(upstream, was, reason="begun")
        for record in records.values():
            record.settle(now=now)
        paced = {
            upstream: record.allowed
            for upstream, record in records.items()
            if record.allowed is not None
        }
        return paced if is_minority(len(paced), len(records)) else {}

    def has_room(self, upstream):
        """Return whether a pace that is respected allows a request."""
        if upstream.pace.allowed is None:
            return True
        allowed = self.find_allowed(upstream.entry.service).get(upstream)
        return allowed is None or count_in_flight(upstream) < allowed

    def note_failure(self, upstream, error, *, started_at):
        """Note a send that an upstream has refused, or that it never answered.

        Parameters
        ----------
        upstream : Upstream
        error : HollyspanError
        started_at : float
            Start of the send, reactor seconds.

        Notes
        -----
        A connection that breaks is left out, since the link may be the cause.
        So are upstreams of other regions: this gateway does not hear at once
        whether they answer others.
        """
        if not self.is_enabled:
            return
        is_unanswered = isinstance(
            error, (UpstreamUnreachableError, StreamStalledError)
        )
        if is_unanswered and upstream.region == self.region:
            last_sign = max(upstream.reported_at, upstream.link.alive_at)
            if self.reactor.seconds() - last_sign >= RECENT_ANSWER_S:
                upstream.pace.interrupt(now=self.reactor.seconds())
        elif not is_unanswered and isinstance(error, UpstreamUnavailableError):
            self.apply_verdict(
                upstream, Verdict.REFUSED, started_at=started_at
            )

    def note_fault(self, upstream, *, started_at):
        """Note a run that an upstream has failed, by evidence of its own."""
        self.apply_verdict(upstream, Verdict.FAILED, started_at=started_at)

    def note_set_aside(self, upstream):
        """Begin a pace at all gateways for an upstream that is set aside.

        Notes
        -----
        The others may have seen too few failures each to set it aside, and
        would all send to it once it seems idle.
        """
        if not self.is_enabled:
            return
        was = upstream.pace.allowed
        upstream.pace.begin_for_all(now=self.reactor.seconds())
        self.log(upstream, was, reason="set_aside")
        self.on_change(upstream)

    def end(self, upstream, *, reason):
        """End the pace of an upstream that is no longer set aside.

        Notes
        -----
        It has answered soundly after all, or no other one is sound. With a
        pace it would get few of the requests that show whether it still fails,
        and the others more.
        """
        was = upstream.pace.allowed
        if was is not None:
            upstream.pace.end(at=self.reactor.seconds())
            self.log(upstream, was, reason=reason)
            self.on_change(upstream)

    def start_run(self, upstream, *, kind, route=None):
        """Return a TimedRun for a request that has just been counted."""
        if route is not None and route.kind is not RouteKind.STREAM:
            kind = RunKind.PLAIN
        return TimedRun(
            upstream=upstream,
            kind=kind,
            started_at=self.reactor.seconds(),
            in_flight=count_in_flight(upstream),
            target=None if route is None else route.latency_target,
            longest_pause=None if route is None else route.max_pause,
        )

    def watch(self, run, handle_data, read_last_event):
        """Return a handler of data that also times the events in it.

        Parameters
        ----------
        run : TimedRun
        handle_data : callable
        read_last_event : callable
            Returns the identifier of the last event, None without one.

        Returns
        -------
        callable
        """
        if not self.is_enabled:
            return handle_data
        run.last_event = read_last_event()

        def handle_and_time(data):
            kept = handle_data(data)
            last_event = read_last_event()
            if last_event != run.last_event:
                run.last_event = last_event
                self.note_event(run)
            return kept

        return handle_and_time

    def note_whole_answer(self, run):
        """Note a sound answer, which counts as one event if it had none."""
        if self.is_enabled and run.last_event_at is None:
            self.note_event(run)

    def note_event(self, run):
        """Note that an event of a run has arrived."""
        now = self.reactor.seconds()
        peers = self.find_typical(run)
        own = run.upstream.pace.find_own(run.kind)
        is_first = run.last_event_at is None
        elapsed = now - (run.started_at if is_first else run.last_event_at)
        run.last_event_at = now
        if run.upstream.pace.allowed is None:
            for typical in (peers, own):
                if is_first:
                    typical.note_first_event(elapsed)
                else:
                    typical.note_pause(elapsed)
            if is_first:
                self.confirm_end(run.upstream)
            return
        if is_first:
            verdict = judge_first_event(
                elapsed,
                typical=choose_longer(peers.first_event, own.first_event),
                best=run.upstream.pace.best,
                target=run.target,
            )
        else:
            verdict = judge_pause(
                elapsed,
                typical=choose_longer(peers.pause, own.pause),
                longest=run.longest_pause,
            )
        if verdict is not None:
            self.apply_verdict(
                run.upstream,
                verdict,
                started_at=run.started_at,
                in_flight=run.in_flight,
                first_event=elapsed if is_first else None,
            )

    def find_typical(self, run):
        """Return the TypicalTimes of the peers of a run's upstream."""
        key = (run.upstream.entry.service, run.kind)
        if key not in self.typical:
            self.typical[key] = TypicalTimes()
        return self.typical[key]

    def apply_verdict(
        self, upstream, verdict, *, started_at, in_flight=0, first_event=None
    ):
        """Choose the next pace after an answer."""
        was = upstream.pace.allowed
        answer = PaceAnswer(
            verdict=verdict,
            in_flight=in_flight,
            started_at=started_at,
            at=self.reactor.seconds(),
            slots=upstream.entry.slots,
            first_event=first_event,
        )
        if upstream.pace.note_answer(answer, step=self.step):
            self.log(
                upstream, was, reason=verdict.value, first_event=first_event
            )
            self.on_change(upstream)

    def confirm_end(self, upstream):
        """Note that an upstream whose pace has ended goes on answering."""
        now = self.reactor.seconds()
        if now - upstream.pace.ended_at <= END_ANNOUNCEMENT_S:
            upstream.pace.changed_at = now

    def apply_report(self, upstream, load):
        """Apply what a peer has told of a pace.

        Parameters
        ----------
        upstream : Upstream
        load : UpstreamLoad or UpstreamTotal
        """
        if not self.is_enabled:
            return
        record = upstream.pace
        was = record.allowed
        now = self.reactor.seconds()
        if load.pace is not None:
            if record.apply(
                load.pace.allowed, at=now - load.pace.age, now=now
            ):
                self.log(upstream, was, reason="told")
        elif was is not None and getattr(load, "reported", None) is not None:
            # It answers a gateway that has never had to pace it.
            record.end(at=now)
            self.log(upstream, was, reason="serves_others")

    def log(self, upstream, was, *, reason, first_event=None):
        self.changes[reason] += 1
        eliot.log_message(
            "upstream:paced",
            upstream=upstream.entry.name,
            service=upstream.entry.service,
            allowed=upstream.pace.allowed,
            was=was,
            reason=reason,
            first_event=None if first_event is None else round(first_event, 3),
        )


def build_pace_report(record, *, now):
    """Return a PaceReport for peers, None if there is nothing to tell.

    Parameters
    ----------
    record : PaceRecord
    now : float
    """
    if record.allowed is None and now - record.ended_at > END_ANNOUNCEMENT_S:
        return None
    return PaceReport(
        allowed=record.allowed, age=max(0.0, now - record.changed_at)
    )


def count_in_flight(upstream):
    """Return the requests and items in flight from all gateways."""
    return upstream.count_online() + upstream.count_batch()


def choose_longer(*times):
    """Return the longest of the times that are known, None without one."""
    return max((each for each in times if each is not None), default=None)
