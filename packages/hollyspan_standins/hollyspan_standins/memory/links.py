"""Links between gateways and upstreams of the fleet in memory."""

import enum

__all__ = ["Links", "LinkState"]


class LinkState(enum.Enum):
    """What becomes of the connections over a link."""

    WHOLE = "whole"
    # Nothing arrives, and nothing says so.
    HANGS = "hangs"
    # Open connections are reset, new ones time out.
    RESET = "reset"
    # Open connections are reset, new ones are refused.
    REFUSES = "refuses"
    # Open connections go on, new ones are refused.
    KEEPS_OLD = "keeps old"
    # Open connections are reset; new ones are accepted, and reset at once.
    ACCEPTS_AND_RESETS = "accepts and resets"
    # Open connections go on; new ones are accepted, and reset at once.
    KEEPS_OLD_AND_RESETS = "keeps old and resets"
    # Connections are accepted, and reset once a request is written.
    RESETS_REQUESTS = "resets requests"
    # Connections are accepted, and nothing is read or sent.
    NEVER_READS = "never reads"


class Links:
    """State of the links from gateways to upstreams.

    Attributes
    ----------
    states : dict
        LinkState by gateway's name and upstream's port, of links that are
        not whole.
    """

    __slots__ = ("states",)

    def __init__(self):
        self.states = {}

    def find(self, gateway, port):
        """Return the state of a link."""
        key = (gateway.settings.instance, port)
        return self.states.get(key, LinkState.WHOLE)

    def set(self, gateway, port, state):
        """Set the state of a link."""
        self.states[gateway.settings.instance, port] = state

    def hangs(self, gateway, port):
        """Return whether bytes on an open connection get lost."""
        return self.find(gateway, port) in (
            LinkState.HANGS,
            LinkState.NEVER_READS,
        )

    def breaks_open(self, gateway, port):
        """Return whether open connections are reset."""
        return self.find(gateway, port) in (
            LinkState.RESET,
            LinkState.REFUSES,
            LinkState.ACCEPTS_AND_RESETS,
            LinkState.RESETS_REQUESTS,
        )

    def drops_new(self, gateway, port):
        """Return whether new connections time out."""
        return self.find(gateway, port) in (LinkState.HANGS, LinkState.RESET)

    def resets_new(self, gateway, port):
        """Return whether new connections are reset at once."""
        return self.find(gateway, port) in (
            LinkState.ACCEPTS_AND_RESETS,
            LinkState.KEEPS_OLD_AND_RESETS,
        )

    def resets_requests(self, gateway, port):
        """Return whether connections are reset with a request."""
        return self.find(gateway, port) is LinkState.RESETS_REQUESTS

    def refuses_new(self, gateway, port):
        """Return whether new connections are refused."""
        return self.find(gateway, port) in (
            LinkState.REFUSES,
            LinkState.KEEPS_OLD,
        )
