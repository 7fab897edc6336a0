"""All upstreams by name."""

__all__ = ["Upstreams"]


class Upstreams:
    """Registry of upstreams; tells listeners of changes.

    Attributes
    ----------
    by_name : dict
        Upstream by name.
    """

    __slots__ = ("by_name", "load_listeners", "leaving_listeners")

    def __init__(self):
        self.by_name = {}
        self.load_listeners = []
        self.leaving_listeners = []

    def list_for(self, service, *, data_centre=None):
        """List the upstreams of a service.

        Parameters
        ----------
        service : str
        data_centre : str, optional
            Only those of one data centre.

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
        """Send no new work to an upstream and tell the listeners once.

        Parameters
        ----------
        name : str
        """
        upstream = self.by_name.get(name)
        if upstream is None or upstream.leaving:
            return
        upstream.leaving = True
        for listener in self.leaving_listeners:
            listener(upstream)

    def change_online(self, upstream, difference):
        """Change the count of own online requests in flight.

        Parameters
        ----------
        upstream : Upstream
        difference : int
        """
        upstream.online += difference
        self.report_load(upstream)

    def change_batch(self, upstream, difference):
        """Change the count of own batch streams in flight.

        Parameters
        ----------
        upstream : Upstream
        difference : int
        """
        upstream.batch += difference

    def set_peer_load(self, upstream, instance, load):
        """Take in what a peer told of its load on an upstream.

        Parameters
        ----------
        upstream : Upstream
        instance : str
        load : PeerLoad or None
            None when the peer is gone.
        """
        if load is None:
            upstream.peers.pop(instance, None)
        else:
            upstream.peers[instance] = load
        self.report_load(upstream)

    def report_load(self, upstream):
        """Tell the listeners that the online load has changed."""
        for listener in self.load_listeners:
            listener(upstream)
