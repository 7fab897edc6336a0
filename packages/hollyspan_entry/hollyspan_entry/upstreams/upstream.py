"""One upstream as this daemon knows it."""

from hollyspan_policy.hidden import HiddenStreams
from hollyspan_policy.routing import UpstreamView

from .peerstreams import PeerStreams

__all__ = ["Upstream"]


class Upstream:
    """An engine or a plain service.

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
        Streams that it runs at once.

    Attributes
    ----------
    leaving : bool
        No new work may be sent.
    reachable : bool
        False after connections failed, until a health check succeeds.
    online, batch : int
        Requests in flight that this daemon sent.
    peers : dict
        PeerLoad by instance, from the peers' messages.
    peer_streams : dict
        PeerStreams by instance.
    streams : set of int
        Numbers of the own batch streams that run.
    highest : int
        Last number that was given to an own batch stream.
    waiting, running : int
        Streams of the last load report.
    reported : float or None
        Monotonic seconds of the last load report.
    hidden : HiddenStreams
        Streams in the reports that no daemon tells of.
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
        "reported",
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
        self.reported = None

    @property
    def url(self):
        """Base URL."""
        return f"http://{self.address}:{self.port}"

    def count_online(self):
        """Count online requests in flight from all daemons heard."""
        return self.online + sum(p.online for p in self.peers.values())

    def count_batch(self):
        """Count batch streams in flight from all daemons heard."""
        return self.batch + sum(p.batch for p in self.peers.values())

    def begin_batch_stream(self):
        """Return the number of a new own batch stream."""
        self.highest += 1
        return self.highest

    def note_peer_streams(self, instance, *, incarnation, highest, running):
        """Take in which batch streams a peer runs here.

        Parameters
        ----------
        instance : str
        incarnation, highest : int
        running : sequence of int

        Returns
        -------
        PeerStreams
        """
        known = self.peer_streams.get(instance)
        if known is None or known.incarnation < incarnation:
            known = self.peer_streams[instance] = PeerStreams(
                incarnation=incarnation, highest=highest, running=running
            )
        if known.incarnation == incarnation:
            known.highest = highest
            known.running = running
        return known

    def observe_report(self, *, waiting, running, now):
        """Take in a load report.

        Parameters
        ----------
        waiting, running : int
        now : float
            Monotonic seconds.
        """
        self.waiting = waiting
        self.running = running
        self.reported = now
        told = self.count_online() + self.count_batch()
        self.hidden.observe(waiting + running - told)

    def build_view(self, *, now, batch_yields=True):
        """Return what the policy sees of this upstream.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        batch_yields : bool, optional
            Whether an owner is heard that makes batch streams give way.

        Returns
        -------
        UpstreamView
        """
        age = None if self.reported is None else now - self.reported
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
