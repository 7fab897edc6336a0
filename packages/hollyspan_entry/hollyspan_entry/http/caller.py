"""Identification of the workspace of a request."""

from hollyspan_core.errors import OverloadedError

from .auth import authenticate

__all__ = ["identify_caller"]

RETRY_AFTER_S = 1.0


def identify_caller(request, *, runtime):
    """Return the workspace that a request comes from.

    Parameters
    ----------
    request : twisted.web.http.Request
    runtime : Runtime

    Returns
    -------
    str

    Raises
    ------
    AuthenticationError
        The key is missing or unknown.
    OverloadedError
        This daemon has no configuration yet.
    """
    configuration = runtime.configurations.current
    if configuration is None:
        raise OverloadedError(
            "no configuration has been loaded yet", retry_after=RETRY_AFTER_S
        )
    return authenticate(
        request,
        configuration=configuration,
        signing_key=runtime.settings.signing_key,
    )
