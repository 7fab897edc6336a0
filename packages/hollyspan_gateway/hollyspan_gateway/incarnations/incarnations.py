"""Whether upstreams are still the processes that their entries name."""

import math

import eliot
from twisted.internet import defer
from twisted.web import http

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import UpstreamReplacedError

from ..clock import wait
from ..http1 import REPORT
from ..http1 import run_attempt
from ..streams.notice import AMBIGUOUS_VERSION
from .notice import UnprovenNotice

__all__ = ["Incarnations"]

# Timeout of an upstream's report of itself, many times a round trip, and the
# upstreams that are asked for one continuation.
REPORT_TIMEOUT_S = 0.3
ASKED_UPSTREAMS = 2
# Longest wait for a proof that a stream may go on, and the interval of looks.
PROOF_TIMEOUT_S = 0.3
PROOF_CHECK_INTERVAL_S = 0.02
# Time until an upstream is asked again that has not answered, and one whose
# answer does not tell when it started.
ASK_AGAIN_S = 0.25
ASK_MUTE_AGAIN_S = 5.0
# Time on the way of most messages.
MAX_DELAY_S = 0.15
# Limit on the upstreams that a message tells of; the newest are told.
MAX_TOLD = 32


class Incarnations:
    """Tells at which upstreams a text or stream may go on.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    told : dict
        Time of the first sign, by the key of the incarnation, of those
        that peers are told of; the oldest first.
    heard : set of int
        Keys of the incarnations that peers have told of as unproven.
    asking : dict
        List of Deferred of those that wait for an upstream's report, by the
        Upstream.
    ask_after : dict
        Time from which an upstream may be asked again, by the Upstream.
    accepted : dict
        Time at which a connection was accepted right after one was broken
        off, by the Upstream that is asked.
    mute : set of Upstream
        Those whose reports do not tell when they started.

    Notes
    -----
    An upstream that starts again under its name is another process, with
    other software perhaps. Its entry tells late, and not at all while the
    store is down. A refused or broken connection is a sign that a process has
    ended; until the contrary is proven the version of its entry is not taken
    for that of the process at its address.
    """

    __slots__ = (
        "gateway",
        "told",
        "heard",
        "asking",
        "ask_after",
        "accepted",
        "mute",
    )

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.told = {}
        self.heard = set()
        self.asking = {}
        self.ask_after = {}
        self.accepted = {}
        self.mute = set()

    def is_unproven(self, upstream):
        """Return whether the process may be another than the entry's."""
        record = upstream.incarnation
        if not record.is_unproven:
            return False
        self.note_open_connections(upstream)
        mirror = self.gateway.upstreams_mirror
        if (
            mirror.is_connected
            and mirror.reconnected_at is not None
            and record.note_listed(
                confirmed_at=mirror.confirmed_at,
                connected_since=mirror.reconnected_at,
            )
        ):
            self.note_proven(upstream, by="store")
        return record.is_unproven

    def list_unproven(self):
        """Return the set of keys of the unproven incarnations."""
        return {
            upstream.entry.incarnation_key
            for upstream in self.gateway.directory.upstreams.values()
            if self.is_unproven(upstream)
        }

    def note_open_connections(self, upstream):
        """Take an idle connection that has outlasted the sign for a proof.

        Those of a process end with it, but a lost link tells nothing of it.
        """
        if upstream.link.is_broken or self.gateway.reach.is_cut_off:
            return
        opened = self.gateway.pool.list_idle(upstream.entry.address)
        if opened:
            self.note_bytes(upstream, opened_at=min(opened))

    def find_version(self, upstream):
        """Return the key of the version of an upstream, None if unknown."""
        if self.is_unproven(upstream):
            return None
        return upstream.entry.version_key

    def find_run_version(self, exposure):
        """Return the key of the version that answers an attempt.

        Parameters
        ----------
        exposure : Exposure

        Returns
        -------
        int
            AMBIGUOUS_VERSION if it is not known.
        """
        upstream = exposure.upstream
        if upstream.incarnation.has_reached(
            exposure.opened_at
        ) or not self.is_unproven(upstream):
            return upstream.entry.version_key
        return AMBIGUOUS_VERSION

    def require_version(self, exposure, version):
        """Raise UpstreamReplacedError if another version may answer.

        Parameters
        ----------
        exposure : Exposure
        version : int or None
            Key of the version at which the attempt has to go on; None for
            any.
        """
        if version not in (None, self.find_run_version(exposure)):
            raise UpstreamReplacedError("another process may have answered")

    def note_refused(self, address):
        """Note a connection that was refused."""
        now = self.gateway.reactor.seconds()
        for upstream in self.list_at(address):
            self.note_sign(upstream, at=now, reason="refused")
            self.tell(upstream)

    def note_closed_early(self, address):
        """Note an idle connection that was closed before its time."""
        now = self.gateway.reactor.seconds()
        for upstream in self.list_at(address):
            self.note_sign(upstream, at=now, reason="closed")

    def note_broken_off(self, upstream):
        """Note a connection that was broken off in an answer."""
        now = self.gateway.reactor.seconds()
        self.note_sign(upstream, at=now, reason="broken off")

    def note_told(self, key, *, at):
        """Note a sign that a peer has seen.

        Parameters
        ----------
        key : int
            Key of the upstream's incarnation.
        at : float
            Time of the sign.
        """
        for upstream in self.gateway.directory.upstreams.values():
            if upstream.entry.incarnation_key == key:
                self.note_sign(upstream, at=at, reason="told")

    def list_at(self, address):
        """Return the upstreams at an address."""
        return [
            upstream
            for upstream in self.gateway.directory.upstreams.values()
            if upstream.entry.address == address
        ]

    def note_sign(self, upstream, *, at, reason):
        """Note a sign that the process of an upstream may have ended."""
        record = upstream.incarnation
        now = self.gateway.reactor.seconds()
        if not record.note_sign(at=at, now=now):
            return
        eliot.log_message(
            "upstream:unproven",
            upstream=upstream.entry.name,
            version=upstream.entry.version,
            reason=reason,
        )
        for exposure in list(self.gateway.guard.exposures):
            if (
                exposure.upstream is upstream
                and exposure.version is not None
                and exposure.abort is not None
                and not record.has_reached(exposure.opened_at)
            ):
                exposure.abort(
                    UpstreamReplacedError("another process may answer")
                )

    def note_bytes(self, upstream, *, opened_at):
        """Note bytes of an answer over a connection."""
        record = upstream.incarnation
        if record.is_unproven and record.note_bytes(
            opened_at=opened_at, now=self.gateway.reactor.seconds()
        ):
            self.note_proven(upstream, by="connection")

    def note_proven(self, upstream, *, by):
        eliot.log_message(
            "upstream:proven", upstream=upstream.entry.name, by=by
        )
        self.told.pop(upstream.entry.incarnation_key, None)
        self.heard.discard(upstream.entry.incarnation_key)
        self.ask_after.pop(upstream, None)
        if self.gateway.worker is not None:
            self.gateway.worker.schedule(0.0)

    def tell(self, upstream):
        """Tell the peers of an unproven upstream, unless they know."""
        key = upstream.entry.incarnation_key
        if (
            key in self.told
            or key in self.heard
            or not upstream.incarnation.is_unproven
        ):
            return
        now = self.gateway.reactor.seconds()
        self.told[key] = now
        if len(self.told) > MAX_TOLD:
            del self.told[next(iter(self.told))]
        table = self.gateway.peers
        table.send_change(
            table.list_live(), unproven=[UnprovenNotice(upstream=key, age=0.0)]
        )

    def describe(self):
        """Return the notices for a full message to peers."""
        now = self.gateway.reactor.seconds()
        listed = {
            upstream.entry.incarnation_key
            for upstream in self.gateway.directory.upstreams.values()
        }
        self.told = {key: at for key, at in self.told.items() if key in listed}
        self.heard &= listed
        return [
            UnprovenNotice(upstream=key, age=now - at)
            for key, at in self.told.items()
        ]

    def apply(self, message):
        """Apply what a peer tells of processes that may have ended."""
        now = self.gateway.reactor.seconds()
        for notice in (*message.ends, *message.other_ends, *message.unproven):
            at = now - notice.age
            if notice.age > MAX_DELAY_S:
                # A repetition that was long on its way is no later sign.
                at -= MAX_DELAY_S
            self.note_told(notice.upstream, at=at)
        self.heard.update(notice.upstream for notice in message.unproven)

    def note_open(self, address):
        """Ask unproven upstreams that accept connections again."""
        now = self.gateway.reactor.seconds()
        for upstream in self.list_at(address):
            upstream.incarnation.note_accepted(now=now)
            if self.may_ask(upstream):
                self.start_asking(upstream)

    def note_accepted(self, upstream, *, asked_at):
        """Note a connection right after one that was broken off.

        A process takes longer to start than a connection to open, which
        tells nothing of signs from before. The upstream's own answer is
        better, where it gives one.

        Parameters
        ----------
        upstream : Upstream
        asked_at : float
            Time at which the attempt to connect began.
        """
        record = upstream.incarnation
        now = self.gateway.reactor.seconds()
        is_alive = (
            record.is_unproven
            and record.unproven_since >= asked_at
            and not record.is_gone
        )
        if upstream.entry.started_at_ms is None or upstream in self.mute:
            if is_alive:
                self.prove_by(upstream, at=now, by="check")
        elif self.may_ask(upstream):
            if is_alive:
                self.accepted[upstream] = now
            self.start_asking(upstream)

    def prove_by(self, upstream, *, at, by):
        if upstream.incarnation.prove(at):
            self.note_proven(upstream, by=by)

    def may_ask(self, upstream):
        """Return whether an upstream's report may prove it."""
        return (
            not upstream.incarnation.is_gone
            and self.is_unproven(upstream)
            and upstream.entry.started_at_ms is not None
            and self.gateway.reactor.seconds()
            >= self.ask_after.get(upstream, -math.inf)
        )

    async def prove(self, service, version, *, excluded=()):
        """Wait while unproven upstreams are asked that a stream needs.

        Parameters
        ----------
        service : str
        version : int or None
            Key of the version at which the stream has to go on, None for any.
        excluded : collection of str, optional
            Names of the upstreams that it was sent to.
        """
        reactor = self.gateway.reactor
        until = reactor.seconds() + PROOF_TIMEOUT_S
        while (
            version is not None
            and self.ask_for(service, version, excluded=excluded)
            and reactor.seconds() < until
        ):
            await wait(reactor, PROOF_CHECK_INTERVAL_S)

    async def settle(self, upstream):
        """Ask an unproven upstream before a stream begins there."""
        if self.may_ask(upstream) and not upstream.link.is_broken:
            await self.start_asking(upstream)

    def ask_for(self, service, version, *, excluded=()):
        """Ask unproven upstreams if no other one has a version.

        Parameters
        ----------
        service : str
        version : int
        excluded : collection of str, optional
            Names of the upstreams that do not help.

        Returns
        -------
        bool
            True if one of them may be known soon.
        """
        others = [
            upstream
            for upstream in self.gateway.directory.list_usable(service)
            if upstream.entry.version_key == version
            and upstream.entry.name not in excluded
        ]
        if any(self.find_version(each) == version for each in others):
            return False
        asked = [each for each in others if self.may_ask(each)]
        for upstream in asked[:ASKED_UPSTREAMS]:
            self.start_asking(upstream)
        checked = self.gateway.guard.detector.lost
        return any(each in self.asking or each in checked for each in others)

    def start_asking(self, upstream):
        """Ask an upstream for its report.

        Returns
        -------
        Deferred
            Fires when it has answered or failed to.
        """
        answer = defer.Deferred()
        if upstream in self.asking:
            self.asking[upstream].append(answer)
        else:
            self.asking[upstream] = [answer]
            work = defer.ensureDeferred(self.ask(upstream))
            work.addErrback(eliot.write_failure)
        return answer

    async def ask(self, upstream):
        # Not from within the call that has opened a connection.
        await wait(self.gateway.reactor, 0.0)
        now = self.gateway.reactor.seconds()
        try:
            started_at_ms = await self.read_start(upstream)
        except (HollyspanError, defer.TimeoutError) as error:
            self.ask_after[upstream] = now + ASK_AGAIN_S
            eliot.log_message(
                "upstream:not_asked",
                upstream=upstream.entry.name,
                reason=str(error),
            )
        else:
            if started_at_ms is None:
                self.ask_after[upstream] = now + ASK_MUTE_AGAIN_S
                self.mute.add(upstream)
                if upstream in self.accepted:
                    self.prove_by(
                        upstream, at=self.accepted[upstream], by="check"
                    )
            elif started_at_ms != upstream.entry.started_at_ms:
                upstream.incarnation.note_gone()
                eliot.log_message(
                    "upstream:replaced", upstream=upstream.entry.name
                )
                self.gateway.guard.confirm_recent_end(upstream)
                self.tell(upstream)
            else:
                self.prove_by(upstream, at=now, by="report")
        finally:
            self.accepted.pop(upstream, None)
            self.forget_unlisted()
            for answer in self.asking.pop(upstream):
                if not answer.called:
                    answer.callback(None)

    async def read_start(self, upstream):
        """Return the start time that an upstream tells, None without one."""
        dialect = self.gateway.dialect
        parts = []
        statuses = []
        attempt = defer.ensureDeferred(
            run_attempt(
                self.gateway.pool,
                address=upstream.entry.address,
                method=b"GET",
                target=dialect.report_target,
                headers=[(b"Host", upstream.entry.address[0].encode())],
                body=b"",
                on_reply=lambda status, headers: statuses.append(status),
                on_data=parts.append,
                kind=REPORT,
            )
        )
        attempt.addTimeout(REPORT_TIMEOUT_S, self.gateway.reactor)
        error = await attempt
        if error is not None:
            raise error
        if statuses != [http.OK]:
            return None
        return dialect.decode_report(b"".join(parts))

    def forget_unlisted(self):
        listed = set(self.gateway.directory.upstreams.values())
        self.mute &= listed
        self.ask_after = {
            upstream: at
            for upstream, at in self.ask_after.items()
            if upstream in listed
        }
