"""Broadcast of load changes to the gateways affected by them."""

from hollyspan_policy.membership import choose_coalescing_delay
from hollyspan_policy.membership import choose_load_recipients

from ..upstreams.pace import build_pace_report
from .message import UpstreamLoad
from .message import UpstreamTotal

__all__ = ["LoadBroadcaster", "build_load", "build_total"]


class LoadBroadcaster:
    """Coalesces changes of load for a short time and broadcasts them.

    Parameters
    ----------
    table : PeerTable
        Sends the messages.
    list_workspace_loads : callable, optional
        Returns the demands of workspaces that each message tells.

    Attributes
    ----------
    changed : dict
        Upstream by name, for those whose load changed since the last
        broadcast.
    online_changed : set of str
        Names of the changed upstreams whose online load has changed too.
    """

    __slots__ = (
        "table",
        "list_workspace_loads",
        "changed",
        "online_changed",
        "flush_call",
    )

    def __init__(self, *, table, list_workspace_loads=tuple):
        self.table = table
        self.list_workspace_loads = list_workspace_loads
        self.changed = {}
        self.online_changed = set()
        self.flush_call = None

    def queue_change(self, upstream, *, is_batch_only):
        """Schedule the broadcast of an upstream's changed load."""
        name = upstream.entry.name
        self.changed[name] = upstream
        if not is_batch_only:
            self.online_changed.add(name)
        if self.flush_call is None:
            delay = choose_coalescing_delay(len(self.table.list_live()))
            self.flush_call = self.table.reactor.callLater(delay, self.flush)

    def flush(self):
        """Send each changed load to its recipients."""
        self.flush_call = None
        changed, self.changed = self.changed, {}
        online_changed, self.online_changed = self.online_changed, set()
        live = self.table.list_live()
        loads = {}
        recipients_by_keys = {}
        for upstream in changed.values():
            recipients = self.choose_load_recipients(
                upstream,
                live,
                is_batch_only=upstream.entry.name not in online_changed,
            )
            keys = frozenset(peer.key for peer in recipients)
            recipients_by_keys[keys] = recipients
            loads.setdefault(keys, []).append(
                build_load(
                    upstream,
                    now=self.table.reactor.seconds(),
                    include_report=True,
                )
            )
        workspace_loads = self.list_workspace_loads()
        for keys, recipients in recipients_by_keys.items():
            self.table.send_change(
                recipients, loads=loads[keys], workspace_loads=workspace_loads
            )

    def choose_load_recipients(self, upstream, live, *, is_batch_only):
        """Return the live gateways that receive a change of load.

        Notes
        -----
        Gateways of the upstream's region send changes of online load to each
        worker with items in flight there. They must first learn that a
        worker of another region has some, so the batch-only changes of such
        a worker are sent like online ones.
        """
        return choose_load_recipients(
            live,
            region=upstream.region,
            holders={
                peer
                for peer in live
                if upstream.peer_loads.get(peer.identifier, (0, 0))[1]
            },
            is_batch_only=is_batch_only
            and upstream.region == self.table.region,
        )


def build_load(upstream, *, now, include_report=False):
    """Return the load of an upstream from this gateway.

    Parameters
    ----------
    upstream : Upstream
    now : float
    include_report : bool, optional
        Include the load that the upstream last reported, its failed
        connection and its departure, unless they have been sent before, and
        mark them as sent.
    """
    load = UpstreamLoad(
        upstream=upstream.entry.key,
        online=upstream.online,
        batch=upstream.batch,
        limit=upstream.rate_limit.build_report(now=now),
        pace=build_pace_report(upstream.pace, now=now),
        heard_age=upstream.link.find_heard_age(now=now),
    )
    if include_report:
        load.reported, upstream.unsent_report = upstream.unsent_report, None
        load.run_slowness = upstream.unsent_run_slowness
        upstream.unsent_run_slowness = None
        load.is_unreachable = upstream.has_unsent_failure
        upstream.has_unsent_failure = False
        if upstream.has_unsent_departure:
            load.departure = upstream.entry.incarnation_key
            upstream.has_unsent_departure = False
    return load


def build_total(upstream, *, now):
    """Return the load of an upstream from all gateways, for other regions.

    Parameters
    ----------
    upstream : Upstream
    now : float
    """
    return UpstreamTotal(
        upstream=upstream.entry.key,
        online=upstream.count_online(),
        batch=upstream.count_batch(),
        limit=upstream.rate_limit.build_report(now=now),
        pace=build_pace_report(upstream.pace, now=now),
    )
