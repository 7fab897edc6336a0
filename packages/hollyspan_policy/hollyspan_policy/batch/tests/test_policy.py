import pytest

from hollyspan_policy.batch import BATCH_POLICIES
from hollyspan_policy.batch import BatchGate
from hollyspan_policy.batch import count_batch_slots


@pytest.mark.parametrize(
    ("policy", "allowed"),
    [("none", 0), ("as_online", 8), ("fixed_cap", 4), ("yielding", 2)],
)
def test_slots_with_five_online_requests(policy, allowed):
    gate = BatchGate(slots=8, reserve=1, harm_weight=0.5)
    for step in range(50):
        gate.observe_online(5, now=step * 1.0)
        gate.count_allowed(now=step * 1.0)
    assert policy in BATCH_POLICIES
    assert count_batch_slots(policy, gate, running=0, now=50.0) == allowed
