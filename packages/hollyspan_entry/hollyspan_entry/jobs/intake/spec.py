"""Specification of a batch, parsed from the request that creates it."""

import datetime
import re

from hollyspan_core.errors import InvalidRequestError

__all__ = ["JobSpec", "compute_due", "parse_spec"]

ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
DEFAULT_COMPLETION_WINDOW = "24h"
WINDOW_PATTERN = re.compile(r"(\d{1,6})([smhd])")
UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}
MAX_METADATA_ENTRIES = 16
MAX_METADATA_CHARACTERS = 512


class JobSpec:
    """Validated specification of a batch.

    Parameters
    ----------
    file, endpoint, completion_window : str
    metadata : dict
        String values by string key.
    """

    __slots__ = ("file", "endpoint", "completion_window", "metadata")

    def __init__(self, *, file, endpoint, completion_window, metadata):
        self.file = file
        self.endpoint = endpoint
        self.completion_window = completion_window
        self.metadata = metadata

    @property
    def idempotent(self):
        """False when the caller declares that no item may run twice."""
        return self.metadata.get("idempotent", "").lower() != "false"


def parse_spec(document):
    """Parse and validate the body of a request for a batch.

    Parameters
    ----------
    document : dict

    Returns
    -------
    JobSpec

    Raises
    ------
    InvalidRequestError
        The body is invalid; `param` is the name of the invalid member.
    """
    file = document.get("input_file_id")
    if not isinstance(file, str) or not file or "/" in file:
        raise InvalidRequestError(
            "input_file_id is missing or is not a file identifier",
            param="input_file_id",
        )
    endpoint = document.get("endpoint")
    if endpoint not in ENDPOINTS:
        raise InvalidRequestError(
            f"endpoint is not one of {', '.join(ENDPOINTS)}", param="endpoint"
        )
    spec = JobSpec(
        file=file,
        endpoint=endpoint,
        completion_window=document.get(
            "completion_window", DEFAULT_COMPLETION_WINDOW
        ),
        metadata=check_metadata(document.get("metadata") or {}),
    )
    compute_due(spec, now=0.0)
    return spec


def check_metadata(metadata):
    valid = (
        isinstance(metadata, dict)
        and len(metadata) <= MAX_METADATA_ENTRIES
        and all(isinstance(value, str) for value in metadata.values())
        and all(
            len(text) <= MAX_METADATA_CHARACTERS
            for pair in metadata.items()
            for text in pair
        )
    )
    if not valid:
        raise InvalidRequestError(
            "metadata is not an object of few short strings", param="metadata"
        )
    return metadata


def compute_due(spec, *, now):
    """Return the deadline of a job.

    Parameters
    ----------
    spec : JobSpec
    now : float
        Seconds since the epoch.

    Returns
    -------
    float
        Seconds since the epoch: the time `due` of the metadata if given, else
        the end of the completion window.

    Raises
    ------
    InvalidRequestError
        The due time or the completion window is malformed.
    """
    due = spec.metadata.get("due")
    if due is not None:
        return parse_time(due)
    window = spec.completion_window
    match = isinstance(window, str) and WINDOW_PATTERN.fullmatch(window)
    if not match:
        raise InvalidRequestError(
            "completion_window is not a duration such as 24h or 30m",
            param="completion_window",
        )
    return now + int(match[1]) * UNIT_SECONDS[match[2]]


def parse_time(text):
    try:
        time = datetime.datetime.fromisoformat(text)
        if time.tzinfo is None:
            time = time.replace(tzinfo=datetime.UTC)
        return time.timestamp()
    except (ValueError, OverflowError) as error:
        raise InvalidRequestError(
            "due is not an ISO 8601 time", param="metadata"
        ) from error
