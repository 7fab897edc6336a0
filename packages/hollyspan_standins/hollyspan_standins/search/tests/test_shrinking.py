"""Tests of the reduction of scenarios."""

import types

from hollyspan_standins.search.checkers import Violation
from hollyspan_standins.search.drawing import draw_scenario
from hollyspan_standins.search.scenario import Fault
from hollyspan_standins.search.scenario import JobPlan
from hollyspan_standins.search.scenario import Scenario
from hollyspan_standins.search.scenario import When
from hollyspan_standins.search.shrinking import shrink

CULPRIT = Fault(kind="end", when=When(delay=1.0), salt=7)


def play(scenario):
    """Break a rule if the culprit and two items are in a scenario."""
    items = sum(plan.items for plan in scenario.jobs)
    violations = []
    if CULPRIT in scenario.faults and items >= 2:
        violations.append(Violation(rule="open", cause="c", text=""))
    return types.SimpleNamespace(violations=violations)


def test_only_what_breaks_the_rule_is_left():
    scenario = draw_scenario(3)
    scenario = scenario.replace(faults=[*scenario.faults, CULPRIT])
    smaller = shrink(scenario, "open: c", max_runs=10_000, play=play)
    assert smaller.faults == [CULPRIT]
    assert sum(plan.items for plan in smaller.jobs) in (2, 3)
    assert (smaller.fronts, smaller.workers, smaller.upstreams) == (1, 1, 1)
    assert smaller.streams == 0.0


def test_a_scenario_is_printed_as_the_expression_that_builds_it():
    scenario = draw_scenario(3)
    names = {"Fault": Fault, "JobPlan": JobPlan, "When": When}
    text = repr(scenario)
    assert eval(text, {"Scenario": Scenario, **names}) == scenario
