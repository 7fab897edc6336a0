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
        return self.find(gateway, port) is LinkState.HANGS

    def breaks_open(self, gateway, port):
        """Return whether open connections are reset."""
        return self.find(gateway, port) in (
            LinkState.RESET,
            LinkState.REFUSES,
        )

    def drops_new(self, gateway, port):
        """Return whether new connections time out."""
        return self.find(gateway, port) in (LinkState.HANGS, LinkState.RESET)

    def refuses_new(self, gateway, port):
        """Return whether new connections are refused."""
        return self.find(gateway, port) in (
            LinkState.REFUSES,
            LinkState.KEEPS_OLD,
        )
