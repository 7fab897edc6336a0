"""Peers of a simulated gateway."""

__all__ = ["PeersModel"]


class PeersModel:
    """Stand-in for the peer table of a gateway.

    Parameters
    ----------
    fleet : FleetModel
    identifier : str
        Identifier of the gateway.
    region : int
        Hash of the name of the gateway's region.
    """

    __slots__ = ("fleet", "identifier", "region")

    def __init__(self, *, fleet, identifier, region):
        self.fleet = fleet
        self.identifier = identifier
        self.region = region

    def find_region(self, identifier):
        """Return the hash of the region of a gateway."""
        return next(
            gateway.region
            for gateway in self.fleet.gateways
            if gateway.identifier == identifier
        )
