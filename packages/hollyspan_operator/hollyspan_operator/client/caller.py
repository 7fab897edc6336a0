"""Calls of one daemon over HTTP."""

import json

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client

from ..errors import DaemonAnswerError
from ..errors import DaemonUnreachableError

__all__ = ["Caller", "run_calls"]

CALL_TIMEOUT = 20.0  # seconds

UNREACHABLE = (
    error.ConnectError,
    error.ConnectionClosed,
    error.DNSLookupError,
    defer.TimeoutError,
    client.ResponseFailed,
)


class Caller:
    """Calls the operators' interface of one daemon.

    Parameters
    ----------
    url : str
        Base URL of the daemon.
    key : str
        The operators' key.
    reactor : twisted reactor
    """

    __slots__ = ("url", "key", "reactor", "agent")

    def __init__(self, *, url, key, reactor):
        self.url = url.rstrip("/")
        self.key = key
        self.reactor = reactor
        self.agent = client.Agent(reactor)

    async def get(self, path, **query):
        """Read a resource.

        Parameters
        ----------
        path : str
            Below ``/operator/v1/``.
        **query : object
            Query arguments; those that are None are left out.

        Returns
        -------
        object
            Decoded JSON.

        Raises
        ------
        DaemonUnreachableError
            The daemon did not answer.
        DaemonAnswerError
            The daemon refused.
        """
        return await self.call("GET", path, query=query, body=None)

    async def post(self, path, body=None, **query):
        """Send a document; see `get` for what is raised.

        Parameters
        ----------
        path : str
        body : object, optional
            Anything that JSON can hold.
        **query : object

        Returns
        -------
        object
            Decoded JSON.
        """
        return await self.call("POST", path, query=query, body=body)

    async def call(self, method, path, *, query, body):
        """Send one request and decode its answer."""
        params = {k: str(v) for k, v in query.items() if v is not None}
        try:
            response = await treq.request(
                method,
                f"{self.url}/operator/v1/{path}",
                params=params,
                data=json.dumps(body).encode() if body is not None else None,
                headers={
                    "authorization": f"Bearer {self.key}",
                    "content-type": "application/json",
                },
                agent=self.agent,
                reactor=self.reactor,
                timeout=CALL_TIMEOUT,
            )
            content = await treq.content(response)
        except UNREACHABLE as failure:
            raise DaemonUnreachableError(
                f"no answer from {self.url}"
            ) from failure
        return decode_answer(response.code, content)


def decode_answer(status, content):
    try:
        document = json.loads(content)
    except ValueError:
        document = {}
    if status < 400:
        return document
    found = document.get("error") if isinstance(document, dict) else None
    raise DaemonAnswerError(status=status, error=found or {})


def run_calls(work, *, url, key):
    """Run a coroutine that calls a daemon, to its end.

    Parameters
    ----------
    work : callable
        Coroutine function that takes a Caller.
    url, key : str

    Returns
    -------
    object
        What the coroutine returns.

    Raises
    ------
    CommandError
        What the coroutine raises.
    """
    results = []
    failures = []

    async def run(reactor):
        try:
            caller = Caller(url=url, key=key, reactor=reactor)
            results.append(await work(caller))
        except Exception as failure:
            failures.append(failure)

    try:
        task.react(lambda reactor: defer.ensureDeferred(run(reactor)), ())
    except SystemExit:
        # react ends the process by itself; the command has yet to print.
        pass
    if failures:
        raise failures[0]
    return results[0]
