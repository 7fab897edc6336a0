"""Word of changed loads to the gateways that they concern."""

from hollyspan_policy.membership import choose_coalescing_delay
from hollyspan_policy.membership import choose_load_recipients

from .message import UpstreamLoad

__all__ = ["LoadNews", "build_load"]


class LoadNews:
    """Gathers changes of load for moments and tells of them.

    Parameters
    ----------
    table : PeerTable
        Sends the messages.

    Attributes
    ----------
    changed : dict
        Upstream by name, with load that peers have not been told.
    online_changed : set of str
        Names of those whose online requests have changed.
    """

    __slots__ = ("table", "changed", "online_changed", "flush_call")

    def __init__(self, *, table):
        self.table = table
        self.changed = {}
        self.online_changed = set()
        self.flush_call = None

    def note(self, upstream, *, is_batch_only):
        """Tell the others of a change of load soon."""
        name = upstream.entry.name
        self.changed[name] = upstream
        if not is_batch_only:
            self.online_changed.add(name)
        if self.flush_call is None:
            seconds = choose_coalescing_delay(len(self.table.list_live()))
            self.flush_call = self.table.reactor.callLater(seconds, self.flush)

    def flush(self):
        """Send the changed loads, in a large fleet to those concerned."""
        self.flush_call = None
        changed, self.changed = self.changed, {}
        online_changed, self.online_changed = self.online_changed, set()
        live = self.table.list_live()
        loads = {}
        audiences = {}
        for upstream in changed.values():
            audience = self.choose_load_recipients(
                upstream,
                live,
                is_batch_only=upstream.entry.name not in online_changed,
            )
            keys = frozenset(peer.key for peer in audience)
            audiences[keys] = audience
            loads.setdefault(keys, []).append(
                build_load(upstream, with_news=True)
            )
        for keys, audience in audiences.items():
            message = self.table.build_message(
                loads=loads[keys], is_full=False
            )
            self.table.send(audience, message)

    def choose_load_recipients(self, upstream, live, *, is_batch_only):
        """Return the live gateways that a change of load concerns.

        Notes
        -----
        Gateways of the upstream's region tell each worker there of online
        requests. One from another region they have to know of first.
        """
        return choose_load_recipients(
            live,
            region=upstream.region,
            holders={
                peer
                for peer in live
                if upstream.peers.get(peer.identifier, (0, 0))[1]
            },
            is_batch_only=is_batch_only
            and upstream.region == self.table.region,
        )


def build_load(upstream, *, with_news=False):
    """Return the load of an upstream, with what peers have not been told."""
    load = UpstreamLoad(
        upstream=upstream.entry.key,
        online=upstream.online,
        batch=upstream.batch,
    )
    if with_news:
        load.reported, upstream.news = upstream.news, None
        load.is_unreachable = upstream.is_unreachable_news
        upstream.is_unreachable_news = False
    return load
