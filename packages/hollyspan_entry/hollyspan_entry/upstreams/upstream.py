"""State of an upstream."""

from hollyspan_policy.hidden import HiddenStreams
from hollyspan_policy.routing import UpstreamView

from .peer_streams import PeerStreams

__all__ = ["Upstream"]


class Upstream:
    """An engine or an instance of a plain service, as seen by this daemon.

    Parameters
    ----------
    name : str
    kind : str
        ``engine`` or ``service``.
    service : str
        Model or plain service that it serves.
    data_centre : str
    address : str
    port : int
    slots : int
        Number of streams that it runs concurrently.

    Attributes
    ----------
    leaving : bool
        True when no new work may be sent.
    reachable : bool
        False after a failed connection, reported by a peer or seen by this
        daemon, until a call succeeds.
    online, batch : int
        Online requests and batch streams of this daemon in flight.
    peers : dict
        PeerLoad by instance, from the peers' messages.
    peer_streams : dict
        PeerStreams by instance.
    streams : set of int
        Numbers of this daemon's running batch streams.
    highest : int
        Last number assigned to a batch stream of this daemon.
    waiting, running : int
        Streams in the last load report.
    last_report_at : float or None
        Monotonic seconds of the last load report.
    hidden : HiddenStreams
        Streams in the load reports that no daemon accounts for.
    """

    __slots__ = (
        "name",
        "kind",
        "service",
        "data_centre",
        "address",
        "port",
        "slots",
        "leaving",
        "reachable",
        "online",
        "batch",
        "peers",
        "peer_streams",
        "streams",
        "highest",
        "waiting",
        "running",
        "hidden",
        "last_report_at",
    )

    def __init__(
        self, *, name, kind, service, data_centre, address, port, slots
    ):
        self.name = name
        self.kind = kind
        self.service = service
        self.data_centre = data_centre
        self.address = address
        self.port = port
        self.slots = slots
        self.leaving = False
        self.reachable = True
        self.online = 0
        self.batch = 0
        self.peers = {}
        self.peer_streams = {}
        self.streams = set()
        self.highest = 0
        self.waiting = 0
        self.running = 0
        self.hidden = HiddenStreams()
        self.last_report_at = None

    @property
    def url(self):
        """Base URL of the upstream."""
        return f"http://{self.address}:{self.port}"

    def count_online(self):
        """Return the online requests in flight of all known daemons."""
        return self.online + sum(p.online for p in self.peers.values())

    def count_batch(self):
        """Return the batch streams in flight of all known daemons."""
        return self.batch + sum(p.batch for p in self.peers.values())

    def assign_batch_stream_number(self):
        """Assign a number to a new batch stream of this daemon."""
        self.highest += 1
        return self.highest

    def update_peer_streams(self, instance, *, incarnation, highest, running):
        """Update the batch streams that a peer runs on this upstream.

        Data of an earlier incarnation of the peer is ignored.

        Parameters
        ----------
        instance : str
            Instance name of the peer.
        incarnation, highest : int
        running : sequence of int
            See PeerStreams.

        Returns
        -------
        PeerStreams
        """
        known_peer_streams = self.peer_streams.get(instance)
        if (
            known_peer_streams is None
            or known_peer_streams.incarnation < incarnation
        ):
            known_peer_streams = self.peer_streams[instance] = PeerStreams(
                incarnation=incarnation, highest=highest, running=running
            )
        if known_peer_streams.incarnation == incarnation:
            known_peer_streams.highest = highest
            known_peer_streams.running = running
        return known_peer_streams

    def observe_report(self, *, waiting, running, now):
        """Store a load report of the upstream.

        Parameters
        ----------
        waiting, running : int
            Number of streams.
        now : float
            Monotonic seconds.
        """
        self.waiting = waiting
        self.running = running
        self.last_report_at = now
        known_streams = self.count_online() + self.count_batch()
        self.hidden.observe(waiting + running - known_streams)

    def build_view(self, *, now, batch_yields=True):
        """Return the view of this upstream for the routing policy.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        batch_yields : bool, optional
            Whether a live owner preempts batch streams for online requests.

        Returns
        -------
        UpstreamView
        """
        age = (
            None if self.last_report_at is None else now - self.last_report_at
        )
        return UpstreamView(
            name=self.name,
            data_centre=self.data_centre,
            slots=self.slots,
            online=self.count_online(),
            batch=self.count_batch(),
            waiting=self.waiting,
            report_age=age,
            hidden=self.hidden.count(),
            batch_yields=batch_yields,
            serving=self.reachable and not self.leaving,
        )
