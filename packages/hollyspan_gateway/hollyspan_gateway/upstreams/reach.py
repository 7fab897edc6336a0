"""Which upstreams this gateway's own links reach."""

import math

import eliot

from hollyspan_core.errors import StreamStalledError
from hollyspan_policy.reach import has_lost_links
from hollyspan_policy.reach import is_link_lost
from hollyspan_policy.reach import is_only_silent_here

from .cut_evidence import CutEvidence
from .link_probes import LinkProbes
from .probation import Probation

__all__ = ["Reach"]

# Time after which a silence is none of a sound upstream, which goes on after
# a second or so.
MAX_SILENCE_S = 3.0
# Failed connection attempts to as many upstreams may be the gateway's own.
MIN_UNCONNECTED_UPSTREAMS = 2


class Reach:
    """Tells lost links of this gateway from ended upstreams.

    Parameters
    ----------
    gateway : Gateway
    probe_indirectly : callable
        See `CutEvidence`.

    Attributes
    ----------
    heard_at : float
        Arrival of the last bytes from any upstream, reactor seconds.
    silent_at : float
        Time at which an attempt was first known to wait in a silence, or
        given up for it, since then.
    answered_elsewhere_at : float
        Time at which another gateway last brought bytes of an answer.
    is_cut_off : bool
        True while no upstream seems to be reached.
    cut_off_at : float
        Time from which this has been so, reactor seconds.
    quiet_since : float
        Time since which the attempt whose failure showed it had waited.
    is_confirmed : bool
        True once a probe has failed, too, and the upstreams do not just stand
        still.
    failed : dict
        Upstreams at which attempts have failed since the last bytes from any
        upstream, by name.
    unconnected : dict
        Those to which no connection could be opened since one was, by name.
    broken : dict
        Upstreams whose links have failed since they last worked, by name.
    probation : Probation
        Of the links to all upstreams.
    evidence : CutEvidence
    probes : LinkProbes

    Notes
    -----
    What a gateway sees of an upstream is also what it sees of its own links.
    A failure is blamed on the link if the upstream answers others after it,
    or if no upstream is heard. Probes find out when a link works again.
    """

    __slots__ = (
        "gateway",
        "heard_at",
        "silent_at",
        "answered_elsewhere_at",
        "is_cut_off",
        "cut_off_at",
        "quiet_since",
        "is_confirmed",
        "failed",
        "unconnected",
        "broken",
        "probation",
        "evidence",
        "probes",
    )

    def __init__(self, *, gateway, probe_indirectly):
        self.gateway = gateway
        self.heard_at = -math.inf
        self.silent_at = -math.inf
        self.answered_elsewhere_at = -math.inf
        self.is_cut_off = False
        self.cut_off_at = -math.inf
        self.quiet_since = -math.inf
        self.is_confirmed = False
        self.failed = {}
        self.unconnected = {}
        self.broken = {}
        self.probation = Probation(seed=gateway.settings.instance)
        self.evidence = CutEvidence(
            reach=self, probe_indirectly=probe_indirectly
        )
        self.probes = LinkProbes(reach=self)

    @property
    def has_trouble(self):
        """True while a link has failed and not worked since."""
        return self.is_cut_off or bool(self.broken)

    @property
    def cannot_connect(self):
        """True while new connections seem to fail whatever the upstream."""
        return len(self.unconnected) >= MIN_UNCONNECTED_UPSTREAMS

    def note_data(self, upstream, *, opened_at=math.inf):
        """Note the arrival of bytes of an answer.

        Parameters
        ----------
        upstream : Upstream
        opened_at : float, optional
            Time at which their connection was opened; after all failures by
            default.
        """
        self.heard_at = self.gateway.reactor.seconds()
        upstream.link.note_data(now=self.heard_at, opened_at=opened_at)
        self.evidence.unreached.clear()
        if self.probation.is_on_trial or self.probation.relapses:
            self.probation.note_data()
        if self.failed:
            self.failed.clear()
            if self.is_cut_off:
                self.end_cut()

    def note_failure(
        self,
        upstream,
        *,
        is_unconnected,
        waited_since,
        is_closed=False,
        is_refused=False,
    ):
        """Note an attempt that failed at an upstream or on the way.

        Parameters
        ----------
        upstream : Upstream
        is_unconnected : bool
            True when no connection could be opened.
        waited_since : float
            Time since which the attempt has waited for bytes.
        is_closed : bool, optional
            True when its connection was closed or reset.
        is_refused : bool, optional
            True when it was refused.
        """
        now = self.gateway.reactor.seconds()
        name = upstream.entry.name
        if self.gateway.directory.upstreams.get(name) is not upstream:
            # It has gone, and is probed no more.
            return
        link = upstream.link
        if is_refused:
            self.evidence.refused_at[name] = now
        if is_unconnected:
            self.unconnected[name] = upstream
            if link.unconnected_at is None:
                link.unconnected_at = waited_since
        else:
            link.note_broken_off(now=now, seed=name, is_closed=is_closed)
        self.failed[name] = self.broken[name] = upstream
        quiet_seconds = now - max(waited_since, self.heard_at)
        if not self.is_cut_off and (
            self.probation.is_on_trial
            or has_lost_links(
                failed=len(self.failed), quiet_seconds=quiet_seconds
            )
        ):
            self.quiet_since = max(waited_since, self.heard_at)
            self.begin_cut(is_conclusive=is_closed or self.is_deaf())
        if is_unconnected and not (
            self.is_cut_off or self.cannot_connect or self.has_lost_link()
        ):
            self.gateway.directory.tell_unreachable(upstream)
        self.probes.schedule()

    def note_silence(self, upstream):
        """Note an attempt that waits in a silence, or was given up for it."""
        now = self.gateway.reactor.seconds()
        for each in (self, upstream.link):
            if each.silent_at <= each.heard_at:
                each.silent_at = now

    def is_silent(self, upstream):
        """Return whether an upstream seems to stand still.

        Nothing has been heard of it, or of any upstream, since an attempt was
        given up a short time ago. An established connection does not tell:
        the system accepts it for a process that stands still.
        """
        now = self.gateway.reactor.seconds()
        return any(
            each.heard_at < each.silent_at
            and now - each.silent_at < MAX_SILENCE_S
            for each in (self, upstream.link)
        )

    def note_answer_elsewhere(self):
        """Note bytes of an answer that came over another gateway."""
        self.answered_elsewhere_at = self.gateway.reactor.seconds()

    def is_deaf(self):
        """Return whether upstreams answer others but not this gateway.

        No upstream has been heard since an attempt was given up, and one has
        answered another gateway meanwhile.
        """
        return self.heard_at < self.silent_at < self.answered_elsewhere_at

    def is_quiet(self, *, since):
        """Return whether no upstream was heard while an attempt waited."""
        quiet_since = max(since, self.heard_at)
        return has_lost_links(
            failed=1,
            quiet_seconds=self.gateway.reactor.seconds() - quiet_since,
        )

    def is_silent_link(self, upstream, *, since):
        """Return whether the silence of an upstream is that of its link.

        Parameters
        ----------
        upstream : Upstream
        since : float
            Time since which an attempt has waited there.

        Notes
        -----
        Upstreams that stand still are silent for other gateways, too. One
        that answers these is taken for busy while no other link fails.
        """
        if self.is_quiet(since=since):
            return self.evidence.is_silent_only_here(since=since)
        link = upstream.link
        return is_only_silent_here(
            quiet_since=max(since, link.heard_at),
            answered_elsewhere_at=link.last_elsewhere_at,
        ) and (
            self.cannot_connect
            or self.has_lost_link()
            or self.evidence.has_silent_link(besides=upstream)
        )

    def leaves_silence(self, upstream, *, since):
        """Return whether others hear an upstream that is silent here.

        Looks for the upstream if they do not.

        Parameters
        ----------
        upstream : Upstream
        since : float
            Time since which an attempt has waited there.
        """
        if self.is_silent_link(upstream, since=since):
            return True
        self.investigate(upstream, since=since)
        return False

    def investigate(self, upstream, *, since):
        """Look for an upstream at which an attempt waits in a silence of all.

        Parameters
        ----------
        upstream : Upstream
        since : float
            Time since which it has waited.
        """
        if self.is_quiet(since=since) and self.evidence.may_look_for(
            upstream, since=since
        ):
            self.probes.start(upstream)

    def must_hold(self, address):
        """Return whether new connections to an address are in doubt.

        Notes
        -----
        A link may be lost although connections are established: these are
        closed at once. What is written to one of them has an unknown outcome.
        """
        closing = [
            upstream
            for upstream in self.broken.values()
            if upstream.link.closes
        ]
        if closing and (self.is_cut_off or self.cannot_connect):
            closing = self.gateway.directory.upstreams.values()
        # Not those of peers.
        return any(upstream.entry.address == address for upstream in closing)

    def note_open(self, address):
        """Note that a connection to an address works."""
        if not self.has_trouble:
            return
        reached = [
            upstream
            for upstream in self.gateway.directory.upstreams.values()
            if upstream.entry.address == address
        ]
        if not reached:
            # Of a peer.
            return
        now = self.gateway.reactor.seconds()
        if self.is_cut_off and not self.probation.may_restore(now=now):
            return
        is_conclusive = self.is_deaf() or any(
            each.link.closes for each in self.broken.values()
        )
        unconnected, self.unconnected = self.unconnected, {}
        self.evidence.forget()
        for upstream in reached:
            unconnected.pop(upstream.entry.name, None)
            if (
                upstream.entry.name in self.broken
                and upstream.link.may_restore(now=now)
            ):
                self.restore(upstream)
        self.failed.clear()
        if self.is_cut_off:
            self.end_cut()
            if is_conclusive:
                self.probation.begin_trial(now=now)
        # These fail alone.
        for upstream in unconnected.values():
            self.gateway.directory.tell_unreachable(upstream)

    def restore(self, upstream):
        """Note that the link to an upstream works."""
        upstream.link.restore(now=self.gateway.reactor.seconds())
        self.broken.pop(upstream.entry.name, None)
        self.gateway.directory.note_success(upstream)
        eliot.log_message("link:restored", upstream=upstream.entry.name)

    def is_lost(self, upstream):
        """Return whether an upstream can be reached by other gateways only."""
        return self.is_cut_off or self.is_link_lost(upstream)

    def is_link_lost(self, upstream):
        """Return whether the link to one upstream seems to be lost."""
        if not self.broken:
            return False
        link = upstream.link
        if link.is_broken and link.has_relapsed:
            return True
        if is_link_lost(
            failed_at=link.failed_at, alive_at=link.answered_elsewhere_at
        ):
            return True
        if link.unconnected_at is None and not self.cannot_connect:
            return False
        if self.gateway.pool.has_idle(upstream.entry.address):
            return False
        return self.cannot_connect or is_link_lost(
            failed_at=link.unconnected_at, alive_at=link.alive_at
        )

    def has_lost_link(self):
        """Return whether the link to some upstream seems to be lost."""
        return any(map(self.is_link_lost, self.broken.values()))

    def measure_lost_share(self):
        """Return the share of the upstreams that are not reached, 0 to 1."""
        upstreams = self.gateway.directory.upstreams.values()
        if self.is_confirmed:
            return 1.0
        if not self.broken or not upstreams:
            return 0.0
        return sum(map(self.is_link_lost, upstreams)) / len(upstreams)

    def begin_cut(self, *, is_conclusive):
        self.cut_off_at = self.gateway.reactor.seconds()
        self.probation.note_failure(
            now=self.cut_off_at, is_conclusive=is_conclusive
        )
        self.is_cut_off = True
        self.is_confirmed = False
        eliot.log_message(
            "links:lost",
            upstreams=list(self.failed),
            is_conclusive=is_conclusive,
            **self.evidence.describe(),
        )

    def end_cut(self):
        self.is_cut_off = False
        was_confirmed, self.is_confirmed = self.is_confirmed, False
        eliot.log_message("links:restored", was_confirmed=was_confirmed)
        if was_confirmed:
            self.gateway.announce_reach()

    def confirm_cut(self):
        """Take it as certain that no upstream is reached.

        Not before streams would have brought bytes: upstreams may have ended
        in the same moment. Nor while they may just stand still.
        """
        if (
            not self.is_cut_off
            or self.is_confirmed
            or not self.is_quiet(since=self.cut_off_at)
            or not self.evidence.is_conclusive()
        ):
            return
        self.is_confirmed = True
        eliot.log_message("links:confirmed_lost", **self.evidence.describe())
        self.gateway.announce_reach()
        self.move_attempts()

    def move_attempts(self):
        """Break off the attempts that another gateway can make instead."""
        for exposure in list(self.gateway.guard.exposures):
            if exposure.abort is not None and exposure.can_move():
                exposure.abort(StreamStalledError("the links are lost"))
