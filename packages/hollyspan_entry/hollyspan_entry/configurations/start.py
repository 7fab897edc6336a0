"""Selection of the initial configuration of a daemon."""

import time

import eliot
from twisted.internet import task

from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import StoreUnavailableError

from .disk import read_disk_copy
from .sources import pull_configuration
from .sources import read_stored_configuration

__all__ = ["load_initial_configuration"]

RETRY_DELAY_S = 0.2
# Time to wait for peers, in heartbeat intervals, with and without an answer
# of the store.
PEER_WAIT_HEARTBEATS = 3
PEER_WAIT_HEARTBEATS_WITHOUT_STORE = 8


async def load_initial_configuration(runtime):
    """Apply the highest generation found in the store, on peers or on disk.

    Parameters
    ----------
    runtime : Runtime

    Notes
    -----
    The store is queried for `store_timeout`, but for at least eight heartbeat
    intervals. The wait for peers lasts three heartbeat intervals if the store
    has answered, otherwise eight, both measured from the start of the search.
    If the store has answered, the wait ends early once a message from every
    listed daemon of the same data centre has been received. No configuration
    is applied before the end of the search, because a restarted daemon must
    not use an older generation first. If no document is found, the search is
    repeated.
    """
    while runtime.configurations.current is None:
        started = time.monotonic()
        candidates = [read_disk_copy(runtime.settings.data_folder)]
        store_answered = await query_store(
            runtime, candidates, started=started
        )
        await wait_for_peers(
            runtime, started=started, store_answered=store_answered
        )
        await pull_from_peers(runtime, candidates)
        highest = choose_highest(candidates)
        if highest is not None:
            runtime.configurations.apply(highest)
        else:
            eliot.log_message(message_type="configuration:none")
            await pause(runtime, RETRY_DELAY_S)


async def query_store(runtime, candidates, *, started):
    timing = runtime.settings.timing
    limit = max(
        timing.store_timeout,
        PEER_WAIT_HEARTBEATS_WITHOUT_STORE * timing.heartbeat,
    )
    while True:
        try:
            candidates.append(await read_stored_configuration(runtime.store))
            return True
        except ConfigurationInvalidError as error:
            eliot.log_message(
                message_type="configuration:invalid", reason=str(error)
            )
            return True
        except StoreUnavailableError:
            if time.monotonic() - started >= limit:
                return False
            await pause(runtime, RETRY_DELAY_S)


async def wait_for_peers(runtime, *, started, store_answered):
    heartbeats = (
        PEER_WAIT_HEARTBEATS
        if store_answered
        else PEER_WAIT_HEARTBEATS_WITHOUT_STORE
    )
    end = started + heartbeats * runtime.settings.timing.heartbeat
    while time.monotonic() < end and not (
        store_answered and has_seen_all_seeds(runtime)
    ):
        await pause(runtime, RETRY_DELAY_S)


def has_seen_all_seeds(runtime):
    """Return whether all listed daemons of this data centre are known."""
    data_centre = runtime.settings.data_centre
    seeds = {
        seed.instance
        for seed in runtime.seeds.values()
        if seed.data_centre == data_centre
    }
    return bool(seeds) and seeds <= runtime.members.members.keys()


async def pull_from_peers(runtime, candidates):
    """Pull from the peers that report a higher generation."""
    members = list(runtime.members.members.values())
    for member in sorted(members, key=lambda m: m.generation, reverse=True):
        highest = choose_highest(candidates)
        above = highest.generation if highest else 0
        if member.generation <= above:
            return
        try:
            candidates.append(
                await pull_configuration(runtime, member, above=above)
            )
        except HollyspanError as error:
            eliot.log_message(
                message_type="configuration:pull",
                peer=member.instance,
                reason=str(error),
            )


def choose_highest(candidates):
    present = [c for c in candidates if c is not None]
    return max(present, key=lambda c: c.generation, default=None)


def pause(runtime, seconds):
    return task.deferLater(runtime.reactor, seconds)
