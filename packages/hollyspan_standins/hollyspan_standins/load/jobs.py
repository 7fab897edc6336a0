"""Batch jobs with different deadlines and a few items that always fail."""

from .job import Job

__all__ = ["plan_jobs"]

FAILING_PROMPT_MARKERS = ("[[fail]]", "[[break]]")
# Time to the deadline of the last job, as a multiple of the longest of the
# other jobs.
LAST_DEADLINE_FACTOR = 20.0


def plan_jobs(
    random,
    *,
    mix,
    jobs,
    items,
    seconds,
    due_seconds,
    failing_share=0.01,
    max_tokens=16,
):
    """Return batch jobs in order of submission.

    Parameters
    ----------
    random : random.Random
    mix : Mix
        Determines the lengths of the prompts.
    jobs : int
        Number of jobs.
    items : int
        Number of items in each job.
    seconds : float
        Time within which all jobs are submitted.
    due_seconds : tuple of float
        Shortest and longest time from submission to deadline; the last
        job's is ``LAST_DEADLINE_FACTOR`` times the longest.
    failing_share : float
        Share of items that always fail.
    max_tokens : int

    Returns
    -------
    list of Job
    """
    times = sorted(random.uniform(0, seconds) for _ in range(jobs))
    planned = []
    for number, submit_at in enumerate(times):
        due = random.uniform(*due_seconds)
        if number == jobs - 1 and jobs > 1:
            due = LAST_DEADLINE_FACTOR * due_seconds[1]
        prompts, failing_items = draw_items(
            random, mix, number, items, failing_share
        )
        planned.append(
            Job(
                number=number,
                submit_at=submit_at,
                due_seconds=due,
                prompts=prompts,
                failing_items=failing_items,
                max_tokens=max_tokens,
            )
        )
    return planned


def draw_items(random, mix, number, items, failing_share):
    """Return the prompts of a job and the items that always fail."""
    prompts = {}
    failing_items = set()
    shared = f"Job {number}: " + "x" * random.randint(*mix.prefix_characters)
    for index in range(items):
        name = f"job-{number}-item-{index:06d}"
        prompts[name] = f"{shared} item {index}"
        if random.random() < failing_share:
            prompts[name] += " " + random.choice(FAILING_PROMPT_MARKERS)
            failing_items.add(name)
    return prompts, frozenset(failing_items)
