"""Order of online requests while there is too little room."""

from ..hashing import hash_to_fraction

__all__ = [
    "choose_priority",
    "choose_return_delay",
    "choose_weights",
    "has_come_back",
    "measure_work",
    "rank_held_request",
]

# Prompt tokens that an engine reads in the time in which it generates one
# token of a stream.
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 50
# Assumed for a request that does not tell its tokens.
DEFAULT_OUTPUT_TOKENS = 200
# Weight that each workspace has at least, relative to the mean.
MIN_RELATIVE_WEIGHT = 0.5
# Part of the timeout that a request has left at most when it comes again.
MAX_RETURNED_PART = 0.9
# Callers wait at most this part of the time that they have left before they
# come back.
MAX_RETURN_PART = 1 / 3


def choose_priority(workspace, route):
    """Return the priority of a request; 0 is the most urgent.

    Parameters
    ----------
    workspace : Workspace or None
        Its priority goes before that of the route.
    route : Route

    Returns
    -------
    float
    """
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def measure_work(*, prompt_tokens, output_tokens):
    """Return the work of a request, in tokens of output.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        0 when unknown.

    Returns
    -------
    float

    Examples
    --------
    >>> measure_work(prompt_tokens=500, output_tokens=170)
    180.0
    """
    return prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN + (
        output_tokens or DEFAULT_OUTPUT_TOKENS
    )


def choose_weights(workspaces):
    """Return the weights of workspaces by name.

    Parameters
    ----------
    workspaces : iterable of Workspace

    Returns
    -------
    dict
        The configured rate, which tells how large a workspace is; that of
        the largest for one without a limit; at least half of the mean.

    Notes
    -----
    Load pattern: many small workspaces, each with a request in some seconds,
    beside few large ones. A small one that sends two requests at once asks
    for many times its rate and is not the reason for a shortage.
    """
    workspaces = list(workspaces)
    largest = max((each.rate for each in workspaces), default=0.0) or 1.0
    weights = {each.name: each.rate or largest for each in workspaces}
    if weights:
        mean = sum(weights.values()) / len(weights)
        for name, weight in weights.items():
            weights[name] = max(weight, MIN_RELATIVE_WEIGHT * mean)
    return weights


def has_come_back(*, seconds_left, timeout):
    """Return whether a request has probably been refused before.

    Parameters
    ----------
    seconds_left : float
        Time from its arrival to its deadline.
    timeout : float
        Timeout of its route, seconds.

    Returns
    -------
    bool
        True if its caller has spent part of the time elsewhere, so that it
        is not worth another refusal.
    """
    return seconds_left <= MAX_RETURNED_PART * timeout


def rank_held_request(*, priority, is_over_share, deadline):
    """Return the sort key of a held request; the first one is sent first.

    Parameters
    ----------
    priority : float
    is_over_share : bool
        Whether its workspace asks for more than its share.
    deadline : float
        A request that was refused before has the earlier one.
    """
    return (priority, is_over_share, deadline)


def choose_return_delay(*, wait, seconds_left, seed):
    """Return after how long a refused caller may come back, in seconds.

    Parameters
    ----------
    wait : float
        Expected wait for a slot, seconds.
    seconds_left : float
        Time left until the request's deadline.
    seed : str
        Identifier of the request, which spreads the returns.

    Returns
    -------
    float
        At most the part of the time left that callers wait.

    Notes
    -----
    Load pattern: waves of some seconds. Callers who all return once the
    queues of the moment have ended make the next wave; their returns are
    spread over the time for which they wait.
    """
    latest = MAX_RETURN_PART * max(0.0, seconds_left)
    earliest = min(wait, latest)
    fraction = hash_to_fraction("return", seed)
    return earliest + fraction * (latest - earliest)
