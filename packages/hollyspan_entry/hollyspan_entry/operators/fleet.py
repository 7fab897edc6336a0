"""Queries to the other daemons of the fleet."""

import json

from twisted.internet import defer

from hollyspan_core.errors import HollyspanError

__all__ = ["FleetAnswers", "query_fleet", "list_other_daemons"]

MAX_PARALLEL_PULLS = 32


class FleetAnswers:
    """Answers of the daemons of the fleet.

    Attributes
    ----------
    documents : dict
        Decoded JSON documents by instance.
    missing : list of str
        Instances that did not send a valid answer.
    """

    __slots__ = ("documents", "missing")

    def __init__(self):
        self.documents = {}
        self.missing = []


async def query_fleet(runtime, targets, *, kind):
    """Pull one kind of statistics from other daemons.

    Parameters
    ----------
    runtime : Runtime
    targets : iterable of Member or Seed
        Daemons to query.
    kind : str
        Kind of statistics, such as ``burn`` or ``status``.

    Returns
    -------
    FleetAnswers
    """
    answers = FleetAnswers()
    limit = defer.DeferredSemaphore(MAX_PARALLEL_PULLS)

    async def query(target):
        try:
            content = await runtime.links.pull_statistics(target, kind=kind)
            answers.documents[target.instance] = json.loads(content)
        except (HollyspanError, ValueError):
            answers.missing.append(target.instance)

    await defer.DeferredList(
        [
            limit.run(lambda t=target: defer.ensureDeferred(query(t)))
            for target in targets
        ]
    )
    answers.missing.sort()
    return answers


def list_other_daemons(runtime, *, now):
    """List all other daemons that are live or in the instance list.

    Parameters
    ----------
    runtime : Runtime
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Member or Seed
    """
    daemons = dict(runtime.seeds)
    daemons.update(
        (member.instance, member)
        for member in runtime.members.list_live(now=now, leaving=True)
    )
    daemons.pop(runtime.settings.instance, None)
    return [daemons[name] for name in sorted(daemons)]
