"""Tests of planned batch jobs."""

from random import Random

from hollyspan_standins.load import build_trust_mix
from hollyspan_standins.load import plan_jobs


def plan(seed):
    return plan_jobs(
        Random(seed),
        mix=build_trust_mix(),
        jobs=4,
        items=200,
        seconds=10,
        due_seconds=(5, 15),
        failing_share=0.05,
    )


def describe(jobs):
    return [(job.submit_at, job.due_seconds, job.prompts) for job in jobs]


def test_jobs_are_determined_by_their_seed():
    assert describe(plan(1)) == describe(plan(1))
    assert describe(plan(1)) != describe(plan(2))


def test_the_last_job_has_a_much_later_deadline():
    jobs = plan(1)
    assert [len(job.prompts) for job in jobs] == [200] * 4
    assert all(5 <= job.due_seconds <= 15 for job in jobs[:-1])
    assert jobs[-1].due_seconds == 300
    assert len({name for job in jobs for name in job.prompts}) == 800


def test_failing_items_are_listed():
    for job in plan(1):
        marked = {name for name, text in job.prompts.items() if "[[" in text}
        assert 0 < len(marked) < 40
        assert marked == job.failing_items
