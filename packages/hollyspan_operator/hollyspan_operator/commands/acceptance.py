"""Submission of a configuration and waiting until it is in force."""

import time

from twisted.internet import task

from ..errors import NotInForceError

__all__ = ["submit_document", "wait_until_in_force"]

POLL_INTERVAL_S = 0.25


async def submit_document(caller, document, *, wait, quiet):
    """Submit a document and wait until it is in force.

    Parameters
    ----------
    caller : OperatorClient
    document : dict
        Its generation is the one it is based on.
    wait : float
        Seconds to wait; 0 to return at once.
    quiet : bool
        Print nothing when the document is accepted.

    Returns
    -------
    dict
        ``generation`` and ``behind``, the instances on which it is not known
        to be in force.
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
    caller : OperatorClient
    generation : int
    wait : float
        Seconds to wait; 0 to poll only once.

    Returns
    -------
    list of str
        Instances with a lower generation; always empty if `wait` is above 0.

    Raises
    ------
    NotInForceError
        Some instances still have a lower generation after the wait.
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
        await task.deferLater(caller.reactor, POLL_INTERVAL_S)


def list_behind(status, *, generation):
    return sorted(
        member["instance"]
        for member in status["members"]
        if member["generation"] < generation
    )
