"""A short run of the soak test.

``python -m hollyspan_platform.tests.soak --seeds 1-50`` is run by hand for
fifty seeds and more.
"""

import pytest

from hollyspan_platform.tests.soak.run import run_soak

DURATION_S = 5.0


# Seed 3 mixes faults; seed 4 has planned operations only, which must not
# interrupt any request; in seed 458 a replica breaks off each run of an item,
# in 501 a part of prompts ends replicas while gateways fail; in 6 and 22
# replicas fall silent, repeat refusals and are taken away; in 903 a request
# that ends replicas comes again before it is told from another beside it; in
# 10 full replicas repeat refusals and the store answers writes with errors; in
# 1021 a gateway blocked the part that all prompts share; in 15 a replica sends
# event streams in chunks of one byte without end.
@pytest.mark.parametrize("seed", [3, 4, 6, 10, 15, 22, 458, 501, 903, 1021])
def test_guarantees_hold_under_faults(seed, tmp_path):
    report = run_soak(seed=seed, seconds=DURATION_S, folder=tmp_path)
    assert report.violations == [], report.faults
    assert report.answers
    assert report.faults


# Failure: items of accepted jobs stay open after replicas were lost in series,
# since a sound part of their prompts is blocked as certain (3273, 31257); a
# part that does end replicas is blocked only together with one job's own part,
# so that each further job with it ends three more (41, 3593).
@pytest.mark.parametrize(
    "seed, seconds", [(41, 16), (3273, 10), (3593, 12), (31257, 10)]
)
def test_items_are_done_after_losses_in_series(seed, seconds, tmp_path):
    report = run_soak(seed=seed, seconds=seconds, folder=tmp_path)
    assert report.violations == [], [*report.faults, *report.notes]
    assert report.jobs


# Failure: a front that was stopped (27) and fronts without the store (59) ran
# requests under a key that had been withdrawn longer than the bound before.
@pytest.mark.parametrize("seed", [27, 59])
def test_withdrawn_keys_run_nothing(seed, tmp_path):
    report = run_soak(seed=seed, seconds=DURATION_S, folder=tmp_path)
    assert report.violations == [], report.faults
    assert report.answers


# Failure: sound replicas that fell silent for a second, and opened no
# connection meanwhile, had streams broken off as "the links are lost" by
# fronts that nobody could take them over from.
@pytest.mark.parametrize("seed", [5, 13])
def test_streams_outlast_silences(seed, tmp_path):
    report = run_soak(
        seed=seed, seconds=DURATION_S, folder=tmp_path, sequel="silences"
    )
    assert report.violations == [], report.faults
    assert report.answers
