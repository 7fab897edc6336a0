"""Runs of items at silent upstreams."""

import contextlib
import math

from hollyspan_policy.reach import is_only_silent_here
from hollyspan_policy.retries import must_leave_silence
from hollyspan_policy.retries import pays_to_move
from hollyspan_policy.retries import speaks_against_text

__all__ = ["Silences"]

# Silence after which an upstream that ends may not have read its requests.
STILL_S = 1.0
# Expected time to the first event of a run at another upstream, while this one
# has had none.
FIRST_EVENT_S = 0.3
# An upstream that was heard within this time does not stand still; several
# times the interval between events, and between messages of peers.
HEARD_S = 0.25
# Age up to which a count of free places counts: items that have moved occupy
# theirs by then.
PLACES_TTL_S = 0.25
# Time for which no place is free after an item has found none: two rounds of
# starts.
SHORTAGE_S = 0.2


class Silences:
    """Decides when items of this gateway leave silent upstreams.

    Parameters
    ----------
    gateway : Gateway
    times : RunTimeEstimator

    Attributes
    ----------
    runs : dict
        Runs that have fallen silent, by key of their item.
    places : dict
        FreePlaces by service and version.
    short_at : dict
        Time at which an item last found no place, reactor seconds, by
        service.
    """

    __slots__ = ("gateway", "times", "runs", "places", "short_at")

    def __init__(self, *, gateway, times):
        self.gateway = gateway
        self.times = times
        self.runs = {}
        self.places = {}
        self.short_at = {}

    @contextlib.contextmanager
    def track(self, run):
        """Forget the silence of a run at its end."""
        try:
            yield
        finally:
            self.runs.pop(run.state.key, None)

    def list_avoided(self, state, service):
        """Return the names of the upstreams that an item should not go to.

        Parameters
        ----------
        state : ItemState
        service : str

        Returns
        -------
        set of str
            The one that failed it last, and those at which runs are silent;
            for an item that leaves a silence, all that are not heard.
        """
        now = self.gateway.reactor.seconds()
        avoided = {
            run.upstream.entry.name
            for run in self.runs.values()
            if now - max(run.heard_at, run.upstream.link.heard_at) > HEARD_S
        }
        if state.has_moved:
            avoided.update(
                upstream.entry.name
                for upstream in self.gateway.directory.list_usable(service)
                if not self.is_heard(upstream)
            )
        if state.broken_at is not None:
            avoided.add(state.broken_at)
        return avoided

    def is_heard(self, upstream):
        """Return whether an upstream has just been heard, here or by peers."""
        link = upstream.link
        heard_at = max(link.heard_at, link.last_elsewhere_at)
        return self.gateway.reactor.seconds() - heard_at <= HEARD_S

    def note_shortage(self, service):
        """Note that an item of a service has found no place."""
        self.short_at[service] = self.gateway.reactor.seconds()

    def must_leave(self, run):
        """Decide whether a silent run is broken off.

        One that moves takes a free place elsewhere off the count.

        Parameters
        ----------
        run : ItemRun

        Returns
        -------
        bool
        """
        reach = self.gateway.reach
        now = self.gateway.reactor.seconds()
        quiet_since = run.heard_at
        self.runs[run.state.key] = run
        if now - quiet_since >= STILL_S:
            reach.note_silence(run.upstream)
        is_silent_link = reach.leaves_silence(run.upstream, since=quiet_since)
        if must_leave_silence(
            quiet_seconds=now - quiet_since,
            is_silent_link=is_silent_link,
            has_follower=is_silent_link and self.has_follower(),
            is_ended=run.upstream.incarnation.is_gone,
        ):
            return True
        run.is_moving = self.pays_to_move(run) and self.take_place(run)
        return run.is_moving

    def pays_to_move(self, run):
        """Return whether a silent run should go on at a free place."""
        # Moving once more would help no more than the last time.
        if run.state.lost_runs:
            return False
        return pays_to_move(
            quiet_seconds=self.gateway.reactor.seconds() - run.heard_at,
            is_upstream_heard=is_upstream_heard(run),
            move_seconds=run.first_event_seconds or FIRST_EVENT_S,
            slack_seconds=self.measure_slack(run.state),
        )

    def speaks_against_text(self, run):
        """Return whether a run broken off without an event counts.

        Notes that the item was silent at its upstream.
        """
        state, upstream = run.state, run.upstream
        name = upstream.entry.name
        is_first_there = name not in state.silent_at
        state.silent_at |= {name}
        return speaks_against_text(
            is_upstream_heard=(
                # Bytes without an event may have come.
                self.gateway.reactor.seconds() - run.heard_at < HEARD_S
                or is_upstream_heard(run)
            ),
            is_first_there=is_first_there,
            has_other=any(
                other is not upstream
                and state.version in (None, other.entry.version_key)
                and self.is_heard(other)
                for other in self.gateway.directory.list_usable(
                    upstream.entry.service
                )
            ),
        )

    def list_movable(self):
        """Return the items of silent runs that should go on elsewhere.

        Returns
        -------
        list of ItemState
            Those that may go to any upstream that is heard now.
        """
        now = self.gateway.reactor.seconds()
        if now - self.gateway.reach.heard_at > HEARD_S:
            return []
        return [
            run.state
            for run in self.runs.values()
            if run.exposure.abort is not None
            and is_only_silent_here(
                quiet_since=run.heard_at,
                answered_elsewhere_at=now - HEARD_S,
            )
            and self.pays_to_move(run)
        ]

    def has_follower(self):
        """Return whether another gateway can run the items of this one."""
        own = self.gateway.peers.identifier
        return any(each != own for each in self.gateway.list_workers())

    def measure_slack(self, state):
        """Return the seconds that an item has beyond its expected run."""
        left = state.job_state.job.due - self.gateway.wall_clock()
        return left - self.times.estimate_remaining_seconds(
            len(state.event_data)
        )

    def take_place(self, run):
        """Take a free place elsewhere for a run; return whether there is one.

        None is free while items wait for one.
        """
        now = self.gateway.reactor.seconds()
        service = run.upstream.entry.service
        if now - self.short_at.get(service, -math.inf) < SHORTAGE_S:
            return False
        key = (service, run.state.version)
        places = self.places.get(key)
        if places is None or now - places.counted_at > PLACES_TTL_S:
            self.places = {
                each: counted
                for each, counted in self.places.items()
                if now - counted.counted_at <= PLACES_TTL_S
            }
            places = self.places[key] = FreePlaces(
                counted_at=now, count=self.count_places(*key)
            )
        # These upstreams were heard after this one fell silent.
        if places.count < 1 or not is_only_silent_here(
            quiet_since=run.heard_at,
            answered_elsewhere_at=places.counted_at - HEARD_S,
        ):
            return False
        places.count -= 1
        return True

    def count_places(self, service, version):
        """Count the places for items at upstreams that are heard.

        There are none while this gateway hears no upstream.
        """
        now = self.gateway.reactor.seconds()
        if now - self.gateway.reach.heard_at > HEARD_S:
            return 0
        own = self.gateway.peers.identifier
        workers = sorted(self.gateway.list_workers())
        if own not in workers:
            return 0
        return self.gateway.batch_placement.count_places(
            service,
            accepts=self.is_heard,
            version=version,
            rank=workers.index(own),
            daemons=len(workers),
        )


def is_upstream_heard(run):
    """Return whether an upstream was heard while a run there was silent."""
    link = run.upstream.link
    return is_only_silent_here(
        quiet_since=run.heard_at,
        answered_elsewhere_at=max(link.heard_at, link.last_elsewhere_at),
    )


class FreePlaces:
    """Places that items may move to.

    Parameters
    ----------
    counted_at : float
        Time of the count, reactor seconds.
    count : int
        Those that no item has taken since.
    """

    __slots__ = ("counted_at", "count")

    def __init__(self, *, counted_at, count):
        self.counted_at = counted_at
        self.count = count
