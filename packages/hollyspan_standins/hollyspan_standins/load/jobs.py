"""Batch jobs with different deadlines and a few impossible items."""

from .job import Job

__all__ = ["plan_jobs"]

IMPOSSIBLE_MARKS = ("[[fail]]", "[[break]]")
# The last job is due this many times later than the others at most.
FAR_FACTOR = 20.0


def plan_jobs(
    random,
    *,
    mix,
    jobs,
    items,
    seconds,
    due_seconds,
    impossible_share=0.01,
    max_tokens=16,
):
    """Return batch jobs, by the times of their submission.

    Parameters
    ----------
    random : random.Random
    mix : Mix
        Gives the length of the prompts.
    jobs : int
    items : int
        Items of each job.
    seconds : float
        Jobs are submitted within this time.
    due_seconds : tuple of float
        Shortest and longest time from submission to deadline; the last
        job's is ``FAR_FACTOR`` times the longest.
    impossible_share : float
        Share of items that can never be done.
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
            due = FAR_FACTOR * due_seconds[1]
        prompts, impossible = draw_items(
            random, mix, number, items, impossible_share
        )
        planned.append(
            Job(
                number=number,
                submit_at=submit_at,
                due_seconds=due,
                prompts=prompts,
                impossible=impossible,
                max_tokens=max_tokens,
            )
        )
    return planned


def draw_items(random, mix, number, items, impossible_share):
    """Return the prompts of a job and which of them are impossible."""
    prompts = {}
    impossible = set()
    shared = f"Job {number}: " + "x" * random.randint(*mix.prefix_characters)
    for index in range(items):
        name = f"job-{number}-item-{index:06d}"
        prompts[name] = f"{shared} item {index}"
        if random.random() < impossible_share:
            prompts[name] += " " + random.choice(IMPOSSIBLE_MARKS)
            impossible.add(name)
    return prompts, frozenset(impossible)
