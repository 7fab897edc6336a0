"""Store keys and identifiers of jobs."""

import hashlib
import json

__all__ = [
    "JOB_PREFIX",
    "build_attempts_key",
    "build_claim_key",
    "build_job_key",
    "build_part_key",
    "build_queue_key",
    "derive_job_id",
    "parse_chunk",
]

JOB_PREFIX = "batch_"
ID_HEX_DIGITS = 32


def build_job_key(workspace, job):
    """Return the key of a job's record."""
    return f"jobs/{workspace}/{job}"


def build_queue_key(job):
    """Return the key of the queue entry of a job."""
    return f"queue/{job}"


def build_claim_key(job, chunk):
    """Return the key of the claim of a chunk."""
    return f"claims/{job}/{chunk:06}"


def build_attempts_key(job, chunk):
    """Return the key of the attempt counts of a chunk."""
    return f"attempts/{job}/{chunk:06}"


def build_part_key(job, chunk, part):
    """Return the key of one part of a chunk's results."""
    return f"results/{job}/{chunk:06}/{part:06}"


def parse_chunk(key):
    """Return the chunk index in a claim, attempt or part key."""
    return int(key.split("/")[2])


def derive_job_id(workspace, *, key, spec):
    """Derive the identifier of a job from its creation request.

    A repeated request results in the same identifier.

    Parameters
    ----------
    workspace : str
    key : str or None
        The caller's Idempotency-Key, None if the request has none.
    spec : JobSpec
        Specification from which the identifier is derived without a key.

    Returns
    -------
    str
    """
    name = key
    if key is None:
        name = json.dumps(
            [
                spec.file,
                spec.endpoint,
                spec.completion_window,
                sorted(spec.metadata.items()),
            ]
        )
    kind = "order" if key is None else "key"
    digest = hashlib.sha256(f"job\0{kind}\0{workspace}\0{name}".encode())
    return JOB_PREFIX + digest.hexdigest()[:ID_HEX_DIGITS]
