"""The first configuration of a daemon."""

import time

import eliot
from twisted.internet import task

from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import StoreUnavailableError

from .disk import read_disk
from .sources import pull_configuration
from .sources import read_store

__all__ = ["find_configuration"]

RETRY_SECONDS = 0.2
# Heartbeats for which peers are awaited, with and without the store.
PEER_BEATS = 3
PEER_BEATS_WITHOUT_STORE = 8


async def find_configuration(runtime):
    """Ask store, peers and disk, and put the highest generation in force.

    Parameters
    ----------
    runtime : Runtime

    Notes
    -----
    The store gets `store_timeout` and at least eight heartbeat intervals to
    answer. Peers get three heartbeat intervals when the store has answered,
    else the same eight; the wait ends early once every daemon listed in the
    own data centre was heard. Nothing is put in force before the end, since
    a restarted daemon must not show an older generation first. Without any
    document the search begins anew.
    """
    while runtime.configurations.current is None:
        started = time.monotonic()
        found = [read_disk(runtime.settings.data_folder)]
        answered = await ask_store(runtime, found, started=started)
        await await_peers(runtime, started=started, answered=answered)
        await ask_peers(runtime, found)
        best = choose_highest(found)
        if best is not None:
            runtime.configurations.apply(best)
        else:
            eliot.log_message(message_type="configuration:none")
            await pause(runtime, RETRY_SECONDS)


async def ask_store(runtime, found, *, started):
    timing = runtime.settings.timing
    limit = max(
        timing.store_timeout, PEER_BEATS_WITHOUT_STORE * timing.heartbeat
    )
    while True:
        try:
            found.append(await read_store(runtime.store))
            return True
        except ConfigurationInvalidError as error:
            eliot.log_message(
                message_type="configuration:invalid", reason=str(error)
            )
            return True
        except StoreUnavailableError:
            if time.monotonic() - started >= limit:
                return False
            await pause(runtime, RETRY_SECONDS)


async def await_peers(runtime, *, started, answered):
    beats = PEER_BEATS if answered else PEER_BEATS_WITHOUT_STORE
    end = started + beats * runtime.settings.timing.heartbeat
    while time.monotonic() < end and not (answered and is_complete(runtime)):
        await pause(runtime, RETRY_SECONDS)


def is_complete(runtime):
    """Return whether all daemons of the own data centre were heard."""
    data_centre = runtime.settings.data_centre
    seeds = {
        seed.instance
        for seed in runtime.seeds.values()
        if seed.data_centre == data_centre
    }
    return bool(seeds) and seeds <= runtime.members.members.keys()


async def ask_peers(runtime, found):
    """Pull from the peers that report a higher generation than was found."""
    members = list(runtime.members.members.values())
    for member in sorted(members, key=lambda m: m.generation, reverse=True):
        best = choose_highest(found)
        above = best.generation if best else 0
        if member.generation <= above:
            return
        try:
            found.append(
                await pull_configuration(runtime, member, above=above)
            )
        except HollyspanError as error:
            eliot.log_message(
                message_type="configuration:pull",
                peer=member.instance,
                reason=str(error),
            )


def choose_highest(found):
    known = [c for c in found if c is not None]
    return max(known, key=lambda c: c.generation, default=None)


def pause(runtime, seconds):
    return task.deferLater(runtime.reactor, seconds)
