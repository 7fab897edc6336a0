"""Reading and checking of requests for plain services."""

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

PASSED_HEADERS = (b"content-type", b"accept")


def read_service_request(http_request, parts, *, runtime, identifier):
    """Decode and check a request for a plain service.

    Parameters
    ----------
    http_request : twisted.web.http.Request
    parts : list of str
        Name of the service, then the path.
    runtime : Runtime
    identifier : str

    Returns
    -------
    ServiceRequest

    Raises
    ------
    HollyspanError
        The caller, the service or the headers are at fault.
    """
    workspace = identify_caller(http_request, runtime=runtime)
    configuration = runtime.configurations.current
    name = parts[0] if parts else ""
    service = configuration.services.get(name)
    if service is None or service["kind"] != "service":
        raise ServiceNotFoundError("there is no such service")
    options = read_options(http_request)
    method = http_request.method.decode("ascii", "replace")
    path, _, query = read_target(http_request, name).partition("?")
    call = f"{method} {normalize_path(path)}"
    is_named = call in service.get("non_idempotent", ())
    idempotent = options.idempotent and not is_named
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
    """Return path and query below the name of the service, undecoded."""
    _, _, rest = http_request.uri.decode("latin-1").partition("/services/")
    _, _, target = rest.partition("/")
    return f"/{target}"


def normalize_path(path):
    """Return a path in the one spelling that the configuration has."""
    return posixpath.normpath(f"/{unquote(path).lstrip('/')}")


def read_headers(http_request):
    headers = {}
    for name in PASSED_HEADERS:
        value = http_request.getHeader(name)
        if value is not None:
            headers[name] = value
    return headers
