"""HTTP calls to the store."""

import json
import math

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http_headers

from hollyspan_core.errors import IntakeExceededError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreAnswerTooLargeError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.errors import StoreUnreachableError

from ..http import BytesProducer
from ..intake import collect_body
from ..intake.limits import CONTROL_KEPT
from ..intake.limits import STORE_ANSWER

__all__ = ["Transport"]

NOT_SENT_ERRORS = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.DNSLookupError,
)
# Time since an answer after which the store counts as gone, as a multiple of
# the timeout of a call.
RECENT_ANSWER_TIMEOUTS = 3
NO_ANSWER_ERRORS = (
    defer.TimeoutError,
    error.ConnectionLost,
    error.ConnectionDone,
    client.RequestNotSent,
    client.RequestTransmissionFailed,
    client.ResponseFailed,
    RecursionError,
    ValueError,
)
HEADERS = {b"Content-Type": [b"application/json"]}


class Transport:
    """Posts calls to the store and counts them by kind.

    Parameters
    ----------
    url : str
        Base URL of the store.
    reactor : twisted reactor
    agent : IAgent
    timeout : float
        Timeout of one call in seconds.

    Attributes
    ----------
    calls : dict
        Number of calls by path; watches are counted as ``watch``.
    answered_at : float
        Time of the last answer, reactor seconds.
    """

    __slots__ = (
        "url",
        "reactor",
        "agent",
        "timeout",
        "calls",
        "answered_at",
    )

    def __init__(self, *, url, reactor, agent, timeout):
        self.url = url
        self.reactor = reactor
        self.agent = agent
        self.timeout = timeout
        self.calls = {}
        self.answered_at = -math.inf

    def has_answered_lately(self):
        """Return whether the store has answered a call a short time ago."""
        age = self.reactor.seconds() - self.answered_at
        return age < RECENT_ANSWER_TIMEOUTS * self.timeout

    def count(self, kind):
        """Count a call of a kind."""
        self.calls[kind] = self.calls.get(kind, 0) + 1

    async def call(self, path, body):
        """Post one call and decode its answer.

        Parameters
        ----------
        path : str
        body : dict

        Returns
        -------
        dict

        Raises
        ------
        StoreReplyLostError
            The call was sent and may have taken effect.
        StoreUnreachableError
            The call was never sent.
        StoreAnswerTooLargeError
            The call was made, but its answer is too large to be read.
        StoreUnavailableError
            It was rejected before it took effect.
        """
        self.count(path)
        work = defer.ensureDeferred(self.post(path, body))
        work.addTimeout(self.timeout, self.reactor)
        try:
            return await work
        except NOT_SENT_ERRORS as failure:
            raise StoreUnreachableError(
                "the store cannot be reached", outcome=Outcome.NOT_RUN
            ) from failure
        except NO_ANSWER_ERRORS as failure:
            raise StoreReplyLostError(
                f"no answer from the store to {path}"
            ) from failure
        except IntakeExceededError as failure:
            raise StoreAnswerTooLargeError(failure.message) from failure

    async def post(self, path, body):
        response = await self.agent.request(
            b"POST",
            f"{self.url}/v3/{path}".encode(),
            http_headers.Headers(HEADERS),
            BytesProducer(content=json.dumps(body).encode()),
        )
        content = await collect_body(
            response,
            limits=STORE_ANSWER,
            budget=CONTROL_KEPT,
            sender=self.url,
        )
        if response.code == 503:
            raise StoreUnavailableError(
                "the store is out of service", outcome=Outcome.NOT_RUN
            )
        if response.code != 200:
            raise StoreUnavailableError(
                f"the store answered {response.code} to {path}"
            )
        document = json.loads(content)
        self.answered_at = self.reactor.seconds()
        return document
