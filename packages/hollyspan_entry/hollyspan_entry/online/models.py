"""HTTP handler that lists the models."""

from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import ModelNotFoundError

from ..http import identify_caller
from ..http import write_json

__all__ = ["build_models_handler"]


def build_models_handler(state):
    """Return the handler of ``/v1/models``.

    Parameters
    ----------
    state : OnlineState

    Returns
    -------
    callable
        Coroutine function for an AsyncResource.
    """

    async def handle(http_request, rest):
        identify_caller(http_request, runtime=state.runtime)
        if http_request.method != b"GET":
            raise InvalidRequestError("only GET is supported")
        services = state.runtime.configurations.current.services
        models = [
            describe(name)
            for name, service in services.items()
            if service["kind"] == "model"
        ]
        name = "/".join(rest)
        if not name:
            write_json(http_request, {"object": "list", "data": models})
            return
        found = [model for model in models if model["id"] == name]
        if not found:
            raise ModelNotFoundError("the model does not exist")
        write_json(http_request, found[0])

    return handle


def describe(name):
    """Return the model object of the OpenAI API."""
    return {
        "id": name,
        "object": "model",
        "created": 0,
        "owned_by": "hollyspan",
    }
