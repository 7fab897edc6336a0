"""Decoding and validation of requests for models."""

import json
import math
import time

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import IdempotencyKeyMissingError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import ModelNotFoundError
from hollyspan_policy.routing import hash_blocks

from .prompt import get_prompt
from .request import OnlineRequest

__all__ = ["CHAT_PATH", "COMPLETION_PATH", "build_request", "read_options"]

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
MAX_KEY_CHARACTERS = 255
MAX_DEADLINE_S = 86_400.0


class Options:
    """Options that a caller sets in the headers of a request.

    Parameters
    ----------
    key : str or None
        Idempotency key.
    idempotent : bool
        False when the caller marks the request as non-idempotent.
    deadline_seconds : float or None
        Seconds until the deadline; None for the configured default.
    """

    __slots__ = ("key", "idempotent", "deadline_seconds")

    def __init__(self, *, key=None, idempotent=True, deadline_seconds=None):
        self.key = key
        self.idempotent = idempotent
        self.deadline_seconds = deadline_seconds


def read_options(request):
    """Read the request options from the headers.

    Parameters
    ----------
    request : twisted.web.http.Request

    Returns
    -------
    Options

    Raises
    ------
    InvalidRequestError
        A header is malformed.
    """
    key = request.getHeader("idempotency-key")
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise InvalidRequestError(
            f"the Idempotency-Key exceeds {MAX_KEY_CHARACTERS} characters",
            param="Idempotency-Key",
        )
    idempotent = request.getHeader("x-request-idempotent") or "true"
    return Options(
        key=key,
        idempotent=idempotent.strip().lower() != "false",
        deadline_seconds=read_deadline(request.getHeader("x-deadline-ms")),
    )


def read_deadline(text):
    """Convert an ``X-Deadline-Ms`` header to seconds."""
    if text is None:
        return None
    try:
        seconds = float(text) / 1000
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= MAX_DEADLINE_S:
        raise InvalidRequestError(
            "X-Deadline-Ms is not a valid number of milliseconds",
            param="X-Deadline-Ms",
        )
    return seconds


def build_request(
    *,
    configuration,
    settings,
    path,
    body,
    workspace,
    options,
    identifier,
    forwarded=False,
):
    """Decode and validate a request for a model.

    Parameters
    ----------
    configuration : Configuration
    settings : Settings
    path : str
        Path of the request.
    body : bytes
    workspace : str
    options : Options
    identifier : str
        Identifier of the request.
    forwarded : bool, optional
        True when another data centre forwarded the request.

    Returns
    -------
    OnlineRequest

    Raises
    ------
    InvalidRequestError
        The body is malformed.
    ModelNotFoundError
        No model with this name is configured.
    IdempotencyKeyMissingError
        A non-idempotent request has no idempotency key.
    """
    document = decode_body(body)
    service = get_model(document, configuration)
    check_prompt(document, path)
    streamed = document.get("stream", False)
    if not isinstance(streamed, bool):
        raise InvalidRequestError("stream is not a boolean", param="stream")
    is_idempotent = configuration.services[service].get("idempotent", True)
    idempotent = is_idempotent and options.idempotent
    if not idempotent and options.key is None:
        raise IdempotencyKeyMissingError(
            "a non-idempotent request needs an Idempotency-Key"
        )
    scope = Scope(
        service=service,
        workspace=workspace,
        data_centre=settings.data_centre,
    )
    seconds = options.deadline_seconds or configuration.get(
        "online.deadline_seconds", scope=scope, now=time.time()
    )
    return OnlineRequest(
        identifier=identifier,
        workspace=workspace,
        service=service,
        path=path,
        document=document,
        body=body,
        streamed=streamed,
        idempotent=idempotent,
        key=options.key,
        deadline=time.monotonic() + seconds,
        blocks=hash_blocks(get_prompt(document)),
        forwarded=forwarded,
    )


def decode_body(body):
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError("the body is not valid JSON") from error
    if not isinstance(document, dict):
        raise InvalidRequestError("the body is not a JSON object")
    return document


def get_model(document, configuration):
    """Return the name of the requested model if it is configured."""
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise InvalidRequestError("model is missing", param="model")
    service = configuration.services.get(model)
    if service is None or service["kind"] != "model":
        raise ModelNotFoundError("the model does not exist", param="model")
    return model


def check_prompt(document, path):
    """Raise InvalidRequestError when the body holds no prompt."""
    if path == CHAT_PATH:
        messages = document.get("messages")
        if not isinstance(messages, list) or not messages:
            raise InvalidRequestError(
                "messages must be a non-empty list", param="messages"
            )
    elif not isinstance(document.get("prompt"), (str, list)):
        raise InvalidRequestError("prompt is missing", param="prompt")
