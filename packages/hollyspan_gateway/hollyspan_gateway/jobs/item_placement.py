"""Where an item runs, and when it is run again."""

import eliot

from hollyspan_policy.retries import compute_backoff
from hollyspan_policy.streams import must_start_over

__all__ = ["ItemPlacement", "choose_retry_delay"]

# Delay before an item is run again after a failed run. From the third one in a
# row that failed before an event it doubles: the item itself may have ended
# its upstreams, or may always get an answer without events.
RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 10.0
# Runs in a row that failed before an event, after which a text is dropped,
# since all upstreams of its version may fail each run.
MAX_LOST_RUNS = 3


class ItemPlacement:
    """Chooses upstreams for items, and what becomes of their texts.

    Parameters
    ----------
    gateway : Gateway
    times : RunTimeEstimator
    find_rank : callable
        See `BatchPlacement.choose`.
    silences : Silences

    Attributes
    ----------
    known : dict
        What items of this round have learnt since its last start, by what
        they asked for.

    Notes
    -----
    Load pattern: many items wait while upstreams are full or silent. The
    places for items of the same kind are looked for once in a round, and
    again after each start.
    """

    __slots__ = ("gateway", "times", "find_rank", "silences", "known")

    def __init__(self, *, gateway, times, find_rank, silences):
        self.gateway = gateway
        self.times = times
        self.find_rank = find_rank
        self.silences = silences
        self.known = {}

    def begin_round(self):
        """Begin a round of starts."""
        self.known.clear()

    def recall(self, find, *key):
        """Return what a function returns, called once for a key."""
        key = (find.__name__, *key)
        if key not in self.known:
            self.known[key] = find(*key[1:])
        return self.known[key]

    def choose(self, state, service, *, is_urgent):
        """Choose the upstream for an item.

        Parameters
        ----------
        state : ItemState
        service : str
        is_urgent : bool

        Returns
        -------
        Upstream or None
            None without a place for it.

        Notes
        -----
        A text goes on at the version that began it. It is dropped when no
        upstream has that version, when these have failed several runs in a
        row before an event, or when none of them has had a place for as
        long as it takes to write it again.
        """
        if state.version is not None:
            if not self.recall(
                self.gateway.placement.serves_version, service, state.version
            ):
                discard_text(state, "its version is gone")
            elif state.lost_runs >= MAX_LOST_RUNS:
                discard_text(state, "its version breaks each run")

        def choose_at(version):
            # Whichever upstreams are avoided, the others come first only.
            key = (service, version, is_urgent)
            if key in self.known:
                return None
            upstream = self.gateway.batch_placement.choose(
                service,
                key=state.item.identifier,
                is_urgent=is_urgent,
                find_rank=self.find_rank,
                version=version,
                avoided=self.silences.list_avoided(state, service),
            )
            if upstream is None:
                self.known[key] = None
            else:
                # Its start may change what the next ones find.
                self.known.clear()
            return upstream

        upstream = choose_at(state.version)
        if (
            upstream is None
            and state.version is not None
            and self.recall(
                self.gateway.incarnations.ask_for, service, state.version
            )
        ):
            return None
        if upstream is None and self.must_start_over(state):
            upstream = choose_at(None)
            if upstream is not None:
                discard_text(state, "its version has no place")
        return upstream

    def has_place_elsewhere(self, state, service):
        """Return whether an urgent item has a place away from its silence.

        Parameters
        ----------
        state : ItemState
            It runs.
        service : str
        """
        key = ("elsewhere", service, state.version)
        if key in self.known:
            return False
        has_place = self.gateway.batch_placement.has_turn(
            service,
            accepts=self.silences.is_heard,
            key=state.item.identifier,
            find_rank=self.find_rank,
            version=state.version,
        )
        if has_place:
            # What the run leaves is free for others.
            self.known.clear()
        else:
            self.known[key] = None
        return has_place

    def must_start_over(self, state):
        """Return whether an item has waited for its version long enough."""
        return state.version is not None and must_start_over(
            waited=self.gateway.reactor.seconds() - state.stopped_at,
            rewrite_seconds=len(state.event_data) * self.times.event_seconds,
        )


def discard_text(state, reason):
    """Drop the text of an item, so that it starts over."""
    eliot.log_message(
        "item:text_discarded",
        job=state.job_state.job.identifier,
        item=state.item.identifier,
        reason=reason,
        last_event=state.last_event,
    )
    state.discard_output()


def choose_retry_delay(state):
    """Return the time in seconds until an item is run again.

    An upstream that stands still, or its link, is the likely cause of a
    silence; it has lasted for a while, and may be over at once.
    """
    if state.has_moved:
        return 0.0
    if state.lost_runs < 2 or state.was_silent:
        return RETRY_DELAY_S
    return compute_backoff(
        state.lost_runs - 1,
        seed=state.item.identifier,
        base=RETRY_DELAY_S,
        limit=MAX_RETRY_DELAY_S,
    )
