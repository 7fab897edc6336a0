"""Upstreams that are told from the others by their failed runs."""

from hollyspan_policy.outliers import find_outliers
from hollyspan_policy.outliers import OutlierRecord
from hollyspan_policy.outliers.record import FAILURES_IN_A_ROW
from hollyspan_policy.outliers.record import FIRST_PERIOD_S


def fail(record, *, now, count=FAILURES_IN_A_ROW):
    for number in range(count):
        at = now + 0.01 * number
        record.note_failure(f"{now}-{number}", started_at=at, now=at + 0.005)


def set_aside(record, *, now=0.0):
    fail(record, now=now)
    assert record.must_set_aside()
    return record.set_aside(now=now)


def find(records, *, now, is_repeatable=True):
    return find_outliers(records, now=now, is_repeatable=is_repeatable)


def test_failures_in_a_row_make_an_outlier():
    record = OutlierRecord()
    fail(record, now=0.0, count=FAILURES_IN_A_ROW - 1)
    assert not record.must_set_aside()
    record.note_failure("r", started_at=1.0, now=1.1)
    assert record.must_set_aside()


def test_an_upstream_is_doubted_from_its_first_failure_on():
    record = OutlierRecord()
    assert not record.is_doubted(now=0.0)
    fail(record, now=0.0, count=1)
    assert record.is_doubted(now=FIRST_PERIOD_S / 2)
    assert not record.is_doubted(now=2 * FIRST_PERIOD_S)


def test_runs_that_fail_together_are_one_failure():
    record = OutlierRecord()
    counted = [
        record.note_failure(number, started_at=0.1 * number, now=1.0)
        for number in range(8)
    ]
    assert counted == [True] + 7 * [False]


def test_runs_of_one_request_are_one_failure():
    record = OutlierRecord()
    for number in range(8):
        record.note_failure("same", started_at=number, now=number + 0.5)
    assert record.failures == 1


def test_a_sound_run_clears_the_failures():
    record = OutlierRecord()
    set_aside(record)
    record.clear()
    assert record.may_run(now=0.1, is_repeatable=False)


def test_an_outlier_gets_one_repeatable_request_after_its_period():
    record = OutlierRecord()
    seconds = set_aside(record)
    records = {"a": record, "b": OutlierRecord()}
    assert find(records, now=seconds - 0.1) == {"a"}
    assert find(records, now=seconds, is_repeatable=False) == {"a"}
    assert find(records, now=seconds) == set()
    record.trials = 1
    assert find(records, now=seconds) == {"a"}


def test_an_outlier_without_trials_comes_back_by_time():
    record = OutlierRecord()
    seconds = set_aside(record)
    records = {"a": record, "b": OutlierRecord()}
    assert find(records, now=2 * seconds, is_repeatable=False) == set()


def test_periods_double_up_to_a_bound():
    record = OutlierRecord()
    now = 0.0
    lengths = []
    for _ in range(8):
        lengths.append(set_aside(record, now=now))
        now = record.until
    assert lengths[:3] == [FIRST_PERIOD_S * 2**n for n in range(3)]
    assert lengths[-1] == lengths[-2]


def test_failures_within_a_period_do_not_extend_it():
    record = OutlierRecord()
    set_aside(record)
    record.note_failure("late", started_at=0.5, now=0.6)
    assert not record.must_set_aside()


def test_no_upstream_is_an_outlier_when_none_is_sound():
    records = {name: OutlierRecord() for name in "abc"}
    for name in "ab":
        set_aside(records[name])
    fail(records["c"], now=0.0)
    assert find(records, now=0.1) is None
