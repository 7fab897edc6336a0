"""Upstreams that this gateway sets aside, since they answer wrongly."""

import contextlib

import eliot

from hollyspan_core.errors import IntakeFullError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_policy.outliers import find_outliers

__all__ = ["Outliers"]

CLIENT_ERROR_STATUS = 400
SERVER_ERROR_STATUS = 500


class Outliers:
    """Notes what runs tell of upstreams and which of these get no new work.

    Parameters
    ----------
    directory : Directory
    paces : Paces
        Paces of the upstreams, which begin anew when one is set aside.

    Notes
    -----
    Silences, refusals, lost connections and those that cannot be opened are
    judged elsewhere and count neither as failed nor as sound.
    """

    __slots__ = ("reactor", "directory", "paces")

    def __init__(self, *, directory, paces):
        self.reactor = directory.reactor
        self.directory = directory
        self.paces = paces

    def note_run(self, upstream, error, *, request, started_at):
        """Note the end of a run.

        Parameters
        ----------
        upstream : Upstream
        error : HollyspanError or None
            None for a sound answer.
        request : hashable
            Key that the request keeps when it comes again.
        started_at : float
            Reactor seconds.

        Returns
        -------
        bool
            Whether the upstream failed, by evidence of its own.
        """
        record = upstream.outlier
        now = self.reactor.seconds()
        if error is None:
            self.note_sound(upstream)
            return False
        if not is_fault(error):
            return False
        if not record.note_failure(request, started_at=started_at, now=now):
            return False
        self.paces.note_fault(upstream, started_at=started_at)
        if record.must_set_aside() and self.has_sound_other(upstream):
            eliot.log_message(
                "upstream:set_aside",
                upstream=upstream.entry.name,
                service=upstream.entry.service,
                failures=record.failures,
                seconds=record.set_aside(now=now),
                code=error.code,
                reason=error.message,
            )
            self.paces.note_set_aside(upstream)
        return True

    @contextlib.contextmanager
    def track(self, upstream):
        """Count a run at an upstream on trial."""
        record = upstream.outlier
        is_trial = record.is_on_trial(now=self.reactor.seconds())
        record.trials += is_trial
        try:
            yield
        finally:
            record.trials -= is_trial

    def note_sound(self, upstream):
        """Let an upstream that has answered soundly take work again."""
        record = upstream.outlier
        if record.periods:
            eliot.log_message(
                "upstream:sound",
                upstream=upstream.entry.name,
                failures=record.failures,
                periods=record.periods,
            )
        if record.is_set_aside(now=self.reactor.seconds()):
            self.paces.end(upstream, reason="sound")
        record.clear()

    def has_sound_other(self, upstream):
        """Return whether another upstream of the service is not failing."""
        now = self.reactor.seconds()
        return any(
            other is not upstream
            and not other.outlier.is_failing()
            and not other.is_suspect(now=now)
            for other in self.directory.list_usable(upstream.entry.service)
        )

    def find(self, service, upstreams, *, is_repeatable):
        """Return the upstreams to which a request is not sent.

        Parameters
        ----------
        service : str
        upstreams : list of Upstream
            Those of the service that accept new work.
        is_repeatable : bool
            Whether the request can run elsewhere when it fails.

        Returns
        -------
        set of Upstream
        """
        now = self.reactor.seconds()
        records = {
            upstream: upstream.outlier
            for upstream in upstreams
            if not upstream.is_suspect(now=now)
        }
        outliers = find_outliers(records, now=now, is_repeatable=is_repeatable)
        if outliers is not None:
            return outliers
        for upstream, record in records.items():
            if record.periods:
                eliot.log_message(
                    "upstream:readmitted",
                    upstream=upstream.entry.name,
                    service=service,
                    failures=record.failures,
                    reason="no upstream of the service is sound",
                )
                self.paces.end(upstream, reason="readmitted")
            record.clear()
        return set()


def is_fault(error):
    """Return whether an error of a run speaks against its upstream.

    Parameters
    ----------
    error : HollyspanError

    Returns
    -------
    bool
        False for a connection that was lost, since the link may be the
        cause, and for what this gateway had no room for.
    """
    if isinstance(error, UpstreamAnswerError):
        # Another status says that the request is at fault.
        status = error.upstream_status
        return status is not None and (
            status < CLIENT_ERROR_STATUS or status >= SERVER_ERROR_STATUS
        )
    return isinstance(error, StreamMalformedError) and not isinstance(
        error, IntakeFullError
    )
