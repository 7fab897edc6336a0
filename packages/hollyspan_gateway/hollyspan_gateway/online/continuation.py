"""Requests that may have run, and that no final answer has been given to."""

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamStalledError
from hollyspan_core.errors import UpstreamUnreachableError
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.retries import compute_backoff
from hollyspan_policy.retries import list_passed_over
from hollyspan_policy.retries import may_break_off
from hollyspan_policy.retries import must_ask_again
from hollyspan_policy.retries import must_continue

from ..clock import wait

__all__ = ["Continuation"]

# Longest pause after the first round of attempts that nobody took, and after
# any: a place becomes free in the time that a request occupies one.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.4


class Continuation:
    """Decides how a request goes on after an attempt that may have run it.

    Parameters
    ----------
    relay : Relay

    Attributes
    ----------
    ran_at : set of str
        Names of the upstreams that may have run the request for this gateway.
    lost : dict
        Upstreams to which a connection of this gateway for the request broke
        off, or could not be opened, by name.
    broken_off : set of str
        Names of those that may have run it and were not asked again since.
    current : str or None
        Name of the upstream of the attempt in flight.
    ran_elsewhere : dict
        Keys of those that may have run it for others, in order; the values
        are None.
    has_given_up : bool
        True once an attempt was given up while its answer could come.
    rounds : int
        Number of pauses so far.

    Notes
    -----
    A client that has a part of the answer waits for the rest, and one whose
    request was given up at a sound upstream would have had its answer. Until
    the deadline, such a request fails only if no attempt is left.
    """

    __slots__ = (
        "relay",
        "ran_at",
        "lost",
        "broken_off",
        "current",
        "ran_elsewhere",
        "has_given_up",
        "rounds",
    )

    def __init__(self, *, relay):
        self.relay = relay
        self.ran_at = set()
        self.lost = {}
        self.broken_off = set()
        self.current = None
        self.ran_elsewhere = {}
        self.has_given_up = False
        self.rounds = 0

    def may_break_off(self):
        """Return whether the current attempt may be given up for another."""
        relay = self.relay
        return (
            may_break_off(
                sends=relay.sends,
                max_attempts=relay.max_attempts,
                is_repeatable=relay.route.is_repeatable,
            )
            and relay.gateway.guard.block_list.may_send(relay.head.keys)
            and relay.gateway.workspaces.is_in_force(relay)
        )

    def must_continue(self, error):
        """Return whether to try again although all others have refused.

        Parameters
        ----------
        error : HollyspanError
            Of the last attempt.
        """
        relay = self.relay
        was_refused = (
            isinstance(error, OverloadedError)
            or error.outcome is Outcome.NOT_RUN
        )
        return (
            was_refused
            and not relay.is_forwarded
            and must_continue(
                sends=relay.sends,
                max_attempts=relay.max_attempts,
                is_repeatable=relay.route.is_repeatable,
                is_owed=self.has_given_up or relay.delivery.has_begun,
                seconds_left=relay.measure_time_left(),
                pause_seconds=self.find_pause(),
            )
        )

    def note_failure(self, error):
        """Note an attempt of this gateway that has failed."""
        upstream = self.relay.upstream
        name = upstream.entry.name
        if isinstance(error, (StreamLostError, UpstreamUnreachableError)):
            self.lost[name] = upstream
        self.broken_off.discard(name)
        if error.outcome is Outcome.NOT_RUN:
            return
        self.ran_at.add(name)
        if isinstance(error, StreamLostError):
            self.broken_off.add(name)
        if isinstance(error, StreamStalledError):
            self.has_given_up = True

    def must_ask_others(self):
        """Return whether only other gateways may reach what can go on.

        Notes
        -----
        What has certainly not run is worth no hop to an upstream that another
        gateway does not reach either.
        """
        relay = self.relay
        now = relay.gateway.reactor.seconds()
        lost = {
            name
            for name, upstream in self.lost.items()
            if upstream.link.is_broken
            and (relay.sends or not upstream.link.is_doubted(now=now))
        }
        return bool(lost) and self.must_ask_again(lost) and relay.can_hop()

    def must_ask_again(self, lost):
        """Return whether only those whose connections failed are left."""
        relay = self.relay
        return must_ask_again(
            lost=lost,
            ran=self.ran_at | self.list_names_elsewhere(),
            usable=[
                each.entry.name
                for each in relay.gateway.directory.list_usable(relay.service)
                if not each.incarnation.is_gone
                and relay.version in (None, each.entry.version_key)
            ],
        )

    def note_run_elsewhere(self, keys):
        """Note upstreams that may have run the request for other gateways."""
        self.ran_elsewhere.update(dict.fromkeys(keys))

    def list_run_keys(self):
        """Return keys of the upstreams that may have run it for this gateway.

        The one of an attempt in flight is among them.
        """
        names = {self.current, *self.ran_at} - {None}
        return [hash_parts(name) for name in sorted(names)]

    def list_all_run_keys(self):
        """Return keys of those that may have run it for any gateway."""
        return list(
            dict.fromkeys([*self.ran_elsewhere, *self.list_run_keys()])
        )

    def list_excluded(self):
        """Return the names of the upstreams that are not to be sent to."""
        relay = self.relay
        tried = relay.tried
        if self.broken_off and self.must_ask_again(self.broken_off):
            tried = tried - self.broken_off
        if not self.ran_elsewhere:
            return tried
        directory = relay.gateway.directory
        usable = {
            each.entry.name
            for each in directory.list_usable(relay.service)
            if not each.incarnation.is_gone
            and relay.version
            in (None, relay.gateway.placement.find_version(each))
        }
        return tried | list_passed_over(
            ran_here=self.ran_at,
            ran_elsewhere=self.list_names_elsewhere(),
            usable=usable,
        )

    def list_names_elsewhere(self):
        """Return the names of those that may have run it for others."""
        by_key = self.relay.gateway.directory.by_key
        return {
            by_key[key].entry.name
            for key in self.ran_elsewhere
            if key in by_key
        }

    def find_pause(self):
        """Return the seconds until the next round of attempts."""
        return compute_backoff(
            self.rounds + 1,
            seed=self.relay.head.identifier,
            base=FIRST_PAUSE_S,
            limit=MAX_PAUSE_S,
        )

    async def pause(self):
        """Wait before another round, in which all may be asked again."""
        relay = self.relay
        seconds = self.find_pause()
        self.rounds += 1
        await wait(relay.gateway.reactor, seconds)
        relay.refusals = 0
        relay.tried = set(self.ran_at)
        self.broken_off = self.ran_at.intersection(self.lost)
        relay.asked_peers.clear()
