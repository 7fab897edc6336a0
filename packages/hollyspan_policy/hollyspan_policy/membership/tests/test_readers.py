"""Tests of the choice of the daemons that watch the store."""

import pytest

from hollyspan_policy.membership import is_store_reader

FRONTS = [f"f{number}" for number in range(60)]


def list_readers(workers, fronts):
    daemons = [(name, True) for name in workers]
    daemons += [(name, False) for name in fronts]
    return [
        name
        for name, runs_batch in daemons
        if is_store_reader(
            name,
            runs_batch=runs_batch,
            others=[each for each in daemons if each[0] != name],
        )
    ]


@pytest.mark.parametrize("workers", [["w1", "w2"], ["w1", "w2", "w3"]])
def test_the_daemons_that_run_batch_work_read_for_the_others(workers):
    assert list_readers(workers, FRONTS) == workers


@pytest.mark.parametrize("workers", [[], ["w1"]])
def test_further_daemons_read_where_workers_are_missing(workers):
    readers = list_readers(workers, FRONTS)
    assert len(readers) == 2
    assert set(workers) <= set(readers)


def test_a_lost_reader_is_replaced_and_the_other_one_stays():
    readers = list_readers([], FRONTS)
    rest = [name for name in FRONTS if name != readers[0]]
    replaced = list_readers([], rest)
    assert readers[1] in replaced
    assert len(replaced) == 2


def test_a_daemon_that_hears_nobody_reads_itself():
    assert is_store_reader("f1", runs_batch=False, others=[])
