"""A short run of the soak; fifty seeds and more are run by hand.

``python -m hollyspan_platform.tests.soak --seeds 1-50`` runs them.
"""

import pytest

from hollyspan_platform.tests.soak.run import run_soak

SECONDS = 5.0


# 3 mixes faults; 4 has planned work only, which may cut nothing off.
@pytest.mark.parametrize("seed", [3, 4])
def test_promises_hold_under_faults(seed, tmp_path):
    report = run_soak(seed=seed, seconds=SECONDS, folder=tmp_path)
    assert report.broken == [], report.faults
    assert report.answers
    assert report.faults
