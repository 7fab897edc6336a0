"""HTTP clients of a daemon."""

import contextlib

from twisted.web import client

from .endpoints import EndpointFactory
from .limits import build_shares

__all__ = ["open_agent"]

MAX_CONNECTIONS_PER_HOST = 64
# Shorter than the idle timeout of the servers.
IDLE_CONNECTION_TIMEOUT_S = 15


@contextlib.contextmanager
def open_agent(reactor, *, timeout, max_connections=MAX_CONNECTIONS_PER_HOST):
    """Open an HTTP client and close its connections at the end.

    Parameters
    ----------
    reactor : twisted reactor
    timeout : float
        Timeout for a connection in seconds.
    max_connections : int, optional
        Connections that are kept for later requests, for each host.

    Yields
    ------
    IAgent

    Notes
    -----
    What its connections read is limited in bytes and work, see `limits`.
    """
    pool = client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = max_connections
    pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
    # By default the pool resends a lost GET or DELETE; whether a request may
    # run twice is decided elsewhere.
    pool.retryAutomatically = False
    shares = build_shares()
    try:
        yield client.Agent.usingEndpointFactory(
            reactor,
            EndpointFactory(reactor=reactor, timeout=timeout, shares=shares),
            pool=pool,
        )
    finally:
        pool.closeCachedConnections()
