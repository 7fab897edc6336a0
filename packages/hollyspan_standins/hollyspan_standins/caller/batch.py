"""Submission of batch jobs and retrieval of their results."""

import json
import time

from .errors import BatchNotDoneError

__all__ = ["build_items", "fetch_results", "submit_batch", "wait_batch"]

ENDPOINT = "/v1/chat/completions"
POLL_INTERVAL_S = 0.25
FINAL_STATUSES = ("completed", "failed", "expired", "cancelled")


def build_items(prompts, *, model, max_tokens=16):
    """Build the input file of a batch of chat completions.

    Parameters
    ----------
    prompts : dict of str to str
        Prompt by ``custom_id``.
    model : str
    max_tokens : int
        Limit of each answer.

    Returns
    -------
    bytes
        JSON lines.
    """
    lines = []
    for custom_id, prompt in prompts.items():
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
        }
        item = {
            "custom_id": custom_id,
            "method": "POST",
            "url": ENDPOINT,
            "body": body,
        }
        lines.append(json.dumps(item) + "\n")
    return "".join(lines).encode()


def submit_batch(caller, items, *, window="24h", **extra_fields):
    """Upload an input file, create a batch and return its document."""
    file = caller.upload(items)
    request = {
        "input_file_id": file["id"],
        "endpoint": ENDPOINT,
        "completion_window": window,
        **extra_fields,
    }
    return caller.post("/v1/batches", request)


def wait_batch(caller, batch_id, *, seconds):
    """Wait until a batch has ended and return its document.

    Raises
    ------
    BatchNotDoneError
        If the batch has not ended after ``seconds``.
    """
    deadline = time.monotonic() + seconds
    while True:
        batch = caller.get(f"/v1/batches/{batch_id}")
        if batch["status"] in FINAL_STATUSES:
            return batch
        if time.monotonic() > deadline:
            raise BatchNotDoneError(batch=batch, seconds=seconds)
        time.sleep(POLL_INTERVAL_S)


def fetch_results(caller, batch):
    """Return the decoded lines of the output and error files of a batch."""
    return (
        fetch_lines(caller, batch.get("output_file_id")),
        fetch_lines(caller, batch.get("error_file_id")),
    )


def fetch_lines(caller, file_id):
    """Return the decoded JSON lines of a file, none without an identifier."""
    if not file_id:
        return []
    content = caller.call("GET", f"/v1/files/{file_id}/content")
    return [json.loads(line) for line in content.splitlines() if line]
