from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.claims import choose_chunk
from hollyspan_policy.claims import count_chunks_to_claim
from hollyspan_policy.claims import JobView
from hollyspan_policy.claims import order_jobs


def build_job(job, due, items=10, chunks=(0, 1, 2, 3)):
    return JobView(
        job=job, due=due, items_left=items, open_chunks=list(chunks)
    )


def list_names(jobs, rate=1.0):
    ordered = order_jobs(jobs, items_per_second=rate, now=0.0)
    return [job.job for job in ordered]


def test_feasible_job_precedes_an_infeasible_one():
    jobs = [build_job("hopeless", 5.0, items=100), build_job("can", 20.0)]
    assert list_names(jobs) == ["can", "hopeless"]


def test_job_due_later_is_claimed_when_no_earlier_chunk_is_open():
    jobs = [build_job("far", 9e9, items=5000), build_job("near", 20.0)]
    assert list_names(jobs) == ["near", "far"]
    early = build_job("near", 20.0, chunks=())
    assert choose_chunk([jobs[0], early], instance="a", now=0.0)[0] == "far"


def test_instances_choose_different_chunks():
    job = build_job("j", 60.0, chunks=range(40))
    instances = ["a", "b", "c"]
    chosen = {
        choose_chunk([job], instance=name, now=0.0, instances=instances)
        for name in instances
    }
    assert len(chosen) == 3


def test_no_chunk_is_chosen_without_jobs():
    assert choose_chunk([], instance="a", now=0.0) is None


def test_no_chunk_is_claimed_without_slots_or_with_enough_items():
    common = {"items_per_second": 2.0, "chunk_items": 10}
    assert count_chunks_to_claim(free_slots=0, items_held=0, **common) == 0
    assert count_chunks_to_claim(free_slots=4, items_held=10, **common) == 0
    assert count_chunks_to_claim(free_slots=4, items_held=9, **common) == 1


@given(st.lists(st.tuples(st.integers(1, 60), st.integers(1, 30)), max_size=8))
def test_order_keeps_all_jobs_and_as_many_in_time_as_due_order(pairs):
    jobs = [
        build_job(str(index), float(due), items=items)
        for index, (due, items) in enumerate(pairs)
    ]
    ordered = order_jobs(jobs, items_per_second=1.0, now=0.0)
    assert sorted(job.job for job in ordered) == sorted(
        job.job for job in jobs
    )
    # When every job can meet its due time, the order by due time achieves it,
    # and no other order can finish more jobs in time.
    by_due = sorted(jobs, key=lambda job: (job.due, job.job))
    if count_in_time(by_due) == len(jobs):
        assert ordered == by_due
    assert count_in_time(ordered) >= count_in_time(by_due)


def count_in_time(jobs):
    ended = 0
    in_time = 0
    for job in jobs:
        ended += job.items_left
        in_time += ended <= job.due
    return in_time
