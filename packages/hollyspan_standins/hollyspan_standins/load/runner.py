"""Running the arrivals of all targets in an open loop."""

import random

from twisted.internet.defer import Deferred
from twisted.internet.defer import ensureDeferred
from twisted.internet.defer import gatherResults
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool

from .arrivals import generate_arrivals
from .prompts import PromptSource
from .sample import Sample
from .sender import send_request

__all__ = ["plan_load", "run_load"]

CONNECT_SECONDS = 5.0
# A request that has had no answer by then is given up.
REQUEST_SECONDS = 60.0


def plan_load(*, targets, mix, rate, seconds, seed, together):
    """Return all arrivals as tuples of time, target and body.

    Parameters
    ----------
    targets : dict of str to str
        URL of each target by its name.
    mix : Mix
    rate : float
        Mean arrivals a second at each target.
    seconds : float
    seed : int
    together : bool
        Whether bursts come to all targets at the same times.
    """
    source = PromptSource(random=random.Random(seed), mix=mix)
    plan = []
    for index, name in enumerate(sorted(targets)):
        offset = 0 if together else index
        times = generate_arrivals(
            random.Random(f"{seed}/{offset}"),
            rate=rate,
            seconds=seconds,
            mix=mix,
        )
        plan.extend((time, name) for time in times)
    return [(time, name, source.draw()) for time, name in sorted(plan)]


async def run_load(reactor, plan, *, targets, headers):
    """Send each request at its time and return all samples.

    Parameters
    ----------
    reactor : IReactorTime
    plan : list of tuple
        See :func:`plan_load`.
    targets : dict of str to str
    headers : dict
        Headers of each request.

    Returns
    -------
    list of Sample

    Notes
    -----
    The loop is open: no request waits for the answer to another one.
    """
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 256
    agent = Agent(reactor, connectTimeout=CONNECT_SECONDS, pool=pool)
    start = reactor.seconds()

    def read_time():
        return reactor.seconds() - start

    async def run_one(time, name, body):
        sample = Sample(target=name, due=time)
        await wait(reactor, time - read_time())
        sending = ensureDeferred(
            send_request(
                sample,
                body,
                agent=agent,
                url=targets[name],
                headers=headers,
                now=read_time,
            )
        )
        sending.addTimeout(REQUEST_SECONDS, reactor)
        sending.addErrback(note_timeout, sample)
        await sending
        return sample

    runs = [ensureDeferred(run_one(*arrival)) for arrival in plan]
    samples = await gatherResults(runs, consumeErrors=True)
    await pool.closeCachedConnections()
    return samples


def note_timeout(failure, sample):
    """Note that a request was given up."""
    sample.failure = failure.type.__name__


def wait(reactor, seconds):
    """Return a Deferred that fires after some seconds."""
    waited = Deferred()
    reactor.callLater(max(0.0, seconds), waited.callback, None)
    return waited
