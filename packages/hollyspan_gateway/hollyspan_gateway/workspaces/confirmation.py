"""Confirmation that the keys of the configuration are still in force."""

import collections
import math

import eliot
from twisted.internet import defer

from hollyspan_core.errors import KeysUnconfirmedError
from hollyspan_core.errors import StoreHistoryLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.workspaces import accepts_keys
from hollyspan_policy.workspaces import choose_confirmation_age
from hollyspan_policy.workspaces import choose_retry_interval
from hollyspan_policy.workspaces import estimate_age
from hollyspan_policy.workspaces import rank_confirmer

from ..clock import wait

__all__ = ["Confirmation"]

# Interval of the checks; datagrams may have waited for two of them.
CHECK_INTERVAL_S = 0.1
# Wait of a confirming watch: the store answers at once.
CONFIRMING_WAIT_S = 0.001
# Time that the mirror's own watch has to deliver what a confirming one found.
WATCH_GRACE_S = 0.3
# Time for which a peer's word of a newer configuration counts: several times
# as long as it takes to fetch it.
NEWS_LIFETIME_S = 5.0


class Confirmation:
    """Keeps the age of the configuration below the bound on withdrawal.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    heard_at : float
        Time of the newest confirmation that this gateway knows of, without
        the margins for its way here, on the boot clock.
    attempted_at : float
        Time of the last call to the store, on the boot clock.
    checked_at : collections.deque
        Times of the last two checks, on the boot clock. Datagrams that
        arrived before the first of them have been read.
    news : (int, float)
        Revision of the newest configuration that a peer has told of, and the
        time at which it did.
    unread_since : float or None
        Time since which the newest configuration cannot be read, on the boot
        clock.
    has_accepted : bool
        Whether keys were accepted at the last check.

    Notes
    -----
    Without a bound in the settings or workspaces in the configuration, keys
    are always accepted and the store is not asked.
    """

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.heard_at = -math.inf
        self.attempted_at = -math.inf
        self.checked_at = collections.deque([-math.inf] * 2, maxlen=2)
        self.news = (0, -math.inf)
        self.is_asking = False
        self.unread_since = None
        self.has_accepted = True

    @property
    def bound(self):
        """Bound on the withdrawal of keys in seconds, or None."""
        return self.gateway.settings.withdrawal_seconds

    @property
    def is_required(self):
        """True if keys are accepted only while they are confirmed."""
        routes = self.gateway.routes
        return (
            self.bound is not None
            and routes is not None
            and routes.workspaces is not None
        )

    @property
    def age(self):
        """Seconds since the keys were certainly in force."""
        age = self.gateway.configuration_mirror.measure_confirmed_age()
        if age is None:
            return math.inf
        if self.unread_since is None:
            return age
        # The configuration that cannot be read may withdraw keys.
        return max(age, self.gateway.boot_clock() - self.unread_since)

    @property
    def accepts_keys(self):
        """True if requests may be run by the keys that are known."""
        return not self.is_required or accepts_keys(self.age, bound=self.bound)

    @property
    def is_behind(self):
        """True if a peer has told of a newer configuration."""
        revision, told_at = self.news
        return (
            revision > self.gateway.configuration_revision
            and self.gateway.boot_clock() - told_at < NEWS_LIFETIME_S
        )

    def require(self, *, outcome):
        """Raise KeysUnconfirmedError unless keys are accepted.

        Parameters
        ----------
        outcome : Outcome
            Whether the request may have run.
        """
        if not self.accepts_keys:
            raise KeysUnconfirmedError(
                "nobody has confirmed the keys of late",
                outcome=outcome,
                retry_after=self.estimate_retry_after(),
            )

    def estimate_retry_after(self):
        """Return the seconds until the region will have asked again."""
        return choose_retry_interval(0, bound=self.bound, has_expired=True)

    def start(self):
        """Check from now on whether the store has to be asked."""
        if self.bound is not None:
            self.check()

    def check(self):
        """Ask the store if it is this gateway's turn; log a change."""
        self.gateway.reactor.callLater(CHECK_INTERVAL_S, self.check)
        self.checked_at.append(self.gateway.boot_clock())
        if not self.gateway.has_unread_configuration:
            self.unread_since = None
        elif self.unread_since is None:
            self.unread_since = self.gateway.boot_clock()
        if self.is_required and self.must_ask():
            defer.ensureDeferred(self.ask()).addErrback(eliot.write_failure)
        self.log_change()

    def log_change(self):
        """Log when keys are no longer accepted, or are so again."""
        accepts = self.accepts_keys
        if accepts is self.has_accepted:
            return
        self.has_accepted = accepts
        eliot.log_message(
            "keys:confirmed" if accepts else "keys:unconfirmed",
            age=self.age,
            configuration=self.gateway.configuration_version,
        )

    def must_ask(self):
        """Return whether to ask the store now."""
        mirror = self.gateway.configuration_mirror
        if self.is_asking or mirror.needs_listing:
            return False
        now = self.gateway.boot_clock()
        age = now - max(self.heard_at, mirror.confirmed_at)
        if age < choose_confirmation_age(0, bound=self.bound):
            return False
        rank = self.find_rank()
        interval = choose_retry_interval(
            rank, bound=self.bound, has_expired=not self.accepts_keys
        )
        return (
            age >= choose_confirmation_age(rank, bound=self.bound)
            and now - self.attempted_at >= interval
        )

    def find_rank(self):
        """Return how many gateways of the region ask before this one."""
        peers = self.gateway.peers
        return rank_confirmer(
            peers.identifier,
            runs_batch=self.gateway.settings.runs_batch,
            others=[
                (peer.identifier, peer.runs_batch)
                for peer in peers.list_live()
                if peer.region == peers.region
                and peer.reaches_store
                and not peer.is_leaving
            ],
        )

    async def ask(self):
        """Ask the store whether there is a newer configuration."""
        gateway = self.gateway
        mirror = gateway.configuration_mirror
        sent_at = self.attempted_at = gateway.boot_clock()
        self.is_asking = True
        try:
            page = await gateway.store.watch(
                mirror.prefix,
                after=mirror.revision,
                seconds=CONFIRMING_WAIT_S,
            )
            if page.entries:
                # Its own watch mostly delivers the changes at this moment.
                await wait(gateway.reactor, WATCH_GRACE_S)
                if mirror.revision < page.changed_revision:
                    mirror.reopen()
                    return
            if not mirror.needs_listing:
                mirror.confirm(sent_at)
                self.announce()
        except StoreHistoryLostError:
            mirror.refresh()
        except StoreUnavailableError as error:
            eliot.log_message(
                "keys:not_confirmed", reason=error.message, age=self.age
            )
        finally:
            self.is_asking = False

    def announce(self):
        """Tell the region of a confirmation before others ask."""
        peers = self.gateway.peers
        peers.send_change(
            [
                peer
                for peer in peers.list_live()
                if peer.region == peers.region
            ],
            configuration=self.gateway.configuration_revision,
            store_age=self.describe_age(),
        )

    def describe_age(self):
        """Return the age to tell peers, None if it is not known."""
        if self.bound is None or self.age == math.inf:
            return None
        return self.age

    def note_message(self, message):
        """Apply what a peer tells of its configuration.

        Parameters
        ----------
        message : FleetMessage
        """
        now = self.gateway.boot_clock()
        revision = self.gateway.configuration_revision
        if message.configuration > max(revision, self.news[0]):
            self.news = (message.configuration, now)
        if (
            message.store_age is None
            or not message.configuration
            or message.configuration > revision
        ):
            return
        self.heard_at = max(self.heard_at, now - message.store_age)
        age = estimate_age(message.store_age, stall=now - self.checked_at[0])
        self.gateway.configuration_mirror.confirm(now - age)
