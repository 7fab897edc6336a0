"""Open loop that sends the requests to all targets."""

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

CONNECT_TIMEOUT_S = 5.0
# Time after which a request without a complete answer is cancelled.
REQUEST_TIMEOUT_S = 60.0


def plan_load(*, targets, mix, rate, seconds, seed, together):
    """Return all arrivals as tuples of time, target and body.

    Parameters
    ----------
    targets : dict of str to str
        URL of each target by name.
    mix : Mix
    rate : float
        Mean arrivals per second at each target.
    seconds : float
        Length of the run.
    seed : int
    together : bool
        Whether bursts start at the same times at all targets.
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
    """Send each request at its planned time and return all samples.

    Parameters
    ----------
    reactor : IReactorTime
    plan : list of tuple
        See :func:`plan_load`.
    targets : dict of str to str
        URL of each target by name.
    headers : dict
        Headers of each request.

    Returns
    -------
    list of Sample

    Notes
    -----
    The loop is open: requests do not wait for answers to earlier ones.
    """
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 256
    agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
    start = reactor.seconds()

    def read_time():
        return reactor.seconds() - start

    async def run_arrival(time, name, body):
        sample = Sample(target=name, due=time)
        await sleep(reactor, time - read_time())
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
        sending.addTimeout(REQUEST_TIMEOUT_S, reactor)
        sending.addErrback(record_timeout, sample)
        await sending
        return sample

    runs = [ensureDeferred(run_arrival(*arrival)) for arrival in plan]
    samples = await gatherResults(runs, consumeErrors=True)
    await pool.closeCachedConnections()
    return samples


def record_timeout(failure, sample):
    """Record that a request timed out."""
    sample.failure = failure.type.__name__


def sleep(reactor, seconds):
    """Return a Deferred that fires after a delay, in seconds."""
    elapsed = Deferred()
    reactor.callLater(max(0.0, seconds), elapsed.callback, None)
    return elapsed
