"""Registry of the upstreams."""

__all__ = ["UpstreamRegistry"]


class UpstreamRegistry:
    """Registry of upstreams that notifies listeners of changes.

    Attributes
    ----------
    by_name : dict
        Upstream by name.
    load_listeners : list of callable
        Called with the Upstream whose online load has changed.
    leaving_listeners : list of callable
        Called once with each Upstream that starts to leave.
    """

    __slots__ = ("by_name", "load_listeners", "leaving_listeners")

    def __init__(self):
        self.by_name = {}
        self.load_listeners = []
        self.leaving_listeners = []

    def list_by_service(self, service, *, data_centre=None):
        """List the upstreams of a service.

        Parameters
        ----------
        service : str
        data_centre : str, optional
            Restrict the list to this data centre.

        Returns
        -------
        list of Upstream
        """
        return [
            upstream
            for upstream in self.by_name.values()
            if upstream.service == service
            and data_centre in (None, upstream.data_centre)
        ]

    def add(self, upstream):
        """Add an upstream."""
        self.by_name[upstream.name] = upstream

    def remove(self, name):
        """Remove an upstream."""
        self.by_name.pop(name, None)

    def mark_leaving(self, name):
        """Mark an upstream as leaving and notify the listeners once.

        A leaving upstream is sent no new work.

        Parameters
        ----------
        name : str
            Name of the upstream; unknown names are ignored.
        """
        upstream = self.by_name.get(name)
        if upstream is None or upstream.leaving:
            return
        upstream.leaving = True
        for listener in self.leaving_listeners:
            listener(upstream)

    def change_online_in_flight(self, upstream, difference):
        """Change the number of this daemon's online requests in flight.

        Parameters
        ----------
        upstream : Upstream
        difference : int
        """
        upstream.online += difference
        self.notify_load_listeners(upstream)

    def change_batch_in_flight(self, upstream, difference):
        """Change the number of this daemon's batch streams in flight.

        Parameters
        ----------
        upstream : Upstream
        difference : int
        """
        upstream.batch += difference

    def set_peer_load(self, upstream, instance, load):
        """Set the load of a peer on an upstream.

        Parameters
        ----------
        upstream : Upstream
        instance : str
            Instance name of the peer.
        load : PeerLoad or None
            None when the peer has left or failed.
        """
        if load is None:
            upstream.peers.pop(instance, None)
        else:
            upstream.peers[instance] = load
        self.notify_load_listeners(upstream)

    def notify_load_listeners(self, upstream):
        """Notify the listeners that the online load has changed."""
        for listener in self.load_listeners:
            listener(upstream)
