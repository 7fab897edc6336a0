"""Batch job with a few items that always fail."""

import time

from ..caller import build_items
from ..caller import fetch_results
from ..caller import submit_batch
from ..caller import wait_batch
from ..engine import generate_expected_text
from ..engine import join_messages
from .errors import WrongResultError

__all__ = ["check_results", "run_batch"]

ITEM_COUNT = 200
MAX_TOKENS = 16
BATCH_TIMEOUT_S = 120.0
# Prompt suffixes that make engines fail, by position of the item.
FAULT_MARKERS = {17: "[[fail]]", 99: "[[break]]", 150: "[[fail]]"}


def build_prompts():
    """Build the prompts of all items by ``custom_id``."""
    return {
        f"bulletin-{index:03d}": " ".join(
            (
                f"Bulletin {index} for ferry desks.",
                FAULT_MARKERS.get(index, ""),
            )
        ).strip()
        for index in range(ITEM_COUNT)
    }


def run_batch(caller, model):
    """Run the job, then print and check its results."""
    prompts = build_prompts()
    items = build_items(prompts, model=model, max_tokens=MAX_TOKENS)
    started = time.monotonic()
    batch = submit_batch(caller, items)
    print(f"batch job {batch['id']}: {ITEM_COUNT} items accepted")
    batch = wait_batch(caller, batch["id"], seconds=BATCH_TIMEOUT_S)
    seconds = time.monotonic() - started
    output, errors = fetch_results(caller, batch)
    print(f"  {batch['status']} after {seconds:.1f} s")
    print(f"  {len(output)} results, {len(errors)} errors")
    print_sample(output, errors)
    check_results(prompts, output, errors, model)


def print_sample(output, errors):
    """Print the first result and all errors."""
    if output:
        print(f"  {output[0]['custom_id']}: {read_text(output[0])}")
    for line in errors:
        print(f"  {line['custom_id']}: {line.get('error')}")


def read_text(line):
    """Return the text of one line of an output file."""
    choice = line["response"]["body"]["choices"][0]
    return choice["message"]["content"]


def check_results(prompts, output, errors, model):
    """Check that every item has exactly one result and that it is correct.

    Raises
    ------
    WrongResultError
        If a result is missing, duplicated or wrong.
    """
    identifiers = sorted(line["custom_id"] for line in output + errors)
    if identifiers != sorted(prompts):
        raise WrongResultError("not exactly one result for each item")
    failing = {name for name, text in prompts.items() if "[[" in text}
    failed = {line["custom_id"] for line in errors}
    if failed != failing:
        raise WrongResultError(
            f"failed: {sorted(failed)}, expected to fail: {sorted(failing)}"
        )
    for line in output:
        check_text(line, prompts[line["custom_id"]], model)


def check_text(line, prompt, model):
    """Check the text of one result."""
    expected = generate_expected_text(
        model=model,
        prompt=join_messages([{"role": "user", "content": prompt}]),
        max_tokens=MAX_TOKENS,
    )
    if read_text(line) != expected:
        raise WrongResultError(f"{line['custom_id']}: {read_text(line)!r}")
