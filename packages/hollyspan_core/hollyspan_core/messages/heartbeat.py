"""Heartbeats between daemons."""

from .batch_streams import read_batch_streams
from .batch_streams import write_batch_streams
from .codec import convert_codec_errors
from .codec import PeerMessage
from .daemon_state import read_daemon_state
from .daemon_state import write_daemon_state
from .in_flight import read_in_flight
from .in_flight import write_in_flight
from .report import read_report
from .report import write_report

__all__ = ["Heartbeat", "build_heartbeat", "read_heartbeat"]


class Heartbeat:
    """Periodic message from one daemon to another.

    Parameters
    ----------
    sender : DaemonState
        State of the sending daemon.
    in_flight : sequence of InFlight, optional
        Load of the sender on upstreams that the recipient owns.
    leaving_upstreams, cancelled_jobs : sequence of str, optional
        Names that are propagated between daemons.
    remotes : sequence of DaemonState, optional
        States of daemons of other data centres from which the sender receives
        heartbeats.
    reports : sequence of UpstreamLoadReport, optional
        Loads of the upstreams that the sender owns.
    batch_streams : sequence of BatchStreams, optional
        Batch streams of the sender on upstreams of its own data centre.
    """

    __slots__ = (
        "sender",
        "in_flight",
        "leaving_upstreams",
        "cancelled_jobs",
        "remotes",
        "reports",
        "batch_streams",
    )

    def __init__(
        self,
        *,
        sender,
        in_flight=(),
        leaving_upstreams=(),
        cancelled_jobs=(),
        remotes=(),
        reports=(),
        batch_streams=(),
    ):
        self.sender = sender
        self.in_flight = in_flight
        self.leaving_upstreams = leaving_upstreams
        self.cancelled_jobs = cancelled_jobs
        self.remotes = remotes
        self.reports = reports
        self.batch_streams = batch_streams


def build_heartbeat(heartbeat):
    """Return a heartbeat as a message that can be encoded.

    Parameters
    ----------
    heartbeat : Heartbeat

    Returns
    -------
    PeerMessage builder
    """
    message = PeerMessage.new_message()
    target = message.init("heartbeat")
    write_daemon_state(heartbeat.sender, target)
    if heartbeat.in_flight:
        entries = target.init("inFlight", len(heartbeat.in_flight))
        write_in_flight(heartbeat.in_flight, entries)
    if heartbeat.leaving_upstreams:
        target.leavingUpstreams = list(heartbeat.leaving_upstreams)
    if heartbeat.cancelled_jobs:
        target.cancelledJobs = list(heartbeat.cancelled_jobs)
    if heartbeat.remotes:
        entries = target.init("remotes", len(heartbeat.remotes))
        for remote, entry in zip(heartbeat.remotes, entries):
            write_daemon_state(remote, entry)
    if heartbeat.reports:
        entries = target.init("reports", len(heartbeat.reports))
        for report, entry in zip(heartbeat.reports, entries):
            write_report(report, entry)
    if heartbeat.batch_streams:
        entries = target.init("batchStreams", len(heartbeat.batch_streams))
        write_batch_streams(heartbeat.batch_streams, entries)
    return message


def read_heartbeat(message):
    """Return the heartbeat in a decoded message.

    Parameters
    ----------
    message : PeerMessage reader

    Returns
    -------
    Heartbeat

    Raises
    ------
    PeerMessageError
        The message is malformed.
    """
    with convert_codec_errors():
        source = message.heartbeat
        # Heartbeat and Remote have the same schema fields for the state.
        return Heartbeat(
            sender=read_daemon_state(source),
            in_flight=read_in_flight(source.inFlight),
            leaving_upstreams=list(source.leavingUpstreams),
            cancelled_jobs=list(source.cancelledJobs),
            remotes=[read_daemon_state(remote) for remote in source.remotes],
            reports=[read_report(report) for report in source.reports],
            batch_streams=read_batch_streams(source.batchStreams),
        )
