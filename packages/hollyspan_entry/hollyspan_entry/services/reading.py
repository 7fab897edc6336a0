"""Decoding and validation of requests for plain services."""

import posixpath
import time
from urllib.parse import unquote

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import IdempotencyKeyMissingError
from hollyspan_core.errors import ServiceNotFoundError

from ..http import identify_caller
from ..http import read_body
from ..online import read_options
from .request import ServiceRequest

__all__ = ["read_service_request"]

FORWARDED_HEADERS = (b"content-type", b"accept")


def read_service_request(http_request, parts, *, runtime, identifier):
    """Decode and validate a request for a plain service.

    Parameters
    ----------
    http_request : twisted.web.http.Request
    parts : list of str
        Name of the service, followed by the segments of the path.
    runtime : Runtime
    identifier : str
        Identifier of the request.

    Returns
    -------
    ServiceRequest

    Raises
    ------
    HollyspanError
        The caller is not authenticated, the service does not exist, or a
        header is malformed or missing.
    """
    workspace = identify_caller(http_request, runtime=runtime)
    configuration = runtime.configurations.current
    name = parts[0] if parts else ""
    service = configuration.services.get(name)
    if service is None or service["kind"] != "service":
        raise ServiceNotFoundError("the service does not exist")
    options = read_options(http_request)
    method = http_request.method.decode("ascii", "replace")
    path, _, query = read_target(http_request, name).partition("?")
    call = f"{method} {normalize_path(path)}"
    is_non_idempotent_call = call in service.get("non_idempotent", ())
    idempotent = options.idempotent and not is_non_idempotent_call
    if not idempotent and options.key is None:
        raise IdempotencyKeyMissingError(
            "a non-idempotent request needs an Idempotency-Key"
        )
    seconds = options.deadline_seconds or configuration.get(
        "online.deadline_seconds",
        scope=Scope(service=name, workspace=workspace),
        now=time.time(),
    )
    return ServiceRequest(
        identifier=identifier,
        workspace=workspace,
        service=name,
        method=method,
        path=f"{path}?{query}" if query else path,
        headers=read_headers(http_request),
        body=read_body(http_request),
        idempotent=idempotent,
        key=options.key,
        deadline=time.monotonic() + seconds,
    )


def read_target(http_request, name):
    """Return the undecoded path and query below the service's name."""
    _, _, rest = http_request.uri.decode("latin-1").partition("/services/")
    _, _, target = rest.partition("/")
    return f"/{target}"


def normalize_path(path):
    """Return a path in the normalized spelling of the configuration."""
    return posixpath.normpath(f"/{unquote(path).lstrip('/')}")


def read_headers(http_request):
    """Return the headers that are forwarded to the service."""
    headers = {}
    for name in FORWARDED_HEADERS:
        value = http_request.getHeader(name)
        if value is not None:
            headers[name] = value
    return headers
