"""Batch jobs as a caller runs them."""

import json
import time

from .errors import BatchNotDoneError

__all__ = ["build_items", "fetch_results", "submit_batch", "wait_batch"]

ENDPOINT = "/v1/chat/completions"
POLL_SECONDS = 0.25
ENDED = ("completed", "failed", "expired", "cancelled")


def build_items(prompts, *, model, max_tokens=16):
    """Return the JSON lines of a batch of chats.

    Parameters
    ----------
    prompts : dict of str to str
        Prompt of each ``custom_id``.
    model : str
    max_tokens : int
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


def submit_batch(caller, items, *, window="24h", **more):
    """Upload items and create a batch; return its document."""
    file = caller.upload(items)
    request = {
        "input_file_id": file["id"],
        "endpoint": ENDPOINT,
        "completion_window": window,
        **more,
    }
    return caller.post("/v1/batches", request)


def wait_batch(caller, number, *, seconds):
    """Wait until a batch has ended and return its document."""
    limit = time.monotonic() + seconds
    while True:
        batch = caller.get(f"/v1/batches/{number}")
        if batch["status"] in ENDED:
            return batch
        if time.monotonic() > limit:
            raise BatchNotDoneError(batch=batch, seconds=seconds)
        time.sleep(POLL_SECONDS)


def fetch_results(caller, batch):
    """Return the lines of the output and of the error file of a batch."""
    return (
        fetch_lines(caller, batch.get("output_file_id")),
        fetch_lines(caller, batch.get("error_file_id")),
    )


def fetch_lines(caller, file):
    """Return the JSON lines of a file; none without a file."""
    if not file:
        return []
    content = caller.call("GET", f"/v1/files/{file}/content")
    return [json.loads(line) for line in content.splitlines() if line]
