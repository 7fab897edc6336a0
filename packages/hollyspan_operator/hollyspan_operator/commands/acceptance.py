"""Acceptance of a configuration, and the wait until it is in force."""

import time

from twisted.internet import task

from ..errors import NotInForceError

__all__ = ["submit_document", "wait_until_in_force"]

POLL_SECONDS = 0.25


async def submit_document(caller, document, *, wait, quiet):
    """Submit a document and wait until it is in force.

    Parameters
    ----------
    caller : Caller
    document : dict
        Its generation is the one it is based on.
    wait : float
        Seconds to wait; 0 for none.
    quiet : bool
        Print nothing on acceptance.

    Returns
    -------
    dict
        ``generation`` and ``behind``, the instances not known to have it.
    """
    accepted = await caller.post("configuration", document)
    generation = accepted["generation"]
    if not quiet:
        print(f"accepted as generation {generation}", flush=True)
    behind = await wait_until_in_force(
        caller, generation=generation, wait=wait
    )
    return {"generation": generation, "behind": behind}


async def wait_until_in_force(caller, *, generation, wait):
    """Poll the status until all live instances have a generation.

    Parameters
    ----------
    caller : Caller
    generation : int
    wait : float
        Seconds.

    Returns
    -------
    list of str
        Instances behind; always empty when `wait` is above 0.

    Raises
    ------
    NotInForceError
        Some instances are still behind after the wait.
    """
    end = time.monotonic() + wait
    while True:
        status = await caller.get("status")
        behind = list_behind(status, generation=generation)
        if not behind or wait <= 0:
            return behind
        if time.monotonic() >= end:
            raise NotInForceError(
                f"generation {generation} is accepted but not known to be"
                f" in force on {', '.join(behind)}"
            )
        await task.deferLater(caller.reactor, POLL_SECONDS)


def list_behind(status, *, generation):
    return sorted(
        member["instance"]
        for member in status["members"]
        if member["generation"] < generation
    )
