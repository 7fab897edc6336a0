"""Asking all daemons of the fleet."""

import json

from twisted.internet import defer

from hollyspan_core.errors import HollyspanError

__all__ = ["FleetAnswers", "ask_fleet", "list_others"]

PARALLEL_PULLS = 32


class FleetAnswers:
    """What the daemons of the fleet answered.

    Attributes
    ----------
    documents : dict
        Decoded JSON by instance.
    missing : list of str
        Instances without an answer.
    """

    __slots__ = ("documents", "missing")

    def __init__(self):
        self.documents = {}
        self.missing = []


async def ask_fleet(runtime, targets, *, kind):
    """Pull the statistics of a kind from other daemons.

    Parameters
    ----------
    runtime : Runtime
    targets : iterable of Member or Seed
    kind : str

    Returns
    -------
    FleetAnswers
    """
    answers = FleetAnswers()
    limit = defer.DeferredSemaphore(PARALLEL_PULLS)

    async def ask(target):
        try:
            content = await runtime.links.pull_statistics(target, kind=kind)
            answers.documents[target.instance] = json.loads(content)
        except (HollyspanError, ValueError):
            answers.missing.append(target.instance)

    await defer.DeferredList(
        [
            limit.run(lambda t=target: defer.ensureDeferred(ask(t)))
            for target in targets
        ]
    )
    answers.missing.sort()
    return answers


def list_others(runtime, *, now):
    """List all other daemons: those in the list, and those heard.

    Parameters
    ----------
    runtime : Runtime
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Member or Seed
    """
    found = dict(runtime.seeds)
    found.update(
        (member.instance, member)
        for member in runtime.members.list_live(now=now, leaving=True)
    )
    found.pop(runtime.settings.instance, None)
    return [found[name] for name in sorted(found)]
