"""Which workspace a request comes from."""

from hollyspan_core.errors import OverloadedError

from .auth import authenticate

__all__ = ["identify_caller"]

RETRY_SECONDS = 1.0


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
            "no configuration is in force yet", retry_after=RETRY_SECONDS
        )
    return authenticate(
        request,
        configuration=configuration,
        signing_key=runtime.settings.signing_key,
    )
