"""Sending of a request and recording of its answer."""

import json

import treq
from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectionClosed
from twisted.web.client import ResponseFailed
from twisted.web.client import ResponseNeverReceived

from ..engine import generate_expected_text
from ..engine import join_messages
from .reader import read_events

__all__ = ["send_request"]

CONNECTION_ERRORS = (
    CancelledError,
    ConnectError,
    ConnectionClosed,
    ResponseFailed,
    ResponseNeverReceived,
)
CHAT_PATH = "/v1/chat/completions"
OK = 200


async def send_request(sample, body, *, agent, url, headers, now):
    """Send a request and record the measurements in its sample.

    Parameters
    ----------
    sample : Sample
    body : dict
        Body of a streamed chat request.
    agent : IAgent
    url : str
        Base URL of a daemon or an engine.
    headers : dict
    now : callable
        Returns the seconds since the start of the run.
    """
    sample.sent = now()
    try:
        response = await treq.post(
            url + CHAT_PATH,
            data=json.dumps(body).encode(),
            headers={**headers, "content-type": "application/json"},
            agent=agent,
            unbuffered=True,
        )
        sample.status = response.code
        if response.code != OK:
            content = await treq.text_content(response)
            sample.failure = read_code(content)
        else:
            await read_stream(sample, body, response, now)
    except CONNECTION_ERRORS as error:
        sample.failure = type(error).__name__
    sample.finished = now()


async def read_stream(sample, body, response, now):
    """Read a stream and compare it with the expected text."""
    pieces = []

    def record_token(text):
        sample.token_times.append(now())
        pieces.append(text)

    sample.failure = await read_events(response, record_token)
    if sample.token_times:
        sample.first_token = sample.token_times[0] - sample.sent
    if sample.failure is None:
        expected = generate_expected_text(
            model=body["model"],
            prompt=join_messages(body["messages"]),
            max_tokens=body["max_tokens"],
        )
        sample.is_right = "".join(pieces) == expected


def read_code(content):
    """Return the code and the outcome of an error answer, separated by "/"."""
    try:
        error = json.loads(content)["error"]
        return f"{error.get('code')}/{error.get('outcome')}"
    except (ValueError, KeyError, TypeError, AttributeError):
        return "not an error document"
