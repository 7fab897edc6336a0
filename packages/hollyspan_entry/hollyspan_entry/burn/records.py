"""Recording of events against the service-level objectives."""

import time

from hollyspan_core.configuration import Scope

__all__ = [
    "record_between_tokens",
    "record_first_token",
    "record_job_deadline",
    "record_whole_answer",
]


def record_first_token(runtime, *, service, seconds, workspace=None):
    """Record the time from a request to its first token.

    Parameters
    ----------
    runtime : Runtime
    service : str
    seconds : float
    workspace : str, optional
    """
    limit = read_objective_limit(
        runtime, "online.first_token_seconds", service, workspace
    )
    record(runtime, service, "first_token", good=seconds <= limit)


def record_between_tokens(runtime, *, service, seconds, workspace=None):
    """Record the mean time between the tokens of an answer.

    Parameters
    ----------
    runtime : Runtime
    service : str
    seconds : float
    workspace : str, optional
    """
    limit = read_objective_limit(
        runtime, "online.between_tokens_seconds", service, workspace
    )
    record(runtime, service, "between_tokens", good=seconds <= limit)


def record_whole_answer(runtime, *, service, whole):
    """Record whether an accepted request received its complete answer.

    Parameters
    ----------
    runtime : Runtime
    service : str
    whole : bool
        Whether the answer is complete.
    """
    record(runtime, service, "whole_answers", good=whole)


def record_job_deadline(runtime, *, service, met):
    """Record whether a job finished by its deadline.

    Parameters
    ----------
    runtime : Runtime
    service : str
    met : bool
        Whether the deadline was met.
    """
    record(runtime, service, "job_deadlines", good=met)


def record(runtime, service, kind, *, good):
    if runtime.burn is not None:
        runtime.burn.record(service=service, kind=kind, good=good)


def read_objective_limit(runtime, name, service, workspace):
    scope = Scope(
        service=service,
        workspace=workspace,
        data_centre=runtime.settings.data_centre,
    )
    return runtime.configurations.current.get(
        name, scope=scope, now=time.time()
    )
