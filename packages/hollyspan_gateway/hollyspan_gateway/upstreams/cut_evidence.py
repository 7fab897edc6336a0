"""What tells lost links of a gateway from upstreams that stand still."""

import math

import eliot
from twisted.internet import defer

from hollyspan_policy.reach import is_only_silent_here
from hollyspan_policy.retries import MAX_STILL_S

__all__ = ["CutEvidence"]

# Failed connections to as many upstreams are not the end of one.
MIN_CLOSED_UPSTREAMS = 2
# Interval between two looks for upstreams that are silent.
LOOK_S = 0.25
# Time for which all attempts that wait share what a walk over the upstreams
# has shown: shorter than the interval between two looks of one of them.
SHARED_WALK_S = 0.04
# Interval between two questions to other gateways, longer than it takes them
# to answer.
QUESTION_INTERVAL_S = 0.5


class CutEvidence:
    """Evidence for and against a cut of the links to all upstreams.

    Parameters
    ----------
    reach : Reach
    probe_indirectly : callable
        Called with the gateway and an Upstream; lets other gateways connect
        to it and notes what they find, see `indirect_probes`.

    Attributes
    ----------
    refused_at : dict
        Time at which upstreams have refused connections since one was opened,
        by name, reactor seconds.
    unreached : set of str
        Names of upstreams to which probes have failed since then, and since
        the last bytes from any upstream.
    asked_at : float
        Time of the last question to other gateways, reactor seconds.
    looked_at : dict
        Time of the last look for an upstream in a silence, by name.
    last_look_at : float
        Time of the newest of these.
    walked_at : float
        Time of the last walk over the upstreams for attempts that wait.
    elsewhere_at : float
        Time at which other gateways had last heard one of them then.

    Notes
    -----
    Silence, and connections that are not established, are no evidence: all
    gateways see the same of upstreams that stand still. It takes an answer
    that another gateway gets meanwhile, connections that are closed or
    refused, or more time than a sound upstream needs to go on.
    """

    __slots__ = (
        "reach",
        "probe_indirectly",
        "refused_at",
        "unreached",
        "asked_at",
        "looked_at",
        "last_look_at",
        "walked_at",
        "elsewhere_at",
    )

    def __init__(self, *, reach, probe_indirectly):
        self.reach = reach
        self.probe_indirectly = probe_indirectly
        self.refused_at = {}
        self.unreached = set()
        self.asked_at = -math.inf
        self.looked_at = {}
        self.last_look_at = -math.inf
        self.walked_at = -math.inf
        self.elsewhere_at = -math.inf

    @property
    def gateway(self):
        return self.reach.gateway

    def list_expected(self):
        """Return the upstreams that this gateway ought to hear."""
        return [
            upstream
            for name, upstream in self.gateway.directory.upstreams.items()
            if upstream.online
            or upstream.batch
            or name in self.reach.failed
            or name in self.unreached
        ]

    def forget(self):
        """Forget the failed connections, since one was opened."""
        self.refused_at.clear()
        self.unreached.clear()

    def is_heard_elsewhere(self, *, since):
        """Return whether other gateways hear upstreams that are silent here.

        Parameters
        ----------
        since : float
            Time since which an attempt has waited, reactor seconds.
        """
        return is_only_silent_here(
            quiet_since=max(since, self.reach.heard_at),
            answered_elsewhere_at=self.find_elsewhere_at(),
        )

    def is_silent_only_here(self, *, since):
        """Return the same for an attempt that waits, with others.

        Notes
        -----
        Load pattern: in a silence of all, each request asks several times a
        second. One walk serves all that ask at about the same time.
        """
        now = self.gateway.reactor.seconds()
        if now - self.walked_at >= SHARED_WALK_S:
            self.walked_at = now
            self.elsewhere_at = self.find_elsewhere_at()
        return is_only_silent_here(
            quiet_since=max(since, self.reach.heard_at),
            answered_elsewhere_at=self.elsewhere_at,
        )

    def find_elsewhere_at(self):
        """Return when other gateways last heard an expected upstream."""
        return max(
            (
                upstream.link.last_elsewhere_at
                for upstream in self.list_expected()
            ),
            default=-math.inf,
        )

    def has_silent_link(self, *, besides):
        """Return whether another link has failed to an upstream that is heard.

        Parameters
        ----------
        besides : Upstream
        """
        return any(
            is_only_silent_here(
                quiet_since=max(
                    upstream.link.first_failed_at, upstream.link.heard_at
                ),
                answered_elsewhere_at=upstream.link.last_elsewhere_at,
            )
            for upstream in self.reach.broken.values()
            if upstream is not besides
        )

    def has_closed_links(self):
        """Return whether connections to several upstreams do not last.

        Those that were closed before the last bytes arrived do not count.
        """
        closed = [
            name
            for name, upstream in self.reach.broken.items()
            if max(
                upstream.link.closed_at,
                self.refused_at.get(name, -math.inf),
            )
            > self.reach.heard_at
        ]
        known = len(self.gateway.directory.upstreams)
        return len(closed) >= min(MIN_CLOSED_UPSTREAMS, known)

    def is_conclusive(self):
        """Return whether the links are lost, rather than all upstreams."""
        return (
            self.reach.probation.relapses > 0
            or self.has_closed_links()
            or self.is_heard_elsewhere(since=self.reach.quiet_since)
            or self.measure_quiet() > MAX_STILL_S
        )

    def measure_quiet(self):
        """Return the seconds for which nothing was heard in a cut."""
        quiet_since = max(self.reach.quiet_since, self.reach.heard_at)
        return self.gateway.reactor.seconds() - quiet_since

    def may_look_for(self, upstream, *, since):
        """Return whether to connect to an upstream in a silence, and note it.

        Each one is looked for once, unless it was not reached: a stopped
        process has room for some connections only.

        Parameters
        ----------
        upstream : Upstream
        since : float
            Time since which an attempt has waited there.
        """
        now = self.gateway.reactor.seconds()
        name = upstream.entry.name
        if now - self.last_look_at < LOOK_S:
            return False
        quiet_since = max(since, self.reach.heard_at)
        if name in self.looked_at and name not in self.unreached:
            if self.looked_at[name] > quiet_since:
                return False
        self.looked_at = {
            each: at for each, at in self.looked_at.items() if at > quiet_since
        }
        self.looked_at[name] = self.last_look_at = now
        return True

    def ask(self, upstream):
        """Let other gateways look for an upstream that was not reached."""
        self.unreached.add(upstream.entry.name)
        now = self.gateway.reactor.seconds()
        if now - self.asked_at < QUESTION_INTERVAL_S:
            return
        self.asked_at = now
        work = defer.ensureDeferred(
            self.probe_indirectly(self.gateway, upstream)
        )
        work.addErrback(eliot.write_failure)

    def describe(self):
        """Return since when upstreams are silent here, and not elsewhere."""
        now = self.gateway.reactor.seconds()
        return {
            "heard_age": describe_age(self.reach.heard_at, now=now),
            "elsewhere_age": describe_age(self.find_elsewhere_at(), now=now),
        }


def describe_age(at, *, now):
    """Return the seconds since a time for a log line, None if it never was."""
    return None if math.isinf(at) else round(now - at, 3)
