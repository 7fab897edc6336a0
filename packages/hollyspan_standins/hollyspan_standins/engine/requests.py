"""Parsing of completion requests."""

import time
import uuid

from ..common import AnswerError
from ..common import read_header
from .blocks import join_messages
from .stream import Stream
from .tokens import DEFAULT_MAX_TOKENS
from .tokens import generate_expected_tokens

__all__ = ["read_stream"]

MAX_COMPLETION_TOKENS = 100_000


def read_stream(request, body, *, is_chat, salt):
    """Return the stream for a completion request.

    Parameters
    ----------
    request : IRequest
    body : dict
    is_chat : bool
    salt : str
        See :func:`~.tokens.generate_expected_tokens`.

    Raises
    ------
    AnswerError
        If the body is invalid.
    """
    model = body.get("model")
    if not isinstance(model, str):
        raise build_request_error("model must be a string")
    prompt = read_chat(body) if is_chat else read_prompt(body)
    options = body.get("stream_options") or {}
    return Stream(
        identifier=read_header(request, "x-stream-id") or uuid.uuid4().hex,
        key=read_header(request, "x-request-key"),
        request_class=read_header(request, "x-request-class"),
        model=model,
        prompt=prompt,
        tokens=generate_expected_tokens(
            model=model,
            prompt=prompt,
            max_tokens=read_max_tokens(body),
            seed=body.get("seed") or 0,
            salt=salt,
        ),
        is_chat=is_chat,
        include_usage=bool(options.get("include_usage")),
        created=int(time.time()),
    )


def read_chat(body):
    """Return the prompt of a chat request."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise build_request_error(
            "messages must be a list with at least one message"
        )
    if not all(isinstance(message, dict) for message in messages):
        raise build_request_error("each message must be an object")
    return join_messages(messages)


def read_prompt(body):
    """Return the prompt of a plain completion request."""
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise build_request_error("prompt must be a string")
    return prompt


def read_max_tokens(body):
    """Return the requested number of tokens."""
    count = body.get("max_completion_tokens") or body.get("max_tokens")
    if count is None:
        return DEFAULT_MAX_TOKENS
    if not isinstance(count, int) or not 1 <= count <= MAX_COMPLETION_TOKENS:
        raise build_request_error(
            f"max_tokens must be from 1 to {MAX_COMPLETION_TOKENS}"
        )
    return count


def build_request_error(message):
    """Return the error for an invalid request."""
    return AnswerError(status=400, code="invalid_request", message=message)
