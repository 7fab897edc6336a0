"""Batch jobs of a scenario."""

import random
import time

from hollyspan_standins.caller import build_items
from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import submit_batch
from hollyspan_standins.deployment import CALLER_KEY

__all__ = ["check_deadlines", "submit_jobs"]

MAX_TOKENS = 32
PROMPT_WORD_RANGE = (20, 80)
WORDS = "bulletin reorder stock ferry gale drift notice size press pip".split()
FINAL_STATUSES = ("completed", "failed", "expired", "cancelled")
POLL_INTERVAL_S = 0.5


def submit_jobs(deployment, scenario, *, seed):
    """Submit the jobs of a scenario, alternating between daemons.

    Parameters
    ----------
    deployment : Deployment
    scenario : Scenario
    seed : int

    Returns
    -------
    dict
        Batch identifier and due time (seconds since the epoch) by job name.
    """
    submitted = {}
    daemons = deployment.daemon_names
    for index, job in enumerate(scenario.jobs):
        url = deployment.url(daemons[index % len(daemons)])
        caller = Caller(url=url, key=CALLER_KEY)
        items = build_items(
            build_prompts(job, seed=seed),
            model=scenario.model,
            max_tokens=MAX_TOKENS,
        )
        due = time.time() + job.due_seconds
        batch = submit_batch(caller, items, window=f"{job.due_seconds}s")
        submitted[job.name] = (batch["id"], due)
    return submitted


def build_prompts(job, *, seed):
    """Build the prompts of a job.

    Parameters
    ----------
    job : JobPlan
    seed : int

    Returns
    -------
    dict
        Prompt by ``custom_id``.
    """
    generator = random.Random(f"{seed}/{job.name}")
    prompts = {}
    for index in range(job.items + job.failing_items):
        words = generator.choices(
            WORDS, k=generator.randint(*PROMPT_WORD_RANGE)
        )
        if index >= job.items:
            words.append("[[fail]]")
        prompts[f"{job.name}-{index}"] = f"{index} {' '.join(words)}"
    return prompts


def check_deadlines(deployment, scenario, submitted):
    """Wait for the jobs due soon and check whether they met their deadlines.

    Parameters
    ----------
    deployment : Deployment
    scenario : Scenario
    submitted : dict
        See `submit_jobs`.

    Returns
    -------
    dict
        Whether the job was completed by its due time, by job name.
    """
    caller = Caller(
        url=deployment.url(deployment.daemon_names[0]), key=CALLER_KEY
    )
    met = {}
    for job in scenario.jobs:
        batch_id, due = submitted[job.name]
        # Later due times are after the end of the run.
        if job.due_seconds <= 3600:
            met[job.name] = wait_until_due(caller, batch_id, due)
    return met


def wait_until_due(caller, batch_id, due):
    while True:
        batch = caller.get(f"/v1/batches/{batch_id}")
        if batch["status"] in FINAL_STATUSES:
            ended = batch.get("completed_at") or due + 1
            return batch["status"] == "completed" and ended <= due + 1
        if time.time() > due:
            return False
        time.sleep(POLL_INTERVAL_S)
