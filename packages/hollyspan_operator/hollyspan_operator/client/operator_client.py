"""HTTP client for the operators' API of one daemon."""

import json

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client

from ..errors import AnswerTooLargeError
from ..errors import DaemonAnswerError
from ..errors import DaemonUnreachableError

__all__ = ["OperatorClient", "run_calls"]

CALL_TIMEOUT_S = 20.0
# Some dozen documents of a configuration at their largest size.
MAX_ANSWER_BYTES = 64_000_000

UNREACHABLE_ERRORS = (
    error.ConnectError,
    error.ConnectionClosed,
    error.DNSLookupError,
    defer.TimeoutError,
    client.ResponseFailed,
)


class OperatorClient:
    """Sends requests to the operators' API of one daemon.

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
            Query arguments; arguments that are None are omitted.

        Returns
        -------
        object
            Decoded JSON.

        Raises
        ------
        DaemonUnreachableError
            The daemon did not answer.
        AnswerTooLargeError
            The answer exceeds the limit on what is read.
        DaemonAnswerError
            The daemon refused the request.
        """
        return await self.call("GET", path, query=query, body=None)

    async def post(self, path, body=None, **query):
        """Post a document; raises the same errors as `get`.

        Parameters
        ----------
        path : str
        body : object, optional
            Document that can be encoded as JSON.
        **query : object
            Query arguments; arguments that are None are omitted.

        Returns
        -------
        object
            Decoded JSON.
        """
        return await self.call("POST", path, query=query, body=body)

    async def call(self, method, path, *, query, body):
        """Send a request and decode its answer."""
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
                timeout=CALL_TIMEOUT_S,
            )
            content = await self.read(response)
        except UNREACHABLE_ERRORS as failure:
            raise DaemonUnreachableError(
                f"no answer from {self.url}"
            ) from failure
        return decode_answer(response.code, content)

    async def read(self, response):
        """Return the body of an answer within limits of bytes and time."""
        parts = []
        size = 0

        def add(data):
            nonlocal size
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise AnswerTooLargeError(
                    f"an answer of {self.url} exceeds "
                    f"{MAX_ANSWER_BYTES} bytes"
                )
            parts.append(data)

        work = treq.collect(response, add)
        work.addTimeout(CALL_TIMEOUT_S, self.reactor)
        await work
        return b"".join(parts)


def decode_answer(status, content):
    try:
        document = json.loads(content)
    except ValueError:
        document = {}
    if status < 400:
        return document
    error_object = (
        document.get("error") if isinstance(document, dict) else None
    )
    raise DaemonAnswerError(status=status, error=error_object or {})


def run_calls(work, *, url, key):
    """Run a coroutine function with a client until it returns.

    Parameters
    ----------
    work : callable
        Coroutine function that takes an OperatorClient.
    url, key : str
        Base URL of the daemon and the operators' key.

    Returns
    -------
    object
        Result of the coroutine.

    Raises
    ------
    CommandError
        Error raised by the coroutine.
    """
    results = []
    failures = []

    async def run(reactor):
        try:
            operator_client = OperatorClient(url=url, key=key, reactor=reactor)
            results.append(await work(operator_client))
        except Exception as failure:
            failures.append(failure)

    try:
        task.react(lambda reactor: defer.ensureDeferred(run(reactor)), ())
    except SystemExit:
        # react exits the process, but the command must still print its result.
        pass
    if failures:
        raise failures[0]
    return results[0]
